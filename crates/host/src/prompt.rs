//! Extraction of routing data from prompts.

use crate::routing::WorkTarget;
use chicoryladder_policy::routing::PrefixHash;
use chicoryladder_types::ModelName;
use chicoryladder_types::prelude::*;
use serde::Deserialize;
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
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_str().as_bytes()).update(&[0]);
    hasher.update(prefix);
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    PrefixHash(u64::from_le_bytes(head))
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
