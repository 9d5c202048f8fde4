//! The streams that are bound to a software version.
//!
//! What two versions write does not fit together, so a stream goes on only at the version
//! that began it.

use chicoryladder_types::SoftwareVersion;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Identifies a stream by the attempt of its caller that brought the first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(u64);

impl StreamId {
    /// Creates the id from the id of the attempt.
    #[must_use]
    pub fn of_attempt(request: &str) -> Self {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&blake3::hash(request.as_bytes()).as_bytes()[..8]);
        Self(u64::from_le_bytes(prefix))
    }
}

/// The part of a stream that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamPart {
    /// The stream from its first event on, at any version.
    Beginning(StreamId),
    /// What follows the events that the caller has, at the version that wrote them.
    Rest {
        /// The stream; `None` if the caller does not name it.
        stream: Option<StreamId>,
        /// The version that began the stream; `None` if the requester does not know it.
        version: Option<SoftwareVersion>,
    },
}

/// The time for which the version of a stream is remembered after its last run began. The
/// caller of an older stream has given up.
pub(crate) const STREAM_MEMORY: Duration = Duration::from_secs(30);

/// The maximum number of streams that are remembered; the oldest are dropped first.
const STREAMS_MAX: usize = 65_536;

/// The report of a host to the broker on the version of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamReport {
    /// The stream.
    pub stream: StreamId,
    /// The version that it is bound to.
    pub version: SoftwareVersion,
    /// The time since its last run began.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct BoundStream {
    version: SoftwareVersion,
    began_at: Instant,
}

/// The versions that streams are bound to, as the broker or a host knows them.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    bound: FxHashMap<StreamId, BoundStream>,
    /// The streams by the beginning of each run, the oldest first.
    by_age: VecDeque<(Instant, StreamId)>,
    /// The streams whose versions the broker does not know.
    unreported: Vec<StreamId>,
}

impl StreamVersions {
    /// Binds a stream to the version of the server that a run of it is sent to. An earlier
    /// run that wrote events was of the same version.
    pub fn bind(
        &mut self,
        stream: StreamId,
        version: &SoftwareVersion,
        is_reported: bool,
        now: Instant,
    ) {
        self.drop_old(now);
        let bound = BoundStream {
            version: version.clone(),
            began_at: now,
        };
        self.bound.insert(stream, bound);
        if !is_reported {
            self.unreported.push(stream);
        }
        self.by_age.push_back((now, stream));
    }

    /// Takes over what a host reports, unless a later run is known.
    pub fn apply(&mut self, report: &StreamReport, now: Instant) {
        let Some(began_at) = now.checked_sub(report.age) else {
            return;
        };
        let known = self.bound.get(&report.stream);
        if known.is_none_or(|known| known.began_at < began_at) {
            self.bind(report.stream, &report.version, true, now);
        }
    }

    /// The version that a stream is bound to.
    #[must_use]
    pub fn version(&self, stream: StreamId, now: Instant) -> Option<&SoftwareVersion> {
        let bound = self.bound.get(&stream)?;
        let age = now.saturating_duration_since(bound.began_at);
        (age < STREAM_MEMORY).then_some(&bound.version)
    }

    /// Takes the reports that the broker has not received.
    pub fn take_reports(&mut self, now: Instant) -> Vec<StreamReport> {
        let mut unreported = std::mem::take(&mut self.unreported);
        unreported.sort_unstable();
        unreported.dedup();
        let report = |stream: StreamId| {
            let bound = self.bound.get(&stream)?;
            Some(StreamReport {
                stream,
                version: bound.version.clone(),
                age: now.saturating_duration_since(bound.began_at),
            })
        };
        unreported.into_iter().filter_map(report).collect()
    }

    /// Makes reports due again that did not arrive.
    pub fn return_reports(&mut self, reports: &[StreamReport]) {
        let streams = reports.iter().map(|report| report.stream);
        self.unreported.extend(streams);
    }

    /// Makes all reports due, for a new broker.
    pub fn report_all(&mut self, now: Instant) {
        self.drop_old(now);
        self.unreported = self.bound.keys().copied().collect();
    }

    fn drop_old(&mut self, now: Instant) {
        while let Some((at, stream)) = self.by_age.front().copied() {
            let is_old = now.saturating_duration_since(at) >= STREAM_MEMORY;
            if !is_old && self.by_age.len() < STREAMS_MAX {
                return;
            }
            self.by_age.pop_front();
            if self.bound.get(&stream).is_some_and(|b| b.began_at == at) {
                self.bound.remove(&stream);
            }
        }
    }
}
