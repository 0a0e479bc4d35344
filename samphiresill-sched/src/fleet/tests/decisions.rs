//! Table-driven tests of single decisions.

use std::time::Duration;

use rstest::rstest;

use crate::fleet::admission::{self, Candidate, Reason};
use crate::fleet::health::Health;
use crate::fleet::overload::StreamLimiter;
use crate::fleet::prefix::PrefixCache;
use crate::fleet::queueing::QueueLimit;
use crate::fleet::request::PromptPart;
use crate::fleet::shares::Shares;

const MS: Duration = Duration::from_millis(1);

struct Admission {
    wait_ms: u32,
    latency_ms: u32,
    token_interval_ms: f64,
    share_ratio: f64,
    refused: Option<Reason>,
}

#[rstest]
#[case::idle(Admission { wait_ms: 0, latency_ms: 0, token_interval_ms: 2.0, share_ratio: 0.0, refused: None })]
#[case::idle_above_share(Admission { wait_ms: 0, latency_ms: 0, token_interval_ms: 2.0, share_ratio: 9.0, refused: None })]
#[case::short_wait(Admission { wait_ms: 300, latency_ms: 0, token_interval_ms: 2.0, share_ratio: 1.0, refused: None })]
#[case::long_wait(Admission { wait_ms: 500, latency_ms: 0, token_interval_ms: 2.0, share_ratio: 1.0, refused: Some(Reason::Wait) })]
#[case::wait_and_latency(Admission { wait_ms: 300, latency_ms: 200, token_interval_ms: 2.0, share_ratio: 1.0, refused: Some(Reason::Wait) })]
#[case::long_latency(Admission { wait_ms: 0, latency_ms: 500, token_interval_ms: 2.0, share_ratio: 1.0, refused: Some(Reason::Wait) })]
#[case::long_interval(Admission { wait_ms: 0, latency_ms: 0, token_interval_ms: 13.0, share_ratio: 1.0, refused: Some(Reason::Wait) })]
#[case::below_share(Admission { wait_ms: 500, latency_ms: 0, token_interval_ms: 2.0, share_ratio: 0.7, refused: None })]
#[case::below_share_interval(Admission { wait_ms: 0, latency_ms: 0, token_interval_ms: 13.0, share_ratio: 0.7, refused: None })]
#[case::no_service_long_wait(Admission { wait_ms: 650, latency_ms: 0, token_interval_ms: 2.0, share_ratio: 0.0, refused: Some(Reason::Wait) })]
#[case::no_service_long_latency(Admission { wait_ms: 0, latency_ms: 500, token_interval_ms: 2.0, share_ratio: 0.0, refused: Some(Reason::Wait) })]
#[case::above_share(Admission { wait_ms: 300, latency_ms: 0, token_interval_ms: 2.0, share_ratio: 1.5, refused: Some(Reason::AboveShare) })]
#[case::above_share_latency_only(Admission { wait_ms: 0, latency_ms: 300, token_interval_ms: 2.0, share_ratio: 1.5, refused: None })]
#[case::above_share_interval(Admission { wait_ms: 0, latency_ms: 0, token_interval_ms: 8.5, share_ratio: 1.5, refused: Some(Reason::AboveShare) })]
fn admission_cases(#[case] case: Admission) {
    let decision = admission::decide(&Candidate {
        wait: MS * case.wait_ms,
        first_event_latency: MS * case.latency_ms,
        token_interval_ms: case.token_interval_ms,
        interval_target_ms: 10.0,
        latency_objective: Duration::from_secs(1),
        shortest_objective: Duration::from_secs(1),
        waited: Duration::ZERO,
        queue_delay: Duration::ZERO,
        queue_limit: QueueLimit::default(),
        time_left: Duration::from_secs(12),
        share_ratio: case.share_ratio,
        jitter: 0.5,
    });
    assert_eq!(decision.err().map(|r| r.reason), case.refused);
}

struct Retry {
    delay_ms: u32,
    time_left_ms: u32,
    jitter: f64,
    expected_ms: u128,
}

