//! The table of how evenly targets were loaded.

use super::{json_line, parse};
use crate::evenness;

/// Guards against a table without the figures that gateways log.
#[test]
fn figures_of_a_service_make_a_row() {
    let fields = r#""service":"model","spans":40,"wait_imbalance":1.5,"max_wait_imbalance":3,"work_imbalance":1.25,"overrun_fraction":0.1,"view_age_ms":24.6"#;
    let records = parse(
        "vm-1",
        &[
            json_line("01.000", "target ejected", r#""target":"t1""#),
            json_line("11.000", "evenness of load", fields),
        ],
    );
    let table = evenness::render(&records);
    let rows: Vec<Vec<&str>> = table
        .lines()
        .map(|l| l.split_whitespace().collect())
        .collect();
    assert_eq!(rows.len(), 2, "{table}");
    let expected = [
        "10.000", "s", "vm-1", "model", "1.50", "3.00", "1.25", "0.10", "24.60",
    ];
    assert_eq!(rows[1], expected);
}
