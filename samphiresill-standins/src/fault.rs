//! Faults that a test switches on by a control call.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Deserialize;

/// `Faults` are the faults in force; a control call replaces them whole.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of its own in a control call"
)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// New requests are refused with status 503 before anything ran.
    pub refuse: bool,
    /// Nothing is generated and nothing is answered until the fault is lifted.
    pub stall: bool,
    /// The answer is dropped after the request ran.
    pub drop_answer: bool,
    /// Each request takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Connections open at the time of the control call go silent; new ones work.
    pub silence_open: bool,
}

/// `Switch` holds the faults and tells the connections of before a control call from later ones.
#[derive(Debug, Default)]
pub struct Switch {
    state: Mutex<(Faults, u64)>,
    changed: Condvar,
}

impl Switch {
    /// Puts faults in force.
    pub fn set(&self, faults: Faults) {
        let mut state = self.lock();
        let generation = state.1 + u64::from(faults.silence_open);
        *state = (faults, generation);
        self.changed.notify_all();
    }

    /// The faults in force.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.lock().0
    }

    /// Marks the age of a connection, for [`Switch::is_silent`].
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.lock().1
    }

    /// Whether a connection of that age has gone silent.
    #[must_use]
    pub fn is_silent(&self, generation: u64) -> bool {
        self.generation() > generation
    }

    /// Waits while the stall lasts, then for the delay in force.
    pub fn delay(&self) {
        let mut state = self.lock();
        while state.0.stall {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let slow = state.0.slow_ms;
        drop(state);
        if slow > 0 {
            std::thread::sleep(Duration::from_millis(slow));
        }
    }

    fn lock(&self) -> MutexGuard<'_, (Faults, u64)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
