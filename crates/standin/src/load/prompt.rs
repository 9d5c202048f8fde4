//! Generates prompts of a given length, different for each request.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The number of different words; three digits and a space are one token of four
/// bytes.
const WORD_COUNT: u32 = 1_000;

/// Generates a prompt whose first `shared_tokens` tokens depend on the stream
/// only.
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
