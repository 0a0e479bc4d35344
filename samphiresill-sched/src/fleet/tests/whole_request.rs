//! Tests of the evidence against whole requests that crash engines each time they are repeated.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use samphiresill_core::name::TargetName;

use crate::fleet::quarantine::evidence::{CrashEvidence, Suspect};
use crate::fleet::quarantine::whole;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const ENGINES: usize = 9;
/// The request that crashes engines.
const DEADLY: u64 = 0xdead;
/// A part of other prompts, and the number of those that are answered between two happenings.
const OTHER: u64 = 0x07;
const ANSWERS_BETWEEN: usize = 100;

/// Parts of a prompt, and the fingerprint of the request.
type Prompt = (&'static [u64], u64);

enum Happening {
    Crash(&'static str, &'static [Prompt]),
    Answer(Prompt),
}

use Happening::{Answer, Crash};

fn suspects<'a>(prompts: impl Iterator<Item = (&'a [u64], u64)>) -> Vec<Suspect> {
    let of_prompt = |(parts, fingerprint): (&'a [u64], u64)| {
        let parts = parts.iter().enumerate().map(|(depth, part)| Suspect {
            part: *part,
            depth: depth as u8,
        });
        parts.chain(std::iter::once(Suspect {
            part: fingerprint,
            depth: whole::DEPTH,
        }))
    };
    prompts.flat_map(of_prompt).collect()
}

fn convicted(evidence: &mut CrashEvidence, engines: usize, now: Duration) -> Vec<u64> {
    let convictions = std::iter::from_fn(|| evidence.convict(|_| false, engines, now));
    convictions.map(|c| c.part).collect()
}

struct Case {
    /// What happens, at this interval, while other requests are answered.
    happenings: &'static [Happening],
    interval: Duration,
    convicted: &'static [u64],
}

/// Guards against a request that is repeated under other ids and ends one engine after the other: the
/// parts that it shares are sound, so that none was convicted, or a sound one for it.
#[rstest]
#[case::third_crash(Case { happenings: &[Crash("t1", &[(&[1, 2], DEADLY), (&[1, 3], 30)]), Crash("t2", &[(&[1, 2], DEADLY), (&[1, 4], 31)]), Crash("t3", &[(&[1, 2], DEADLY)])], interval: SECOND, convicted: &[DEADLY] })]
#[case::sound_session(Case { happenings: &[Crash("t1", &[(&[1, 2], DEADLY)]), Answer((&[1, 2], 30)), Crash("t2", &[(&[1, 2], DEADLY)]), Answer((&[1, 2], 31)), Crash("t3", &[(&[1, 2], DEADLY)])], interval: SECOND, convicted: &[DEADLY] })]
#[case::second_crash(Case { happenings: &[Crash("t1", &[(&[1, 2], DEADLY)]), Crash("t2", &[(&[1, 2], DEADLY)])], interval: SECOND, convicted: &[] })]
#[case::answered_in_between(Case { happenings: &[Crash("t1", &[(&[1], 30)]), Crash("t2", &[(&[1], 30)]), Answer((&[1], 30)), Crash("t3", &[(&[1], 30)])], interval: SECOND, convicted: &[] })]
#[case::one_moment(Case { happenings: &[Crash("t1", &[(&[1], DEADLY)]), Crash("t2", &[(&[1], DEADLY)]), Crash("t3", &[(&[1], DEADLY)])], interval: MS, convicted: &[] })]
#[case::one_target(Case { happenings: &[Crash("t1", &[(&[], DEADLY)]), Crash("t1", &[(&[], DEADLY)]), Crash("t1", &[(&[], DEADLY)])], interval: SECOND, convicted: &[] })]
#[case::deadly_part_in_other_requests(Case { happenings: &[Crash("t1", &[(&[1, DEADLY], 30)]), Crash("t2", &[(&[1, DEADLY], 30)]), Crash("t3", &[(&[1, DEADLY], 30)]), Crash("t4", &[(&[2, DEADLY], 31)])], interval: SECOND, convicted: &[DEADLY] })]
#[case::two_requests(Case { happenings: &[Crash("t1", &[(&[1], DEADLY)]), Crash("t2", &[(&[1], 40)]), Crash("t3", &[(&[1], DEADLY)]), Crash("t4", &[(&[1], 40)]), Answer((&[1], 30)), Crash("t5", &[(&[1], DEADLY)]), Crash("t6", &[(&[1], 40)])], interval: SECOND * 3, convicted: &[40, DEADLY] })]
fn a_request_that_crashes_engines_is_convicted(#[case] case: Case) {
    let mut evidence = CrashEvidence::default();
    let mut now = SECOND * 30;
    for happening in case.happenings {
        now += case.interval;
        for _ in 0..ANSWERS_BETWEEN {
            evidence.record_answer(&[OTHER], now);
        }
        match happening {
            Crash(target, prompts) => {
                let suspects = suspects(prompts.iter().copied());
                let target = TargetName::from(*target);
                evidence.record_crash(&target, prompts.len() as u32, &suspects, now);
            }
            Answer((parts, fingerprint)) => {
                evidence.record_answer(parts, now);
                evidence.record_whole_answer(*fingerprint, now);
            }
        }
    }
    let mut found = convicted(&mut evidence, ENGINES, now + SECOND);
    found.sort_unstable();
    assert_eq!(found, case.convicted);
}