#[rstest]
#[case::spread_low(Retry { delay_ms: 1_000, time_left_ms: 12_000, jitter: 0.0, expected_ms: 500 })]
#[case::spread_high(Retry { delay_ms: 1_000, time_left_ms: 12_000, jitter: 1.0, expected_ms: 1_500 })]
#[case::not_zero(Retry { delay_ms: 0, time_left_ms: 12_000, jitter: 0.5, expected_ms: 150 })]
#[case::capped_at_what_callers_honour(Retry { delay_ms: 9_000, time_left_ms: 3_000, jitter: 0.5, expected_ms: 900 })]
fn retry_after_cases(#[case] case: Retry) {
    let delay = admission::retry_after(MS * case.delay_ms, MS * case.time_left_ms, case.jitter);
    assert_eq!(delay.as_millis(), case.expected_ms);
}

#[test]
fn an_unreachable_target_is_ejected_longer_each_time() {
    let mut health = Health::default();
    let mut now = Duration::ZERO;
    let mut ejections_ms = Vec::new();
    for _ in 0..5 {
        health.record_unreachable(now);
        let started_at = now;
        while !health.is_usable(now) {
            now += 10 * MS;
        }
        ejections_ms.push(now.saturating_sub(started_at).as_millis());
    }
    assert!(ejections_ms.is_sorted(), "{ejections_ms:?}");
    assert!(ejections_ms[4] <= 3_000, "{ejections_ms:?}");
}

#[test]
fn ordinary_errors_do_not_eject_a_target_but_many_do() {
    let mut health = Health::default();
    for n in 0..200 {
        if n % 7 == 0 {
            health.record_failure(n * MS);
        } else {
            health.record_success();
        }
        assert!(
            health.is_usable(n * MS),
            "a failure rate of one in seven must not eject the target, at {n}"
        );
    }
    for n in 200..210 {
        health.record_failure(n * MS);
    }
    assert!(!health.is_usable(210 * MS));
    assert!(
        health.is_usable(2_000 * MS),
        "it gets requests again after the ejection time"
    );
}

#[test]
fn a_target_is_stalled_only_while_requests_wait_for_a_byte() {
    let mut health = Health::default();
    health.record_sent(Duration::ZERO);
    assert!(health.is_usable(800 * MS));
    assert!(!health.is_usable(1_000 * MS));
    health.record_progress(1_000 * MS, false);
    assert!(health.is_usable(1_800 * MS));
    health.record_idle();
    assert!(health.is_usable(9_000 * MS));
}

struct FairLevel {
    /// Weighted tokens that each customer demanded and received.
    usage: Vec<(u64, u64)>,
    /// Whether each customer is above the max-min fair level.
    is_above: Vec<bool>,
}

#[rstest]
#[case::one_alone(FairLevel { usage: vec![(900, 900)], is_above: vec![false] })]
#[case::overload(FairLevel { usage: vec![(100, 100), (100, 100), (1_000, 400)], is_above: vec![false, false, false] })]
#[case::overload_gets_more(FairLevel { usage: vec![(300, 100), (300, 100), (1_000, 400)], is_above: vec![false, false, true] })]
fn max_min_level(#[case] case: FairLevel) {
    let mut shares = Shares::default();
    let now = Duration::from_secs(1);
    let name = |n: usize| format!("c{n}").as_str().into();
    for (n, (demanded, served)) in case.usage.iter().enumerate() {
        shares.add_demand(&name(n), *demanded, now);
        shares.add_service(&name(n), *served, now);
    }
    let ratios = (0..case.usage.len()).map(|n| shares.ratio(&name(n), now));
    let is_above: Vec<bool> = ratios.map(|r| r > 1.0 + 1e-9).collect();
    assert_eq!(is_above, case.is_above);
}

#[test]
fn only_prefilled_parts_can_be_copied() {
    let part = |id, tokens| PromptPart { id, tokens };
    let mut cache = PrefixCache::default();
    cache.touch(&[part(1, 100)], 1_000, 5 * MS, MS);
    cache.touch(&[part(1, 100), part(2, 50)], 1_000, 9 * MS, 2 * MS);
    let parts = [part(1, 100), part(2, 50)];
    assert_eq!(cache.cached_tokens(&parts), 150);
    let copyable = [4, 5, 8, 9].map(|ms| cache.copyable_tokens(&parts, ms * MS));
    assert_eq!(copyable, [0, 100, 100, 150]);
}

