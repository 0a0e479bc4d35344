//! Log records and the parser for log files.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use chrono::{DateTime, Utc};
use derive_more::Display;
use serde::Deserialize;
use serde_json::Value;

/// Timestamp format of `flexi_logger`'s JSON output.
const TIME_FORMAT: &str = "%Y-%m-%d %H:%M:%S%.f %:z";

/// `ProcessName` identifies the process that wrote a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct ProcessName(pub Arc<str>);

/// `Record` is one structured log record.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Process that wrote the record.
    pub process: ProcessName,
    /// Time by the clock of that process, until [`crate::clocks::align`] corrects it.
    pub time: DateTime<Utc>,
    /// Level, as written.
    pub level: String,
    /// Message, which identifies the kind of event.
    pub message: String,
    /// Structured fields, by name.
    pub fields: BTreeMap<String, Value>,
}

#[derive(Deserialize)]
struct JsonRecord {
    timestamp: Option<String>,
    #[serde(default)]
    level: String,
    #[serde(default)]
    text: String,
    #[serde(default)]
    kv: BTreeMap<String, Value>,
}

/// `LogFile` is the parsed content of one log file.
#[derive(Debug, Default)]
pub struct LogFile {
    /// Records, in file order.
    pub records: Vec<Record>,
    /// Number of lines that could not be parsed.
    pub malformed: usize,
}

impl LogFile {
    /// Reads a log file. The process is named after the file, without its extension.
    ///
    /// # Errors
    /// When the file cannot be read.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let bytes =
            std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        Ok(Self::parse(&name, &String::from_utf8_lossy(&bytes)))
    }

    /// Parses the text of a log. Malformed lines are skipped and counted. A record without a
    /// timestamp, such as the count of dropped lines, takes the time of the preceding record.
    #[must_use]
    pub fn parse(process: &str, text: &str) -> Self {
        let process = ProcessName(Arc::from(process));
        let mut log = Self::default();
        for line in text.lines().filter(|l| !l.trim().is_empty()) {
            let previous_time = log.records.last().map(|r: &Record| r.time);
            match parse_line(&process, line, previous_time) {
                Some(record) => log.records.push(record),
                None => log.malformed += 1,
            }
        }
        log
    }
}

fn parse_line(
    process: &ProcessName,
    line: &str,
    previous_time: Option<DateTime<Utc>>,
) -> Option<Record> {
    let json: JsonRecord = serde_json::from_str(line).ok()?;
    let time = match &json.timestamp {
        Some(time) => DateTime::parse_from_str(time, TIME_FORMAT).ok()?.to_utc(),
        None => previous_time?,
    };
    Some(Record {
        process: process.clone(),
        time,
        level: json.level,
        message: json.text,
        fields: json.kv,
    })
}

impl Record {
    /// Value of a field as text, or `None` when the record has no such field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<String> {
        Some(match self.fields.get(name)? {
            Value::String(text) => text.clone(),
            value => value.to_string(),
        })
    }

    /// Value of a numeric field, or `None` when it is absent or not a number.
    #[must_use]
    pub fn numeric_field(&self, name: &str) -> Option<f64> {
        self.fields.get(name)?.as_f64()
    }

    /// All fields as `name=value`, separated by spaces.
    #[must_use]
    pub fn format_fields(&self) -> String {
        let mut all = String::new();
        for name in self.fields.keys() {
            let value = self.field(name).unwrap_or_default();
            let space = if all.is_empty() { "" } else { " " };
            // Writing to a string cannot fail.
            let _ = write!(all, "{space}{name}={value}");
        }
        all
    }
}
