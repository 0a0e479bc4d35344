//! Clock alignment between processes, based on events that all of them log.
//!
//! A change of the configuration or of the target directory reaches all processes within some tens
//! of milliseconds. The differences between the times at which the processes log such a change
//! therefore approximate the offsets between their clocks.

use std::collections::BTreeMap;

use chrono::{DateTime, TimeDelta, Utc};

use crate::record::{ProcessName, Record};

/// Largest offset that is not corrected, because propagation of a change can explain it.
const OFFSET_TOLERANCE: TimeDelta = TimeDelta::milliseconds(100);
/// Number of shared events that a process must have logged for its clock to be corrected.
const MIN_SHARED_EVENTS: usize = 2;

/// Aligns the times of all records to a common clock and sorts the records by time. Returns the
/// offset that was subtracted for each corrected process.
pub fn align(records: &mut [Record]) -> BTreeMap<ProcessName, TimeDelta> {
    let offsets = estimate_offsets(records);
    for record in &mut *records {
        if let Some(offset) = offsets.get(&record.process) {
            record.time -= *offset;
        }
    }
    records.sort_by_key(|r| r.time);
    offsets
}

fn estimate_offsets(records: &[Record]) -> BTreeMap<ProcessName, TimeDelta> {
    let mut events: BTreeMap<String, BTreeMap<&ProcessName, DateTime<Utc>>> = BTreeMap::new();
    for record in records {
        if let Some(key) = shared_event_key(record) {
            let logged_at = events.entry(key).or_default();
            // Only the first occurrence is used: a restarted process logs the event again.
            logged_at.entry(&record.process).or_insert(record.time);
        }
    }
    let mut deviations: BTreeMap<ProcessName, Vec<TimeDelta>> = BTreeMap::new();
    for logged_at in events.values().filter(|e| e.len() > 1) {
        let mut times: Vec<DateTime<Utc>> = logged_at.values().copied().collect();
        times.sort_unstable();
        let median_time = times[times.len() / 2];
        for (process, time) in logged_at {
            let samples = deviations.entry((*process).clone()).or_default();
            samples.push(*time - median_time);
        }
    }
    let median = |mut samples: Vec<TimeDelta>| {
        samples.sort_unstable();
        samples[samples.len() / 2]
    };
    deviations
        .into_iter()
        .filter(|(_, samples)| samples.len() >= MIN_SHARED_EVENTS)
        .map(|(process, samples)| (process, median(samples)))
        .filter(|(_, offset)| offset.abs() > OFFSET_TOLERANCE)
        .collect()
}

/// Identifies an event that all processes log at about the same time, or `None` for other records.
fn shared_event_key(record: &Record) -> Option<String> {
    let subject = match record.message.as_str() {
        // The first revision after a start is already known to the other processes.
        "configuration in force" if record.numeric_field("from") != Some(0.0) => {
            record.field("to")?
        }
        "target listed" => format!("{} {}", record.field("target")?, record.field("state")?),
        "target removed" => record.field("target")?,
        _ => return None,
    };
    Some(format!("{} {subject}", record.message))
}
