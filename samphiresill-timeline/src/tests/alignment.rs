//! Clock alignment and the parsing of malformed logs.

use chrono::TimeDelta;

use super::{json_line, parse};
use crate::clocks;
use crate::record::LogFile;

#[test]
fn a_clock_ahead_of_the_others_is_corrected_and_records_are_reordered() {
    let revision = |second: &str, to: u32| {
        json_line(second, "configuration in force", &format!(r#""to":{to}"#))
    };
    let mut records = parse("a", &[revision("10.000", 1), revision("20.000", 2)]);
    records.extend(parse("b", &[revision("10.020", 1), revision("20.030", 2)]));
    // The clock of this process is 7 s ahead.
    let ahead = [
        revision("17.010", 1),
        revision("27.010", 2),
        json_line("22.000", "answered", r#""request":"r""#),
    ];
    records.extend(parse("c", &ahead));
    let offsets = clocks::align(&mut records);
    assert_eq!(offsets.len(), 1);
    let offset = *offsets.values().next().expect("one offset");
    assert!((offset - TimeDelta::seconds(7)).abs() < TimeDelta::milliseconds(50));
    let order: Vec<&str> = records.iter().map(|r| &*r.process.0).collect();
    assert_eq!(order, ["a", "b", "c", "c", "a", "c", "b"]);
}

#[test]
fn offsets_within_the_tolerance_are_not_corrected() {
    let removed =
        |second: &str, n: u32| json_line(second, "target removed", &format!(r#""target":"t{n}""#));
    let mut records = parse("a", &[removed("10.000", 1), removed("20.000", 2)]);
    records.extend(parse("b", &[removed("10.060", 1), removed("20.060", 2)]));
    assert!(clocks::align(&mut records).is_empty());
}

#[test]
fn malformed_lines_are_counted() {
    let text = format!(
        "{}\nnot JSON\n{{\"text\":\"x\"}}\n",
        json_line("01.5", "started", "")
    );
    let log = LogFile::parse("a", &text);
    // A record without a timestamp takes the time of the preceding record.
    assert_eq!((log.records.len(), log.malformed), (2, 1));
    assert_eq!(log.records[0].time, log.records[1].time);
}
