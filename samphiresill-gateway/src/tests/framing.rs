//! Framing of response bodies, from the head.

use hyper::{Response, http};
use rstest::rstest;

use crate::relay::framing::Framing;

struct Case {
    status: u16,
    /// Name and value of a header.
    header: (&'static str, &'static str),
    framing: Framing,
}

fn head(case: &Case) -> http::response::Parts {
    let (name, value) = case.header;
    let response = Response::builder().status(case.status).header(name, value);
    response.body(()).expect("a response").into_parts().0
}

#[rstest]
#[case::chunked(Case { status: 200, header: ("transfer-encoding", "chunked"), framing: Framing::Chunked })]
#[case::length(Case { status: 200, header: ("content-length", "4"), framing: Framing::Length })]
#[case::neither(Case { status: 200, header: ("server", "s"), framing: Framing::Close })]
#[case::no_content(Case { status: 204, header: ("server", "s"), framing: Framing::Length })]
fn the_head_states_the_framing(#[case] case: Case) {
    assert_eq!(Framing::of(&head(&case)), case.framing);
}
