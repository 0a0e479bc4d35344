//! What routers tell each other of the load that they cause.

use samphiresill_core::name::{CustomerName, TargetName};
use serde::{Deserialize, Serialize};

use super::work::{Generation, RunId};

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
        /// What it asks, when the target is an engine.
        generation: Option<Generation>,
        /// Prompt tokens that the engine has to read.
        unread_tokens: u32,
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
    },
    /// A request was refused for lack of capacity.
    Refused {
        /// Recognises the request when it returns.
        fingerprint: u64,
        /// Whose it was.
        customer: Option<CustomerName>,
        /// What it asked, in weighted tokens.
        cost: u64,
    },
    /// No connection to a target could be made.
    Unreachable {
        /// The target.
        target: TargetName,
    },
}
