//! Quarantine of requests that crash the backend servers running them.
//!
//! When a server crashes, every request in flight on it becomes a suspect, and the
//! suspects are shared with all hosts. A suspect runs again only as a trial: as the
//! only request on a server, and with a permit of the coordinator of its shard, so that no two
//! hosts try it at the same time. If the server of the trial crashes too, the
//! request is quarantined and refused. If the request completes, it is cleared. A
//! request that is resent after its failure therefore crashes at most two servers,
//! whichever hosts it is sent to.
//!
//! The shared state of each fingerprint consists of two grow-only sets: the crashes
//! with the request in flight, and the crashes from which it was cleared. Merging
//! takes the union of the sets, so updates can be lost, duplicated and reordered.

mod fingerprint;
mod ledger;
mod table;
mod trial;

pub use fingerprint::RequestFingerprint;
pub use ledger::{
    Admission, CrashCounts, CrashDecisions, CrashFinding, CrashLedger, LostRun, OpenCrash,
    ProvenRun, QuarantineCause, QuarantineChange, QuarantineStep, QuarantinedSegments,
    RequestTraits, SegmentCrashCount, SegmentFingerprint, SegmentStatus,
};
pub use table::{CrashReport, QuarantineTable, ServerCrash, SuspectStatus, SuspectUpdate};
pub use trial::{TrialCoordinator, TrialDecision};
