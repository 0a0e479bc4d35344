//! Lines as text, one a row.

use std::fmt::Write;

use crate::line::Line;

/// The lines in order, with the time since the first, the process and the values.
#[must_use]
pub fn render(lines: &[&Line]) -> String {
    let mut text = String::new();
    let Some(first) = lines.first() else {
        return text;
    };
    let width = lines.iter().map(|l| l.process.0.len()).max().unwrap_or(0);
    // Writing to a string cannot fail.
    let _ = writeln!(text, "from {}", first.time.to_rfc3339());
    for line in lines {
        let seconds = (line.time - first.time).as_seconds_f64();
        let _ = writeln!(
            text,
            "{seconds:>9.3} s  {:<width$}  {:<5}  {}  {}",
            line.process,
            line.level,
            line.text,
            line.all_values()
        );
    }
    text
}
