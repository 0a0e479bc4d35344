//! Tests of a fleet under faults: unresponsive connections, crashed engines and routers, graceful
//! shutdowns and platform outages.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use samphiresill_standins::text;
use samphiresill_tests::{Fleet, get_json, get_status, program, wait_until};
use serde_json::json;

/// Fixed duration of a decoding step of the engines, in microseconds.
const STEP_US: u64 = 5_000;

#[test]
fn responses_are_complete_and_reach_their_own_callers_under_load() {
    let fleet = Fleet::start("load", 3, 1_000);
    let routers: Vec<String> = fleet
        .routers
        .iter()
        .map(|r| r.callers.to_string())
        .collect();
    let out = std::process::Command::new(program("samphiresill-experiment"))
        .args([
            "load",
            "--routers",
            &routers.join(","),
            "--keys",
            "counter-key,warehouse-key",
        ])
        .args(["--requests", "400", "--concurrency", "200"])
        .output()
        .expect("failed to run samphiresill-experiment");
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
}

#[test]
fn a_stream_on_a_silent_connection_is_resumed() {
    let fleet = Fleet::start("silent", 2, STEP_US);
    let prompt = "a long letter len=200";
    let response = thread::scope(|scope| {
        let call = scope.spawn(|| fleet.complete(0, prompt));
        thread::sleep(Duration::from_millis(300));
        for engine in &fleet.engines {
            fleet.inject_faults(*engine, &json!({"silence_open": true}));
        }
        call.join().expect("the request panicked")
    });
    assert_eq!(response.text(), text::completion(prompt, usize::MAX));
    assert!(
        response.body.trim_end().ends_with("data: [DONE]"),
        "{}",
        response.body
    );
}

#[test]
fn a_stream_whose_engine_is_killed_is_never_marked_as_complete() {
    let mut fleet = Fleet::start("engine", 2, STEP_US);
    let prompt = "a long letter len=300";
    let responses = thread::scope(|scope| {
        let calls: Vec<_> = (0..2)
            .map(|_| scope.spawn(|| fleet.complete(0, prompt)))
            .collect();
        thread::sleep(Duration::from_millis(400));
        fleet.standins[1].signal("KILL");
        fleet.standins[2].signal("KILL");
        calls
            .into_iter()
            .map(|c| c.join().expect("the request panicked"))
            .collect::<Vec<_>>()
    });
    fleet.standins.truncate(4);
    let full_text = text::completion(prompt, usize::MAX);
    for response in responses {
        assert!(
            full_text.starts_with(&response.text()),
            "delivered text is not a prefix of the full text"
        );
        assert!(
            !response.body.contains("[DONE]"),
            "incomplete stream is marked as complete"
        );
        assert!(response.body.contains("event: error"), "{}", response.body);
    }
}

#[test]
fn a_caller_that_disconnects_frees_its_slot() {
    let fleet = Fleet::start("leave", 2, STEP_US);
    let body = json!({"model": "letters", "stream": true, "prompt": "len=100000"}).to_string();
    let response = attohttpc::post(format!(
        "http://{}/v1/completions",
        fleet.routers[0].callers
    ))
    .header("authorization", "Bearer counter-key")
    .text(body)
    .send()
    .expect("no response");
    drop(response);
    wait_until("an engine has cancelled the sequence", || {
        let cancelled = |e| {
            get_json(e, "/load")["exact"]["cancelled"]
                .as_u64()
                .unwrap_or(0)
        };
        fleet.engines.iter().map(|e| cancelled(*e)).sum::<u64>() == 1
    });
}

#[test]
fn a_graceful_shutdown_interrupts_no_stream_and_exits_with_0() {
    let mut fleet = Fleet::start("stop", 2, STEP_US);
    let prompt = "a long letter len=300";
    let response = thread::scope(|scope| {
        let call = scope.spawn(|| fleet.complete(0, prompt));
        thread::sleep(Duration::from_millis(300));
        fleet.routers[0].process.signal("TERM");
        wait_until("the router reports that it is not ready", || {
            get_status(fleet.routers[0].operations, "/readyz") == 503
        });
        let refused = fleet.complete(0, "another");
        assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
        call.join().expect("the request panicked")
    });
    assert_eq!(response.text(), text::completion(prompt, usize::MAX));
    assert_eq!(fleet.routers[0].process.wait(), Some(0));
    let prompt = "after the stop len=5";
    assert_eq!(
        fleet.complete(1, prompt).text(),
        text::completion(prompt, usize::MAX)
    );
}

#[test]
fn an_order_whose_response_is_lost_has_an_unknown_outcome_and_runs_once() {
    let fleet = Fleet::start("order", 2, STEP_US);
    fleet.inject_faults(fleet.service, &json!({"drop_answer": true}));
    let request = |router| {
        fleet
            .request_with(router, "counter-key", "POST", "/orders", "lamp", Some("k"))
            .expect("no response")
    };
    let first = request(0);
    assert_eq!(
        (first.status, first.outcome.as_str()),
        (502, "unknown"),
        "{}",
        first.body
    );
    fleet.inject_faults(fleet.service, &json!({}));
    wait_until("the second request returns an unknown outcome", || {
        let second = request(1);
        assert_eq!(second.outcome, "unknown");
        second.code() == "idempotency_unknown"
    });
    assert_eq!(fleet.order_runs("lamp"), 1);
}

