//! Beginnings of streams, and where streams that have begun may go on.

use std::time::Duration;

use rand::RngExt;
use rstest::rstest;
use samphiresill_core::name::{DomainName, RequestId, SoftwareVersion, TargetName};
use samphiresill_core::routing::{RoutingTable, TargetEntry};

use super::simulation::{Request, Simulation, entry, fleet_load, service, table};
use crate::fleet::admission::Reason;
use crate::fleet::load::{FleetLoad, Placement};
use crate::fleet::request::PlacementRequest;
use crate::fleet::streams::{MAX_RECORDS, RETENTION, StreamId, StreamOrigin, StreamRecords};

const SECOND: Duration = Duration::from_secs(1);
const NOW: Duration = Duration::from_secs(100);

fn stream(name: &str) -> StreamId {
    StreamId::of(&RequestId::from(name))
}

/// Entries of engines with these versions; an empty one is not stated.
fn entries(versions: &[&str]) -> Vec<TargetEntry> {
    let entry = |(n, version): (usize, &&str)| TargetEntry {
        version: (!version.is_empty()).then(|| (*version).into()),
        ..entry(n)
    };
    versions.iter().enumerate().map(entry).collect()
}

fn place(
    load: &mut FleetLoad,
    request: &Request,
    origin: &StreamOrigin,
    waited: Duration,
) -> Result<Placement, crate::fleet::admission::Refusal> {
    let (service, domain) = (service(), DomainName::from("d0"));
    let req = PlacementRequest {
        waited,
        origin,
        ..request.placement_request(&service, &domain)
    };
    let run = load.next_run();
    load.place(&req, run, 0.5, NOW)
}

/// `Report` is that a stream began at a target of a version, some seconds ago.
type Report = (&'static str, &'static str, u64);

struct Reports {
    received: &'static [Report],
    /// Target that turns out to run another version now.
    restarted: Option<&'static str>,
    known: Option<&'static str>,
}

#[rstest]
#[case::none(Reports { received: &[], restarted: None, known: None })]
#[case::one(Reports { received: &[("t1", "v1", 1)], restarted: None, known: Some("v1") })]
#[case::repeated(Reports { received: &[("t1", "v1", 1), ("t2", "v1", 1)], restarted: None, known: Some("v1") })]
#[case::contradiction(Reports { received: &[("t1", "v1", 1), ("t2", "v2", 1)], restarted: None, known: None })]
#[case::contradiction_withdrawn(Reports { received: &[("t1", "v1", 2), ("t2", "v2", 1), ("t1", "v1", 0)], restarted: None, known: None })]
#[case::target_restarted(Reports { received: &[("t1", "v1", 1)], restarted: Some("t1"), known: None })]
#[case::target_restarted_long_after(Reports { received: &[("t1", "v1", 20)], restarted: Some("t1"), known: Some("v1") })]
#[case::other_target_restarted(Reports { received: &[("t1", "v1", 1)], restarted: Some("t2"), known: Some("v1") })]
#[case::expired(Reports { received: &[("t1", "v1", 41)], restarted: None, known: None })]
fn a_version_is_known_only_while_reports_agree(#[case] case: Reports) {
    let mut records = StreamRecords::default();
    for (target, version, age_s) in case.received {
        let at = NOW.saturating_sub(SECOND * *age_s as u32);
        records.record(stream("r1"), &(*target).into(), &(*version).into(), at);
    }
    if let Some(target) = case.restarted {
        records.distrust(&target.into(), NOW);
    }
    records.sweep(NOW);
    let known = records.version(stream("r1")).map(ToString::to_string);
    assert_eq!(known.as_deref(), case.known);
}

#[test]
fn records_are_bounded_and_saved_once() {
    let mut records = StreamRecords::default();
    let (target, version) = (TargetName::from("t"), SoftwareVersion::from("v1"));
    records.record(stream("before"), &target, &version, NOW);
    records.set_saving(true);
    assert_eq!(
        records.take_unsaved().len(),
        1,
        "those known before are saved"
    );
    for n in 0..=MAX_RECORDS {
        records.record(stream(&n.to_string()), &target, &version, NOW);
    }
    assert_eq!(records.all().len(), MAX_RECORDS);
    assert_eq!(
        records.version(stream("before")),
        None,
        "the oldest is dropped"
    );
    let unsaved = records.take_unsaved();
    assert_eq!(records.take_unsaved(), Vec::new());
    records.return_unsaved(unsaved);
    assert_eq!(
        records.take_unsaved().len(),
        MAX_RECORDS,
        "they are saved later"
    );
    records.sweep(NOW + RETENTION + SECOND);
    assert_eq!(records.all(), Vec::new());
}

struct Placing {
    versions: &'static [&'static str],
    origin: StreamOrigin,
    /// Indices of the engines that may get the request, or why none does.
    expected: Result<&'static [usize], Reason>,
}

fn at(version: &str) -> StreamOrigin {
    StreamOrigin::At(version.into())
}

