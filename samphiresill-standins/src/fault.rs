//! Faults of the engine and the service that a test injects through `POST /control`.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Deserialize;

/// `Faults` is the body of a control call, which replaces all faults set before.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the fields are independent flags of the control call"
)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// New requests are rejected with status 503 without being executed.
    pub refuse: bool,
    /// The engine generates no tokens and the service executes no requests until the fault is
    /// cleared.
    pub stall: bool,
    /// The service executes requests, but sends no response and leaves the connection open.
    pub drop_answer: bool,
    /// Additional delay of each decoding step of the engine and each request to the service, in
    /// milliseconds.
    pub slow_ms: u64,
    /// Requests in progress at the time of the control call receive no more data, although their
    /// connections stay open; later requests are served normally.
    pub silence_open: bool,
}

/// `FaultInjector` holds the active faults.
///
/// Its epoch grows with each control call that sets `silence_open`, so that requests from before
/// such a call can be distinguished from later ones.
#[derive(Debug, Default)]
pub struct FaultInjector {
    state: Mutex<(Faults, u64)>,
    changed: Condvar,
}

impl FaultInjector {
    /// Replaces the active faults.
    pub fn set(&self, faults: Faults) {
        let mut state = self.lock();
        let epoch = state.1 + u64::from(faults.silence_open);
        *state = (faults, epoch);
        self.changed.notify_all();
    }

    /// Returns the active faults.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.lock().0
    }

    /// Returns the current epoch, to be passed to [`FaultInjector::is_silent`] later.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.lock().1
    }

    /// Returns whether a request that began in `epoch` has been silenced since.
    #[must_use]
    pub fn is_silent(&self, epoch: u64) -> bool {
        self.epoch() > epoch
    }

    /// Blocks while `stall` is set, then for `slow_ms`.
    pub fn apply_delay(&self) {
        let mut state = self.lock();
        while state.0.stall {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let delay_ms = state.0.slow_ms;
        drop(state);
        if delay_ms > 0 {
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
    }

    fn lock(&self) -> MutexGuard<'_, (Faults, u64)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
