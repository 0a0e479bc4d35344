//! One line of a log.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use chrono::{DateTime, Utc};
use derive_more::Display;
use serde::Deserialize;
use serde_json::Value;

/// How the logs write times.
const TIME_FORMAT: &str = "%Y-%m-%d %H:%M:%S%.f %:z";

/// `Process` names the process that wrote a line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct Process(pub Arc<str>);

/// `Line` is one line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Who wrote it.
    pub process: Process,
    /// When, by the clock of that process, later corrected.
    pub time: DateTime<Utc>,
    /// Level, as written.
    pub level: String,
    /// What happened.
    pub text: String,
    /// Values, by name.
    pub values: BTreeMap<String, Value>,
}

#[derive(Deserialize)]
struct Raw {
    timestamp: Option<String>,
    #[serde(default)]
    level: String,
    #[serde(default)]
    text: String,
    #[serde(default)]
    kv: BTreeMap<String, Value>,
}

/// `Log` is what was read of one file.
#[derive(Debug, Default)]
pub struct Log {
    /// Its lines, in the order of the file.
    pub lines: Vec<Line>,
    /// Lines that are not of the expected form.
    pub unreadable: usize,
}

impl Log {
    /// Reads a file; the process has its name, without the ending.
    ///
    /// # Errors
    /// When the file cannot be read.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let bytes =
            std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        Ok(Self::parse(&name, &String::from_utf8_lossy(&bytes)))
    }

    /// Reads the text of a log. Lines of another form are counted; a line without a time, as one
    /// that counts lost lines, has the time of the line before.
    #[must_use]
    pub fn parse(process: &str, text: &str) -> Self {
        let process = Process(Arc::from(process));
        let mut log = Self::default();
        for raw in text.lines().filter(|l| !l.trim().is_empty()) {
            let before = log.lines.last().map(|l: &Line| l.time);
            match line(&process, raw, before) {
                Some(line) => log.lines.push(line),
                None => log.unreadable += 1,
            }
        }
        log
    }
}

fn line(process: &Process, raw: &str, before: Option<DateTime<Utc>>) -> Option<Line> {
    let raw: Raw = serde_json::from_str(raw).ok()?;
    let time = match &raw.timestamp {
        Some(time) => DateTime::parse_from_str(time, TIME_FORMAT).ok()?.to_utc(),
        None => before?,
    };
    Some(Line {
        process: process.clone(),
        time,
        level: raw.level,
        text: raw.text,
        values: raw.kv,
    })
}

impl Line {
    /// A value as text; nothing when the line has none of that name.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<String> {
        Some(match self.values.get(name)? {
            Value::String(text) => text.clone(),
            value => value.to_string(),
        })
    }

    /// A value as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<f64> {
        self.values.get(name)?.as_f64()
    }

    /// All values, as `name=value`.
    #[must_use]
    pub fn all_values(&self) -> String {
        let mut all = String::new();
        for name in self.values.keys() {
            let value = self.value(name).unwrap_or_default();
            let space = if all.is_empty() { "" } else { " " };
            // Writing to a string cannot fail.
            let _ = write!(all, "{space}{name}={value}");
        }
        all
    }
}
