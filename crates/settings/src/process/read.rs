//! Parses process settings.

use super::{
    ControlSettings, FeatureSet, ProcessAddresses, ProcessIdentity, ProcessSettings, ServiceBounds,
};
use crate::fault::SettingsReport;
use crate::ini::{SectionTable, split_sections};
use crate::machine::MachineLimits;
use crate::value::{AmountValue, MillisValue, ValueList, WholeNumber, ZoneArea};
use chicoryladder_types::AreaName;
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The default bound on key withdrawal. Callers expect a withdrawn key to stop
/// working within seconds.
const DEFAULT_KEY_WITHDRAWAL: Duration = Duration::from_secs(5);

/// The default bound on plan changes. A change is required to be in force on all
/// hosts within seconds.
const DEFAULT_PLAN_APPLIES: Duration = Duration::from_secs(2);

/// The default bound on draining a server. A leaving server is required to get no
/// new work after a few seconds.
const DEFAULT_SERVER_DRAIN: Duration = Duration::from_secs(2);

/// The default check-in interval, which is that of announcements in the native
/// server API.
const DEFAULT_CHECK_IN_INTERVAL: Duration = Duration::from_secs(1);

/// The default drain timeout, the same as that of `[shutdown]` in host settings.
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The default job retention: one hour, so that a caller that was disconnected
/// still finds its results.
const DEFAULT_JOB_RETENTION: Duration = Duration::from_secs(3_600);

/// The default rate window, which covers several refills of a token bucket.
const DEFAULT_RATE_WINDOW: Duration = Duration::from_secs(5);

/// The default excess over the rate of a cold server. Requests that were granted evenly may
/// arrive unevenly.
const DEFAULT_COLD_OVERSHOOT: f64 = 1.5;

/// The default number of requests a second beyond that.
const DEFAULT_COLD_SLACK: f64 = 5.0;

/// The default number of tolerated losses, for consensus groups of three voters.
const DEFAULT_TOLERATED_LOSSES: u64 = 1;

/// A number of tolerated losses; the maximum of four requires nine voters.
type LossCount = WholeNumber<0, 4>;

const SECTIONS: &[&str] = &[
    "host", "listen", "control", "data", "promises", "zones", "features", "limits",
];

impl ProcessSettings {
    /// Parses settings; `name` identifies `text` in reports.
    ///
    /// # Errors
    ///
    /// Fails with all faults in the text.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsReport> {
        let mut faults = Vec::new();
        let sections = split_sections(text, &mut faults);
        let mut reader = ProcessReader {
            sections: SectionTable::new(&sections, SECTIONS, &mut faults),
        };
        match reader.settings() {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(SettingsReport::new(name, text, faults)),
        }
    }
}

struct ProcessReader<'a> {
    sections: SectionTable<'a>,
}

