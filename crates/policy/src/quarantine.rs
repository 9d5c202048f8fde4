//! Requests that crash the backend servers that run them.
//!
//! When a server crashes, every request in flight on it becomes a suspect. All
//! hosts learn of suspects. A suspect runs again only alone on a server, and
//! only with the permit of the one owner of its shard, so that no two hosts
//! try it at the same time. If that server crashes too, the request is
//! quarantined and refused; if it answers, the suspicion ends. So a request
//! that is resent after its failure costs at most two servers, whichever hosts
//! it reaches.
//!
//! The shared facts are two growing sets for each fingerprint: crashes, and
//! crashes after which it was answered. Their union is the same whatever the
//! order, so updates may be lost, repeated and late.

mod fingerprint;
mod table;
mod trial;

pub use fingerprint::RequestFingerprint;
pub use table::{CrashReport, QuarantineTable, ServerCrash, SuspectStatus, SuspectUpdate};
pub use trial::{TrialCoordinator, TrialDecision};
