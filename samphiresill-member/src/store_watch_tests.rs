//! Tests of the decision who watches the store, with fleets in simulated time.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::member::{Health, Incarnation, Member};
use crate::roles::{RoleCounts, Roles};
use crate::store_watch::{ANSWER_INTERVAL, PollTurn, Position, Reason, StoreWatch};

const MS: Duration = Duration::from_millis(1);
const COUNTS: RoleCounts = RoleCounts {
    small_fleet: 12,
    schedulers: 6,
    watchers: 3,
};
/// Step of the simulation: the interval at which gateways decide.
const STEP: Duration = Duration::from_millis(25);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Duration of a call of the store, with the time to connect.
const CALL_TIME: Duration = Duration::from_millis(30);
/// Bound of the operators on the age of the configuration.
const CONFIG_DEADLINE: Duration = Duration::from_secs(2);

/// Whom the store answers no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refused {
    Nobody,
    /// A third of the fleet, by chance.
    AnyThird,
    /// A third of the fleet, with all schedulers of a large one.
    ThirdByRank,
    Everybody,
}

struct Router {
    member: Member,
    position: Position,
    watch: StoreWatch,
    jitter: Duration,
    parents: Vec<usize>,
    is_refused: bool,
    reason: Option<Reason>,
    /// End of the poll in progress.
    poll_until: Duration,
    own_answer_at: Option<Duration>,
    known_answer_at: Duration,
    heartbeat_at: Duration,
    /// Time at which the change is in force here.
    informed_at: Option<Duration>,
}

struct Fleet {
    routers: Vec<Router>,
    now: Duration,
    refused_at: Duration,
    changed_at: Duration,
}

impl Fleet {
    fn new(count: u16, refused: Refused, rng: &mut SmallRng) -> Self {
        let member = |n: u16| Member {
            vm: format!("r{n}").into(),
            domain: format!("d{}", n % 3).into(),
            address: ([10, (n % 3) as u8, (n / 200) as u8, (n % 200) as u8], 7_400).into(),
            strength: 250,
            incarnation: Incarnation::default(),
            health: Health::Alive,
        };
        let members: Vec<Member> = (0..count).map(member).collect();
        let roles = Roles::new(members.iter(), COUNTS);
        let index = |m: &Member| members.iter().position(|n| n.vm == m.vm).expect("a member");
        let third = usize::from(count) / 3;
        let mut order: Vec<usize> = roles.schedulers.iter().map(index).collect();
        let schedulers = order.clone();
        order.extend((0..usize::from(count)).filter(|n| !schedulers.contains(n)));
        let refused: BTreeSet<usize> = match refused {
            Refused::Nobody => BTreeSet::new(),
            Refused::AnyThird => rand::seq::index::sample(rng, usize::from(count), third)
                .into_iter()
                .collect(),
            Refused::ThirdByRank => order.into_iter().take(third).collect(),
            Refused::Everybody => order.into_iter().collect(),
        };
        let routers: Vec<Router> = members
            .iter()
            .enumerate()
            .map(|(n, member)| {
                let parents = roles.order_for(member);
                Router {
                    member: member.clone(),
                    position: roles.position(&member.vm, member.address),
                    watch: StoreWatch::new(rng.random(), Duration::ZERO),
                    jitter: HEARTBEAT_INTERVAL.mul_f64(rng.random()),
                    parents: parents
                        .iter()
                        .take(2)
                        .map(index)
                        .filter(|p| *p != n)
                        .collect(),
                    is_refused: refused.contains(&n),
                    reason: None,
                    poll_until: Duration::ZERO,
                    own_answer_at: None,
                    known_answer_at: Duration::ZERO,
                    heartbeat_at: Duration::ZERO,
                    informed_at: None,
                }
            })
            .collect();
        let refused_at = Duration::from_secs(8) + ANSWER_INTERVAL.mul_f64(rng.random());
        Self {
            routers,
            now: Duration::ZERO,
            refused_at,
            changed_at: refused_at + Duration::from_secs(3).mul_f64(rng.random()),
        }
    }

    fn is_scheduler(&self, n: usize) -> bool {
        !matches!(self.routers[n].position, Position::Other { .. })
    }

    /// Plays until `end`. Returns the largest number of routers that watched the store at a time.
    fn play(&mut self, end: Duration) -> usize {
        let mut most = 0;
        while self.now < end {
            self.now += STEP;
            let mut speaking = BTreeSet::new();
            for n in 0..self.routers.len() {
                if self.step(n) {
                    speaking.insert(n);
                }
            }
            for n in speaking {
                self.send_heartbeat(n);
            }
            most = most.max(self.routers.iter().filter(|r| r.reason.is_some()).count());
        }
        most
    }

