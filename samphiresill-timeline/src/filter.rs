//! Which lines are shown.

use std::collections::BTreeSet;

use chrono::TimeDelta;

use crate::line::Line;

/// Time before and after a request in which lines about its targets and its router are shown.
const CONTEXT: TimeDelta = TimeDelta::seconds(2);
/// Lines about the router itself that explain what becomes of its requests.
const ROUTER_LINES: [&str; 8] = [
    "configuration in force",
    "membership changed",
    "processor overloaded, out of the balancer's rotation",
    "store unavailable",
    "store available again",
    "started",
    "stopping",
    "stopped",
];

/// `Filter` selects lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Filter {
    /// Those of a request, and related ones about its targets and its router.
    Request(String),
    /// Those that name a target.
    Target(String),
    /// Those of a span, in seconds from the first line.
    Span {
        /// Where it begins.
        from_s: i64,
        /// Where it ends.
        to_s: i64,
    },
}

impl Filter {
    /// The selected lines, in order; `lines` are in order.
    #[must_use]
    pub fn select<'a>(&self, lines: &'a [Line]) -> Vec<&'a Line> {
        match self {
            Self::Request(request) => of_request(lines, request),
            Self::Target(target) => {
                let is_named = |l: &&Line| l.value("target").as_ref() == Some(target);
                lines.iter().filter(is_named).collect()
            }
            Self::Span { from_s, to_s } => {
                let Some(first) = lines.first() else {
                    return Vec::new();
                };
                let from = first.time + TimeDelta::seconds(*from_s);
                let to = first.time + TimeDelta::seconds(*to_s);
                let is_in = |l: &&Line| l.time >= from && l.time <= to;
                lines.iter().filter(is_in).collect()
            }
        }
    }
}

fn of_request<'a>(lines: &'a [Line], request: &str) -> Vec<&'a Line> {
    let is_own = |l: &Line| l.value("request").as_deref() == Some(request);
    let own: Vec<&Line> = lines.iter().filter(|l| is_own(l)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let (from, to) = (first.time - CONTEXT, last.time + CONTEXT);
    let targets: BTreeSet<String> = own.iter().filter_map(|l| l.value("target")).collect();
    let routers: BTreeSet<_> = own.iter().map(|l| &l.process).collect();
    let is_related = |l: &Line| {
        let is_about_target = l.value("target").is_some_and(|t| targets.contains(&t));
        let is_about_router =
            routers.contains(&l.process) && ROUTER_LINES.contains(&l.text.as_str());
        l.time >= from && l.time <= to && (is_about_target || is_about_router)
    };
    let is_other_request = |l: &Line| l.value("request").is_some_and(|r| r != request);
    lines
        .iter()
        .filter(|l| is_own(l) || is_related(l) && !is_other_request(l))
        .collect()
}
