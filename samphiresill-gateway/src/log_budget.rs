//! A bound on the lines that requests write to the log.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use derive_more::Display;
use samphiresill_core::clock::Clock;

/// Time to which the bounds apply.
const WINDOW: Duration = Duration::from_secs(1);

/// `Kind` is a kind of line; requests that failed have a larger budget than others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Kind {
    /// A request was served.
    #[display("served")]
    Served,
    /// A request was refused.
    #[display("refused")]
    Refused,
    /// A request or an attempt failed.
    #[display("failed")]
    Failed,
}

impl Kind {
    /// Lines a second. A line costs some tens of microseconds; a router of a tenth of a core
    /// spends a hundredth of it on them at most.
    fn limit(self) -> u32 {
        match self {
            Self::Served | Self::Refused => 5,
            Self::Failed => 20,
        }
    }
}

#[derive(Debug, Default)]
struct Window {
    began: Duration,
    lines: BTreeMap<Kind, u32>,
}

/// `LogBudget` bounds the lines, and logs how many were suppressed.
pub struct LogBudget {
    clock: Arc<dyn Clock>,
    window: Mutex<Window>,
}

impl LogBudget {
    /// A budget that begins now.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            window: Mutex::default(),
        }
    }

    /// Whether a line of this kind may be written.
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
