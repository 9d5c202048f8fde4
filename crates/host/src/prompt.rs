//! What the system reads of a prompt.

use chicoryladder_types::ModelName;
use chicoryladder_types::prelude::*;
use serde::Deserialize;
use std::borrow::Cow;

/// The fields of a completion request that routing needs; all others pass
/// through unread.
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
