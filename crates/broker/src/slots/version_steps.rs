//! The versions of the servers: which steps have to be recorded, and what hosts are told.

use super::SlotBroker;
use crate::request::BrokerEvent;
use crate::streams::STREAM_MEMORY;
use crate::versions::{ListedVersion, VersionList, VersionRecord};
use chicoryladder_types::{ServiceName, SoftwareVersion};
use std::time::Instant;

impl SlotBroker {
    /// Takes over the recorded versions from an earlier broker. If its records are not
    /// complete, a stream can be of a version that nobody remembers, until it is too old.
    pub fn restore_versions(&mut self, records: &[VersionRecord], is_complete: bool, now: Instant) {
        for record in records {
            self.apply_version(record, now);
        }
        self.versions_complete_at = (!is_complete).then(|| now + STREAM_MEMORY);
    }

    /// Applies a step that was recorded, and gives out the slots that it opens.
    pub fn confirm_version(&mut self, record: &VersionRecord, now: Instant) {
        self.apply_version(record, now);
        self.dispatch(&record.service, now);
    }

    fn apply_version(&mut self, record: &VersionRecord, now: Instant) {
        let pool = self.pool(&record.service);
        pool.versions.apply(&record.version, record.step, now);
        self.note_versions();
    }

    /// Makes a step due again that could not be recorded.
    pub fn retry_version(&mut self, record: &VersionRecord) {
        self.pool(&record.service).versions.retry(&record.version);
    }

    /// Records that a server of a service has a version.
    pub(super) fn observe_version(
        &mut self,
        service: &ServiceName,
        version: &SoftwareVersion,
        now: Instant,
    ) {
        if self.pool(service).versions.record(version, now) {
            self.note_versions();
        }
    }

    /// Reports the steps that are due.
    pub(super) fn report_version_steps(&mut self, now: Instant) {
        for (service, pool) in &mut self.services {
            for (version, step) in pool.versions.take_due(now) {
                let service = service.clone();
                self.events.push(BrokerEvent::VersionStep(VersionRecord {
                    service,
                    version,
                    step,
                }));
            }
        }
    }

    /// Records that the list of versions has changed.
    pub(super) fn note_versions(&mut self) {
        self.directory_version += 1;
        self.versions_number += 1;
    }

    /// The number of the list of versions, which changes with it.
    #[must_use]
    pub fn versions_number(&self) -> u64 {
        self.versions_number
    }

    /// The versions that can have begun a stream, or will soon.
    #[must_use]
    pub fn version_list(&self) -> VersionList {
        let listed = self.services.iter().flat_map(|(service, pool)| {
            let listed = pool.versions.listed();
            listed.map(|(version, may_begin)| ListedVersion {
                service: service.clone(),
                version: version.clone(),
                may_begin,
            })
        });
        VersionList(listed.collect())
    }
}
