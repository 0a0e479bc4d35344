//! Tests on log records in the format that gateways write.

mod alignment;
mod evenness;
mod explanations;
mod selection;

use crate::record::{LogFile, Record};

/// Formats one line of a log file; `second` may have a fraction, `kv` is the content of the object.
fn json_line(second: &str, message: &str, kv: &str) -> String {
    format!(
        r#"{{"level":"INFO","timestamp":"2026-12-04 09:24:{second} +00:00","text":"{message}","kv":{{{kv}}}}}"#
    )
}

/// Parses the lines of one process, none of which may be malformed.
fn parse(process: &str, lines: &[String]) -> Vec<Record> {
    let log = LogFile::parse(process, &lines.join("\n"));
    assert_eq!(log.malformed, 0);
    log.records
}
