//! Commands on log files.

use std::path::Path;

use anyhow::Context;
use getopts::Matches;
use samphiresill_timeline::filter::Filter;
use samphiresill_timeline::line::{Line, Log};
use samphiresill_timeline::{clocks, explain, page, text};

use crate::client::Failure;

/// Prints the selected lines of log files in the order of a common clock, or writes them as a page.
///
/// # Errors
/// When the options are not accepted or a file cannot be read or written.
pub fn timeline(given: &Matches, files: &[&str]) -> Result<(), Failure> {
    let (filter, title) = filter(given)?;
    let lines = read(files)?;
    let shown = filter.select(&lines);
    if let Some(file) = given.opt_str("page") {
        std::fs::write(&file, page::render(&title, &shown))
            .with_context(|| format!("cannot write {file}"))?;
    } else {
        print!("{}", text::render(&shown));
    }
    Ok(())
}

/// Prints what became of a request.
///
/// # Errors
/// When a file cannot be read.
pub fn explain(request: &str, files: &[&str]) -> Result<(), Failure> {
    let lines = read(files)?;
    let shown = Filter::Request(request.to_owned()).select(&lines);
    print!("{}", explain::explain(request, &shown));
    Ok(())
}

fn filter(given: &Matches) -> Result<(Filter, String), Failure> {
    if let Some(request) = given.opt_str("request") {
        let title = format!("Request {request}");
        return Ok((Filter::Request(request), title));
    }
    if let Some(target) = given.opt_str("target") {
        let title = format!("Target {target}");
        return Ok((Filter::Target(target), title));
    }
    let seconds = |name: &str, default: i64| {
        let value = given.opt_get_default(name, default);
        value.map_err(|e| Failure::usage(format!("--{name}: {e}")))
    };
    let (from_s, to_s) = (seconds("from", 0)?, seconds("to", i64::from(i32::MAX))?);
    let title = format!("From second {from_s} to {to_s}");
    Ok((Filter::Span { from_s, to_s }, title))
}

/// Reads log files and aligns their clocks; what is unusual about them is told on standard error.
fn read(files: &[&str]) -> Result<Vec<Line>, Failure> {
    if files.is_empty() {
        return Err(Failure::usage("no log file is given"));
    }
    let mut lines = Vec::new();
    for file in files {
        let log = Log::read(Path::new(file))?;
        if log.unreadable > 0 {
            eprintln!(
                "{file}: {} lines are not of the form of a log",
                log.unreadable
            );
        }
        lines.extend(log.lines);
    }
    for (process, offset) in clocks::align(&mut lines) {
        let ms = offset.num_milliseconds();
        eprintln!("{process}: clock corrected by {} ms", -ms);
    }
    Ok(lines)
}
