//! Tests on lines as gateways write them.

mod alignment;
mod explanations;
mod selection;

use crate::line::{Line, Log};

/// A line as it is written; `second` may have a fraction.
fn raw(second: &str, text: &str, values: &str) -> String {
    format!(
        r#"{{"level":"INFO","timestamp":"2026-12-04 09:24:{second} +00:00","text":"{text}","kv":{{{values}}}}}"#
    )
}

fn lines(process: &str, raws: &[String]) -> Vec<Line> {
    let log = Log::parse(process, &raws.join("\n"));
    assert_eq!(log.unreadable, 0);
    log.lines
}
