//! The types that almost every module imports.

pub use crate::{
    ClassName, ClockSource, HostName, RefusalReason, RequestId, RequestRefusal, RetryReason,
    RunVerdict, ServerName, TeamName, ZoneName,
};
