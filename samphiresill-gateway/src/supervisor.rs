//! Runs the tasks that must not end: one that panics or returns is started again, from a known state.
//!
//! Invariant: of each task, at most one instance runs.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use samphiresill_core::clock::Clock;
use tokio::task::{AbortHandle, JoinError};

/// Delay before a task is started again; doubles with each end that follows soon.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a task is started again.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time after which the end of a task does not count as following the one before.
const STABLE_TIME: Duration = Duration::from_secs(10);

/// `TaskState` is what is known of one supervised task.
#[derive(Debug, Default)]
struct TaskState {
    /// Handle of the running instance; `None` while the task waits to be started again.
    running: Option<AbortHandle>,
    restarts: u64,
}

/// `Supervisor` starts tasks, and starts them again when they end.
#[derive(Clone)]
pub struct Supervisor {
    clock: Arc<dyn Clock>,
    /// Counts the restarts, by task.
    restarts: Counter<u64>,
    tasks: Arc<Mutex<BTreeMap<&'static str, TaskState>>>,
}

impl Supervisor {
    /// Creates a supervisor without tasks.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, restarts: Counter<u64>) -> Self {
        Self {
            clock,
            restarts,
            tasks: Arc::default(),
        }
    }

    /// Runs a task that is not to return. `start` creates an instance of it.
    pub fn run<F>(&self, name: &'static str, start: impl Fn() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(self.clone().supervise(name, start));
    }

    async fn supervise<F>(self, name: &'static str, start: impl Fn() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut delay = MIN_RESTART_DELAY;
        loop {
            let started_at = self.clock.monotonic();
            let task = tokio::spawn(start());
            self.tasks().entry(name).or_default().running = Some(task.abort_handle());
            let ended = task.await;
            let ran_for = self.clock.monotonic().saturating_sub(started_at);
            if ran_for >= STABLE_TIME {
                delay = MIN_RESTART_DELAY;
            }
            let restarts = self.record_end(name);
            log::error!(
                task = name, cause = cause(ended).as_str(), restarts,
                ran_ms = ran_for.as_millis() as u64, delay_ms = delay.as_millis() as u64;
                "task ended, starting it again"
            );
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RESTART_DELAY);
        }
    }

    fn record_end(&self, name: &'static str) -> u64 {
        self.restarts.add(1, &[KeyValue::new("task", name)]);
        let mut tasks = self.tasks();
        let state = tasks.entry(name).or_default();
        state.running = None;
        state.restarts += 1;
        state.restarts
    }

    /// Whether all tasks run.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.tasks().values().all(|t| t.running.is_some())
    }

    /// Returns how often each task was started again.
    #[must_use]
    pub fn restarts(&self) -> BTreeMap<&'static str, u64> {
        let tasks = self.tasks();
        tasks.iter().map(|(name, t)| (*name, t.restarts)).collect()
    }

    /// Ends the running instance of a task, which is then started again. Returns whether there was one.
    #[must_use]
    pub fn restart(&self, name: &str) -> bool {
        let tasks = self.tasks();
        let running = tasks.get(name).and_then(|t| t.running.as_ref());
        running.inspect(|task| task.abort()).is_some()
    }

    fn tasks(&self) -> MutexGuard<'_, BTreeMap<&'static str, TaskState>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Describes why a task ended.
fn cause(ended: Result<(), JoinError>) -> String {
    match ended.map_err(JoinError::try_into_panic) {
        Ok(()) => "returned".to_owned(),
        Err(Ok(panic)) => format!("panic: {}", panic_message(&*panic)),
        Err(Err(_)) => "aborted".to_owned(),
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message")
}
