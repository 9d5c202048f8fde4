//! Prompts of a wanted length, different for each request.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The different words; three digits and a space make one token of four bytes.
const WORD_COUNT: u32 = 1_000;

/// A prompt whose leading `shared_tokens` depend on the stream alone.
///
/// Each word is three digits and a space, so one word makes one token.
pub(super) fn prompt_text(
    stream_seed: u64,
    request_number: u64,
    prompt_tokens: u32,
    shared_tokens: u32,
) -> String {
    let shared_tokens = shared_tokens.min(prompt_tokens);
    let mut shared = ChaCha8Rng::seed_from_u64(stream_seed);
    let mut own = ChaCha8Rng::seed_from_u64(stream_seed);
    own.set_stream(request_number + 1);
    let words = (0..prompt_tokens).map(|position| {
        let rng = if position < shared_tokens {
            &mut shared
        } else {
            &mut own
        };
        let word = rng.random_range(0..WORD_COUNT);
        format!("{word:03} ")
    });
    words.collect()
}
