//! Parses and validates a fleet document.

use super::route::RoutePath;
use super::{
    BatchTarget, ClassTarget, FleetDocument, FleetRoute, OnlineTarget, RouteMethod, TeamTerms,
    WorkClass,
};
use crate::fault::{SettingsFault, SettingsReport};
use crate::ini::{IniSection, SectionReader, split_sections};
use crate::value::{MillisValue, SecondsValue, SettingValue, ValueList, WholeNumber};
use chicoryladder_types::RouteName;
use chicoryladder_types::prelude::*;
use std::str::FromStr;

type CountValue = WholeNumber<1, { u32::MAX as u64 }>;
type PercentileValue = WholeNumber<1, 99>;

/// The default percentile of an online class.
const DEFAULT_PERCENTILE: u64 = 95;

/// The default share of a team.
const DEFAULT_SHARE: u64 = 1;

impl FleetDocument {
    /// Parses a document; `name` identifies `text` in reports.
    ///
    /// # Errors
    ///
    /// Fails with all faults in the text.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsReport> {
        let mut faults = Vec::new();
        let sections = split_sections(text, &mut faults);
        let mut document = Self::default();
        for section in &sections {
            read_section(section, &mut document, &mut faults);
        }
        check_routes(&sections, &document, &mut faults);
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(SettingsReport::new(name, text, faults))
        }
    }
}

impl FromStr for FleetDocument {
    type Err = SettingsReport;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::parse("fleet document", text)
    }
}

fn read_section(
    section: &IniSection,
    document: &mut FleetDocument,
    faults: &mut Vec<SettingsFault>,
) {
    let (kind, name) = section
        .header
        .split_once(' ')
        .unwrap_or((&section.header, ""));
    let name = name.trim();
    match kind {
        "class" => {
            let class = read_class(SectionReader::new(section, faults));
            insert_named(section, name, class, &mut document.classes, faults);
        }
        "team" => {
            let team = read_team(SectionReader::new(section, faults));
            insert_named(section, name, team, &mut document.teams, faults);
        }
        "route" => {
            let route = read_route(SectionReader::new(section, faults));
            insert_named(section, name, route, &mut document.routes, faults);
        }
        _ => {
            let problem = format!("there is no section [{}]", section.header);
            let remedy = "write [class NAME], [team NAME] or [route NAME]";
            faults.push(section.location.fault(problem, remedy));
        }
    }
}

fn insert_named<K, V>(
    section: &IniSection,
    name: &str,
    value: Option<V>,
    values: &mut std::collections::BTreeMap<K, V>,
    faults: &mut Vec<SettingsFault>,
) where
    K: Ord + for<'a> TryFrom<&'a str, Error = chicoryladder_types::NameError>,
{
    let key = match K::try_from(name) {
        Ok(key) => key,
        Err(error) => {
            let remedy = "write the name after the kind, such as [team NAME]";
            faults.push(section.location.fault(error.to_string(), remedy));
            return;
        }
    };
    if let Some(value) = value {
        values.insert(key, value);
    }
}

/// The kind of a class.
enum KindValue {
    Online,
    Batch,
}

impl SettingValue for KindValue {
    const EXPECTED: &'static str = "online | batch";

    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "online" => Ok(Self::Online),
            "batch" => Ok(Self::Batch),
            _ => Err(format!("`{text}` is neither `online` nor `batch`")),
        }
    }
}

fn read_class(mut section: SectionReader<'_>) -> Option<WorkClass> {
    let kind = section.required::<KindValue>("kind");
    let queue_max = section.optional::<CountValue>("queue_max");
    let target = match kind {
        Some(KindValue::Online) => read_online(&mut section).map(ClassTarget::Online),
        Some(KindValue::Batch) => read_batch(&mut section).map(ClassTarget::Batch),
        // Without a kind it is unknown which keys are valid.
        None => return None,
    };
    section.finish();
    Some(WorkClass {
        target: target?,
        queue_max: queue_max.map(to_u32),
    })
}

