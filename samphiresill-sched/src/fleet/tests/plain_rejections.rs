//! Rejections of full targets of a plain service, and the order of the requests that wait.

use std::time::Duration;

use samphiresill_core::name::DomainName;

use super::simulation::{entry, table};
use crate::fleet::admission::Refusal;
use crate::fleet::event::RunResult;
use crate::fleet::load::{FleetLoad, Placement};
use crate::fleet::request::PlacementRequest;
use crate::fleet::streams::StreamOrigin;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn scheduler(origin: u64, targets: usize) -> FleetLoad {
    let mut fleet_load = FleetLoad::new(origin);
    let entries: Vec<_> = (0..targets)
        .map(|n| {
            let mut entry = entry(n);
            entry.service = "desk".into();
            entry.slots = 6;
            entry
        })
        .collect();
    fleet_load.set_targets(&entries, &table());
    fleet_load
}

fn place(
    fleet_load: &mut FleetLoad,
    waited: Duration,
    now: Duration,
) -> Result<Placement, Refusal> {
    place_run(fleet_load, waited, false, now)
}

fn place_run(
    fleet_load: &mut FleetLoad,
    waited: Duration,
    has_run: bool,
    now: Duration,
) -> Result<Placement, Refusal> {
    let req = PlacementRequest {
        customer: None,
        service: &"desk".into(),
        generation: None,
        latency_objective: 300 * MS,
        time_left: 3 * SECOND,
        domain: &DomainName::from("d0"),
        tried: &[],
        avoided: &[],
        is_first_attempt: waited.is_zero(),
        waited,
        has_run,
        origin: &StreamOrigin::New,
    };
    let run = fleet_load.next_run();
    fleet_load.place(&req, run, 0.5, now)
}

/// Returns how many requests the targets take at `now`, which then are there.
fn fill(fleet_load: &mut FleetLoad, now: Duration) -> Vec<Placement> {
    std::iter::from_fn(|| place(fleet_load, Duration::ZERO, now).ok()).collect()
}

/// Guards against a full target that gets further requests from schedulers which have not sent the
/// rejected one, and against one that counts as failed.
#[test]
fn a_rejection_lowers_the_room_for_all_schedulers_until_trials_are_answered() {
    let (mut one, mut two) = (scheduler(1, 1), scheduler(2, 1));
    let placed = fill(&mut one, SECOND);
    two.apply(one.take_events(), false, SECOND);
    let room = placed.len();
    for placement in &placed {
        one.end(placement, RunResult::Rejected, SECOND + 20 * MS);
    }
    two.apply(one.take_events(), false, SECOND + 25 * MS);
    for fleet_load in [&mut one, &mut two] {
        assert!(fleet_load.unusable(SECOND + 30 * MS).is_empty());
        let refused = place(fleet_load, Duration::ZERO, SECOND + 30 * MS);
        refused.expect_err("the target is closed after a rejection");
    }
    let mut now = 2 * SECOND;
    let lowered = fill(&mut two, now);
    assert!(
        !lowered.is_empty() && lowered.len() * 4 <= room * 3,
        "{} of {room}",
        lowered.len()
    );
    let mut running = lowered;
    for _ in 0..30 {
        // Long enough for the last request of each round, which does not come back, to be dropped.
        now += 300 * MS;
        for placement in running.drain(..) {
            two.end(&placement, RunResult::Answered { ms: 60 }, now);
        }
        running = fill(&mut two, now);
    }
    assert_eq!(running.len(), room, "the room rises again");
}

/// Guards against a target that turns everything away and gets request after request.
#[test]
fn a_target_that_rejects_all_gets_few_trials() {
    let mut fleet_load = scheduler(1, 1);
    let mut trials = 0;
    for attempt in 0..80 {
        let now = SECOND + attempt * 250 * MS;
        if let Ok(placement) = place(&mut fleet_load, Duration::ZERO, now) {
            fleet_load.end(&placement, RunResult::Rejected, now + MS);
            trials += 1;
        }
    }
    assert!((10..=30).contains(&trials), "{trials} of 80 requests");
}

/// Guards against requests that wait while later ones are served.
#[test]
fn a_waiting_request_comes_before_a_new_one() {
    let mut fleet_load = scheduler(1, 1);
    let placed = fill(&mut fleet_load, SECOND);
    let waiting = place(&mut fleet_load, Duration::ZERO, SECOND);
    let recheck_in = waiting.expect_err("no room").recheck_in;
    let pause = recheck_in.expect("a request that can be on time waits");
    let now = SECOND + pause;
    fleet_load.end(&placed[0], RunResult::Answered { ms: 20 }, now);
    place(&mut fleet_load, Duration::ZERO, now).expect_err("one request is ahead");
    place(&mut fleet_load, pause, now).expect("its turn");
}

/// Guards against a repeated request that is lost because the targets are full when its first run fails:
/// it waits when a new one is refused.
#[test]
fn a_request_that_has_run_waits_until_its_deadline() {
    let mut fleet_load = scheduler(1, 1);
    drop(fill(&mut fleet_load, SECOND));
    let attempts = (0..200).map(|_| place(&mut fleet_load, Duration::ZERO, SECOND));
    let refusals: Vec<Refusal> = attempts.filter_map(Result::err).collect();
    let last = refusals.last().expect("a refusal");
    assert!(last.recheck_in.is_none(), "the backlog is full: {last:?}");
    let repeated = place_run(&mut fleet_load, Duration::ZERO, true, SECOND);
    assert!(repeated.expect_err("no room").recheck_in.is_some());
}
