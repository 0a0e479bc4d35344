//! The limit that a target names on the requests per second from all routers together.
//!
//! Each scheduler counts the requests of the whole fleet in a token bucket of its own, based on the load
//! events. Schedulers that decide at the same moment do not see each other's requests; the bucket
//! goes into debt for these, and the limit holds on average.

use std::collections::VecDeque;
use std::time::Duration;

use samphiresill_core::units::RequestRate;

/// Length of the window in which the requests to a limited target are counted for the log.
const WINDOW: Duration = Duration::from_secs(4);
/// Maximum number of requests that are counted in the window.
const MAX_COUNTED: usize = 4_096;
/// Lowest rate in requests per second, so that the end of a limit of zero is noticed.
const MIN_RATE: f64 = 0.25;
/// Capacity of a bucket as a time at the limit, in seconds, and its lower bound in requests.
const BURST: (f64, f64) = (1.0, 2.0);
/// Range over which the tokens that a request needs are spread, so that schedulers do not all take
/// the same one.
const SPREAD: f64 = 0.5;
/// Additional tokens for a request of a customer above its fair share, so that a token goes to the
/// others first.
const ABOVE_SHARE_RESERVE: f64 = 0.5;

/// `Claim` is the claim of a request on the tokens of limited targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    tokens: f64,
}

impl Claim {
    /// Creates the claim of a request. `jitter` is uniform over 0 to 1.
    #[must_use]
    pub fn new(is_above_share: bool, jitter: f64) -> Self {
        let reserve = if is_above_share {
            ABOVE_SHARE_RESERVE
        } else {
            0.0
        };
        Self {
            tokens: 1.0 + reserve + SPREAD * jitter,
        }
    }
}

/// `LimitShare` is the part of a limit that one router may use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitShare {
    /// The router knows the requests of all routers.
    #[default]
    Whole,
    /// The router knows only its own requests, and is one of so many.
    OneOf(usize),
}

impl LimitShare {
    fn rate(self, rate: RequestRate) -> f64 {
        let rate = rate.per_second().max(MIN_RATE);
        match self {
            Self::Whole => rate,
            Self::OneOf(routers) => rate / routers.max(1) as f64,
        }
    }

    fn burst(self, rate: RequestRate) -> f64 {
        match self {
            Self::Whole => (self.rate(rate) * BURST.0).max(BURST.1),
            // Tokens that all routers have saved would be spent at one moment.
            Self::OneOf(_) => 1.0,
        }
    }

    fn claimed(self, claim: Claim) -> f64 {
        claim.tokens.min(match self {
            Self::Whole => BURST.1,
            Self::OneOf(_) => 1.0,
        })
    }
}

/// `RateLimit` is the limit of one target, and the recent requests to it.
#[derive(Clone, Debug)]
pub struct RateLimit {
    rate: RequestRate,
    /// When a response last named the limit.
    named_at: Duration,
    /// Requests that may be sent as of `counted_at`; negative after more than the limit allows.
    tokens: f64,
    counted_at: Duration,
    /// Times of recent requests of all routers.
    starts: VecDeque<Duration>,
}

impl RateLimit {
    /// Creates a limit that a response has just named, with `tokens` in its bucket.
    #[must_use]
    pub fn new(rate: RequestRate, tokens: f64, now: Duration) -> Self {
        Self {
            rate,
            named_at: now,
            tokens,
            counted_at: now,
            starts: VecDeque::new(),
        }
    }

    /// Returns the requests per second that the target takes.
    #[must_use]
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Returns when a response last named the limit.
    #[must_use]
    pub fn named_at(&self) -> Duration {
        self.named_at
    }

    /// Records that a response has named the limit again.
    pub fn name(&mut self, rate: RequestRate, share: LimitShare, now: Duration) {
        self.tokens = self.tokens(share, now);
        self.counted_at = now;
        self.rate = rate;
        self.named_at = now;
    }

    /// Returns the time until the target takes a request; zero when it does so now.
    #[must_use]
    pub fn wait(&self, claim: Claim, share: LimitShare, now: Duration) -> Duration {
        let missing = share.claimed(claim) - self.tokens(share, now);
        Duration::from_secs_f64(missing.max(0.0) / share.rate(self.rate))
    }

    /// Counts a request that was sent to the target.
    pub fn record_start(&mut self, share: LimitShare, now: Duration) {
        let max_debt = share.burst(self.rate);
        self.tokens = (self.tokens(share, now) - 1.0).max(-max_debt);
        self.counted_at = now;
        let is_old = |at: &Duration| now.saturating_sub(*at) > WINDOW;
        while self.starts.front().is_some_and(is_old) || self.starts.len() >= MAX_COUNTED {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Returns the number of requests in the last four seconds, by all routers.
    #[must_use]
    pub fn recent_starts(&self, now: Duration) -> usize {
        let recent = self.starts.iter();
        recent
            .filter(|at| now.saturating_sub(**at) <= WINDOW)
            .count()
    }

    fn tokens(&self, share: LimitShare, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.counted_at).as_secs_f64();
        (self.tokens + age_s * share.rate(self.rate)).min(share.burst(self.rate))
    }
}
