//! Compares two fleet documents.

use super::FleetDocument;
use super::canonical::SectionEntries;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// One difference between two fleet documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum DocumentChange {
    /// A section exists only in the newer document.
    Added {
        /// The header of the section.
        section: String,
    },
    /// A section exists only in the older document.
    Removed {
        /// The header of the section.
        section: String,
    },
    /// The value of a key was added, changed or removed.
    Changed {
        /// The header of the section.
        section: String,
        /// The key.
        key: String,
        /// The older value; `None` if the key was added.
        before: Option<String>,
        /// The newer value; `None` if the key was removed.
        after: Option<String>,
    },
}

impl fmt::Display for DocumentChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unset = "(unset)";
        match self {
            Self::Added { section } => write!(f, "+ [{section}]"),
            Self::Removed { section } => write!(f, "- [{section}]"),
            Self::Changed {
                section,
                key,
                before,
                after,
            } => {
                let before = before.as_deref().unwrap_or(unset);
                let after = after.as_deref().unwrap_or(unset);
                write!(f, "~ [{section}] {key}: {before} -> {after}")
            }
        }
    }
}

impl FleetDocument {
    /// Lists the changes from this document to `newer`: first the removed and changed
    /// sections, then the added ones, each in order of their headers.
    #[must_use]
    pub fn diff(&self, newer: &Self) -> Vec<DocumentChange> {
        let older_sections = self.canonical_sections();
        let newer_sections = newer.canonical_sections();
        let mut changes = Vec::new();
        for (section, before) in &older_sections {
            match newer_sections.get(section) {
                Some(after) => compare_entries(section, before, after, &mut changes),
                None => changes.push(DocumentChange::Removed {
                    section: section.clone(),
                }),
            }
        }
        for section in newer_sections.keys() {
            if !older_sections.contains_key(section) {
                changes.push(DocumentChange::Added {
                    section: section.clone(),
                });
            }
        }
        changes
    }
}

fn compare_entries(
    section: &str,
    older: &SectionEntries,
    newer: &SectionEntries,
    changes: &mut Vec<DocumentChange>,
) {
    let before: BTreeMap<&str, &String> = older.iter().map(|(k, v)| (*k, v)).collect();
    let after: BTreeMap<&str, &String> = newer.iter().map(|(k, v)| (*k, v)).collect();
    let mut keys: Vec<&str> = before.keys().chain(after.keys()).copied().collect();
    keys.sort_unstable();
    keys.dedup();
    for key in keys {
        if before.get(key) != after.get(key) {
            changes.push(DocumentChange::Changed {
                section: section.to_owned(),
                key: key.to_owned(),
                before: before.get(key).copied().cloned(),
                after: after.get(key).copied().cloned(),
            });
        }
    }
}
