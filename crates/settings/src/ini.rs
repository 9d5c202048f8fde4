//! Splits INI text into sections and entries with their locations.
//!
//! The grammar is that of `rust-ini` without escapes, quotes and continuation
//! lines. The library does not report line numbers and stops at the first fault,
//! so each line is parsed separately.

mod section;

pub(crate) use section::SectionReader;

use crate::fault::SettingsFault;
use ini::{Ini, ParseOption};
use miette::SourceSpan;

/// A location in the text.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TextLocation {
    /// The line, counted from 1.
    pub(crate) line: usize,
    /// The byte range of the line, without surrounding white space.
    pub(crate) span: SourceSpan,
}

impl TextLocation {
    pub(crate) fn fault(
        self,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> SettingsFault {
        SettingsFault {
            line: self.line,
            problem: problem.into(),
            remedy: remedy.into(),
            span: self.span,
        }
    }
}

/// One `key = value` entry.
#[derive(Clone, Debug)]
pub(crate) struct IniEntry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) location: TextLocation,
}

/// One `[header]` with its entries.
#[derive(Clone, Debug)]
pub(crate) struct IniSection {
    pub(crate) header: String,
    pub(crate) location: TextLocation,
    pub(crate) entries: Vec<IniEntry>,
}

/// The sections of one text, accessed by header.
pub(crate) struct SectionTable<'a> {
    sections: &'a [IniSection],
    faults: &'a mut Vec<SettingsFault>,
}

impl<'a> SectionTable<'a> {
    /// Wraps the sections of a text; reports those that are not in `known`.
    pub(crate) fn new(
        sections: &'a [IniSection],
        known: &[&str],
        faults: &'a mut Vec<SettingsFault>,
    ) -> Self {
        for section in sections {
            if !known.contains(&section.header.as_str()) {
                let problem = format!("there is no section [{}]", section.header);
                let remedy = format!("known sections are: {}", known.join(", "));
                faults.push(section.location.fault(problem, remedy));
            }
        }
        Self { sections, faults }
    }

    /// Returns a section with its unparsed entries.
    pub(crate) fn raw(&self, header: &str) -> Option<&'a IniSection> {
        self.sections.iter().find(|s| s.header == header)
    }

    /// Adds a fault.
    pub(crate) fn report(&mut self, fault: SettingsFault) {
        self.faults.push(fault);
    }

    /// Returns a reader for an optional section.
    pub(crate) fn optional(&mut self, header: &str) -> Option<SectionReader<'_>> {
        let section = self.raw(header)?;
        Some(SectionReader::new(section, self.faults))
    }

    /// Returns a reader for a required section; reports it if it is missing.
    pub(crate) fn required(&mut self, header: &str) -> Option<SectionReader<'_>> {
        if self.raw(header).is_none() {
            let start = TextLocation {
                line: 1,
                span: SourceSpan::from((0, 0)),
            };
            let problem = format!("the section [{header}] is missing");
            let remedy = format!("add a section `[{header}]`");
            self.report(start.fault(problem, remedy));
        }
        self.optional(header)
    }
}

enum IniLine {
    Blank,
    Header(String),
    Entry(String, String),
}

/// Splits `text` into sections; malformed lines are reported in `faults`.
pub(crate) fn split_sections(text: &str, faults: &mut Vec<SettingsFault>) -> Vec<IniSection> {
    let mut sections: Vec<IniSection> = Vec::new();
    for (location, line) in numbered_lines(text) {
        match parse_line(line) {
            Some(IniLine::Blank) => {}
            Some(IniLine::Header(header)) => {
                check_repeated(&sections, &header, location, faults);
                sections.push(IniSection {
                    header,
                    location,
                    entries: Vec::new(),
                });
            }
            Some(IniLine::Entry(key, value)) => {
                let entry = IniEntry {
                    key,
                    value,
                    location,
                };
                add_entry(&mut sections, entry, faults);
            }
            None => faults.push(location.fault(
                "this is neither a section, an entry nor a comment",
                "write `[section]`, `key = value` or `# comment`",
            )),
        }
    }
    sections
}

fn numbered_lines(text: &str) -> impl Iterator<Item = (TextLocation, &str)> {
    let mut offset = 0;
    text.split_inclusive('\n')
        .enumerate()
        .map(move |(index, raw)| {
            let line = raw.trim();
            let indent = raw.len() - raw.trim_start().len();
            let start = if line.is_empty() { 0 } else { indent };
            let span = SourceSpan::from((offset + start, line.len()));
            offset += raw.len();
            let line_number = index + 1;
            (
                TextLocation {
                    line: line_number,
                    span,
                },
                line,
            )
        })
}

fn parse_line(line: &str) -> Option<IniLine> {
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        enabled_preserve_key_leading_whitespace: false,
    };
    let parsed = Ini::load_from_str_opt(line, options).ok()?;
    let header = parsed.sections().flatten().next().map(str::to_owned);
    let entry = parsed.general_section().iter().next();
    match (header, entry) {
        (None, None) => Some(IniLine::Blank),
        (Some(header), None) if line.ends_with(']') => Some(IniLine::Header(header)),
        (None, Some((key, value))) => Some(IniLine::Entry(key.to_owned(), value.to_owned())),
        _ => None,
    }
}

fn check_repeated(
    sections: &[IniSection],
    header: &str,
    location: TextLocation,
    faults: &mut Vec<SettingsFault>,
) {
    if let Some(first) = sections.iter().find(|section| section.header == header) {
        let line = first.location.line;
        faults.push(location.fault(
            format!("section [{header}] stands already on line {line}"),
            "join the two sections into one",
        ));
    }
}

fn add_entry(sections: &mut [IniSection], entry: IniEntry, faults: &mut Vec<SettingsFault>) {
    let Some(section) = sections.last_mut() else {
        let problem = format!("key `{}` stands before the first section", entry.key);
        faults.push(entry.location.fault(problem, "put it under a `[section]`"));
        return;
    };
    let first = section.entries.iter().find(|known| known.key == entry.key);
    if let Some(first) = first {
        let line = first.location.line;
        let problem = format!("key `{}` is set already on line {line}", entry.key);
        faults.push(entry.location.fault(problem, "keep one of the two"));
        return;
    }
    section.entries.push(entry);
}
