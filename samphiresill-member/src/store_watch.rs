//! Decides which routers watch the store on behalf of all, as a pure function of what they hear.
//!
//! A watcher is not trusted because it says that it watches, but because the store has answered it:
//! routers tell each other the age of the last answer, and others step in when the newest answer that
//! they know of becomes too old. A store that is silent to the watchers, or refuses them, while it
//! serves others, thus costs at most [`SCHEDULER_TIMEOUT`] and [`STAND_IN_TIMEOUT`] with the ranks'
//! delays. Watchers poll in turns, so that an answer reaches one of them every [`ANSWER_INTERVAL`]
//! also while nothing changes.

use std::time::Duration;

/// Interval between the store's answers to the watchers together.
pub const ANSWER_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest long poll that ends in the own turn; a shorter one is extended to the next turn.
const MIN_POLL_TIME: Duration = Duration::from_millis(200);
/// Age of the newest answer at which schedulers step in: the interval, and that between heartbeats.
pub const SCHEDULER_TIMEOUT: Duration = Duration::from_millis(1_450);
/// Additional time for each further rank, so that not all schedulers step in at once.
const SCHEDULER_RANK_DELAY: Duration = Duration::from_millis(20);
/// Age of the newest answer at which other routers step in, after the schedulers of a large fleet.
pub const STAND_IN_TIMEOUT: Duration = Duration::from_millis(1_650);
/// Additional time for each further rank of those that step in together.
const STAND_IN_RANK_DELAY: Duration = Duration::from_millis(15);
/// Number of other routers that step in together. With a third of all routers refused, one of them is
/// served but for a chance of 2 in a million.
const STAND_INS: usize = 12;
/// Additional time for each rank after them: in an outage of the store, all are refused, and the calls
/// of a large fleet must stay few.
const LATE_RANK_DELAY: Duration = Duration::from_secs(1);
/// Time for which a router that has stepped in goes on, so that roles do not alternate.
const STAND_IN_TIME: Duration = Duration::from_secs(5);
/// Time without a frame from a parent after which a router that is not a scheduler counts as
/// partitioned: three heartbeats, and less than the drain timeouts, which start at two seconds.
const PARENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum jitter added to [`PARENT_TIMEOUT`].
const PARENT_TIMEOUT_JITTER: Duration = Duration::from_millis(400);

/// `Position` is the place of a router in the order in which routers watch the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// A scheduler that watches the store always.
    Watcher {
        /// Rank among the schedulers, from 0.
        rank: usize,
    },
    /// A scheduler that steps in.
    Scheduler {
        /// Rank among the schedulers that do not watch, from 0.
        rank: usize,
    },
    /// Any other router.
    Other {
        /// Rank among these, from 0, in an order that is unrelated to addresses and domains.
        rank: usize,
    },
}

/// `Reason` is why a router watches the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Reason {
    /// It is one of the watchers.
    #[display("role")]
    Role,
    /// The store's newest known answer to another router is too old.
    #[display("stale")]
    Stale,
    /// It hears from none of its parents.
    #[display("partitioned")]
    Partitioned,
}

/// `StoreWatch` is what a router has heard of the store from others.
#[derive(Clone, Debug)]
pub struct StoreWatch {
    /// Time of the store's newest known answer to another router.
    answered_at: Duration,
    /// Time of the last frame from a parent.
    parent_seen_at: Duration,
    /// Until when this router goes on after it has stepped in.
    stands_in_until: Duration,
    /// Fraction of the maximum jitter.
    jitter: f64,
}

impl StoreWatch {
    /// Creates the state of a router that starts at `now`. `jitter`, from 0 to 1, differs between
    /// routers.
    #[must_use]
    pub fn new(jitter: f64, now: Duration) -> Self {
        Self {
            answered_at: now,
            parent_seen_at: now,
            stands_in_until: Duration::ZERO,
            jitter: jitter.clamp(0.0, 1.0),
        }
    }

    /// Records that the store has answered another router at `at`.
    pub fn record_answer(&mut self, at: Duration) {
        self.answered_at = self.answered_at.max(at);
    }

    /// Records a frame from a parent.
    pub fn record_parent(&mut self, now: Duration) {
        self.parent_seen_at = now;
    }

    /// Time since the store's newest known answer to another router.
    #[must_use]
    pub fn answer_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.answered_at)
    }

    /// Returns why this router is to watch the store now; `None` when others do.
    pub fn decide(&mut self, position: Position, now: Duration) -> Option<Reason> {
        let timeout = match position {
            Position::Watcher { .. } => return Some(Reason::Role),
            Position::Scheduler { rank } => SCHEDULER_TIMEOUT + SCHEDULER_RANK_DELAY * count(rank),
            Position::Other { rank } => {
                let together = STAND_IN_RANK_DELAY * count(rank.min(STAND_INS));
                let late = LATE_RANK_DELAY * count(rank.saturating_sub(STAND_INS));
                STAND_IN_TIMEOUT + together + late
            }
        };
        if self.answer_age(now) > timeout {
            self.stands_in_until = now + STAND_IN_TIME;
        }
        if now < self.stands_in_until {
            return Some(Reason::Stale);
        }
        let is_other = matches!(position, Position::Other { .. });
        let parent_timeout = PARENT_TIMEOUT + PARENT_TIMEOUT_JITTER.mul_f64(self.jitter);
        let is_partitioned = is_other && now.saturating_sub(self.parent_seen_at) > parent_timeout;
        is_partitioned.then_some(Reason::Partitioned)
    }
}

/// `PollTurn` is the turn of one of the routers that poll the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollTurn {
    /// Number of the turn, from 0.
    pub index: u32,
    /// Number of turns; 0 counts as 1.
    pub count: u32,
}

impl PollTurn {
    /// Returns the turn of a router among `watchers` turns. Routers that step in share the turns of
    /// those that they may replace.
    #[must_use]
    pub fn new(position: Position, watchers: usize) -> Self {
        let (Position::Watcher { rank } | Position::Scheduler { rank } | Position::Other { rank }) =
            position;
        let watchers = watchers.max(1);
        Self {
            index: count(rank % watchers),
            count: count(watchers),
        }
    }

    /// Returns the long-poll time of a call that ends in this turn, when the store's clock, which all
    /// watchers share, shows `store_ms`.
    #[must_use]
    pub fn poll_time(self, store_ms: u64) -> Duration {
        let interval = ANSWER_INTERVAL.as_millis() as u64;
        let period = interval * u64::from(self.count.max(1));
        let due = interval * u64::from(self.index) % period;
        let elapsed = (store_ms % period + period - due) % period;
        let remaining = Duration::from_millis(period - elapsed);
        if remaining < MIN_POLL_TIME {
            remaining + Duration::from_millis(period)
        } else {
            remaining
        }
    }
}

fn count(rank: usize) -> u32 {
    u32::try_from(rank).unwrap_or(u32::MAX)
}