#[rstest]
#[case::new(Placing { versions: &["v1", "v2", ""], origin: StreamOrigin::New, expected: Ok(&[0, 1, 2]) })]
#[case::at_version(Placing { versions: &["v1", "v2", "v1", ""], origin: at("v1"), expected: Ok(&[0, 2]) })]
#[case::of_known(Placing { versions: &["v1", "v2", "v3"], origin: StreamOrigin::Of(stream("known")), expected: Ok(&[1]) })]
#[case::no_version_left(Placing { versions: &["v1", "v3"], origin: at("v2"), expected: Err(Reason::NoVersion) })]
#[case::of_known_none_left(Placing { versions: &["v1", ""], origin: StreamOrigin::Of(stream("known")), expected: Err(Reason::NoVersion) })]
#[case::of_unknown(Placing { versions: &["v1", "v1"], origin: StreamOrigin::Of(stream("other")), expected: Err(Reason::UnknownVersion) })]
#[case::unknown(Placing { versions: &["v1", "v1"], origin: StreamOrigin::Unknown, expected: Err(Reason::UnknownVersion) })]
fn a_stream_is_placed_only_at_its_version(#[case] case: Placing) {
    let mut load = fleet_load(1, 0);
    load.set_targets(&entries(case.versions), &table());
    load.record_stream(stream("known"), &"e9".into(), &"v2".into(), NOW);
    let mut placed = std::collections::BTreeSet::new();
    for n in 0..12 {
        let request = Request::new("a", (n, 200), (1_000 + n, 300), 20);
        match (
            place(&mut load, &request, &case.origin, SECOND),
            case.expected,
        ) {
            (Ok(placement), Ok(_)) => drop(placed.insert(placement.target)),
            (Err(refusal), Err(reason)) => {
                assert_eq!(refusal.reason, reason);
                assert_eq!(refusal.recheck_in, None, "refused at once");
            }
            (result, _) => panic!("{result:?}"),
        }
    }
    let expected = case.expected.unwrap_or_default().iter();
    let expected: std::collections::BTreeSet<TargetName> =
        expected.map(|n| entry(*n).name).collect();
    assert_eq!(placed, expected);
}

/// Guards against records that are saved nowhere and kept without end, while the store can't be read.
#[test]
fn unsaved_records_are_bounded() {
    let mut records = StreamRecords::default();
    records.set_saving(true);
    for n in 0..5 * MAX_RECORDS {
        let now = NOW + Duration::from_millis(n as u64);
        records.record(stream(&n.to_string()), &"e0".into(), &"v1".into(), now);
    }
    let unsaved = records.take_unsaved();
    assert!((MAX_RECORDS..=2 * MAX_RECORDS).contains(&unsaved.len()));
    let last = stream(&(5 * MAX_RECORDS - 1).to_string());
    assert_eq!(unsaved.last().map(|(id, _)| *id), Some(last));
}

/// A caller may return before the record of its stream has arrived: the stream is looked for again, for
/// longer while the records of others are loaded.
#[rstest]
#[case::at_once(true, 0, true)]
#[case::late(true, 110, false)]
#[case::loading(false, 500, true)]
#[case::loading_too_long(false, 1_100, false)]
fn an_unknown_stream_is_looked_for(
    #[case] is_loaded: bool,
    #[case] waited_ms: u64,
    #[case] is_looked_for: bool,
) {
    let mut load = fleet_load(1, 2);
    if is_loaded {
        load.streams_mut().set_loaded();
    }
    let request = Request::new("a", (1, 2_000), (2, 3_000), 20);
    let waited = Duration::from_millis(waited_ms);
    let origin = StreamOrigin::Of(stream("r1"));
    let refusal = place(&mut load, &request, &origin, waited).expect_err("an unknown stream");
    assert_eq!(refusal.recheck_in.is_some(), is_looked_for);
}

/// Beginnings of streams reach other schedulers with the load events.
#[test]
fn beginnings_are_announced() {
    let (mut first, mut second) = (fleet_load(1, 2), fleet_load(2, 2));
    first.record_stream(stream("r1"), &"e0".into(), &"v1".into(), NOW);
    second.apply(first.take_events(), false, NOW);
    assert_eq!(second.resolve(&StreamOrigin::Of(stream("r1"))), at("v1"));
}

/// Guards against taken-up streams that are refused for load like new requests.
#[test]
fn a_stream_that_goes_on_is_not_refused_for_load() {
    let mut simulation = Simulation::new(&[1.0; 3], 7);
    simulation
        .fleet_load
        .set_targets(&entries(&["v1", "v2", "v1"]), &table());
    let (mut new_refused, mut refused) = (0, 0);
    simulation.run(60.0, Duration::from_secs(6), |rng| {
        Request::new(
            "a",
            (rng.random_range(0..9), 2_000),
            (rng.random(), 9_000),
            60,
        )
    });
    for n in 0..40 {
        let request = Request::new("a", (n, 2_000), (1_000 + n, 9_000), 60);
        let load = &mut simulation.fleet_load;
        new_refused += usize::from(place(load, &request, &StreamOrigin::New, SECOND).is_err());
        refused += usize::from(place(load, &request, &at("v1"), SECOND).is_err());
    }
    assert_eq!(refused, 0);
    assert!(new_refused > 10, "{new_refused} new requests are refused");
}

/// Guards against KV cache that is copied between engines of different versions.
#[rstest]
#[case::same_version(&["v1", "v1"], true)]
#[case::other_version(&["v1", "v2"], false)]
fn cached_prompt_parts_are_copied_within_a_version(
    #[case] versions: &[&str],
    #[case] is_copied: bool,
) {
    let mut load = fleet_load(1, 0);
    let table: RoutingTable = table();
    load.set_targets(&entries(versions), &table);
    let parts = Request::new("a", (1, 40_000), (2, 100), 20)
        .generation
        .parts;
    load.add_cached(&entry(0).name, &parts[..1]);
    let request = Request::new("a", (1, 40_000), (3, 100), 20);
    let (service, domain) = (service(), DomainName::from("d0"));
    let req = PlacementRequest {
        tried: &[entry(0).name],
        ..request.placement_request(&service, &domain)
    };
    let run = load.next_run();
    let placement = load.place(&req, run, 0.5, NOW).expect("an idle engine");
    assert_eq!(placement.copy_from.is_some(), is_copied);
}
