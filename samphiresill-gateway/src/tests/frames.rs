//! Datagrams between gateways, also broken ones.

use samphiresill_sched::fleet::event::{Event, RunResult};
use samphiresill_sched::fleet::request::RunId;

use crate::peers::frame::{Frame, LoadFrame};

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

#[test]
fn a_frame_is_read_as_it_was_written() {
    let bytes = frame().encode().expect("a frame");
    let read = Frame::decode(&bytes).expect("a frame");
    assert_eq!(format!("{read:?}"), format!("{:?}", frame()));
}

/// Every cut and every changed byte is either read as some frame or refused, never a panic.
#[test]
fn broken_frames_are_refused() {
    let bytes = frame().encode().expect("a frame");
    for end in 0..bytes.len() {
        assert!(Frame::decode(&bytes[..end]).is_err(), "cut at {end}");
    }
    for index in 0..bytes.len() {
        for value in 0..=u8::MAX {
            let mut broken = bytes.clone();
            broken[index] = value;
            // Whether it is still a frame depends on the byte; reading it must return.
            drop(Frame::decode(&broken));
        }
    }
}
