//! Bodies of answers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};

/// Why a body ended before its end.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// A body of the given bytes.
pub fn bytes_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body without bytes.
#[must_use]
pub fn empty_body() -> AnswerBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}
