//! Whole sessions of the deployments, compared with golden files.
//!
//! `UPDATE_GOLDEN=1` writes the files anew.

use std::fmt::Write;
use std::path::Path;

use rstest::rstest;
use samphiresill_tests::Fleet;
use serde_json::json;

/// One line of a session: what it shows, the method, the path, the body and the caller's key.
struct Call {
    shows: &'static str,
    method: &'static str,
    path: &'static str,
    body: String,
    key: &'static str,
    idempotency_key: Option<&'static str>,
}

impl Call {
    fn new(shows: &'static str, method: &'static str, path: &'static str, body: String) -> Self {
        Self {
            shows,
            method,
            path,
            body,
            key: "counter-key",
            idempotency_key: None,
        }
    }
}

fn completion(prompt: &str, stream: bool) -> String {
    json!({"model": "letters", "stream": stream, "prompt": prompt, "max_tokens": 4}).to_string()
}

fn chat(prompt: &str) -> String {
    let messages = json!([{"role": "user", "content": prompt}]);
    json!({"model": "letters", "messages": messages, "max_tokens": 3}).to_string()
}

fn common(order: &str) -> Vec<Call> {
    let unknown = json!({"model": "none", "prompt": "x"}).to_string();
    vec![
        Call {
            key: "no-such-key",
            ..Call::new("a bad key", "GET", "/v1/models", String::new())
        },
        Call::new("bad JSON", "POST", "/v1/completions", "{".into()),
        Call::new(
            "a missing field",
            "POST",
            "/v1/completions",
            r#"{"model":"letters"}"#.into(),
        ),
        Call::new("an unknown model", "POST", "/v1/completions", unknown),
        Call::new("an unknown path", "GET", "/nothing", String::new()),
        Call::new(
            "too large a body",
            "POST",
            "/v1/completions",
            "x".repeat(30_000),
        ),
        Call {
            idempotency_key: Some("order-1"),
            ..Call::new("an order", "POST", "/orders", order.into())
        },
        Call {
            idempotency_key: Some("order-1"),
            ..Call::new("the same order again", "POST", "/orders", order.into())
        },
        Call {
            idempotency_key: Some("order-1"),
            ..Call::new(
                "its key with another order",
                "POST",
                "/orders",
                "other".into(),
            )
        },
    ]
}

fn brandvold() -> Vec<Call> {
    let mut calls = vec![
        Call::new("the models", "GET", "/v1/models", String::new()),
        Call::new(
            "a restock letter",
            "POST",
            "/v1/completions",
            completion("Draft a restock letter for Swift Current", true),
        ),
        Call::new(
            "a dealer's question",
            "POST",
            "/v1/chat/completions",
            chat("Which mantle fits a size 3 lamp?"),
        ),
        Call::new("a stock lookup", "GET", "/stock/mantles", String::new()),
    ];
    calls.extend(common(r#"{"item":"mantles","crates":1}"#));
    calls.push(Call::new(
        "the order's status",
        "GET",
        "/orders/1",
        String::new(),
    ));
    calls
}

fn amren() -> Vec<Call> {
    let mut calls = vec![
        Call::new(
            "a diagnosis report",
            "POST",
            "/v1/completions",
            completion("Fault history: the sign flickers at dusk", false),
        ),
        Call::new(
            "a quote check",
            "POST",
            "/v1/chat/completions",
            chat("Quote for a 9 kV tube?"),
        ),
        Call::new("a booking's status", "GET", "/orders/9", String::new()),
    ];
    calls.extend(common(r#"{"transformer":"9kV"}"#));
    calls
}

/// Takes out what differs from run to run: ids and times.
fn normalize(body: &str) -> String {
    let mut text = String::new();
    for line in body.lines() {
        let (prefix, data) = line
            .strip_prefix("data: ")
            .map_or(("", line), |d| ("data: ", d));
        let line = match serde_json::from_str::<serde_json::Value>(data) {
            Ok(mut value) if value.is_object() => {
                for field in ["id", "created"] {
                    if value.get(field).is_some() {
                        value[field] = json!(format!("<{field}>"));
                    }
                }
                value.to_string()
            }
            _ => data.to_owned(),
        };
        let _ = writeln!(text, "{prefix}{line}");
    }
    text
}

#[rstest]
#[case::brandvold("brandvold", brandvold())]
#[case::amren("amren", amren())]
fn session_equals_its_golden_file(#[case] name: &str, #[case] calls: Vec<Call>) {
    let fleet = Fleet::start(name, 3, 2_000);
    let mut session = String::new();
    for (index, call) in calls.iter().enumerate() {
        // Each call arrives at another router; the session is the same at all of them.
        let answer = fleet
            .request_with(
                index % 3,
                call.key,
                call.method,
                call.path,
                &call.body,
                call.idempotency_key,
            )
            .expect("an answer");
        let body = normalize(&answer.body);
        let _ = writeln!(
            session,
            "## {}\n{} {}\n{} {}\n{body}",
            call.shows, call.method, call.path, answer.status, answer.outcome
        );
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.txt"));
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, &session).expect("the golden file can be written");
    }
    let golden = std::fs::read_to_string(&path).expect("a golden file");
    assert_eq!(session, golden);
}
