//! Reads the entries of one section and reports unknown keys.

use super::ExperimentFault;
use ini::Properties;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

pub(super) struct SectionReader<'a> {
    header: &'a str,
    entries: &'a Properties,
    known_keys: Vec<&'static str>,
    faults: &'a mut Vec<ExperimentFault>,
}

impl<'a> SectionReader<'a> {
    pub(super) fn new(
        header: &'a str,
        entries: &'a Properties,
        faults: &'a mut Vec<ExperimentFault>,
    ) -> Self {
        Self {
            header,
            entries,
            known_keys: Vec::new(),
            faults,
        }
    }

    pub(super) fn fault(&mut self, problem: impl Into<String>) {
        self.faults.push(ExperimentFault {
            section: self.header.to_owned(),
            problem: problem.into(),
        });
    }

    /// Returns the value of a key as text, and marks the key as known.
    pub(super) fn text(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.push(key);
        self.entries.get(key)
    }

    /// Parses an optional value; an invalid one is reported and counts as absent.
    pub(super) fn optional<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.text(key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(format!("`{key} = {text}`: {error}"));
                None
            }
        }
    }

    pub(super) fn or_default<T>(&mut self, key: &'static str, default: T) -> T
    where
        T: FromStr<Err: Display>,
    {
        self.optional(key).unwrap_or(default)
    }

    /// Parses an optional name; an invalid one is reported and counts as absent.
    pub(super) fn name<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: TryFrom<&'a str, Error: Display>,
    {
        let text = self.text(key)?;
        match T::try_from(text) {
            Ok(name) => Some(name),
            Err(error) => {
                self.fault(format!("`{key} = {text}`: {error}"));
                None
            }
        }
    }

    /// Parses a name that must be present.
    pub(super) fn required_name<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: TryFrom<&'a str, Error: Display>,
    {
        if self.entries.get(key).is_none() {
            self.fault(format!("`{key}` is missing"));
        }
        self.name(key)
    }

    pub(super) fn millis(&mut self, key: &'static str, default: Duration) -> Duration {
        self.optional(key).map_or(default, Duration::from_millis)
    }

    /// Parses a rate, which must be finite and not negative.
    pub(super) fn rate(&mut self, key: &'static str, default: f64) -> f64 {
        let rate = self.or_default(key, default);
        if rate.is_finite() && rate >= 0.0 {
            return rate;
        }
        self.fault(format!(
            "`{key} = {rate}`: a rate must be finite and not negative"
        ));
        default
    }

    /// Parses a flag, `yes` or `no`.
    pub(super) fn flag(&mut self, key: &'static str, default: bool) -> bool {
        match self.text(key) {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(text) => {
                self.fault(format!("`{key} = {text}` is neither `yes` nor `no`"));
                default
            }
        }
    }

    /// Reports the entries under unknown keys.
    pub(super) fn finish(mut self) {
        for (key, _) in self.entries {
            if !self.known_keys.contains(&key) {
                let known = self.known_keys.join(", ");
                self.fault(format!("`{key}` is unknown; known keys are: {known}"));
            }
        }
    }
}
