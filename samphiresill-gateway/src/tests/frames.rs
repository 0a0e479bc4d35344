//! Encoding and decoding of datagrams between gateways, including corrupted ones.

use std::time::Duration;

use rstest::rstest;
use samphiresill_core::name::{DomainName, ServiceName, TargetName};
use samphiresill_sched::fleet::event::{Event, RunResult};
use samphiresill_sched::fleet::quarantine::{MAX_ENTRIES, Notice};
use samphiresill_sched::fleet::request::{PlacementRequest, RunId};
use samphiresill_sched::fleet::streams::{StreamId, StreamOrigin};

use crate::knowledge::directory::{EntryColdTime, EntryVersion};
use crate::knowledge::evacuations;
use crate::peers::frame::{Frame, LoadFrame, MAX_BYTES, PlacementRequestFrame, StoreAnswers};

fn frame() -> Frame {
    let event = Event::Ended {
        run: RunId {
            origin: 7,
            number: 9,
        },
        target: "t1".into(),
        result: RunResult::Answered { ms: 12 },
    };
    Frame::Load(LoadFrame {
        origin: 7,
        events: vec![event],
        runs: Some(vec![1, 2]),
        ..LoadFrame::default()
    })
}

/// Notices about as many parts as can be listed fit into one datagram.
#[test]
fn a_full_list_of_notices_fits_into_a_datagram() {
    let notice = Notice {
        part: u64::MAX,
        revision: 100,
        is_lifted: true,
        remaining: Duration::new(3_599, 999_999_999),
    };
    let frame = Frame::Notices(vec![notice; MAX_ENTRIES]);
    let bytes = frame.encode().expect("notices can be encoded");
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
}

#[test]
fn a_frame_round_trips() {
    let bytes = frame().encode().expect("a frame");
    let read = Frame::decode(&bytes).expect("a frame");
    assert_eq!(format!("{read:?}"), format!("{:?}", frame()));
}

/// Guards against a datagram that gateways of the previous version drop because of one event that they do
/// not know: they decode the rest of it.
#[test]
fn the_previous_version_decodes_a_frame_with_a_new_event() {
    let run = RunId {
        origin: 7,
        number: 10,
    };
    let rejected = Event::Ended {
        run,
        target: "t2".into(),
        result: RunResult::Rejected,
    };
    let Frame::Load(mut load) = frame() else {
        panic!("a load frame");
    };
    let known = load.events.clone();
    load.answers.own_ms = Some(5);
    load.events.push(rejected);
    let expected = format!("{load:?}");
    let bytes = Frame::Load(load).encode().expect("a frame");
    let (Frame::Load(previous), rest) = postcard::take_from_bytes(&bytes).expect("a frame") else {
        panic!("a load frame");
    };
    assert_eq!(previous.events, known);
    let answers: StoreAnswers = postcard::from_bytes(rest).expect("answers");
    assert_eq!(answers.own_ms, Some(5));
    let Frame::Load(read) = Frame::decode(&bytes).expect("a frame") else {
        panic!("a load frame");
    };
    assert_eq!(format!("{read:?}"), expected);
}

fn evacuated(domain: &str, version: u64) -> evacuations::Row {
    evacuations::Row {
        domain: DomainName::from(domain),
        version,
        is_evacuated: true,
    }
}

struct TailCase {
    answers: StoreAnswers,
    evacuations: Vec<evacuations::Row>,
}

const ANSWERS: StoreAnswers = StoreAnswers {
    own_ms: Some(1_000),
    known_ms: None,
};

/// Guards against a tail of a load frame that is lost, and against one that a peer of the previous
/// version cannot decode: it reads the answers after the frame and ignores what follows.
#[rstest]
#[case::none(TailCase { answers: StoreAnswers::default(), evacuations: Vec::new() })]
#[case::answers(TailCase { answers: ANSWERS, evacuations: Vec::new() })]
#[case::evacuations(TailCase { answers: StoreAnswers::default(), evacuations: vec![evacuated("d1", 5)] })]
#[case::both(TailCase { answers: ANSWERS, evacuations: vec![evacuated("d1", 5), evacuated("d2", u64::MAX)] })]
fn a_load_frame_carries_answers_and_evacuations(#[case] case: TailCase) {
    let frame = Frame::Load(LoadFrame {
        answers: case.answers,
        evacuations: case.evacuations.clone(),
        ..LoadFrame::default()
    });
    let bytes = frame.encode().expect("a frame");
    let Frame::Load(read) = Frame::decode(&bytes).expect("a frame") else {
        panic!("not a load frame");
    };
    assert_eq!(
        (read.answers, read.evacuations),
        (case.answers, case.evacuations)
    );
    let (_, rest): (Frame, _) = postcard::take_from_bytes(&bytes).expect("a frame");
    let answers = if rest.is_empty() {
        StoreAnswers::default()
    } else {
        postcard::from_bytes(rest).expect("answers")
    };
    assert_eq!(answers, case.answers);
}

