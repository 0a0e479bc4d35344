//! Signs that a target may have restarted, and answers that disprove them.
//!
//! Load events arrive late by some tens of milliseconds, so the order of events that are closer than
//! that is unknown. In doubt, a target counts as restarted.

use std::collections::VecDeque;
use std::time::Duration;

/// Time by which the events of two routers may be out of order: the interval between datagrams, the
/// latency between failure domains and some scheduling delay.
const EVENT_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of signs of one target; a further one extends the newest.
const MAX_SIGNS: usize = 4;

/// `Sign` is evidence that a target may have restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sign {
    /// Earliest time of the restart, as start of the first failed attempt.
    pub first_at: Duration,
    /// When the last attempt failed.
    pub last_at: Duration,
    /// When the target is warm; `None` while no later run has been answered.
    pub warm_at: Option<Duration>,
    /// Whether only a connection broke, which also happens without a restart. `warm_at` is then fixed.
    pub is_weak: bool,
}

impl Sign {
    /// Whether an event at `now` may have the same cause.
    #[must_use]
    pub fn is_recent(&self, now: Duration) -> bool {
        now <= self.last_at + EVENT_DELAY
    }
}

/// `Signs` are the signs of one target, in order of time.
#[derive(Clone, Debug, Default)]
pub struct Signs {
    signs: VecDeque<Sign>,
    /// The latest period that one process is known to have survived.
    survived: (Duration, Duration),
}

impl Signs {
    /// Returns the signs that are in force.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = &Sign> {
        let signs = self.signs.iter();
        signs.filter(move |sign| sign.warm_at.is_none_or(|at| now < at))
    }

    /// Records a sign of this or another router.
    pub fn record(&mut self, sign: Sign, now: Duration) {
        self.remove_old(now);
        let (from, to) = self.survived;
        if from < sign.first_at && sign.last_at + EVENT_DELAY < to {
            return;
        }
        let is_full = self.signs.len() >= MAX_SIGNS;
        match self.signs.back_mut() {
            Some(last) if sign.is_weak && !last.is_weak && (last.warm_at.is_none() || is_full) => {
                last.last_at = last.last_at.max(sign.last_at);
                if last.warm_at.is_some() {
                    last.warm_at = last.warm_at.max(sign.warm_at);
                }
            }
            Some(last) if last.is_weak || last.warm_at.is_none() || is_full => {
                last.first_at = last.first_at.min(sign.first_at);
                last.last_at = last.last_at.max(sign.last_at);
                last.is_weak &= sign.is_weak;
                last.warm_at = sign.warm_at;
            }
            _ => self.signs.push_back(sign),
        }
    }

    /// Records a sign that another router repeats. Returns whether it was unknown.
    pub fn merge(&mut self, sign: Sign, now: Duration) -> bool {
        let is_known = |s: &Sign| !s.is_weak && sign.last_at <= s.last_at + EVENT_DELAY;
        let is_new = !self.signs.iter().any(is_known);
        if is_new {
            self.record(sign, now);
        }
        is_new
    }

    /// Records that a run that began at `began_at` was answered. A target is cold for `cold_time` after
    /// the first answer.
    pub fn record_answer(&mut self, began_at: Duration, cold_time: Duration, now: Duration) {
        let has_survived =
            |s: &Sign| began_at + EVENT_DELAY < s.first_at && s.last_at + EVENT_DELAY < now;
        if self.signs.iter().any(has_survived) {
            self.survived = (began_at + EVENT_DELAY, now);
            self.signs.retain(|s| !has_survived(s));
        }
        for sign in &mut self.signs {
            if began_at > sign.last_at {
                sign.warm_at.get_or_insert(now + cold_time);
            }
        }
        self.remove_old(now);
    }

    fn remove_old(&mut self, now: Duration) {
        self.signs.retain(|s| s.warm_at.is_none_or(|at| now < at));
    }
}
