//! Which failure domains are evacuated, by versioned rows that arrive in any order.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use samphiresill_core::name::DomainName;

use crate::knowledge::evacuations::{self, Evacuations, Row};

const NOW: Duration = Duration::from_secs(1);
/// First version of the store's next era.
const NEXT_ERA: u64 = 1 << 48;
/// Maximum number of failure domains.
const MAX_DOMAINS: usize = 64;

fn row(domain: &str, version: u64, is_evacuated: bool) -> Row {
    Row {
        domain: DomainName::from(domain),
        version,
        is_evacuated,
    }
}

fn out(domain: &str, version: u64) -> Row {
    row(domain, version, true)
}

fn back(domain: &str, version: u64) -> Row {
    row(domain, version, false)
}

fn evacuated(evacuations: &Evacuations) -> Vec<String> {
    let domains = evacuations.evacuated();
    domains.iter().map(ToString::to_string).collect()
}

/// `Step` is what a gateway learns.
enum Step {
    Rows(Vec<Row>),
    /// All rows of the store as of a version.
    All(Vec<Row>, u64),
}

use Step::{All, Rows};

struct Case {
    steps: Vec<Step>,
    evacuated: &'static [&'static str],
}

/// Guards against older news that undo newer ones, and against evacuations that a full read cannot end.
#[rstest]
#[case::out(Case { steps: vec![Rows(vec![out("a", 1)])], evacuated: &["a"] })]
#[case::back(Case { steps: vec![Rows(vec![out("a", 1)]), Rows(vec![back("a", 2)])], evacuated: &[] })]
#[case::out_again(Case { steps: vec![Rows(vec![out("a", 1)]), Rows(vec![back("a", 2)]), Rows(vec![out("a", 3)])], evacuated: &["a"] })]
#[case::old_out(Case { steps: vec![Rows(vec![back("a", 2)]), Rows(vec![out("a", 1)])], evacuated: &[] })]
#[case::old_back(Case { steps: vec![Rows(vec![out("a", 3)]), Rows(vec![back("a", 2)])], evacuated: &["a"] })]
#[case::two(Case { steps: vec![Rows(vec![out("a", 1), out("b", 2)]), Rows(vec![back("a", 3)])], evacuated: &["b"] })]
#[case::written_again(Case { steps: vec![Rows(vec![out("a", 1)]), Rows(vec![out("a", 2)]), Rows(vec![back("a", 1)])], evacuated: &["a"] })]
#[case::all_lists_it(Case { steps: vec![All(vec![out("a", 1)], 5)], evacuated: &["a"] })]
#[case::all_lacks_it(Case { steps: vec![Rows(vec![out("a", 1)]), All(Vec::new(), 5)], evacuated: &[] })]
#[case::all_lacks_it_at_its_version(Case { steps: vec![Rows(vec![out("a", 5)]), All(Vec::new(), 5)], evacuated: &[] })]
#[case::all_is_older(Case { steps: vec![Rows(vec![out("a", 6)]), All(Vec::new(), 5)], evacuated: &["a"] })]
#[case::old_out_after_all(Case { steps: vec![Rows(vec![out("a", 1)]), All(Vec::new(), 5), Rows(vec![out("a", 4)])], evacuated: &[] })]
#[case::next_era_lacks_it(Case { steps: vec![Rows(vec![out("a", 9)]), All(Vec::new(), NEXT_ERA + 3)], evacuated: &[] })]
#[case::next_era_lists_it(Case { steps: vec![Rows(vec![out("a", 7), back("a", 9)]), All(vec![out("a", NEXT_ERA + 2)], NEXT_ERA + 3)], evacuated: &["a"] })]
#[case::earlier_era(Case { steps: vec![Rows(vec![back("a", NEXT_ERA + 2)]), Rows(vec![out("a", 900)])], evacuated: &[] })]
#[case::odd_names(Case { steps: vec![Rows(vec![out("a/b c", 1), out("\u{1F4A5}\n", 2), out("", 3)])], evacuated: &["a/b c", "\u{1F4A5}\n"] })]
fn the_newest_row_of_a_domain_wins(#[case] case: Case) {
    let mut evacuations = Evacuations::default();
    for step in case.steps {
        match step {
            Rows(rows) => evacuations.apply(rows, "peer", NOW),
            All(rows, version) => evacuations.replace(rows, version, "store", NOW),
        };
    }
    assert_eq!(evacuated(&evacuations), case.evacuated);
}

/// Guards against gateways that disagree because the same rows reached them in different order, or twice.
#[test]
fn the_order_of_arrival_is_irrelevant() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut rows: Vec<Row> = (1..=60)
        .map(|version| row(["a", "b", "c"][version as usize % 3], version, rng.random()))
        .collect();
    let mut expected = Evacuations::default();
    expected.apply(rows.clone(), "peer", NOW);
    for _ in 0..100 {
        rows.shuffle(&mut rng);
        let mut evacuations = Evacuations::default();
        for part in rows.chunks(7).chain(rows.chunks(11)) {
            evacuations.apply(part.to_vec(), "peer", NOW);
        }
        let all = |e: &Evacuations| e.rows().collect::<Vec<_>>();
        assert_eq!(all(&evacuations), all(&expected));
    }
}

/// Guards against others who write to the operators' table and so fill the memory of the gateways, or
/// keep an operator from an evacuation because of those that ended long ago.
#[test]
fn the_number_and_length_of_names_are_bounded() {
    let mut evacuations = Evacuations::default();
    let long = "x".repeat(201);
    assert!(!evacuations.apply(vec![out(&long, 1)], "peer", NOW));
    assert!(evacuations.apply(vec![out(&long[1..], 2)], "peer", NOW));
    evacuations.apply(vec![back(&long[1..], 3)], "peer", NOW);
    let many = (0..100).map(|n| out(&format!("d{n}"), 10 + n)).collect();
    evacuations.apply(many, "peer", NOW);
    assert_eq!(evacuations.rows().count(), MAX_DOMAINS);
    assert_eq!(evacuations.evacuated().len(), MAX_DOMAINS);
    // The tombstone was dropped; the row before it stays ignored.
    evacuations.apply(vec![back("d0", 200), out(&long[1..], 2)], "peer", NOW);
    let long = DomainName::from(&long[1..]);
    assert!(!evacuations.evacuated().contains(&long));
    assert!(evacuations.apply(vec![out("e", 201)], "peer", NOW));
    assert_eq!(evacuations.rows().count(), MAX_DOMAINS);
}

/// Guards against a datagram that is too large, and against rows that are never sent.
#[test]
fn all_rows_are_sent_in_parts_and_a_change_at_once() {
    const MAX_BYTES: usize = 230;
    let mut evacuations = Evacuations::default();
    evacuations.apply(vec![out("ne-a", 1), out("ne-b", 2)], "peer", NOW);
    assert_eq!(evacuations.next_part(MAX_BYTES).len(), 2);
    let long = "x".repeat(197);
    let many = (0..64)
        .map(|n| out(&format!("{long}{n}"), 10 + n))
        .collect();
    evacuations.apply(many, "peer", NOW);
    let mut other = Evacuations::default();
    for _ in 0..2 * MAX_DOMAINS {
        let part = evacuations.next_part(MAX_BYTES);
        assert!(evacuations::max_bytes(&part) <= MAX_BYTES, "{part:?}");
        other.apply(part, "peer", NOW);
    }
    assert_eq!(other.evacuated(), evacuations.evacuated());
    evacuations.apply(vec![back("ne-a", 100)], "peer", NOW);
    assert_eq!(evacuations.next_part(MAX_BYTES)[0], back("ne-a", 100));
}