fn read_online(section: &mut SectionReader<'_>) -> Option<OnlineTarget> {
    let first_token = section.required::<MillisValue>("first_token_ms");
    let answer = section.required::<MillisValue>("answer_ms");
    let percentile =
        section.or_default::<PercentileValue>("percentile", WholeNumber(DEFAULT_PERCENTILE));
    let first_token = first_token?.0;
    let answer = answer?.0;
    if first_token > answer {
        section.fault_at(
            "first_token_ms",
            "the first token is due after the whole answer",
            "make `first_token_ms` at most `answer_ms`",
        );
    }
    Some(OnlineTarget {
        first_token,
        answer,
        percentile: u8::try_from(percentile.0).unwrap_or(u8::MAX),
    })
}

fn read_batch(section: &mut SectionReader<'_>) -> Option<BatchTarget> {
    let finish_within = section.required::<SecondsValue>("finish_within_s")?.0;
    Some(BatchTarget { finish_within })
}

fn read_team(mut section: SectionReader<'_>) -> Option<TeamTerms> {
    let rate = section.required("rate");
    let burst = section.required::<CountValue>("burst");
    let share = section.or_default::<CountValue>("share", WholeNumber(DEFAULT_SHARE));
    let serve_through_cut = section.or_default("serve_through_cut", false);
    section.finish();
    Some(TeamTerms {
        rate: rate?,
        burst: to_u32(burst?),
        share: to_u32(share),
        serve_through_cut,
    })
}

fn read_route(mut section: SectionReader<'_>) -> Option<FleetRoute> {
    let path = section.required::<RoutePath>("path");
    let methods = section.required::<ValueList<RouteMethod>>("methods");
    let target = section.required("to");
    let classes = section.required::<ValueList<ClassName>>("classes");
    let open = section.or_default("open", false);
    let idempotent = section.or_default("idempotent", false);
    section.finish();
    let mut methods = methods?.0;
    methods.sort();
    Some(FleetRoute {
        path: path?.0,
        methods,
        target: target?,
        classes: classes?.0,
        open,
        idempotent,
    })
}

/// Converts a count; the range of [`CountValue`] fits into 32 bits.
fn to_u32(count: CountValue) -> u32 {
    u32::try_from(count.0).unwrap_or(u32::MAX)
}

/// Checks the classes of each route, and that no two routes overlap.
fn check_routes(
    sections: &[IniSection],
    document: &FleetDocument,
    faults: &mut Vec<SettingsFault>,
) {
    for section in sections {
        let Some(name) = section.header.strip_prefix("route ") else {
            continue;
        };
        let Ok(name) = RouteName::try_from(name.trim()) else {
            continue;
        };
        if let Some(route) = document.routes.get(&name) {
            let mut reader = SectionReader::new(section, faults);
            check_classes(route, sections, &mut reader);
            check_overlap(&name, route, document, &mut reader);
        }
    }
}

fn check_classes(route: &FleetRoute, sections: &[IniSection], reader: &mut SectionReader<'_>) {
    for class in &route.classes {
        let header = format!("class {class}");
        if !sections.iter().any(|section| section.header == header) {
            let remedy = format!("add a section [{header}], or correct the name");
            reader.fault_at("classes", format!("there is no class `{class}`"), remedy);
        }
    }
}

fn check_overlap(
    name: &RouteName,
    route: &FleetRoute,
    document: &FleetDocument,
    reader: &mut SectionReader<'_>,
) {
    for (other_name, other) in document.routes.range(..name) {
        let shared = |method: &&RouteMethod| other.methods.contains(method);
        if other.path == route.path
            && let Some(method) = route.methods.iter().find(shared)
        {
            let problem = format!("route `{other_name}` takes {method} on this path too");
            reader.fault_at("path", problem, "give each path and method to one route");
        }
    }
}
