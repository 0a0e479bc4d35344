//! Which lines are shown, and how.

use super::{lines, raw};
use crate::filter::Filter;
use crate::line::Line;
use crate::{page, text};

fn example() -> Vec<Line> {
    lines(
        "vm-1",
        &[
            raw("01.000", "target ejected", r#""target":"t1""#),
            raw("08.000", "store unavailable", ""),
            raw("09.000", "target ejected", r#""target":"t1""#),
            raw(
                "09.500",
                "attempt failed",
                r#""request":"r1","target":"t1""#,
            ),
            raw("09.600", "answered", r#""request":"r2","target":"t1""#),
            raw("09.700", "not served", r#""request":"r1","status":502"#),
            raw("10.000", "target ejected", r#""target":"t2""#),
        ],
    )
}

#[test]
fn a_request_is_shown_with_what_bears_on_it() {
    let all = example();
    let shown = Filter::Request("r1".to_owned()).select(&all);
    let texts: Vec<&str> = shown.iter().map(|l| l.text.as_str()).collect();
    let expected = [
        "store unavailable",
        "target ejected",
        "attempt failed",
        "not served",
    ];
    assert_eq!(texts, expected);
}

#[test]
fn a_target_and_a_span_are_shown() {
    let all = example();
    assert_eq!(Filter::Target("t1".to_owned()).select(&all).len(), 4);
    let span = Filter::Span { from_s: 7, to_s: 8 };
    assert_eq!(span.select(&all).len(), 2);
}

#[test]
fn text_and_page_have_each_line_and_escape_its_values() {
    let raws = [raw("01.000", "not served", r#""reason":"<b> & 'c'""#)];
    let all = lines("vm-1", &raws);
    let shown: Vec<&Line> = all.iter().collect();
    assert!(text::render(&shown).contains("not served  reason=<b> & 'c'"));
    let page = page::render("title", &shown);
    assert!(
        page.contains("reason=&lt;b&gt; &amp; &#39;c&#39;"),
        "{page}"
    );
    assert!(!page.contains("<b>"));
    assert_eq!(page.matches("<circle").count(), 1);
}