/// Engines that crash for reasons of their own at `crashes_per_s`, among which the deadly request is
/// repeated each `deadly_interval`.
struct Storm {
    engines: usize,
    crashes_per_s: f64,
    deadly_interval: Option<Duration>,
    /// Crashes by the deadly request after which it must be known.
    crashes: usize,
}

/// Replays a minute of load with 200 seeds: callers repeat a request whose engine has crashed twice. No
/// sound part or request is convicted, however often its engines crashed.
#[rstest]
#[case::no_deadly_request(Storm { engines: 9, crashes_per_s: 1.0, deadly_interval: None, crashes: 0 })]
#[case::no_deadly_request_in_a_large_fleet(Storm { engines: 90, crashes_per_s: 6.0, deadly_interval: None, crashes: 0 })]
#[case::deadly_request(Storm { engines: 9, crashes_per_s: 0.0, deadly_interval: Some(SECOND), crashes: 3 })]
#[case::deadly_request_in_a_large_fleet(Storm { engines: 90, crashes_per_s: 0.0, deadly_interval: Some(SECOND), crashes: 3 })]
#[case::deadly_request_among_crashes(Storm { engines: 9, crashes_per_s: 0.1, deadly_interval: Some(SECOND.saturating_mul(2)), crashes: 6 })]
fn storms_convict_the_deadly_request_and_no_sound_one(#[case] storm: Storm) {
    for seed in 0..200 {
        replay(&storm, seed);
    }
}

#[derive(Clone, Debug)]
struct Run {
    parts: [u64; 2],
    fingerprint: u64,
    tries: u32,
}

fn replay(storm: &Storm, seed: u64) {
    const STEP: Duration = Duration::from_millis(100);
    const RUNS_PER_ENGINE: usize = 7;
    /// Part of the runs that end in a step.
    const ENDING: f64 = 0.06;
    const TRIES: u32 = 3;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut evidence = CrashEvidence::default();
    let mut engines: Vec<Vec<Run>> = vec![Vec::new(); storm.engines];
    let mut down_until = vec![Duration::ZERO; storm.engines];
    let mut known: BTreeMap<u64, Duration> = BTreeMap::new();
    let mut repeats: VecDeque<Run> = VecDeque::new();
    let (mut next, mut deadly_crashes, mut deadly_at) = (0x1_0000, 0, SECOND * 20);
    for step in 1..600 {
        let now = STEP * step;
        for engine in 0..storm.engines {
            if now < down_until[engine] {
                continue;
            }
            // Repeats are spread over the engines.
            let mut repeated = repeats.pop_front();
            while engines[engine].len() < RUNS_PER_ENGINE {
                let run = repeated.take().unwrap_or_else(|| {
                    next += 1;
                    let session = (rng.random::<f64>().powi(2) * 458.0) as u64;
                    Run {
                        parts: [rng.random_range(1..4), 100 + session],
                        fingerprint: next,
                        tries: 0,
                    }
                });
                engines[engine].push(run);
            }
            let is_due = storm.deadly_interval.is_some() && now >= deadly_at;
            let is_deadly = is_due && !known.contains_key(&DEADLY);
            if is_deadly {
                engines[engine].push(Run {
                    parts: [1, 99],
                    fingerprint: DEADLY,
                    tries: TRIES,
                });
                deadly_crashes += 1;
                deadly_at = now + storm.deadly_interval.unwrap_or_default();
            }
            let per_step = storm.crashes_per_s * STEP.as_secs_f64() / storm.engines as f64;
            if is_deadly || rng.random_bool(per_step) {
                let mut runs = std::mem::take(&mut engines[engine]);
                let prompts = runs.iter().map(|r| (&r.parts[..], r.fingerprint));
                let (suspects, count) = (suspects(prompts), runs.len() as u32);
                let target = TargetName::from(format!("t{engine}"));
                evidence.record_crash(&target, count, &suspects, now);
                down_until[engine] = now + SECOND * 3;
                for run in &mut runs {
                    run.tries += 1;
                }
                repeats.extend(runs.into_iter().filter(|r| r.tries < TRIES));
                continue;
            }
            engines[engine].retain(|run| {
                let ends = rng.random_bool(ENDING);
                if ends {
                    evidence.record_answer(&run.parts, now);
                    evidence.record_whole_answer(run.fingerprint, now);
                }
                !ends
            });
        }
        if step % 5 == 0 {
            let found = convicted(&mut evidence, storm.engines, now);
            known.extend(found.into_iter().map(|part| (part, now)));
        }
    }
    let known: BTreeSet<u64> = known.into_keys().collect();
    let expected = BTreeSet::from_iter(storm.deadly_interval.map(|_| DEADLY));
    assert_eq!(known, expected, "seed {seed}");
    assert!(
        deadly_crashes <= storm.crashes,
        "seed {seed}: {deadly_crashes}"
    );
}
