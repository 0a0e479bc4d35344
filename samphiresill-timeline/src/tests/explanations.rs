//! Sentences about requests that failed.

use rstest::rstest;

use super::{lines, raw};
use crate::explain;
use crate::filter::Filter;

struct Case {
    text: &'static str,
    values: &'static str,
    says: &'static [&'static str],
}

#[rstest]
#[case::above_share(Case {
    text: "refused",
    values: r#""reason":"above share","wait_ms":149,"token_interval_ms":14.5,"interval_target_ms":15.0,"share_ratio":1.4,"queued_ms":0,"retry_after_ms":254"#,
    says: &["149 ms of prompts", "14.5 ms", "1.40 of the fair level", "sent to no target", "254 ms"],
})]
#[case::no_target(Case {
    text: "refused",
    values: r#""reason":"no target","retry_after_ms":500"#,
    says: &["no usable target"],
})]
#[case::lost(Case {
    text: "not served",
    values: r#""status":502,"ms":5,"reason":"the target's answer is lost: sending""#,
    says: &["status 502", "answer is lost"],
})]
#[case::broken_stream(Case {
    text: "stream ended",
    values: r#""target":"t1","end":"connection reset","events":45,"ms":4194,"first_ms":30,"expected_ms":38"#,
    says: &["t1", "broken off: connection reset", "45 events"],
})]
#[case::denied(Case {
    text: "not admitted",
    values: r#""status":401,"reason":"unknown key","revision":7"#,
    says: &["unknown key", "revision 7"],
})]
fn sentences_have_the_cause_and_its_inputs(#[case] case: Case) {
    let values = format!(r#""request":"r1",{}"#, case.values);
    let all = lines("vm-1", &[raw("01.000", case.text, &values)]);
    let shown = Filter::Request("r1".to_owned()).select(&all);
    let said = explain::explain("r1", &shown);
    for part in case.says {
        assert!(said.contains(part), "{part} is missing in: {said}");
    }
}

#[test]
fn an_unknown_request_is_said_to_be_unknown() {
    assert!(explain::explain("r9", &[]).contains("No line names request r9"));
}
