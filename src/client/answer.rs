//! Responses of hosts, and the errors that they report.

use crate::error::CommandError;
use chicoryladder_types::RefusalReason;
use chicoryladder_types::admin::ConflictAnswer;
use hyper::StatusCode;
use hyper::body::Bytes;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// A complete response of a host.
#[derive(Clone, Debug)]
pub struct ApiAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    message: String,
    code: String,
    conflict: Option<ConflictAnswer>,
}

impl ApiAnswer {
    /// Returns a successful response, and turns any other into an error.
    ///
    /// # Errors
    ///
    /// Fails with the refusal or the conflict that the host reports.
    pub fn checked(self) -> Result<Self, CommandError> {
        if self.status.is_success() {
            return Ok(self);
        }
        let status = self.status.as_u16();
        let Ok(ErrorBody { error }) = serde_json::from_slice(&self.body) else {
            return Err(CommandError::Refused {
                status,
                code: "unknown".to_owned(),
                message: "the response has no error object".to_owned(),
                remedy: "check that the address is that of a chicoryladder host",
            });
        };
        if let Some(conflict) = error.conflict {
            let conflict = Box::new(conflict);
            return Err(CommandError::Conflict { conflict });
        }
        let remedy = remedy_for(&error.code);
        Err(CommandError::Refused {
            status,
            code: error.code,
            message: error.message,
            remedy,
        })
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON of the expected type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        serde_json::from_slice(&self.body).map_err(|error| {
            CommandError::failed(format!("the response cannot be parsed: {error}"))
        })
    }
}

fn remedy_for(code: &str) -> &'static str {
    let reason = RefusalReason::ALL
        .iter()
        .find(|reason| reason.as_str() == code);
    match reason {
        Some(RefusalReason::MissingKey | RefusalReason::UnknownKey) => {
            "check the token or key file"
        }
        Some(RefusalReason::WithdrawnKey) => "ask an operator for a new key",
        Some(RefusalReason::NoQuorum) => {
            "send the command again with the same operation id once voters can be reached"
        }
        Some(RefusalReason::UnknownJob) => "check the job id and that the key is of the same team",
        Some(RefusalReason::UnknownZone) => "list the zones with `chicoryladder zone list`",
        Some(RefusalReason::RateExceeded | RefusalReason::QueueFull) => "try again later",
        _ => "see docs/operators/commands.md",
    }
}
