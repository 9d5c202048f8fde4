//! What hosts tell each other about runs that matter to the quarantine.

use chicoryladder_policy::quarantine::{RequestTraits, SegmentFingerprint, ServerCrash};
use chicoryladder_types::{ServiceName, Tail};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A server that was lost while it processed a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CrashReport {
    /// The pool of the server.
    pub(crate) pool: ServiceName,
    pub(crate) crash: ServerCrash,
    pub(crate) traits: RequestTraits,
    /// The time since the request was sent; `None` from hosts of earlier builds.
    pub(crate) took: Tail<Option<Duration>>,
}

/// A request that a server processed to its end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CompletionReport {
    /// The pool of the server.
    pub(crate) pool: ServiceName,
    pub(crate) server: ServerCrash,
    pub(crate) segments: Vec<SegmentFingerprint>,
    /// The time since the request was sent.
    pub(crate) took: Duration,
}

#[cfg(test)]
mod tests {
    use super::*;
    use chicoryladder_policy::quarantine::RequestFingerprint;
    use chicoryladder_types::prelude::*;
    use chicoryladder_types::{RouteName, ServerGeneration};

    /// The report of the build before the time was told.
    #[derive(Debug, Serialize, Deserialize)]
    struct EarlierReport {
        pool: ServiceName,
        crash: ServerCrash,
        traits: RequestTraits,
    }

    /// Guards against crashes that are not counted during an upgrade, since reports of hosts of
    /// the other build are not understood.
    #[test]
    fn reports_are_read_by_and_from_earlier_builds() {
        let route = RouteName::try_from("chat").expect("it is valid");
        let report = CrashReport {
            pool: ServiceName::try_from("chat").expect("it is valid"),
            crash: ServerCrash {
                server: ServerName::try_from("engine-1").expect("it is valid"),
                generation: ServerGeneration(1),
            },
            traits: RequestTraits {
                request: RequestFingerprint::new(None, &route, "/chat", b"a question"),
                segments: vec![SegmentFingerprint(1)],
            },
            took: Tail(Some(Duration::from_millis(3))),
        };
        let bytes = postcard::to_stdvec(&report).expect("it encodes");
        let earlier: EarlierReport = postcard::from_bytes(&bytes).expect("it decodes");
        assert_eq!(earlier.traits, report.traits);
        let bytes = postcard::to_stdvec(&earlier).expect("it encodes");
        let read: CrashReport = postcard::from_bytes(&bytes).expect("it decodes");
        assert_eq!(read.took, Tail(None));
        assert_eq!((read.pool, read.crash), (report.pool, report.crash));
    }
}
