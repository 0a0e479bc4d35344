//! Tests of the retry decisions, the reassembly of interrupted streams and the claim protocol.

use std::collections::BTreeSet;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use samphiresill_core::outcome::{Outcome, Refusal};

use crate::assembly::{Assembly, AssemblyError};
use crate::claim::{
    self, CLAIM_RETENTION, Claim, Claimant, IN_PROGRESS_TIMEOUT, Recorded, Reply, State, Step,
};
use crate::failure::{self, FailureContext, FailurePoint, RetryClass, Verdict};

const POINTS: [FailurePoint; 6] = [
    FailurePoint::Connect,
    FailurePoint::Sending,
    FailurePoint::RefusedByTarget,
    FailurePoint::DuringAnswer,
    FailurePoint::Silence,
    FailurePoint::StreamLost,
];

fn contexts(retry_class: RetryClass) -> Vec<FailureContext> {
    let flags = [false, true];
    let mut all = Vec::new();
    for has_delivered in flags {
        for is_deterministic in flags {
            for may_retry in flags {
                all.push(FailureContext {
                    retry_class,
                    has_delivered,
                    is_deterministic,
                    may_retry,
                });
            }
        }
    }
    all
}

#[test]
fn a_request_that_runs_once_is_sent_again_only_when_nothing_was_sent() {
    for context in contexts(RetryClass::Once) {
        for point in POINTS {
            let verdict = failure::verdict(point, context);
            if point != FailurePoint::Connect {
                let is_final = matches!(
                    verdict,
                    Verdict::PassOn | Verdict::Refuse(Refusal::TargetFailed)
                );
                assert!(is_final, "{point}: {verdict}");
            }
        }
    }
}

#[test]
fn not_run_is_reported_only_when_no_target_can_have_run_the_request() {
    let not_run_points = [FailurePoint::Connect, FailurePoint::RefusedByTarget];
    for retry_class in [
        RetryClass::Once,
        RetryClass::Idempotent,
        RetryClass::Generation,
    ] {
        for context in contexts(retry_class) {
            for point in POINTS {
                if let Verdict::Refuse(refusal) = failure::verdict(point, context)
                    && refusal.outcome() == Outcome::NotRun
                {
                    assert!(
                        not_run_points.contains(&point),
                        "{retry_class} {point}: {refusal}"
                    );
                    assert!(!context.has_delivered, "{retry_class} {point}: {refusal}");
                }
            }
        }
    }
}

#[test]
fn delivered_text_is_never_followed_by_a_run_that_may_differ() {
    for context in contexts(RetryClass::Generation) {
        for point in POINTS {
            let verdict = failure::verdict(point, context);
            if context.has_delivered {
                assert_ne!(verdict, Verdict::Retry, "{point} {context:?}");
            }
            if verdict == Verdict::Replay {
                assert!(context.is_deterministic, "{point} {context:?}");
            }
        }
    }
}

/// Returns the pieces sent over one connection, from an index near `from` to a random end, some of
/// them duplicated.
fn connection(rng: &mut StdRng, from: usize, text: &[String]) -> Vec<(usize, String)> {
    let start = from - rng.random_range(0..=from.min(3));
    let end = rng.random_range(start..=text.len());
    let mut pieces = Vec::new();
    for (index, piece) in text.iter().enumerate().take(end).skip(start) {
        pieces.push((index, piece.clone()));
        if rng.random_bool(0.1) {
            pieces.push((index, piece.clone()));
        }
    }
    pieces
}

#[test]
fn interrupted_streams_are_delivered_without_gaps_or_duplicates() {
    for seed in 0..3_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let length = rng.random_range(1..60);
        let text: Vec<String> = (0..length).map(|i| format!("t{i} ")).collect();
        let mut assembly = Assembly::default();
        let mut delivered = String::new();
        while assembly.next_index() < length || !assembly.is_caught_up() {
            // A rerun begins at the start; a resumed stream continues where the previous connection
            // ended.
            let replays = rng.random_bool(0.1);
            if replays {
                assembly.begin_replay();
            }
            let is_behind = !assembly.is_caught_up();
            let from = if is_behind { 0 } else { assembly.next_index() };
            for (index, piece) in connection(&mut rng, from, &text) {
                match assembly.accept(index, &piece) {
                    Ok(Some(piece)) => delivered.push_str(piece),
                    Ok(None) => {}
                    Err(AssemblyError::Gap) => break,
                    Err(AssemblyError::Differs) => {
                        panic!("seed {seed}: mismatch reported for equal text")
                    }
                }
            }
        }
        assert_eq!(delivered, text.concat(), "seed {seed}");
        assert_eq!(assembly.text(), text.concat(), "seed {seed}");
    }
}

