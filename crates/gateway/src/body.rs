//! Response bodies.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};

/// Why a body could not be transferred completely.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a response to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body with the given bytes.
pub fn bytes_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates an empty body.
#[must_use]
pub fn empty_body() -> AnswerBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}
