//! Self-contained HTML rendering of records: an SVG chart with one lane per process and one dot per
//! record, followed by the records as text.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::record::{ProcessName, Record};
use crate::text;

/// Width of the chart, in pixels.
const WIDTH_PX: f64 = 1_200.0;
/// Left margin for the process names, in pixels.
const MARGIN_PX: f64 = 180.0;
/// Height of a lane, in pixels.
const LANE_HEIGHT_PX: f64 = 28.0;
/// Number of intervals on the time axis.
const AXIS_INTERVALS: u32 = 10;

/// Renders the page, with `title` as its title and heading.
#[must_use]
pub fn render(title: &str, records: &[&Record]) -> String {
    let title = escape(title);
    format!(
        "<!doctype html><meta charset='utf-8'><title>{title}</title>\
         <style>body{{font:14px sans-serif}}svg{{font-size:11px}}</style>\n\
         <h1>{title}</h1>\n{}\n<pre>{}</pre>\n",
        chart(records),
        escape(&text::render(records))
    )
}

fn chart(records: &[&Record]) -> String {
    let (Some(first), Some(last)) = (records.first(), records.last()) else {
        return "<p>No matching log records.</p>".to_owned();
    };
    let duration_s = (last.time - first.time).as_seconds_f64().max(0.001);
    let x = |seconds: f64| MARGIN_PX + seconds / duration_s * (WIDTH_PX - MARGIN_PX - 20.0);
    let lanes: BTreeMap<&ProcessName, usize> = {
        let names: std::collections::BTreeSet<&ProcessName> =
            records.iter().map(|r| &r.process).collect();
        names.into_iter().zip(0..).collect()
    };
    let height = (lanes.len() + 1) as f64 * LANE_HEIGHT_PX;
    let mut svg = format!("<svg width='{WIDTH_PX:.0}' height='{height:.0}'>\n");
    // Writing to a string cannot fail.
    for (process, lane) in &lanes {
        let y = (*lane as f64 + 0.5) * LANE_HEIGHT_PX;
        let _ = writeln!(
            svg,
            "<text x='4' y='{:.0}'>{}</text>\
             <line x1='{MARGIN_PX}' x2='{WIDTH_PX}' y1='{y:.0}' y2='{y:.0}' stroke='#ccc'/>",
            y + 4.0,
            escape(&process.0)
        );
    }
    for tick in 0..=AXIS_INTERVALS {
        let seconds = duration_s * f64::from(tick) / f64::from(AXIS_INTERVALS);
        let _ = writeln!(
            svg,
            "<text x='{:.0}' y='{:.0}'>{seconds:.3} s</text>",
            x(seconds),
            height - 6.0
        );
    }
    for record in records {
        let seconds = (record.time - first.time).as_seconds_f64();
        let y = (lanes[&record.process] as f64 + 0.5) * LANE_HEIGHT_PX;
        let _ = writeln!(
            svg,
            "<circle cx='{:.1}' cy='{y:.0}' r='5' fill='{}'><title>{seconds:.3} s {} {}</title>\
             </circle>",
            x(seconds),
            color(record),
            escape(&record.message),
            escape(&record.format_fields())
        );
    }
    svg + "</svg>"
}

fn color(record: &Record) -> &'static str {
    match (record.level.as_str(), record.message.as_str()) {
        ("WARN" | "ERROR", _) => "#c33",
        (_, "attempt failed" | "not served" | "target removed") => "#e80",
        (_, "refused" | "not admitted") => "#888",
        (_, "answered") => "#4a4",
        _ => "#47c",
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('\'', "&#39;")
}
