//! Lines as a self-contained HTML page: a lane for each process, a mark for each line, and the lines
//! as text.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::line::{Line, Process};
use crate::text;

/// Width of the drawing, in pixels.
const WIDTH: f64 = 1_200.0;
/// Space for the names of the processes, in pixels.
const MARGIN: f64 = 180.0;
/// Height of a lane, in pixels.
const LANE: f64 = 28.0;
/// Marks of the time axis.
const AXIS_MARKS: u32 = 10;

/// The page, with `title` at its head.
#[must_use]
pub fn render(title: &str, lines: &[&Line]) -> String {
    let title = escape(title);
    format!(
        "<!doctype html><meta charset='utf-8'><title>{title}</title>\
         <style>body{{font:14px sans-serif}}svg{{font-size:11px}}</style>\n\
         <h1>{title}</h1>\n{}\n<pre>{}</pre>\n",
        drawing(lines),
        escape(&text::render(lines))
    )
}

fn drawing(lines: &[&Line]) -> String {
    let (Some(first), Some(last)) = (lines.first(), lines.last()) else {
        return "<p>No line.</p>".to_owned();
    };
    let whole = (last.time - first.time).as_seconds_f64().max(0.001);
    let x = |seconds: f64| MARGIN + seconds / whole * (WIDTH - MARGIN - 20.0);
    let processes: BTreeMap<&Process, usize> = {
        let names: std::collections::BTreeSet<&Process> =
            lines.iter().map(|l| &l.process).collect();
        names.into_iter().zip(0..).collect()
    };
    let height = (processes.len() + 1) as f64 * LANE;
    let mut svg = format!("<svg width='{WIDTH:.0}' height='{height:.0}'>\n");
    // Writing to a string cannot fail.
    for (process, lane) in &processes {
        let y = (*lane as f64 + 0.5) * LANE;
        let _ = writeln!(
            svg,
            "<text x='4' y='{:.0}'>{}</text>\
             <line x1='{MARGIN}' x2='{WIDTH}' y1='{y:.0}' y2='{y:.0}' stroke='#ccc'/>",
            y + 4.0,
            escape(&process.0)
        );
    }
    for mark in 0..=AXIS_MARKS {
        let seconds = whole * f64::from(mark) / f64::from(AXIS_MARKS);
        let _ = writeln!(
            svg,
            "<text x='{:.0}' y='{:.0}'>{seconds:.3} s</text>",
            x(seconds),
            height - 6.0
        );
    }
    for line in lines {
        let seconds = (line.time - first.time).as_seconds_f64();
        let y = (processes[&line.process] as f64 + 0.5) * LANE;
        let _ = writeln!(
            svg,
            "<circle cx='{:.1}' cy='{y:.0}' r='5' fill='{}'><title>{seconds:.3} s {} {}</title>\
             </circle>",
            x(seconds),
            colour(line),
            escape(&line.text),
            escape(&line.all_values())
        );
    }
    svg + "</svg>"
}

fn colour(line: &Line) -> &'static str {
    match (line.level.as_str(), line.text.as_str()) {
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
