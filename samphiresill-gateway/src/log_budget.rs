//! A rate limit on the log lines that requests write.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use derive_more::Display;
use samphiresill_core::clock::Clock;

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// `Kind` is the kind of a log line; lines about failures have a larger budget than others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Kind {
    /// A request was served.
    #[display("served")]
    Served,
    /// A stream was served whose target ended it by closing the connection.
    #[display("served unframed")]
    ServedUnframed,
    /// A request was refused.
    #[display("refused")]
    Refused,
    /// A request or an attempt failed.
    #[display("failed")]
    Failed,
}

impl Kind {
    /// Maximum number of lines per second. Writing a line takes some tens of microseconds, so
    /// that a router with a tenth of a core spends at most a hundredth of it on logging.
    fn limit(self) -> u32 {
        match self {
            Self::Served | Self::ServedUnframed | Self::Refused => 5,
            Self::Failed => 20,
        }
    }
}

#[derive(Debug, Default)]
struct Window {
    began: Duration,
    lines: BTreeMap<Kind, u32>,
}

/// `LogBudget` limits the rate of log lines by kind, and logs how many were suppressed.
pub struct LogBudget {
    clock: Arc<dyn Clock>,
    window: Mutex<Window>,
}

impl LogBudget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            window: Mutex::default(),
        }
    }

    /// Counts a line of this kind and returns whether it may be written.
    #[must_use]
    pub fn allows(&self, kind: Kind) -> bool {
        let now = self.clock.monotonic();
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_sub(window.began) >= WINDOW {
            let ended = std::mem::take(&mut *window);
            window.began = now;
            for (kind, lines) in ended.lines {
                let suppressed = lines.saturating_sub(kind.limit());
                if suppressed > 0 {
                    log::info!(kind:%, suppressed; "lines suppressed");
                }
            }
        }
        let lines = window.lines.entry(kind).or_default();
        *lines += 1;
        *lines <= kind.limit()
    }
}
