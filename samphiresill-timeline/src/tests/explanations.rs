//! Explanations of requests that were refused or failed.

use rstest::rstest;

use super::{json_line, parse};
use crate::explain;
use crate::filter::Filter;

struct Case {
    message: &'static str,
    kv: &'static str,
    expected: &'static [&'static str],
}

#[rstest]
#[case::above_share(Case {
    message: "refused",
    kv: r#""reason":"above share","wait_ms":149,"token_interval_ms":14.5,"interval_target_ms":15.0,"share_ratio":1.4,"queued_ms":0,"retry_after_ms":254"#,
    expected: &["149 ms of prompts", "14.5 ms", "1.40 times the max-min fair level", "sent to no target", "254 ms"],
})]
#[case::no_target(Case {
    message: "refused",
    kv: r#""reason":"no target","retry_after_ms":500"#,
    expected: &["no usable target"],
})]
#[case::quarantined(Case {
    message: "refused",
    kv: r#""reason":"quarantined prompt part","retry_after_ms":3599000"#,
    expected: &["has crashed engines", "sent to no target", "3599000 ms"],
})]
#[case::lost(Case {
    message: "not served",
    kv: r#""status":502,"ms":5,"reason":"the target's answer is lost: sending""#,
    expected: &["status 502", "answer is lost"],
})]
#[case::broken_stream(Case {
    message: "stream ended",
    kv: r#""target":"t1","end":"connection reset","events":45,"ms":4194,"first_ms":30,"expected_ms":38"#,
    expected: &["t1", "interrupted: connection reset", "45 events"],
})]
#[case::unframed_stream(Case {
    message: "stream ended",
    kv: r#""target":"t1","end":"complete","framing":"close","is_within_event":true"#,
    expected: &["completed", "only by closing the connection"],
})]
#[case::denied(Case {
    message: "not admitted",
    kv: r#""status":401,"reason":"unknown key","revision":7"#,
    expected: &["unknown key", "revision 7"],
})]
fn an_explanation_states_the_cause_and_its_inputs(#[case] case: Case) {
    let kv = format!(r#""request":"r1",{}"#, case.kv);
    let records = parse("vm-1", &[json_line("01.000", case.message, &kv)]);
    let selected = Filter::Request("r1".to_owned()).select(&records);
    let explanation = explain::explain("r1", &selected);
    for part in case.expected {
        assert!(
            explanation.contains(part),
            "{part} is missing in: {explanation}"
        );
    }
}

#[test]
fn an_unknown_request_is_reported_as_not_found() {
    assert!(explain::explain("r9", &[]).contains("No log record names request r9"));
}
