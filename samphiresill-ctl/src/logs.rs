//! Commands that read log files.

use std::path::Path;

use anyhow::Context;
use getopts::Matches;
use samphiresill_timeline::filter::Filter;
use samphiresill_timeline::record::{LogFile, Record};
use samphiresill_timeline::{clocks, evenness, explain, html, text};

use crate::client::CommandError;

/// Prints the selected records of log files in time order, or writes them to an HTML file.
///
/// # Errors
/// When the options are not valid or a file cannot be read or written.
pub fn timeline(matches: &Matches, files: &[&str]) -> Result<(), CommandError> {
    let (filter, title) = parse_filter(matches)?;
    let records = read_logs(files)?;
    let selected = filter.select(&records);
    if let Some(file) = matches.opt_str("page") {
        std::fs::write(&file, html::render(&title, &selected))
            .with_context(|| format!("cannot write {file}"))?;
    } else {
        print!("{}", text::render(&selected));
    }
    Ok(())
}

/// Explains the outcome of a request.
///
/// # Errors
/// When a file cannot be read.
pub fn explain(request: &str, files: &[&str]) -> Result<(), CommandError> {
    let records = read_logs(files)?;
    let selected = Filter::Request(request.to_owned()).select(&records);
    print!("{}", explain::explain(request, &selected));
    Ok(())
}

/// Prints how evenly the targets were loaded.
///
/// # Errors
/// When a file cannot be read.
pub fn evenness(files: &[&str]) -> Result<(), CommandError> {
    print!("{}", evenness::render(&read_logs(files)?));
    Ok(())
}

fn parse_filter(matches: &Matches) -> Result<(Filter, String), CommandError> {
    if let Some(request) = matches.opt_str("request") {
        let title = format!("Request {request}");
        return Ok((Filter::Request(request), title));
    }
    if let Some(target) = matches.opt_str("target") {
        let title = format!("Target {target}");
        return Ok((Filter::Target(target), title));
    }
    let seconds = |name: &str, default: i64| {
        let value = matches.opt_get_default(name, default);
        value.map_err(|e| CommandError::usage(format!("--{name}: {e}")))
    };
    let (from_s, to_s) = (seconds("from", 0)?, seconds("to", i64::from(i32::MAX))?);
    let title = format!("From {from_s} s to {to_s} s");
    Ok((Filter::TimeRange { from_s, to_s }, title))
}

/// Reads log files and aligns their clocks. Malformed lines and clock corrections are reported on
/// standard error.
fn read_logs(files: &[&str]) -> Result<Vec<Record>, CommandError> {
    if files.is_empty() {
        return Err(CommandError::usage("no log file given"));
    }
    let mut records = Vec::new();
    for file in files {
        let log = LogFile::read(Path::new(file))?;
        if log.malformed > 0 {
            eprintln!(
                "{file}: skipped {} lines that are not log records",
                log.malformed
            );
        }
        records.extend(log.records);
    }
    for (process, offset) in clocks::align(&mut records) {
        let offset_ms = offset.num_milliseconds();
        eprintln!("{process}: clock corrected by {} ms", -offset_ms);
    }
    Ok(records)
}