/// Guards against cold times that are lost, or that a gateway of the version before, which reads only the
/// frame, cannot skip.
#[test]
fn cold_times_follow_the_frame() {
    let Frame::Load(load) = frame() else {
        panic!("a load frame");
    };
    let cold = vec![EntryColdTime {
        index: 3,
        remaining_ms: 2_900,
    }];
    let cold = LoadFrame { cold, ..load };
    let bytes = Frame::Load(cold.clone()).encode().expect("a frame");
    let Ok(Frame::Load(read)) = Frame::decode(&bytes) else {
        panic!("a load frame");
    };
    assert_eq!(read.cold, cold.cold);
    let (before, _) = postcard::take_from_bytes::<Frame>(&bytes).expect("a frame");
    assert_eq!(format!("{before:?}"), format!("{:?}", frame()));
}

/// Guards against software versions, beginnings of streams and origins that are lost, or that a gateway
/// of the version before, which reads only the frame, cannot skip.
#[test]
fn versions_and_origins_follow_the_frame() {
    let Frame::Load(load) = frame() else {
        panic!("a load frame");
    };
    let stream = StreamId::of(&"r1".into());
    let began = Event::StreamBegan {
        stream,
        target: "t1".into(),
        version: "v1".into(),
    };
    let load = LoadFrame {
        events: load.events.iter().cloned().chain([began]).collect(),
        software_versions: vec![EntryVersion {
            index: 2,
            version: "v2".into(),
        }],
        ..load
    };
    let bytes = Frame::Load(load.clone()).encode().expect("a frame");
    let Ok(Frame::Load(read)) = Frame::decode(&bytes) else {
        panic!("a load frame");
    };
    assert_eq!(read.software_versions, load.software_versions);
    assert_eq!(read.events, load.events);
    let (before, _) = postcard::take_from_bytes::<Frame>(&bytes).expect("a frame");
    assert_eq!(format!("{before:?}"), format!("{:?}", frame()));
    let (service, domain) = (ServiceName::from("model"), DomainName::from("d1"));
    for origin in [
        StreamOrigin::New,
        StreamOrigin::At("v1".into()),
        StreamOrigin::Of(stream),
        StreamOrigin::Unknown,
    ] {
        let req = request(&service, &domain, &[], &origin);
        let frame = Frame::PlacementRequest(PlacementRequestFrame::new(RUN, &req));
        let bytes = frame.encode().expect("a frame");
        let Ok(Frame::PlacementRequest(read)) = Frame::decode(&bytes) else {
            panic!("a placement request");
        };
        assert_eq!(read.origin, origin);
        assert!(postcard::take_from_bytes::<Frame>(&bytes).is_ok());
    }
}

const RUN: RunId = RunId {
    origin: 1,
    number: 1,
};

fn request<'a>(
    service: &'a ServiceName,
    domain: &'a DomainName,
    avoided: &'a [TargetName],
    origin: &'a StreamOrigin,
) -> PlacementRequest<'a> {
    PlacementRequest {
        customer: None,
        service,
        generation: None,
        latency_objective: Duration::from_secs(1),
        time_left: Duration::from_secs(10),
        domain,
        tried: &[],
        avoided,
        is_first_attempt: true,
        waited: Duration::ZERO,
        has_run: false,
        origin,
    }
}

/// Truncated frames must be rejected, and decoding a frame with a changed byte must not panic.
#[test]
fn truncated_frames_are_rejected_and_corrupted_ones_do_not_panic() {
    let bytes = frame().encode().expect("a frame");
    for end in 0..bytes.len() {
        assert!(Frame::decode(&bytes[..end]).is_err(), "cut at {end}");
    }
    for index in 0..bytes.len() {
        for value in 0..=u8::MAX {
            let mut broken = bytes.clone();
            broken[index] = value;
            // Whether the result is a valid frame depends on the byte; decoding must return.
            drop(Frame::decode(&broken));
        }
    }
}

/// A placement request fits into a datagram however many targets its gateway avoids.
#[test]
fn a_placement_request_with_many_avoided_targets_fits_into_a_datagram() {
    let avoided: Vec<TargetName> = (0..1_000)
        .map(|n| TargetName::from(format!("i-{n:010}")))
        .collect();
    let (service, domain) = (ServiceName::from("model"), DomainName::from("d1"));
    let origin = StreamOrigin::At("v1".into());
    let req = request(&service, &domain, &avoided, &origin);
    let frame = Frame::PlacementRequest(PlacementRequestFrame::new(RUN, &req));
    let bytes = frame.encode().expect("an encoded frame");
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
}
