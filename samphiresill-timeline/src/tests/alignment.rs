//! Clocks that differ.

use chrono::TimeDelta;

use super::{lines, raw};
use crate::clocks;
use crate::line::Log;

#[test]
fn a_clock_that_is_ahead_is_corrected_and_order_restored() {
    let revision =
        |second: &str, to: u32| raw(second, "configuration in force", &format!(r#""to":{to}"#));
    let mut all = lines("a", &[revision("10.000", 1), revision("20.000", 2)]);
    all.extend(lines("b", &[revision("10.020", 1), revision("20.030", 2)]));
    // Seven seconds ahead.
    let late = [
        revision("17.010", 1),
        revision("27.010", 2),
        raw("22.000", "answered", r#""request":"r""#),
    ];
    all.extend(lines("c", &late));
    let offsets = clocks::align(&mut all);
    assert_eq!(offsets.len(), 1);
    let offset = *offsets.values().next().expect("one offset");
    assert!((offset - TimeDelta::seconds(7)).abs() < TimeDelta::milliseconds(50));
    let order: Vec<&str> = all.iter().map(|l| &*l.process.0).collect();
    assert_eq!(order, ["a", "b", "c", "c", "a", "c", "b"]);
}

#[test]
fn clocks_that_agree_are_left_as_they_are() {
    let listed =
        |second: &str, n: u32| raw(second, "target removed", &format!(r#""target":"t{n}""#));
    let mut all = lines("a", &[listed("10.000", 1), listed("20.000", 2)]);
    all.extend(lines("b", &[listed("10.060", 1), listed("20.060", 2)]));
    assert!(clocks::align(&mut all).is_empty());
}

#[test]
fn lines_of_another_form_are_counted() {
    let text = format!(
        "{}\nnot JSON\n{{\"text\":\"x\"}}\n",
        raw("01.5", "started", "")
    );
    let log = Log::parse("a", &text);
    // The line without a time has that of the line before.
    assert_eq!((log.lines.len(), log.unreadable), (2, 1));
    assert_eq!(log.lines[0].time, log.lines[1].time);
}