impl ProcessReader<'_> {
    fn settings(&mut self) -> Option<ProcessSettings> {
        // All sections are read before a missing one ends the function, so that
        // the report is complete.
        let host = self.host();
        let listen = self.listen();
        let control = self.control();
        let data_folder = self.data();
        let bounds = self.bounds();
        let areas = self.areas();
        let features = self.features();
        let machine = self.machine();
        Some(ProcessSettings {
            host: host?,
            listen: listen?,
            control: control?,
            data_folder,
            bounds,
            areas,
            features,
            machine,
        })
    }

    fn host(&mut self) -> Option<ProcessIdentity> {
        let mut section = self.sections.required("host")?;
        let name = section.required("name");
        let zone = section.required("zone");
        let log_level = section.or_default("log_level", log::LevelFilter::Info);
        section.finish();
        Some(ProcessIdentity {
            name: name?,
            zone: zone?,
            log_level,
        })
    }

    fn listen(&mut self) -> Option<ProcessAddresses> {
        let mut section = self.sections.required("listen")?;
        let peers = section.required("peers");
        // All keys are read before a missing one ends the function. The value of `peers`
        // here is a placeholder that is replaced below.
        let addresses = ProcessAddresses {
            peers: SocketAddr::from(([0, 0, 0, 0], 0)),
            peers_bind: section.optional("peers_bind"),
            callers: section.optional("callers"),
            readiness: section.optional("readiness"),
            control: section.optional("control"),
            metrics: section.optional("metrics"),
            servers_from: section.optional("servers_from"),
        };
        section.finish();
        Some(ProcessAddresses {
            peers: peers?,
            ..addresses
        })
    }

    fn control(&mut self) -> Option<ControlSettings> {
        let mut section = self.sections.required("control")?;
        let seeds = section.required::<ValueList<SocketAddr>>("seeds");
        let first_start = section.or_default("first_start", false);
        let losses =
            section.or_default::<LossCount>("losses_borne", WholeNumber(DEFAULT_TOLERATED_LOSSES));
        section.finish();
        Some(ControlSettings {
            seeds: seeds?.0,
            first_start,
            tolerated_losses: u32::try_from(losses.0).unwrap_or_default(),
        })
    }

    fn data(&mut self) -> Option<PathBuf> {
        let mut section = self.sections.optional("data")?;
        let folder = section.required("folder");
        section.finish();
        folder
    }

    fn areas(&mut self) -> BTreeMap<ZoneName, AreaName> {
        let Some(mut section) = self.sections.optional("zones") else {
            return BTreeMap::new();
        };
        let areas: Option<ValueList<ZoneArea>> = section.optional("areas");
        section.finish();
        let areas = areas.into_iter().flat_map(|list| list.0);
        areas.map(|ZoneArea { zone, area }| (zone, area)).collect()
    }

    fn features(&mut self) -> FeatureSet {
        let Some(mut section) = self.sections.optional("features") else {
            return FeatureSet::default();
        };
        let names: Option<ValueList<String>> = section.optional("names");
        section.finish();
        names.into_iter().flat_map(|list| list.0).collect()
    }

    fn machine(&mut self) -> MachineLimits {
        MachineLimits::read(&mut self.sections)
    }

    fn bounds(&mut self) -> ServiceBounds {
        let mut bounds = ServiceBounds {
            key_withdrawal: DEFAULT_KEY_WITHDRAWAL,
            plan_applies: DEFAULT_PLAN_APPLIES,
            server_drain: DEFAULT_SERVER_DRAIN,
            check_in_interval: DEFAULT_CHECK_IN_INTERVAL,
            drain_timeout: DEFAULT_DRAIN_TIMEOUT,
            rate_slack: 0.0,
            rate_overshoot: 0.0,
            rate_window: DEFAULT_RATE_WINDOW,
            job_retention: DEFAULT_JOB_RETENTION,
            cold_overshoot: DEFAULT_COLD_OVERSHOOT,
            cold_slack: DEFAULT_COLD_SLACK,
        };
        let Some(mut section) = self.sections.optional("promises") else {
            return bounds;
        };
        let mut millis = |key, value: &mut Duration| {
            *value = section.or_default(key, MillisValue(*value)).0;
        };
        millis("key_withdrawal_ms", &mut bounds.key_withdrawal);
        millis("plan_applies_ms", &mut bounds.plan_applies);
        millis("server_drain_ms", &mut bounds.server_drain);
        millis("check_in_interval_ms", &mut bounds.check_in_interval);
        let mut seconds = |key, value: &mut Duration| {
            let amount: Option<AmountValue> = section.optional(key);
            if let Some(AmountValue(amount)) = amount {
                *value = Duration::from_secs_f64(amount);
            }
        };
        seconds("drain_timeout_s", &mut bounds.drain_timeout);
        seconds("job_retention_s", &mut bounds.job_retention);
        seconds("rate_window_s", &mut bounds.rate_window);
        let slack = section.or_default("rate_slack", AmountValue(bounds.rate_slack));
        let overshoot = section.or_default("rate_overshoot", AmountValue(0.0));
        bounds.rate_slack = slack.0;
        bounds.rate_overshoot = overshoot.0;
        let mut amount = |key, value: &mut f64| {
            *value = section.or_default(key, AmountValue(*value)).0;
        };
        amount("cold_overshoot", &mut bounds.cold_overshoot);
        amount("cold_slack", &mut bounds.cold_slack);
        section.finish();
        bounds
    }
}
