//! Parses the entries of one section into validated values.

use super::{IniEntry, IniSection, TextLocation};
use crate::fault::SettingsFault;
use crate::value::SettingValue;

/// Reads the entries of one section, and reports the keys that were never read.
pub(crate) struct SectionReader<'a> {
    section: &'a IniSection,
    known_keys: Vec<&'static str>,
    faults: &'a mut Vec<SettingsFault>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(section: &'a IniSection, faults: &'a mut Vec<SettingsFault>) -> Self {
        Self {
            section,
            known_keys: Vec::new(),
            faults,
        }
    }

    /// The location of the section's header.
    pub(crate) fn location(&self) -> TextLocation {
        self.section.location
    }

    /// The location of a key, or of the header if the key is missing.
    pub(crate) fn location_of(&self, key: &str) -> TextLocation {
        self.entry(key)
            .map_or(self.section.location, |entry| entry.location)
    }

    /// Reports a fault at the location of `key`.
    pub(crate) fn fault_at(
        &mut self,
        key: &str,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let fault = self.location_of(key).fault(problem, remedy);
        self.faults.push(fault);
    }

    /// Reads a required value.
    pub(crate) fn required<T: SettingValue>(&mut self, key: &'static str) -> Option<T> {
        self.known_keys.push(key);
        if self.entry(key).is_none() {
            let header = &self.section.header;
            let problem = format!("section [{header}] lacks the key `{key}`");
            let remedy = format!("add `{key} = {}`", T::EXPECTED);
            self.faults
                .push(self.section.location.fault(problem, remedy));
            return None;
        }
        self.value(key)
    }

    /// Reads an optional value.
    pub(crate) fn optional<T: SettingValue>(&mut self, key: &'static str) -> Option<T> {
        self.known_keys.push(key);
        self.value(key)
    }

    /// Reads an optional value; returns `default` if it is missing or invalid.
    pub(crate) fn or_default<T: SettingValue>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Reports the entries with unknown keys, which are those that were not read.
    pub(crate) fn finish(self) {
        for entry in &self.section.entries {
            if self.known_keys.contains(&entry.key.as_str()) {
                continue;
            }
            let header = &self.section.header;
            let problem = format!("section [{header}] has no key `{}`", entry.key);
            let remedy = format!("known keys are: {}", self.known_keys.join(", "));
            self.faults.push(entry.location.fault(problem, remedy));
        }
    }

    fn entry(&self, key: &str) -> Option<&'a IniEntry> {
        self.section.entries.iter().find(|entry| entry.key == key)
    }

    fn value<T: SettingValue>(&mut self, key: &str) -> Option<T> {
        let entry = self.entry(key)?;
        match T::parse(&entry.value) {
            Ok(value) => Some(value),
            Err(problem) => {
                let problem = format!("`{key}`: {problem}");
                let remedy = format!("write `{key} = {}`", T::EXPECTED);
                self.faults.push(entry.location.fault(problem, remedy));
                None
            }
        }
    }
}
