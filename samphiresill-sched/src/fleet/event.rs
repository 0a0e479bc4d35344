//! Changes of the fleet's load that routers send to each other.

use samphiresill_core::name::{CustomerName, SoftwareVersion, TargetName};
use samphiresill_core::units::RequestRate;
use serde::{Deserialize, Serialize};

use super::quarantine::evidence::Suspect;
use super::request::{Generation, PromptPart, RunId};
use super::streams::StreamId;

/// `RunResult` is the outcome of a run, as evidence of its target's health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunResult {
    /// No evidence, for example because the caller disconnected.
    #[default]
    Unknown,
    /// The target responded.
    Answered {
        /// Time from sending the request to the end of the response, in milliseconds.
        ms: u32,
    },
    /// The run failed after the request was sent.
    Failed,
    /// The connection attempt failed.
    Unreachable,
    /// The deadline of the request passed while its stream made progress.
    TimeUp,
    /// The target was full and stated that it did not execute the request.
    Rejected,
}

/// `Event` is one change of the fleet's load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A request was sent to a target.
    Started {
        /// The run.
        run: RunId,
        /// The target that it was sent to.
        target: TargetName,
        /// The customer of the request; `None` on routes that require no key.
        customer: Option<CustomerName>,
        /// Describes the generation; present when the target is an engine.
        generation: Option<Generation>,
        /// Prompt tokens that the engine has to prefill.
        prefill_tokens: u32,
    },
    /// The first event of a stream was received.
    FirstEvent {
        /// The run.
        run: RunId,
        /// The target on which it runs.
        target: TargetName,
    },
    /// A run has ended.
    Ended {
        /// The run.
        run: RunId,
        /// The target on which it ran.
        target: TargetName,
        /// The outcome.
        result: RunResult,
    },
    /// A request was refused for lack of capacity.
    Refused {
        /// Identifies the request across retries.
        fingerprint: u64,
        /// The customer of the request; `None` on routes that require no key.
        customer: Option<CustomerName>,
        /// Cost of the request, in weighted tokens.
        cost: u64,
    },
    /// An engine reported prompt parts as cached.
    Cached {
        /// The engine.
        target: TargetName,
        /// The parts.
        parts: Vec<PromptPart>,
    },
    /// Pending requests have received no byte from a target within the stall timeout.
    Stalled {
        /// The target.
        target: TargetName,
    },
    /// The events of a stream followed each other at this mean interval.
    EventInterval {
        /// The run.
        run: RunId,
        /// The target on which it runs.
        target: TargetName,
        /// The interval, in microseconds.
        us: u32,
    },
    /// A target has crashed: its connections broke and it accepts no new one.
    Crashed {
        /// The target.
        target: TargetName,
        /// Number of runs of the reporting router that broke off.
        runs: u32,
        /// Parts of their prompts.
        suspects: Vec<Suspect>,
    },
    /// A target has named a limit on the requests from all routers, or names none any more.
    RateLimit {
        /// The target.
        target: TargetName,
        /// The limit; `None` when it has ended.
        rate: Option<RequestRate>,
        /// Time since the request was sent whose response told that, in milliseconds.
        sent_ms_ago: u32,
    },
    /// A target has said that it is about to stop.
    Leaving {
        /// The target.
        target: TargetName,
        /// When the instance of the target started, in Unix milliseconds.
        started_ms: u64,
    },
    /// A stream has paused between two events for longer than the objective of its route.
    LongPause {
        /// The target.
        target: TargetName,
        /// The longest pause, in milliseconds.
        ms: u32,
    },
    /// The connection of a run broke, so its target may have restarted.
    ConnectionBroken {
        /// The target.
        target: TargetName,
    },
    /// Repeats that a target may have restarted and is cold.
    Cold {
        /// The target.
        target: TargetName,
        /// When the instance of the target started, in Unix milliseconds.
        started_ms: u64,
        /// Time since the earliest possible restart, in milliseconds.
        first_ms_ago: u32,
        /// Time since the last failed attempt, in milliseconds.
        last_ms_ago: u32,
        /// Time until the target is warm, in milliseconds; `None` while it has not answered.
        warm_in_ms: Option<u32>,
    },
    /// A stream that may be resumed has delivered its first event.
    StreamBegan {
        /// The stream.
        stream: StreamId,
        /// The target.
        target: TargetName,
        /// Version of the target's software.
        version: SoftwareVersion,
    },
}

impl Event {
    /// Returns whether routers of the previous version cannot decode the event.
    #[must_use]
    pub fn is_new(&self) -> bool {
        matches!(
            self,
            Self::Ended {
                result: RunResult::Rejected,
                ..
            } | Self::LongPause { .. }
                | Self::ConnectionBroken { .. }
                | Self::Cold { .. }
                | Self::StreamBegan { .. }
        )
    }
}