#[test]
fn a_missing_piece_and_another_text_are_faults() {
    let mut assembly = Assembly::default();
    assert_eq!(assembly.accept(0, "a"), Ok(Some("a")));
    assert_eq!(assembly.accept(2, "c"), Err(AssemblyError::Gap));
    assembly.begin_replay();
    assert_eq!(assembly.accept(0, "b"), Err(AssemblyError::Differs));
}

/// Result of a call to the table service in the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallResult {
    Normal,
    LostBefore,
    LostAfter,
}

/// Guards against wall clocks that jump by seconds between the routers that see a claim, or while one
/// does: no jump lets a key run twice, and a recorded response is replayed whatever the time.
#[rstest]
#[case::forward(&[1_000_000, 1_070_000])]
#[case::back(&[1_000_000, 930_000])]
#[case::forward_and_back(&[1_000_000, 1_070_000, 930_000, 1_000_000])]
#[case::before_the_claim(&[1_000_000, 0])]
fn no_jump_of_the_clock_runs_a_claimed_key_again(#[case] clock_ms: &[u64]) {
    let mut row = Claim {
        since_ms: clock_ms[0],
        ..claim_of("first")
    };
    let (mut second, _) = Claimant::new(claim_of("second"));
    for now_ms in clock_ms {
        let step = second.next(Reply::Row(Some((7, row.clone()))), *now_ms);
        let refused = [Refusal::InProgress, Refusal::KeyUnknown].map(Step::Refuse);
        assert!(refused.contains(&step), "{step:?} at {now_ms}");
    }
    let recorded = Recorded {
        status: 200,
        content_type: String::new(),
        body: "done".into(),
    };
    row.state = State::Answered(recorded.clone());
    for now_ms in clock_ms {
        let step = second.next(Reply::Row(Some((8, row.clone()))), *now_ms);
        assert_eq!(step, Step::Replay(recorded.clone()), "at {now_ms}");
    }
}

/// State of the exhaustive exploration: one row, and the claimants with their next steps.
#[derive(Clone)]
struct Exploration {
    row: Option<(u64, Claim)>,
    claimants: Vec<(Claimant, Option<Step>)>,
    runs: usize,
    losses: usize,
    crashes: usize,
}

fn claim_of(attempt: &str) -> Claim {
    Claim {
        fingerprint: "f".into(),
        attempt: attempt.into(),
        since_ms: 0,
        state: State::Running,
    }
}

impl Exploration {
    fn new(count: usize, losses: usize, crashes: usize) -> Self {
        let start = |n: usize| {
            let (claimant, step) = Claimant::new(claim_of(&format!("a{n}")));
            (claimant, Some(step))
        };
        Self {
            row: None,
            claimants: (0..count).map(start).collect(),
            runs: 0,
            losses,
            crashes,
        }
    }

    /// Explores every interleaving of steps, lost replies and crashes.
    fn explore(&self, seen: &mut BTreeSet<String>) -> usize {
        assert!(self.runs <= 1, "a key is run at most once");
        if !seen.insert(self.key()) {
            return 0;
        }
        let mut visited = 1;
        for index in 0..self.claimants.len() {
            if self.claimants[index].1.is_none() {
                continue;
            }
            for result in [
                CallResult::Normal,
                CallResult::LostBefore,
                CallResult::LostAfter,
            ] {
                if result == CallResult::Normal || self.losses > 0 {
                    visited += self.step(index, result).explore(seen);
                }
            }
            if self.crashes > 0 {
                let mut next = self.clone();
                next.crashes -= 1;
                next.claimants[index].1 = None;
                visited += next.explore(seen);
            }
        }
        visited
    }

