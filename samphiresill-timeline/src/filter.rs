//! Selection of records by request, target or time range.

use std::collections::BTreeSet;

use chrono::TimeDelta;

use crate::record::Record;

/// Time before and after a request within which records about its targets and routers are selected.
const CONTEXT_WINDOW: TimeDelta = TimeDelta::seconds(2);
/// Messages about a router itself that can explain the outcome of its requests.
const ROUTER_MESSAGES: [&str; 8] = [
    "configuration in force",
    "membership changed",
    "processor overloaded, out of the balancer's rotation",
    "store unavailable",
    "store available again",
    "started",
    "stopping",
    "stopped",
];

/// `Filter` is a criterion for selecting records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Filter {
    /// Records of a request, and records about its targets and routers around that time.
    Request(String),
    /// Records that name a target.
    Target(String),
    /// Records within a time range, both ends included, in seconds since the first record.
    TimeRange {
        /// Start of the range, in seconds.
        from_s: i64,
        /// End of the range, in seconds.
        to_s: i64,
    },
}

impl Filter {
    /// Returns the matching records in order; `records` must be sorted by time.
    #[must_use]
    pub fn select<'a>(&self, records: &'a [Record]) -> Vec<&'a Record> {
        match self {
            Self::Request(request) => select_request(records, request),
            Self::Target(target) => {
                let names_target = |r: &&Record| r.field("target").as_ref() == Some(target);
                records.iter().filter(names_target).collect()
            }
            Self::TimeRange { from_s, to_s } => {
                let Some(first) = records.first() else {
                    return Vec::new();
                };
                let from = first.time + TimeDelta::seconds(*from_s);
                let to = first.time + TimeDelta::seconds(*to_s);
                let is_in_range = |r: &&Record| r.time >= from && r.time <= to;
                records.iter().filter(is_in_range).collect()
            }
        }
    }
}

fn select_request<'a>(records: &'a [Record], request: &str) -> Vec<&'a Record> {
    let is_own = |r: &Record| r.field("request").as_deref() == Some(request);
    let own: Vec<&Record> = records.iter().filter(|r| is_own(r)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let (from, to) = (first.time - CONTEXT_WINDOW, last.time + CONTEXT_WINDOW);
    let targets: BTreeSet<String> = own.iter().filter_map(|r| r.field("target")).collect();
    let routers: BTreeSet<_> = own.iter().map(|r| &r.process).collect();
    let is_related = |r: &Record| {
        let is_about_target = r.field("target").is_some_and(|t| targets.contains(&t));
        let is_about_router =
            routers.contains(&r.process) && ROUTER_MESSAGES.contains(&r.message.as_str());
        r.time >= from && r.time <= to && (is_about_target || is_about_router)
    };
    let is_other_request = |r: &Record| r.field("request").is_some_and(|id| id != request);
    records
        .iter()
        .filter(|r| is_own(r) || is_related(r) && !is_other_request(r))
        .collect()
}
