//! Table of how evenly the targets of each service were loaded.

use std::fmt::Write;

use serde_json::Value;

use crate::record::Record;

/// Message of the records that gateways write.
const MESSAGE: &str = "evenness of load";
/// Fields of such a record, with the headings of their columns.
const COLUMNS: [(&str, &str); 5] = [
    ("wait_imbalance", "wait"),
    ("max_wait_imbalance", "worst"),
    ("work_imbalance", "work"),
    ("overrun_fraction", "overrun"),
    ("view_age_ms", "age ms"),
];

/// Renders one row for each record about the evenness of load, in the given order: the imbalances
/// (largest / mean) of wait and work, the fraction of the time with overrun targets, and the age of
/// views.
#[must_use]
pub fn render(records: &[Record]) -> String {
    let mut text = String::new();
    let Some(first) = records.first() else {
        return text;
    };
    // Writing to a string cannot fail.
    let _ = write!(text, "{:>9}   {:<16} {:<16}", "time", "gateway", "service");
    for (_, heading) in COLUMNS {
        let _ = write!(text, " {heading:>8}");
    }
    text.push('\n');
    for record in records.iter().filter(|r| r.message == MESSAGE) {
        let seconds = (record.time - first.time).as_seconds_f64();
        let field = |name: &str| record.fields.get(name);
        let service = field("service").and_then(Value::as_str).unwrap_or("-");
        let process = &record.process.0;
        let _ = write!(text, "{seconds:>9.3} s {process:<16} {service:<16}");
        for (name, _) in COLUMNS {
            let value = field(name).and_then(number).unwrap_or(f64::NAN);
            let _ = write!(text, " {value:>8.2}");
        }
        text.push('\n');
    }
    text
}

fn number(value: &Value) -> Option<f64> {
    let parsed = || value.as_str().and_then(|text| text.parse().ok());
    value.as_f64().or_else(parsed)
}
