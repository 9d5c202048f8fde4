//! Parses and validates experiment files.

use super::section::SectionReader;
use super::{
    ExperimentError, ExperimentFault, ExperimentTeam, FleetPlan, LoadExperiment, LoadStream,
    StreamWork,
};
use crate::load::arrivals::ArrivalPlan;
use crate::load::trace::{TraceArrival, parse_trace};
use chicoryladder_types::TeamName;
use ini::{Ini, Properties};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

const DEFAULT_DURATION: Duration = Duration::from_secs(10);
const DEFAULT_DRAIN: Duration = Duration::from_secs(10);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_IN_FLIGHT_MAX: usize = 4_096;
const DEFAULT_BURST_PERIOD: Duration = Duration::from_secs(1);
const DEFAULT_DECODE_STEP: Duration = Duration::from_millis(5);
const DEFAULT_PREFILL_PER_TOKEN_US: u64 = 20;

/// The rate limit of a team whose section sets none.
const DEFAULT_RATE_PER_S: f64 = 10_000.0;
const DEFAULT_BURST: u32 = 10_000;

/// The longest warm-up, run and drain time, so that an unattended run ends.
const DURATION_MAX: Duration = Duration::from_secs(600);

impl LoadExperiment {
    /// Reads an experiment file; paths of trace files are relative to its folder.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not INI, or with every fault of the text.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let text = read_text(path)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        Self::parse(&text, folder)
    }

    /// Parses the text of an experiment; paths of trace files are relative to
    /// `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not INI, or with every fault of the text; an unreadable
    /// trace file is such a fault.
    pub fn parse(text: &str, folder: &Path) -> Result<Self, ExperimentError> {
        let ini = Ini::load_from_str_noescape(text)?;
        let mut reader = ExperimentReader {
            folder,
            faults: Vec::new(),
            experiment: empty_experiment(),
        };
        for (header, entries) in &ini {
            reader.read_section(header.unwrap_or_default(), entries);
        }
        reader.finish()
    }
}

fn read_text(path: &Path) -> Result<String, ExperimentError> {
    fs::read_to_string(path).map_err(|source| ExperimentError::Unreadable {
        path: path.to_owned(),
        source,
    })
}

fn empty_experiment() -> LoadExperiment {
    LoadExperiment {
        purpose: String::new(),
        seed: 0,
        warmup: Duration::ZERO,
        duration: DEFAULT_DURATION,
        drain: DEFAULT_DRAIN,
        in_flight_max: DEFAULT_IN_FLIGHT_MAX,
        first_target_percent: None,
        baseline: None,
        fleet: FleetPlan {
            engines_per_zone: 1,
            slots: 8,
            decode_step: DEFAULT_DECODE_STEP,
            prefill_per_token: Duration::from_micros(DEFAULT_PREFILL_PER_TOKEN_US),
        },
        teams: BTreeMap::new(),
        streams: Vec::new(),
    }
}

struct ExperimentReader<'a> {
    folder: &'a Path,
    faults: Vec<ExperimentFault>,
    experiment: LoadExperiment,
}

impl ExperimentReader<'_> {
    fn read_section(&mut self, header: &str, entries: &Properties) {
        let folder = self.folder;
        let mut section = SectionReader::new(header, entries, &mut self.faults);
        match header.split_once(' ') {
            None if header == "experiment" => read_experiment(&mut self.experiment, &mut section),
            None if header == "fleet" => read_fleet(&mut self.experiment.fleet, &mut section),
            None if header.is_empty() && entries.is_empty() => {}
            Some(("team", name)) => match TeamName::try_from(name.trim()) {
                Ok(name) => {
                    let team = read_team(&mut section);
                    self.experiment.teams.insert(name, team);
                }
                Err(error) => section.fault(error.to_string()),
            },
            Some(("stream", name)) => {
                let stream = read_stream(name.trim(), folder, &mut section);
                self.experiment.streams.extend(stream);
            }
            _ => section
                .fault("unknown section; known sections are: experiment, fleet, team, stream"),
        }
        section.finish();
    }

    fn finish(mut self) -> Result<LoadExperiment, ExperimentError> {
        for stream in &self.experiment.streams {
            if !self.experiment.teams.contains_key(&stream.team) {
                self.faults.push(ExperimentFault {
                    section: format!("stream {}", stream.name),
                    problem: format!("there is no section [team {}]", stream.team),
                });
            }
        }
        if self.faults.is_empty() {
            Ok(self.experiment)
        } else {
            Err(ExperimentError::Invalid(self.faults))
        }
    }
}

