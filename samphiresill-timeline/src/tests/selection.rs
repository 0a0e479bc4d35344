//! Selection of records and their rendering.

use super::{json_line, parse};
use crate::filter::Filter;
use crate::record::Record;
use crate::{html, text};

fn example() -> Vec<Record> {
    parse(
        "vm-1",
        &[
            json_line("01.000", "target ejected", r#""target":"t1""#),
            json_line("08.000", "store unavailable", ""),
            json_line("09.000", "target ejected", r#""target":"t1""#),
            json_line(
                "09.500",
                "attempt failed",
                r#""request":"r1","target":"t1""#,
            ),
            json_line("09.600", "answered", r#""request":"r2","target":"t1""#),
            json_line("09.700", "not served", r#""request":"r1","status":502"#),
            json_line("10.000", "target ejected", r#""target":"t2""#),
        ],
    )
}

#[test]
fn a_request_is_selected_with_related_records() {
    let records = example();
    let selected = Filter::Request("r1".to_owned()).select(&records);
    let messages: Vec<&str> = selected.iter().map(|r| r.message.as_str()).collect();
    let expected = [
        "store unavailable",
        "target ejected",
        "attempt failed",
        "not served",
    ];
    assert_eq!(messages, expected);
}

#[test]
fn records_of_a_target_and_of_a_time_range_are_selected() {
    let records = example();
    assert_eq!(Filter::Target("t1".to_owned()).select(&records).len(), 4);
    let range = Filter::TimeRange { from_s: 7, to_s: 8 };
    assert_eq!(range.select(&records).len(), 2);
}

#[test]
fn text_and_html_contain_each_record_and_html_escapes_its_fields() {
    let lines = [json_line("01.000", "not served", r#""reason":"<b> & 'c'""#)];
    let records = parse("vm-1", &lines);
    let selected: Vec<&Record> = records.iter().collect();
    assert!(text::render(&selected).contains("not served  reason=<b> & 'c'"));
    let page = html::render("title", &selected);
    assert!(
        page.contains("reason=&lt;b&gt; &amp; &#39;c&#39;"),
        "{page}"
    );
    assert!(!page.contains("<b>"));
    assert_eq!(page.matches("<circle").count(), 1);
}