    fn key(&self) -> String {
        format!(
            "{:?} {:?} {} {} {}",
            self.row, self.claimants, self.runs, self.losses, self.crashes
        )
    }

    fn step(&self, index: usize, result: CallResult) -> Self {
        let mut next = self.clone();
        let Some(step) = next.claimants[index].1.take() else {
            return next;
        };
        let reply = match step {
            Step::Write(version) => next.write(index, version, result),
            Step::Read if result == CallResult::Normal => Reply::Row(next.row.clone()),
            Step::Read => Reply::Lost,
            Step::Run => {
                next.runs += 1;
                return next;
            }
            Step::Replay(_) | Step::Refuse(_) => return next,
        };
        next.losses -= usize::from(result != CallResult::Normal);
        let step = next.claimants[index].0.next(reply, 0);
        next.claimants[index].1 = Some(step);
        next
    }

    fn write(&mut self, index: usize, version: u64, result: CallResult) -> Reply {
        if result == CallResult::LostBefore {
            return Reply::Lost;
        }
        let current = self.row.as_ref().map_or(0, |(version, _)| *version);
        let is_current = current == version;
        if is_current {
            self.row = Some((current + 1, self.claimants[index].0.claim().clone()));
        }
        match (result, is_current) {
            (CallResult::LostAfter, _) => Reply::Lost,
            (_, true) => Reply::Written,
            (_, false) => Reply::Conflict,
        }
    }
}

#[test]
fn every_interleaving_of_claims_lost_replies_and_crashes_runs_a_request_at_most_once() {
    let visited = Exploration::new(2, 3, 2).explore(&mut BTreeSet::new());
    assert!(visited > 1_000, "only {visited} states");
    let visited = Exploration::new(3, 1, 1).explore(&mut BTreeSet::new());
    assert!(visited > 1_000, "only {visited} states");
}

struct RowCase {
    name: &'static str,
    claim: Claim,
    age_ms: u64,
    step: Step,
}

#[test]
fn a_second_use_of_a_key_gets_what_its_row_says() {
    let recorded = Recorded {
        status: 201,
        content_type: "t".into(),
        body: "b".into(),
    };
    let answered = State::Answered(recorded.clone());
    let with = |state: State| Claim {
        state,
        ..claim_of("first")
    };
    let in_progress = IN_PROGRESS_TIMEOUT.as_millis() as u64;
    let retention = CLAIM_RETENTION.as_millis() as u64;
    let other = Claim {
        fingerprint: "g".into(),
        ..with(answered.clone())
    };
    let refuse = Step::Refuse;
    let cases = [
        RowCase {
            name: "answered",
            claim: with(answered.clone()),
            age_ms: 5,
            step: Step::Replay(recorded),
        },
        RowCase {
            name: "running",
            claim: with(State::Running),
            age_ms: in_progress - 1,
            step: refuse(Refusal::InProgress),
        },
        RowCase {
            name: "running for too long",
            claim: with(State::Running),
            age_ms: in_progress,
            step: refuse(Refusal::KeyUnknown),
        },
        RowCase {
            name: "unknown",
            claim: with(State::Unknown),
            age_ms: 5,
            step: refuse(Refusal::KeyUnknown),
        },
        RowCase {
            name: "another request",
            claim: other,
            age_ms: 5,
            step: refuse(Refusal::KeyReused),
        },
        RowCase {
            name: "expired",
            claim: with(answered),
            age_ms: retention,
            step: Step::Write(7),
        },
    ];
    for case in cases {
        let (mut claimant, _) = Claimant::new(claim_of("second"));
        assert_eq!(
            claimant.next(Reply::Conflict, 0),
            Step::Read,
            "{}",
            case.name
        );
        let step = claimant.next(Reply::Row(Some((7, case.claim))), case.age_ms);
        assert_eq!(step, case.step, "{}", case.name);
    }
}

#[test]
fn fingerprints_tell_method_path_and_body_apart() {
    let base = claim::fingerprint("POST", "/orders", b"x");
    let others = [
        claim::fingerprint("PUT", "/orders", b"x"),
        claim::fingerprint("POST", "/order", b"sx"),
        claim::fingerprint("POST", "/orders", b"y"),
    ];
    assert!(others.iter().all(|o| *o != base));
}
