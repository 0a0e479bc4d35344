//! Parsing of settings, valid and invalid.

use rstest::rstest;

use crate::settings::Settings;

const SETTINGS: &str = r#"{
  // A comment.
  "vm": "vm-1", "domain": "d1", "seeds": ["127.0.0.1:5"], "store": "127.0.0.1:1",
  "listen": {"callers": "127.0.0.1:2", "readiness": "127.0.0.1:3", "peers": "127.0.0.1:4", "metrics": "127.0.0.1:6"},
  "limits": {"memory_mb": 100, "descriptors": 1000, "cores": 0.25},
  "bounds": {"stop_grace_s": 8, "retry_ratio": 0.2, "retry_slack": 52}
}"#;

#[test]
fn settings_may_contain_comments() {
    let settings = Settings::parse(SETTINGS).expect("valid settings");
    assert_eq!(settings.limits.millicores(), 250);
    assert_eq!(settings.bounds.stop_grace().as_secs(), 8);
}

struct Fault {
    from: &'static str,
    to: &'static str,
    message: &'static str,
}

#[rstest]
#[case::missing(Fault { from: "\"vm\": \"vm-1\", ", to: "", message: "missing field `vm`" })]
#[case::unknown(Fault { from: "\"vm\"", to: "\"vn\"", message: "unknown field `vn`" })]
#[case::address(Fault { from: "127.0.0.1:3", to: "here", message: "listen.readiness" })]
#[case::type_of_field(Fault { from: "100", to: "\"100\"", message: "limits.memory_mb" })]
#[case::seed(Fault { from: "127.0.0.1:5", to: "5", message: "seeds[0]" })]
#[case::not_json(Fault { from: "{\n", to: "[[\n", message: "not JSON" })]
fn errors_contain_the_path_of_the_field(#[case] fault: Fault) {
    let text = SETTINGS.replacen(fault.from, fault.to, 1);
    assert_ne!(text, SETTINGS);
    let message = format!("{:#}", Settings::parse(&text).expect_err("a fault"));
    assert!(message.contains(fault.message), "{message}");
}
