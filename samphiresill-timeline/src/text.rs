//! Plain-text rendering of records, one per line.

use std::fmt::Write;

use crate::record::Record;

/// Renders records in the given order, with the time since the first, the process and the fields.
#[must_use]
pub fn render(records: &[&Record]) -> String {
    let mut text = String::new();
    let Some(first) = records.first() else {
        return text;
    };
    let width = records.iter().map(|r| r.process.0.len()).max().unwrap_or(0);
    // Writing to a string cannot fail.
    let _ = writeln!(text, "from {}", first.time.to_rfc3339());
    for record in records {
        let seconds = (record.time - first.time).as_seconds_f64();
        let _ = writeln!(
            text,
            "{seconds:>9.3} s  {:<width$}  {:<5}  {}  {}",
            record.process,
            record.level,
            record.message,
            record.format_fields()
        );
    }
    text
}