#[test]
fn keyed_orders_run_at_most_once_when_a_router_is_killed() {
    let mut fleet = Fleet::start("die", 3, STEP_US);
    fleet.inject_faults(fleet.service, &json!({"slow_ms": 30}));
    let next = AtomicUsize::new(0);
    let place_order = |fleet: &Fleet, router: usize, number: usize| {
        let (body, key) = (format!("order {number}"), format!("key-{number}"));
        fleet.request_with(router, "counter-key", "POST", "/orders", &body, Some(&key))
    };
    thread::scope(|scope| {
        for worker in 0..6 {
            let (next, fleet, place_order) = (&next, &fleet, &place_order);
            scope.spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= 120 {
                        return;
                    }
                    place_order(fleet, (worker + number) % 3, number);
                    // A caller that does not know the outcome of its order retries it through another
                    // router with the same idempotency key.
                    place_order(fleet, (worker + number + 1) % 3, number);
                }
            });
        }
        thread::sleep(Duration::from_millis(700));
        fleet.routers[2].process.signal("KILL");
    });
    fleet.routers[2].process.wait();
    for number in 0..120 {
        let runs = fleet.order_runs(&format!("order {number}"));
        assert!(runs <= 1, "order {number} ran {runs} times");
    }
    let total: u64 = (0..120)
        .map(|n| fleet.order_runs(&format!("order {n}")))
        .sum();
    assert!(total >= 100, "only {total} of 120 orders ran");
}

#[test]
fn an_outage_of_the_platform_blocks_only_changes_and_claims() {
    let mut fleet = Fleet::start("outage", 3, STEP_US);
    let put = |fleet: &Fleet, share: &str| fleet.run_ctl(&["put", "customer", "new", share]);
    assert_eq!(put(&fleet, r#"{"share":1}"#).0, 0);
    fleet.inject_faults(fleet.platform, &json!({"down": true}));
    let (code, text) = put(&fleet, r#"{"share":2}"#);
    assert_eq!(code, 1, "{text}");
    let with_key = fleet
        .request_with(0, "counter-key", "POST", "/orders", "a", Some("a"))
        .expect("no response");
    assert_eq!(
        (with_key.code().as_str(), with_key.outcome.as_str()),
        ("claim_unavailable", "not-run")
    );
    assert_eq!(fleet.order_runs("a"), 0);
    assert_eq!(fleet.request(0, "POST", "/orders", "b").status, 201);
    // A router that starts without state fetches the configuration from a peer.
    fleet.kill(2);
    fleet.restart(2);
    wait_until("the restarted router becomes ready", || {
        get_status(fleet.routers[2].operations, "/readyz") == 200
    });
    let prompt = "in the outage len=5";
    assert_eq!(
        fleet.complete(2, prompt).text(),
        text::completion(prompt, usize::MAX)
    );
    fleet.inject_faults(fleet.platform, &json!({}));
    let (code, text) = put(&fleet, r#"{"share":3}"#);
    assert_eq!(code, 0, "{text}");
}

#[test]
fn a_drained_target_receives_no_new_requests() {
    let fleet = Fleet::start("drain", 2, STEP_US);
    let (code, text) = fleet.run_ctl(&["drain", "engine-0"]);
    assert_eq!(code, 0, "{text}");
    let started = || get_json(fleet.engines[0], "/load")["exact"]["started"].as_u64();
    let before = started();
    for number in 0..20 {
        let prompt = format!("after the drain {number} len=2");
        assert_eq!(
            fleet.complete(number % 2, &prompt).text(),
            text::completion(&prompt, usize::MAX)
        );
    }
    assert_eq!(started(), before);
}

/// Guards against requests to an evacuated failure domain, and against one that does not return to service.
#[test]
fn an_evacuated_failure_domain_receives_no_new_requests_until_it_is_restored() {
    let fleet = Fleet::start("evacuate", 2, STEP_US);
    let ctl = |args: &[&str], expected: i32| {
        let (code, text) = fleet.run_ctl(args);
        assert_eq!(code, expected, "{text}");
        text
    };
    assert!(!ctl(&["status"], 0).contains("evacuated"));
    ctl(&["evacuate", "d0"], 0);
    assert!(ctl(&["status"], 0).contains("evacuated: d0\n"));
    let started = || get_json(fleet.engines[0], "/load")["exact"]["started"].as_u64();
    let serve = |when: &str| {
        for number in 0..20 {
            let prompt = format!("{when} {number} len=2");
            assert_eq!(
                fleet.complete(number % 2, &prompt).text(),
                text::completion(&prompt, usize::MAX)
            );
        }
    };
    let before = started();
    serve("during the evacuation");
    assert_eq!(started(), before);
    ctl(&["restore", "d0"], 0);
    assert!(!ctl(&["status"], 0).contains("evacuated"));
    ctl(&["restore", "d0"], 2);
    serve("after the evacuation");
    assert!(started() > before);
}
