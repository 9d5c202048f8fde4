//! Segments of a text that follow from its words alone, not from its markup.
//!
//! Each pair of adjacent words is a segment, so that a text shared by two requests has the same
//! segments whatever surrounds it, and an inserted word changes two of them. Of a long text the
//! pairs with the smallest hashes are kept: a shared part keeps its share of them in every text.

use super::SegmentFingerprint;
use rustc_hash::FxHasher;
use std::collections::BTreeSet;
use std::hash::Hasher;

/// The number of pairs that are kept of a text.
const PAIRS_MAX: usize = 48;

/// The length up to which a text is read, in bytes.
const READ_MAX_BYTES: usize = 256 * 1024;

/// The word segments of a text, such as the body of a request, at most 48. `domain` tells
/// apart texts whose words have nothing to do with each other, as those for different models.
#[must_use]
pub fn word_segments(text: &[u8], domain: u64) -> Vec<SegmentFingerprint> {
    let text = &text[..text.len().min(READ_MAX_BYTES)];
    let mut pairs = BTreeSet::new();
    let mut before = None;
    for word in words(text) {
        let hash = word_hash(word);
        if let Some(before) = before.replace(hash) {
            let pair = mix(mix(domain ^ before).wrapping_add(hash));
            if pairs.len() < PAIRS_MAX || pairs.last().is_some_and(|last| pair < *last) {
                pairs.insert(pair);
            }
            if pairs.len() > PAIRS_MAX {
                pairs.pop_last();
            }
        }
    }
    pairs.into_iter().map(SegmentFingerprint).collect()
}

/// The words of a text: runs of letters, digits and bytes beyond ASCII. A character behind a
/// backslash is part of an escape sequence of JSON.
fn words(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let is_escaped = |at: usize| at > 0 && text[at - 1] == b'\\';
    let is_word = move |at: usize| {
        let byte = text[at];
        (byte.is_ascii_alphanumeric() || !byte.is_ascii()) && !is_escaped(at)
    };
    let mut at = 0;
    std::iter::from_fn(move || {
        while at < text.len() && !is_word(at) {
            at += 1;
        }
        let start = at;
        while at < text.len() && is_word(at) {
            at += 1;
        }
        (start < at).then(|| &text[start..at])
    })
}

fn word_hash(word: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(word);
    hasher.finish()
}

/// The finalizer of `SplitMix64`, which spreads each bit over all others.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