    /// Decides and polls. Returns whether the router sends a heartbeat.
    fn step(&mut self, n: usize) -> bool {
        let (now, changed_at) = (self.now, self.changed_at);
        let is_silent = now >= self.refused_at;
        let router = &mut self.routers[n];
        let was_watching = router.reason.is_some();
        router.reason = router.watch.decide(router.position, now);
        if router.reason.is_none() {
            router.own_answer_at = None;
        } else if !was_watching {
            router.poll_until = now + CALL_TIME;
        }
        let mut is_news = false;
        if router.reason.is_some() && !(router.is_refused && is_silent) {
            let is_notified = now >= changed_at && router.informed_at.is_none();
            if now >= router.poll_until || is_notified && router.own_answer_at.is_some() {
                router.own_answer_at = Some(now);
                let turn = PollTurn::new(router.position, COUNTS.watchers);
                router.poll_until = now + turn.poll_time(now.as_millis() as u64);
                if now >= changed_at {
                    router.informed_at.get_or_insert(now);
                }
                is_news = true;
            }
        }
        let is_due = now >= router.heartbeat_at + HEARTBEAT_INTERVAL && now >= router.jitter;
        if is_due || is_news {
            router.heartbeat_at = now;
        }
        is_due || is_news
    }

    /// Heartbeats go between schedulers, from schedulers to their clients and back; a router that
    /// watches the store sends them to all schedulers.
    fn send_heartbeat(&mut self, from: usize) {
        let sender = &self.routers[from];
        let (own, known) = (sender.own_answer_at, sender.known_answer_at);
        let (informed_at, parents) = (sender.informed_at, sender.parents.clone());
        let is_from_scheduler = self.is_scheduler(from);
        for to in 0..self.routers.len() {
            let is_client = self.routers[to].parents.contains(&from);
            let is_heard = if self.is_scheduler(to) {
                is_from_scheduler || own.is_some() || parents.contains(&to)
            } else {
                is_from_scheduler && is_client
            };
            if to == from || !is_heard {
                continue;
            }
            let is_to_scheduler = self.is_scheduler(to);
            let now = self.now;
            let router = &mut self.routers[to];
            let told = if is_to_scheduler {
                own
            } else {
                own.max(Some(known))
            };
            if let Some(at) = told {
                router.watch.record_answer(at);
                router.known_answer_at = router.known_answer_at.max(at);
            }
            if !is_to_scheduler {
                router.watch.record_parent(now);
            }
            // News are passed on in the next step, which is longer than a fetch takes.
            if informed_at.is_some_and(|at| at < now) && router.informed_at.is_none() {
                router.informed_at = Some(now);
                router.heartbeat_at = Duration::ZERO;
            }
        }
        let own = self.routers[from].own_answer_at.unwrap_or_default();
        let known = &mut self.routers[from].known_answer_at;
        *known = own.max(*known);
    }
}

/// Guards against gateways that are cut off from changes by the store alone: those that watch it for
/// all are believed as long as they say so, while it no longer answers them.
#[rstest]
#[case::nine(9)]
#[case::eighteen(18)]
#[case::grown(83)]
#[case::large(295)]
fn a_third_that_the_store_answers_no_more_keeps_nobody_from_a_change(
    #[case] count: u16,
    #[values(Refused::AnyThird, Refused::ThirdByRank)] refused: Refused,
) {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(count, refused, &mut rng);
        fleet.play(fleet.changed_at + CONFIG_DEADLINE);
        let late = fleet.routers.iter().filter(|r| r.informed_at.is_none());
        let late: Vec<String> = late.map(|r| r.member.vm.to_string()).collect();
        assert!(late.is_empty(), "seed {seed}: {late:?}");
    }
}

/// While the store answers the watchers, nobody else calls it.
#[rstest]
#[case::nine(9)]
#[case::grown(83)]
#[case::large(295)]
fn nobody_steps_in_while_the_store_answers(#[case] count: u16) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut fleet = Fleet::new(count, Refused::Nobody, &mut rng);
    assert_eq!(fleet.play(Duration::from_mins(1)), COUNTS.watchers);
}

/// In an outage of nine seconds, the number of routers that call the store does not grow with the fleet.
#[test]
fn few_routers_call_a_store_that_answers_nobody() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut fleet = Fleet::new(295, Refused::Everybody, &mut rng);
    let most = fleet.play(fleet.refused_at + Duration::from_secs(9));
    assert!(most <= 30, "{most}");
}

struct TurnCase {
    index: u32,
    count: u32,
    store_ms: u64,
    /// Expected long-poll time in milliseconds.
    poll_ms: u64,
}

#[rstest]
#[case::first_at_its_turn(TurnCase { index: 0, count: 3, store_ms: 9_000, poll_ms: 3_000 })]
#[case::second(TurnCase { index: 1, count: 3, store_ms: 9_000, poll_ms: 1_000 })]
#[case::third(TurnCase { index: 2, count: 3, store_ms: 9_000, poll_ms: 2_000 })]
#[case::after_its_turn(TurnCase { index: 1, count: 3, store_ms: 10_010, poll_ms: 2_990 })]
#[case::shortly_before(TurnCase { index: 1, count: 3, store_ms: 9_900, poll_ms: 3_100 })]
#[case::alone(TurnCase { index: 0, count: 1, store_ms: 400, poll_ms: 600 })]
#[case::without_a_clock(TurnCase { index: 0, count: 0, store_ms: 0, poll_ms: 1_000 })]
#[case::latest_time(TurnCase { index: 2, count: 3, store_ms: u64::MAX, poll_ms: 1_385 })]
fn polls_end_in_turns(#[case] case: TurnCase) {
    let turn = PollTurn {
        index: case.index,
        count: case.count,
    };
    assert_eq!(turn.poll_time(case.store_ms), MS * case.poll_ms as u32);
}
