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
        InvalidCase {
            text: r#"{"evacuations":["d 1"]}"#,
            path: "evacuations.d 1",
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

/// Guards against requests to targets of an evacuated failure domain, and against a document that routers
/// of the former version reject although nothing is evacuated.
#[test]
fn an_evacuation_drains_the_targets_of_its_domain_until_it_is_deleted() {
    let target = |domain: &str| object::Target {
        domain: domain.into(),
        address: ([127, 0, 0, 1], 1).into(),
        serves: [].into(),
        slots: 1,
        checks_fencing: false,
        draining: false,
    };
    let change = |value| Change {
        change_id: format!("{value:?}"),
        operations: vec![Operation {
            id: ObjectId {
                kind: Kind::Evacuation,
                name: "d1".into(),
            },
            value,
            expected: None,
        }],
    };
    let base = Snapshot::default();
    let evacuation = Some(Object::Evacuation(object::Evacuation {}));
    let evacuated = change::apply(&base, &change(evacuation)).expect("an evacuation");
    let is_draining = |s: &Snapshot, domain| s.document.is_draining(&target(domain));
    assert!(is_draining(&evacuated, "d1") && !is_draining(&evacuated, "d2"));
    let text = serde_json::to_string(&evacuated.document).expect("JSON");
    assert_eq!(Document::from_json(&text), Ok(evacuated.document.clone()));
    let restored = change::apply(&evacuated, &change(None)).expect("the end of it");
    assert!(!is_draining(&restored, "d1"));
    let text = serde_json::to_string(&restored.document).expect("JSON");
    assert!(!text.contains("evacuations"), "{text}");
}
