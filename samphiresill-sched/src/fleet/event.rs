//! Changes of the fleet's load, as routers send them to each other.

use samphiresill_core::name::{CustomerName, TargetName};
use serde::{Deserialize, Serialize};

use super::work::{Generation, PromptPart, RunId};

/// `RunResult` is what a run shows about its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunResult {
    /// Nothing, as when the caller left.
    #[default]
    Unknown,
    /// It answered.
    Answered {
        /// Time from the request to its end, in milliseconds.
        ms: u32,
    },
    /// It failed after the request was sent.
    Failed,
    /// No connection could be made.
    Unreachable,
}

/// `Event` is one change of the fleet's load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A request was sent to a target.
    Started {
        /// The run.
        run: RunId,
        /// Where it was sent.
        target: TargetName,
        /// For whom.
        customer: Option<CustomerName>,
        /// What it needs, when the target is an engine.
        generation: Option<Generation>,
        /// Prompt tokens that the engine has to prefill.
        prefill_tokens: u32,
    },
    /// The first event of a stream has come.
    FirstEvent {
        /// The run.
        run: RunId,
        /// Where it runs.
        target: TargetName,
    },
    /// A request has left its target.
    Ended {
        /// The run.
        run: RunId,
        /// Where it ran.
        target: TargetName,
        /// What it shows about the target.
        result: RunResult,
    },
    /// A request was refused for lack of capacity.
    Refused {
        /// Identifies the request across retries.
        fingerprint: u64,
        /// Whose it was.
        customer: Option<CustomerName>,
        /// What it needs, in weighted tokens.
        cost: u64,
    },
    /// An engine has reported prompt parts as cached.
    Cached {
        /// The engine.
        target: TargetName,
        /// The parts.
        parts: Vec<PromptPart>,
    },
    /// Requests have waited for a byte of a target for longer than of a working one.
    Stalled {
        /// The target.
        target: TargetName,
    },
}
