//! When a gateway that has just started counts as a scheduler for good.

use std::time::Duration;

use rstest::rstest;

use crate::peers::role_settling::RoleSettling;

const MS: Duration = Duration::from_millis(1);

struct Case {
    /// Changes of the membership: time in milliseconds, usable routers, whether this one is a scheduler.
    changes: &'static [(u32, usize, bool)],
    /// From when on the role is settled; `None` for never.
    settled_at_ms: Option<u32>,
}

/// Guards against gateways of a large fleet that read the beginnings of streams while they take themselves
/// for schedulers. The first three cases are from logs of 91 gateways that started at once.
#[rstest]
#[case::large_a(Case { changes: &[(405, 5, true), (527, 12, true), (654, 18, true), (871, 28, false)], settled_at_ms: None })]
#[case::large_b(Case { changes: &[(430, 4, true), (554, 12, true), (685, 16, false)], settled_at_ms: None })]
#[case::large_c(Case { changes: &[(403, 4, true), (502, 8, true), (680, 10, true), (756, 17, false)], settled_at_ms: None })]
#[case::large_scheduler(Case { changes: &[(403, 4, true), (502, 8, true), (680, 17, true), (1_200, 60, true)], settled_at_ms: Some(1_000) })]
#[case::small(Case { changes: &[(300, 4, true), (420, 6, true)], settled_at_ms: Some(720) })]
#[case::small_and_growing(Case { changes: &[(500, 4, true), (750, 5, true), (990, 6, true)], settled_at_ms: Some(1_000) })]
#[case::alone(Case { changes: &[], settled_at_ms: Some(500) })]
#[case::later(Case { changes: &[(100, 60, false), (5_000, 59, true)], settled_at_ms: Some(6_000) })]
fn a_scheduler_settles_when_the_others_are_known(#[case] case: Case) {
    let mut settling = RoleSettling::default();
    settling.observe(true, 1, Duration::ZERO);
    let mut changes = case.changes.iter().peekable();
    // The table is read half a second after the start at the earliest.
    let mut settled_at = None;
    for ms in 0..10_000 {
        while let Some((_, routers, is_scheduler)) = changes.next_if(|(at, _, _)| *at <= ms) {
            settling.observe(*is_scheduler, *routers, MS * ms);
        }
        if ms >= 500 && settled_at.is_none() && settling.is_settled(MS * ms) {
            settled_at = Some(ms);
        }
    }
    assert_eq!(settled_at, case.settled_at_ms);
}
