//! Tasks that end although they must not.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rstest::rstest;
use samphiresill_core::clock::SystemClock;

use crate::metrics::Metrics;
use crate::supervisor::Supervisor;

/// How the first instance of a task ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Panic,
    Return,
    Abort,
}

/// Guards against a task that follows something and ends for good: a panic for one odd input stopped it
/// for the life of the process.
#[rstest]
#[case::panic(End::Panic)]
#[case::returned(End::Return)]
#[case::aborted(End::Abort)]
#[tokio::test]
async fn a_task_that_ends_is_started_again(#[case] end: End) {
    let metrics = Metrics::new().expect("instruments");
    let supervisor = Supervisor::new(Arc::new(SystemClock::new()), metrics.task_restarts());
    let starts = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&starts);
    supervisor.run("task", move || {
        let number = counted.fetch_add(1, Ordering::SeqCst);
        async move {
            match end {
                End::Panic if number == 0 => panic!("odd input"),
                End::Return if number == 0 => {}
                _ => std::future::pending().await,
            }
        }
    });
    let (mut was_down, mut was_aborted) = (false, false);
    while starts.load(Ordering::SeqCst) < 2 || !supervisor.is_complete() {
        if matches!(end, End::Abort) && !was_aborted {
            was_aborted = supervisor.restart("task");
        }
        was_down |= !supervisor.restarts().is_empty() && !supervisor.is_complete();
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(was_down, "a task that is down shows in the readiness");
    assert_eq!(supervisor.restarts()["task"], 1);
    assert!(!supervisor.restart("other"));
}
