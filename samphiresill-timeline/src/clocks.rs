//! Alignment of the processes' clocks, by events that all of them log.
//!
//! A change of the configuration or of the directory of targets reaches all processes within some
//! tens of milliseconds, so the differences between the times at which they log it show how far
//! their clocks are apart.

use std::collections::BTreeMap;

use chrono::{DateTime, TimeDelta, Utc};

use crate::line::{Line, Process};

/// Differences below which a clock is left as it is: the time that a change takes.
const TOLERANCE: TimeDelta = TimeDelta::milliseconds(100);
/// Shared lines that are needed for a correction.
const MIN_SHARED: usize = 2;

/// Corrects the times of all lines to a common clock, and puts them in order. Returns what was
/// subtracted for each process.
pub fn align(lines: &mut [Line]) -> BTreeMap<Process, TimeDelta> {
    let offsets = offsets(lines);
    for line in &mut *lines {
        if let Some(offset) = offsets.get(&line.process) {
            line.time -= *offset;
        }
    }
    lines.sort_by_key(|l| l.time);
    offsets
}

fn offsets(lines: &[Line]) -> BTreeMap<Process, TimeDelta> {
    let mut shared: BTreeMap<String, BTreeMap<&Process, DateTime<Utc>>> = BTreeMap::new();
    for line in lines {
        if let Some(key) = shared_key(line) {
            let seen = shared.entry(key).or_default();
            // The first occurrence counts; a restarted process logs it again.
            seen.entry(&line.process).or_insert(line.time);
        }
    }
    let mut differences: BTreeMap<Process, Vec<TimeDelta>> = BTreeMap::new();
    for seen in shared.values().filter(|s| s.len() > 1) {
        let mut times: Vec<DateTime<Utc>> = seen.values().copied().collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        for (process, time) in seen {
            let all = differences.entry((*process).clone()).or_default();
            all.push(*time - middle);
        }
    }
    let median = |mut all: Vec<TimeDelta>| {
        all.sort_unstable();
        all[all.len() / 2]
    };
    differences
        .into_iter()
        .filter(|(_, all)| all.len() >= MIN_SHARED)
        .map(|(process, all)| (process, median(all)))
        .filter(|(_, offset)| offset.abs() > TOLERANCE)
        .collect()
}

/// Identifies a line that all processes log at about the same moment.
fn shared_key(line: &Line) -> Option<String> {
    let name = match line.text.as_str() {
        // The first revision after a start is not new to the other processes.
        "configuration in force" if line.number("from") != Some(0.0) => line.value("to")?,
        "target listed" => format!("{} {}", line.value("target")?, line.value("state")?),
        "target removed" => line.value("target")?,
        _ => return None,
    };
    Some(format!("{} {name}", line.text))
}