#[test]
fn the_prefix_cache_counts_leading_parts_and_evicts_the_least_recently_used() {
    let part = |id, tokens| PromptPart { id, tokens };
    let mut cache = PrefixCache::default();
    cache.touch(&[part(1, 100), part(2, 50)], 1_000, 5 * MS, MS);
    assert_eq!(
        cache.cached_tokens(&[part(1, 100), part(2, 50), part(3, 10)]),
        150
    );
    assert_eq!(cache.cached_tokens(&[part(9, 10), part(2, 50)]), 0);
    cache.touch(&[part(4, 900)], 1_000, 9 * MS, 2 * MS);
    assert_eq!(cache.cached_tokens(&[part(1, 100)]), 0);
    assert_eq!(cache.cached_tokens(&[part(4, 900)]), 900);
}

/// One router gets more streams than its processor can relay: the limit falls with late timers and
/// rises with timers on time, and the router leaves the rotation while it refuses many streams.
#[test]
fn late_timers_lower_the_stream_limit_and_take_the_router_out_of_rotation() {
    let mut overload = StreamLimiter::default();
    let now = Duration::from_secs(100);
    assert!(
        overload.admits(10_000, now),
        "no limit before the first late timer"
    );
    for _ in 0..5 {
        overload.observe(40 * MS, 200);
    }
    let limit = overload.limit();
    assert!((50.0..200.0).contains(&limit), "{limit}");
    for _ in 0..200 {
        overload.observe(40 * MS, 200);
    }
    assert!(
        overload.admits(5, now),
        "streams below the lower bound are always admitted"
    );
    for _ in 0..20 {
        assert!(!overload.admits(50, now));
    }
    assert!(overload.is_out_of_rotation(now + Duration::from_secs(4)));
    assert!(!overload.is_out_of_rotation(now + Duration::from_secs(6)));
    let low = overload.limit();
    for _ in 0..50 {
        overload.observe(MS, overload.limit() as usize);
    }
    assert!(overload.limit() > low * 2.0, "the limit recovers");
}

/// A router that is overloaded again as soon as it is back in the rotation stays out longer each
/// time.
#[test]
fn time_out_of_rotation_grows_while_overload_recurs() {
    let mut overload = StreamLimiter::default();
    overload.observe(40 * MS, 0);
    let mut now = Duration::from_secs(100);
    let mut times_out_s = Vec::new();
    for _ in 0..5 {
        while !overload.is_out_of_rotation(now) {
            assert!(!overload.admits(50, now));
            now += MS;
        }
        let started_at = now;
        while overload.is_out_of_rotation(now) {
            now += 100 * MS;
        }
        times_out_s.push(now.saturating_sub(started_at).as_secs());
    }
    assert!(times_out_s.is_sorted(), "{times_out_s:?}");
    assert!(times_out_s[4] > times_out_s[0] * 4, "{times_out_s:?}");
    assert!(times_out_s[4] <= 41, "{times_out_s:?}");
}

#[test]
fn reported_parts_are_cached_and_evicted_first() {
    let part = |id, tokens| PromptPart { id, tokens };
    let mut cache = PrefixCache::default();
    cache.touch(&[part(1, 100)], 1_000, MS, MS);
    cache.add_cached(&[part(1, 100), part(2, 300), part(3, 900)], 1_000);
    assert_eq!(cache.cached_tokens(&[part(1, 100), part(2, 300)]), 400);
    assert_eq!(
        cache.cached_tokens(&[part(3, 900)]),
        0,
        "beyond the capacity"
    );
    // A reported part can be copied at once, and is evicted before parts used by requests.
    assert_eq!(cache.copyable_tokens(&[part(2, 300)], MS), 300);
    cache.touch(&[part(4, 700)], 1_000, MS * 2, MS * 2);
    assert_eq!(cache.cached_tokens(&[part(1, 100)]), 100);
    assert_eq!(cache.cached_tokens(&[part(2, 300)]), 0);
}
