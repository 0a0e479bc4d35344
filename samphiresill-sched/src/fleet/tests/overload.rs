//! Stream limit of one router: replayed load patterns with a model of its processor.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::fleet::overload::StreamLimiter;

const TICK: Duration = Duration::from_millis(1);
/// Interval at which the lag of timers is measured.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Processor time to start and to refuse a stream, and to relay one event, in milliseconds.
const START_MS: f64 = 1.2;
const REFUSE_MS: f64 = 0.8;
const EVENT_MS: f64 = 0.1;
/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Duration of a stream.
const STREAM_DURATION: Duration = Duration::from_secs(2);
/// When two health checks in a row have found the router out of rotation, and new connections reach
/// other routers.
const BALANCER_REACTION: Duration = Duration::from_secs(2);

/// `Router` is a router whose callers the load balancer sends to it alone.
struct Router {
    limiter: StreamLimiter,
    now: Duration,
    /// Work of the processor that is not done yet, in milliseconds.
    backlog_ms: f64,
    /// Ends of the streams in flight.
    streams: VecDeque<Duration>,
    left_rotation_at: Option<Duration>,
}

impl Router {
    fn new() -> Self {
        Self {
            limiter: StreamLimiter::default(),
            now: Duration::from_secs(100),
            backlog_ms: 0.0,
            streams: VecDeque::new(),
            left_rotation_at: None,
        }
    }

    /// Handles a new stream. Once the load balancer has reacted, another router starts it.
    fn offer(&mut self) -> bool {
        let has_reacted = |at: Duration| self.now.saturating_sub(at) >= BALANCER_REACTION;
        if self.left_rotation_at.is_some_and(has_reacted) {
            return true;
        }
        let is_admitted = self.limiter.admits(self.streams.len(), self.now);
        if is_admitted {
            self.backlog_ms += START_MS;
            self.streams.push_back(self.now + STREAM_DURATION);
        } else {
            self.backlog_ms += REFUSE_MS;
        }
        if self.limiter.is_out_of_rotation(self.now) {
            self.left_rotation_at.get_or_insert(self.now);
        }
        is_admitted
    }

    fn step(&mut self) {
        self.now += TICK;
        self.streams.retain(|ends_at| *ends_at > self.now);
        let events = self.streams.len() as f64 * TICK.as_secs_f64() / EVENT_INTERVAL.as_secs_f64();
        self.backlog_ms = (self.backlog_ms + events * EVENT_MS - 1.0).max(0.0);
        if self
            .now
            .as_millis()
            .is_multiple_of(LAG_CHECK_INTERVAL.as_millis())
        {
            let lag = Duration::from_secs_f64(self.backlog_ms / 1_000.0);
            self.limiter.observe(lag, self.streams.len());
        }
    }
}

struct Burst {
    /// Streams that arrive in a second.
    per_s: f64,
    duration_ms: u64,
}

/// Guards against a stream limit that a burst of arrivals lowers and that rises only slowly afterwards:
/// the callers return to a processor that is idle, and are refused again. Their customer gets less than
/// half of what it asked for.
#[rstest]
#[case::recorded(Burst { per_s: 1_100.0, duration_ms: 500 })]
#[case::steeper(Burst { per_s: 2_000.0, duration_ms: 200 })]
#[case::longer(Burst { per_s: 900.0, duration_ms: 600 })]
fn callers_that_return_to_an_idle_router_are_served(#[case] case: Burst) {
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut router = Router::new();
        let began = router.now;
        // Each caller returns once.
        let mut returns: Vec<Duration> = Vec::new();
        let (mut asked, mut served) = (0, 0);
        while router.now < began + Duration::from_secs(6) {
            if router.now < began + Duration::from_millis(case.duration_ms) {
                let arrivals = (case.per_s / 1_000.0 + rng.random::<f64>()) as usize;
                for _ in 0..arrivals {
                    asked += 1;
                    if router.offer() {
                        served += 1;
                    } else {
                        returns.push(router.now + StreamLimiter::retry_after(rng.random()));
                    }
                }
            }
            let due = returns.extract_if(.., |at| *at <= router.now).count();
            served += (0..due).filter(|_| router.offer()).count();
            router.step();
        }
        println!("seed {seed}: {served} of {asked} were served");
        assert!(
            served * 2 >= asked,
            "seed {seed}: {served} of {asked} were served"
        );
    }
}
