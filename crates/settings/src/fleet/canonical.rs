//! Formats a fleet document as its canonical text.

use super::{ClassTarget, FleetDocument, FleetRoute, TeamTerms, WorkClass};
use std::collections::BTreeMap;
use std::fmt;

/// The entries of one section, in the order of the canonical text.
pub(super) type SectionEntries = Vec<(&'static str, String)>;

impl FleetDocument {
    /// The sections of the canonical text, by header.
    pub(super) fn canonical_sections(&self) -> BTreeMap<String, SectionEntries> {
        let classes = self
            .classes
            .iter()
            .map(|(name, class)| (format!("class {name}"), class_entries(class)));
        let teams = self
            .teams
            .iter()
            .map(|(name, team)| (format!("team {name}"), team_entries(team)));
        let routes = self
            .routes
            .iter()
            .map(|(name, route)| (format!("route {name}"), route_entries(route)));
        classes.chain(teams).chain(routes).collect()
    }
}

impl fmt::Display for FleetDocument {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (header, entries)) in self.canonical_sections().iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            writeln!(f, "[{header}]")?;
            for (key, value) in entries {
                writeln!(f, "{key} = {value}")?;
            }
        }
        Ok(())
    }
}

fn class_entries(class: &WorkClass) -> SectionEntries {
    let mut entries = match class.target {
        ClassTarget::Online(target) => vec![
            ("kind", "online".to_owned()),
            ("first_token_ms", target.first_token.as_millis().to_string()),
            ("answer_ms", target.answer.as_millis().to_string()),
            ("percentile", target.percentile.to_string()),
        ],
        ClassTarget::Batch(target) => vec![
            ("kind", "batch".to_owned()),
            (
                "finish_within_s",
                target.finish_within.as_secs().to_string(),
            ),
        ],
    };
    if let Some(limit) = class.queue_max {
        entries.push(("queue_max", limit.to_string()));
    }
    entries
}

fn team_entries(team: &TeamTerms) -> SectionEntries {
    vec![
        ("rate", team.rate.to_string()),
        ("burst", team.burst.to_string()),
        ("share", team.share.to_string()),
        ("serve_through_cut", format_bool(team.serve_through_cut)),
    ]
}

fn route_entries(route: &FleetRoute) -> SectionEntries {
    vec![
        ("path", route.path.clone()),
        ("methods", format_list(&route.methods)),
        ("to", route.target.to_string()),
        ("classes", format_list(&route.classes)),
        ("open", format_bool(route.open)),
        ("idempotent", format_bool(route.idempotent)),
    ]
}

fn format_bool(value: bool) -> String {
    let text = if value { "yes" } else { "no" };
    text.to_owned()
}

fn format_list<T: ToString>(values: &[T]) -> String {
    let texts: Vec<String> = values.iter().map(ToString::to_string).collect();
    texts.join(", ")
}
