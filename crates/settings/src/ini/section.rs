//! Reads the entries of one section into checked values.

use super::{IniEntry, IniSection, TextPlace};
use crate::fault::SettingsFault;
use crate::value::SettingValue;

/// Reads one section, and reports the keys that nobody asked for.
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

    /// The place of the section's header.
    pub(crate) fn place(&self) -> TextPlace {
        self.section.place
    }

    /// The place of a key, or of the header where the key is absent.
    pub(crate) fn place_of(&self, key: &str) -> TextPlace {
        self.entry(key)
            .map_or(self.section.place, |entry| entry.place)
    }

    /// Adds a fault at `key`.
    pub(crate) fn fault_at(
        &mut self,
        key: &str,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let fault = self.place_of(key).fault(problem, remedy);
        self.faults.push(fault);
    }

    /// A value that must be present.
    pub(crate) fn required<T: SettingValue>(&mut self, key: &'static str) -> Option<T> {
        self.known_keys.push(key);
        if self.entry(key).is_none() {
            let header = &self.section.header;
            let problem = format!("section [{header}] lacks the key `{key}`");
            let remedy = format!("add `{key} = {}`", T::EXPECTED);
            self.faults.push(self.section.place.fault(problem, remedy));
            return None;
        }
        self.value(key)
    }

    /// A value that may be absent.
    pub(crate) fn optional<T: SettingValue>(&mut self, key: &'static str) -> Option<T> {
        self.known_keys.push(key);
        self.value(key)
    }

    /// A value that may be absent; `default` stands in for it.
    pub(crate) fn or_default<T: SettingValue>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Reports the entries under unknown keys.
    pub(crate) fn finish(self) {
        for entry in &self.section.entries {
            if self.known_keys.contains(&entry.key.as_str()) {
                continue;
            }
            let header = &self.section.header;
            let problem = format!("section [{header}] has no key `{}`", entry.key);
            let remedy = format!("known keys are: {}", self.known_keys.join(", "));
            self.faults.push(entry.place.fault(problem, remedy));
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
                self.faults.push(entry.place.fault(problem, remedy));
                None
            }
        }
    }
}
