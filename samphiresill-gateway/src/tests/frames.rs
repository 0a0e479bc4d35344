//! Encoding and decoding of datagrams between gateways, including corrupted ones.

use std::time::Duration;

use samphiresill_sched::fleet::event::{Event, RunResult};
use samphiresill_sched::fleet::quarantine::{MAX_ENTRIES, Notice};
use samphiresill_sched::fleet::request::RunId;

use crate::peers::frame::{Frame, LoadFrame, MAX_BYTES};

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
