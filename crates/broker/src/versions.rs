//! The software versions that the servers of each service have, or had lately.
//!
//! A stream goes on only at the version that began it. If nobody knows which one that is, it
//! is certain only while no other version can have begun it. Two rules make that certain:
//!
//! - A version is recorded durably before it begins a stream beside another one, and is
//!   remembered until no stream of it can go on. A new broker starts from the records, not
//!   from the servers that happen to be left.
//! - A version begins streams beside another one only [`VERSION_NOTICE`] after the broker has
//!   listed it. A host whose view is more recent than that knows every version that can have
//!   begun a stream; one with an older view does not conclude anything from it.

use crate::streams::STREAM_MEMORY;
use chicoryladder_types::{ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The time for which a version is listed to hosts before it begins streams beside another
/// one, and the age up to which a host's view tells all versions that can have begun one.
pub const VERSION_NOTICE: Duration = Duration::from_secs(1);

/// A step in the use of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionStep {
    /// Servers of the version have checked in; hosts are told of it.
    Announced,
    /// Streams may begin at servers of the version.
    InUse,
    /// No stream of the version can go on any more.
    Gone,
}

/// The step that a version of a service has reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: SoftwareVersion,
    /// The step.
    pub step: VersionStep,
}

/// A version of a service that can have begun a stream, or will soon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVersion {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: SoftwareVersion,
    /// Whether streams may begin at servers of the version.
    pub may_begin: bool,
}

/// The versions of all services, as the broker lists them to hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionList(pub Vec<ListedVersion>);

impl VersionList {
    /// The only version of a service that can have begun a stream, as long as the list is
    /// more recent than [`VERSION_NOTICE`]; `None` if there are several.
    #[must_use]
    pub fn sole(&self, service: &ServiceName) -> Option<&SoftwareVersion> {
        let mut listed = self.0.iter().filter(|listed| listed.service == *service);
        let first = listed.next()?;
        listed.next().is_none().then_some(&first.version)
    }

    /// Whether streams may begin at servers of a version.
    #[must_use]
    pub fn may_begin(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let is_it =
            |listed: &&ListedVersion| listed.service == *service && listed.version == *version;
        self.0
            .iter()
            .find(is_it)
            .is_some_and(|listed| listed.may_begin)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionState {
    /// Not recorded yet.
    New,
    /// Recorded and listed since this time.
    Announced(Instant),
    InUse,
}

#[derive(Clone, Debug)]
struct SeenVersion {
    seen_at: Instant,
    state: VersionState,
    /// Whether the next step is being recorded.
    is_recording: bool,
}

impl SeenVersion {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.seen_at) < STREAM_MEMORY
    }

    /// The step to record next.
    fn due_step(&self, is_sole: bool, now: Instant) -> Option<VersionStep> {
        match self.state {
            _ if self.is_recording => None,
            VersionState::New if is_sole => Some(VersionStep::InUse),
            VersionState::New => Some(VersionStep::Announced),
            VersionState::Announced(at) if now >= at + VERSION_NOTICE => Some(VersionStep::InUse),
            VersionState::InUse if !self.is_recent(now) => Some(VersionStep::Gone),
            VersionState::Announced(_) | VersionState::InUse => None,
        }
    }
}

/// The versions of one service, as the broker knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SeenVersions {
    seen: BTreeMap<SoftwareVersion, SeenVersion>,
}

impl SeenVersions {
    /// Records that a server has a version; returns whether it was not known before.
    pub(crate) fn record(&mut self, version: &SoftwareVersion, now: Instant) -> bool {
        if let Some(seen) = self.seen.get_mut(version) {
            seen.seen_at = now;
            return false;
        }
        let seen = SeenVersion {
            seen_at: now,
            state: VersionState::New,
            is_recording: false,
        };
        self.seen.insert(version.clone(), seen);
        true
    }

    /// Takes over a recorded step. A version that a new broker finds recorded may have begun
    /// streams up to now.
    pub(crate) fn apply(&mut self, version: &SoftwareVersion, step: VersionStep, now: Instant) {
        if step == VersionStep::Gone {
            self.seen.remove(version);
            return;
        }
        if !self.seen.contains_key(version) {
            self.record(version, now);
        }
        if let Some(seen) = self.seen.get_mut(version) {
            seen.is_recording = false;
            seen.state = match step {
                VersionStep::InUse => VersionState::InUse,
                VersionStep::Announced | VersionStep::Gone => VersionState::Announced(now),
            };
        }
    }

    /// Makes the step of a version due again that could not be recorded.
    pub(crate) fn retry(&mut self, version: &SoftwareVersion) {
        if let Some(seen) = self.seen.get_mut(version) {
            seen.is_recording = false;
        }
    }

    /// The steps that are due; they do not come again until they are applied or retried.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<(SoftwareVersion, VersionStep)> {
        let is_sole = self.seen.len() == 1;
        let mut due = Vec::new();
        for (version, seen) in &mut self.seen {
            if let Some(step) = seen.due_step(is_sole, now) {
                seen.is_recording = true;
                due.push((version.clone(), step));
            }
        }
        due
    }

    /// The only version that can have begun a stream; `None` if there are several.
    pub(crate) fn sole(&self, now: Instant) -> Option<&SoftwareVersion> {
        let mut recent = self.seen.iter().filter(|(_, seen)| seen.is_recent(now));
        let (version, _) = recent.next()?;
        recent.next().is_none().then_some(version)
    }

    /// Whether streams may begin at servers of a version: hosts with a recent view know it,
    /// or there is no other version with which a stream could be joined.
    pub(crate) fn may_begin(&self, version: &SoftwareVersion) -> bool {
        self.seen.len() == 1
            || (self.seen.get(version)).is_some_and(|seen| seen.state == VersionState::InUse)
    }

    /// Whether there is a version at which no streams may begin yet.
    pub(crate) fn has_held(&self) -> bool {
        self.seen.len() > 1 && (self.seen.values()).any(|seen| seen.state != VersionState::InUse)
    }

    /// The versions with whether streams may begin at them.
    pub(crate) fn listed(&self) -> impl Iterator<Item = (&SoftwareVersion, bool)> {
        self.seen
            .keys()
            .map(|version| (version, self.may_begin(version)))
    }
}
