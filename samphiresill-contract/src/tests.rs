//! Tests of document validation and change application.

use crate::change::{self, Change, Operation, Snapshot};
use crate::document::Document;
use crate::error::Error;
use crate::object::{self, Kind, Object, ObjectId};

struct InvalidCase {
    text: &'static str,
    path: &'static str,
}

#[test]
fn validation_error_contains_path() {
    let cases = [
        InvalidCase {
            text: r#"{"customers":{"a":{"share":0}}}"#,
            path: "customers.a.share",
        },
        InvalidCase {
            text: r#"{"customers":{"a b":{"share":1}}}"#,
            path: "customers.a b",
        },
        InvalidCase {
            text: r#"{"customers":{"a":{"share":1,"colour":2}}}"#,
            path: "customers.a.colour",
        },
        InvalidCase {
            text: r#"{"customers":{"a":{"share":1,"key_hashes":["x"]}}}"#,
            path: "customers.a.key_hashes",
        },
        InvalidCase {
            text: r#"{"services":{"s":{"path":"/v1/x"}}}"#,
            path: "services.s.path",
        },
        InvalidCase {
            text: r#"{"targets":{"t":{"domain":"d","address":"127.0.0.1:1","serves":["m"],"slots":1}}}"#,
            path: "targets.t.serves",
        },
    ];
    for case in cases {
        match Document::from_json(case.text) {
            Err(Error::Invalid { path, .. }) => assert_eq!(path, case.path, "{}", case.text),
            other => panic!("{}: {other:?}", case.text),
        }
    }
}

fn put_customer(name: &str, share: u32, expected: Option<u64>) -> Change {
    let customer = object::Customer {
        share: share.into(),
        key_hashes: [].into(),
        max_waiting: 10,
    };
    Change {
        change_id: format!("{name}-{share}"),
        operations: vec![Operation {
            id: ObjectId {
                kind: Kind::Customer,
                name: name.into(),
            },
            value: Some(Object::Customer(customer)),
            expected,
        }],
    }
}

#[test]
fn second_change_with_same_base_revision_conflicts() {
    let base = Snapshot::default();
    let first = change::apply(&base, &put_customer("a", 1, Some(0))).expect("the first is valid");
    let second = change::apply(&first, &put_customer("a", 2, Some(0)));
    assert_eq!(
        second,
        Err(Error::Conflict {
            id: ObjectId {
                kind: Kind::Customer,
                name: "a".into()
            },
            expected: 0,
            current: 1
        })
    );
    let third = change::apply(&first, &put_customer("a", 2, Some(1))).expect("based on the first");
    assert_eq!(third.revision, 2);
}
