//! Extraction of routing data from prompts.

use crate::routing::WorkTarget;
use chicoryladder_policy::quarantine::SegmentFingerprint;
use chicoryladder_policy::routing::PrefixHash;
use chicoryladder_types::ModelName;
use chicoryladder_types::prelude::*;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// The lengths of the prompt prefixes used for prefix-aware routing, in bytes.
const PREFIX_LENGTHS_BYTES: [usize; 2] = [512, 2048];

/// Hashes of the request body's prefixes, in ascending order of length; empty for
/// requests to a service.
///
/// Requests of one conversation, or with the same long system prompt, share them.
pub(crate) fn prompt_prefixes(target: &WorkTarget, body: &[u8]) -> Vec<PrefixHash> {
    let WorkTarget::Model(model) = target else {
        return Vec::new();
    };
    let prefixes = PREFIX_LENGTHS_BYTES
        .iter()
        .filter_map(|length| body.get(..*length));
    prefixes.map(|prefix| prefix_hash(model, prefix)).collect()
}

fn prefix_hash(model: &ModelName, prefix: &[u8]) -> PrefixHash {
    PrefixHash(model_hash(model, prefix))
}

fn model_hash(model: &ModelName, text: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_str().as_bytes()).update(&[0]);
    hasher.update(text);
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// The maximum number of segments of a prompt that are told apart; a longer prompt is known
/// by its first ones.
const SEGMENTS_MAX: usize = 64;

/// The messages of a completion request; all other fields are left unread.
#[derive(Deserialize)]
struct PromptMessages<'a> {
    #[serde(borrow, default)]
    messages: Vec<&'a RawValue>,
}

/// The segments of a prompt that other requests may share, whatever precedes them: its
/// messages but for the last one, and the paragraphs of the last one but for its last.
/// Empty for requests to a service, and for a body without messages.
pub(crate) fn shared_segments(target: &WorkTarget, body: &[u8]) -> Vec<SegmentFingerprint> {
    let WorkTarget::Model(model) = target else {
        return Vec::new();
    };
    let prompt = serde_json::from_slice(body).unwrap_or(PromptMessages {
        messages: Vec::new(),
    });
    let Some((last, shared)) = prompt.messages.split_last() else {
        return Vec::new();
    };
    // A blank line as it is written in JSON.
    let mut paragraphs: Vec<&str> = last.get().split("\\n\\n").collect();
    paragraphs.pop();
    let texts = shared.iter().map(|message| message.get()).chain(paragraphs);
    let segments = texts.map(|text| SegmentFingerprint(model_hash(model, text.as_bytes())));
    segments.take(SEGMENTS_MAX).collect()
}

/// The fields of a completion request that routing needs; all others are forwarded
/// unread.
#[derive(Deserialize)]
struct PromptFields<'a> {
    #[serde(borrow)]
    model: Option<Cow<'a, str>>,
}

/// The model that a completion request names.
///
/// # Errors
///
/// Refuses a body that is not a JSON object or names no model.
pub(crate) fn named_model(body: &[u8]) -> Result<ModelName, RequestRefusal> {
    let refused = |detail| RequestRefusal::not_run(RefusalReason::BadRequest, detail);
    let fields: PromptFields<'_> = serde_json::from_slice(body)
        .map_err(|error| refused(format!("the body is not a JSON object: {error}")))?;
    let model = fields
        .model
        .ok_or_else(|| refused("the body names no model".to_owned()))?;
    ModelName::try_from(model.as_ref())
        .map_err(|error| refused(format!("the model is wrong: {error}")))
}