fn read_experiment(experiment: &mut LoadExperiment, section: &mut SectionReader<'_>) {
    section
        .text("purpose")
        .unwrap_or_default()
        .clone_into(&mut experiment.purpose);
    experiment.seed = section.or_default("seed", 0);
    experiment.warmup = section.millis("warmup_ms", Duration::ZERO);
    experiment.duration = section.millis("duration_ms", DEFAULT_DURATION);
    experiment.drain = section.millis("drain_ms", DEFAULT_DRAIN);
    experiment.in_flight_max = section.or_default("in_flight_max", DEFAULT_IN_FLIGHT_MAX);
    experiment.first_target_percent = section.optional("first_target_percent");
    experiment.baseline = section.text("baseline").map(PathBuf::from);
    let times = [experiment.warmup, experiment.duration, experiment.drain];
    if times.iter().any(|time| *time > DURATION_MAX) {
        let limit = DURATION_MAX.as_millis();
        section.fault(format!(
            "`warmup_ms`, `duration_ms` and `drain_ms` are at most {limit}"
        ));
    }
    if experiment
        .first_target_percent
        .is_some_and(|share| share > 100)
    {
        section.fault("`first_target_percent` is at most 100");
    }
}

fn read_fleet(fleet: &mut FleetPlan, section: &mut SectionReader<'_>) {
    fleet.engines_per_zone = section.or_default("engines_per_zone", fleet.engines_per_zone);
    fleet.slots = section.or_default("slots", fleet.slots);
    fleet.decode_step = section.millis("decode_step_ms", fleet.decode_step);
    let prefill_us = section.or_default("prefill_per_token_us", DEFAULT_PREFILL_PER_TOKEN_US);
    fleet.prefill_per_token = Duration::from_micros(prefill_us);
}

fn read_team(section: &mut SectionReader<'_>) -> ExperimentTeam {
    ExperimentTeam {
        key: section.text("key").map(str::to_owned),
        rate_per_s: section.rate("rate_per_s", DEFAULT_RATE_PER_S),
        burst: section.or_default("burst", DEFAULT_BURST),
    }
}

fn read_stream(name: &str, folder: &Path, section: &mut SectionReader<'_>) -> Option<LoadStream> {
    let team = section.required_name("team");
    let class = section.name("class");
    let arrivals = read_arrivals(folder, section);
    let work = read_work(section);
    let timeout = section.millis("timeout_ms", DEFAULT_TIMEOUT);
    Some(LoadStream {
        name: name.to_owned(),
        team: team?,
        class,
        arrivals: arrivals?,
        work: work?,
        timeout,
    })
}

fn read_arrivals(folder: &Path, section: &mut SectionReader<'_>) -> Option<ArrivalPlan> {
    match section.text("arrivals") {
        Some("poisson") => Some(ArrivalPlan::Poisson {
            rate_per_s: section.rate("rate_per_s", 0.0),
        }),
        Some("bursts") => {
            let period = section.millis("burst_period_ms", DEFAULT_BURST_PERIOD);
            if period.is_zero() {
                section.fault("`burst_period_ms` must not be 0");
                return None;
            }
            Some(ArrivalPlan::Bursts {
                rate_per_s: section.rate("rate_per_s", 0.0),
                burst_size: section.or_default("burst_size", 1),
                period,
            })
        }
        Some("once") => Some(ArrivalPlan::Once),
        Some("trace") => read_trace(folder, section).map(ArrivalPlan::Trace),
        _ => {
            section.fault("`arrivals` must be poisson, bursts, once or trace");
            None
        }
    }
}

fn read_trace(folder: &Path, section: &mut SectionReader<'_>) -> Option<Vec<TraceArrival>> {
    let Some(file) = section.text("trace") else {
        section.fault("`trace` is missing");
        return None;
    };
    let text = match read_text(&folder.join(file)) {
        Ok(text) => text,
        Err(error) => {
            section.fault(error.to_string());
            return None;
        }
    };
    match parse_trace(&text) {
        Ok(trace) => Some(trace),
        Err(error) => {
            section.fault(format!("{file}: {error}"));
            None
        }
    }
}

fn read_work(section: &mut SectionReader<'_>) -> Option<StreamWork> {
    match section.text("work") {
        Some("chat") => Some(StreamWork::Chat {
            model: section.required_name("model")?,
            prompt_tokens: section.or_default("prompt_tokens", 64),
            shared_tokens: section.or_default("shared_tokens", 0),
            output_tokens: section.or_default("output_tokens", 16),
            streamed: section.flag("streamed", true),
        }),
        Some("service") => Some(StreamWork::Service {
            service: section.required_name("service")?,
            path: section.text("path").unwrap_or_default().to_owned(),
        }),
        Some("batch") => Some(StreamWork::Batch {
            model: section.required_name("model")?,
            items: section.or_default("items", 100),
            bad_items: section.or_default("bad_items", 0),
            prompt_tokens: section.or_default("prompt_tokens", 64),
            output_tokens: section.or_default("output_tokens", 16),
        }),
        _ => {
            section.fault("`work` must be chat, service or batch");
            None
        }
    }
}
