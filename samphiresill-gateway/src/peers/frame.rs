//! The form of the datagrams between gateways.

use std::time::Duration;

use samphiresill_core::name::{CustomerName, DomainName, TargetName, VmName, WorkName};
use samphiresill_member::membership::Message;
use samphiresill_sched::fleet::account::Placement;
use samphiresill_sched::fleet::admission::Refusal;
use samphiresill_sched::fleet::event::Event;
use samphiresill_sched::fleet::work::{Ask, Generation, RunId};
use serde::{Deserialize, Serialize};

use crate::knowledge::{News, Versions};

/// Bytes of a datagram at most; larger ones would be fragmented on most links.
pub const MAX_BYTES: usize = 1_400;

/// `Frame` is one datagram.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// About who lives.
    Member {
        /// The sender.
        from: VmName,
        /// What it says.
        message: Message,
    },
    /// About load and knowledge.
    Load(LoadFrame),
    /// Asks a scheduler for a target.
    Ask(AskFrame),
    /// Answers an ask.
    Answer(AnswerFrame),
}

/// `LoadFrame` is what a gateway tells of its load and its knowledge.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadFrame {
    /// The gateway, new with each start of its process.
    pub origin: u64,
    /// How new its knowledge is.
    pub versions: Versions,
    /// Whether it follows the store, and the store answers it.
    pub is_watching: bool,
    /// Whether the receiver is to tell the other schedulers.
    pub is_for_relay: bool,
    /// Changes of the load.
    pub events: Vec<Event>,
    /// All its runs, now and then; those that are not listed have ended.
    pub runs: Option<Vec<u32>>,
    /// The newest change of the directory of targets, if it is small.
    pub news: Option<News>,
}

/// `AskFrame` asks a scheduler for a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AskFrame {
    /// Identifies the run.
    pub run: RunId,
    /// The customer.
    pub customer: Option<CustomerName>,
    /// The service.
    pub service: WorkName,
    /// Present for requests to model engines.
    pub generation: Option<Generation>,
    /// Time to the first byte within which the answer is on time.
    pub aim: Duration,
    /// Time until the answer must have ended.
    pub time_left: Duration,
    /// Failure domain of the asking gateway.
    pub domain: DomainName,
    /// Targets that were tried already.
    pub tried: Vec<TargetName>,
    /// How long the request has waited for room.
    pub waited: Duration,
    /// Whether the request has run before.
    pub has_run: bool,
}

impl AskFrame {
    /// The frame for an ask.
    #[must_use]
    pub fn new(run: RunId, ask: &Ask<'_>) -> Self {
        Self {
            run,
            customer: ask.customer.cloned(),
            service: ask.service.clone(),
            generation: ask.generation.cloned(),
            aim: ask.aim,
            time_left: ask.time_left,
            domain: ask.domain.clone(),
            tried: ask.tried.to_vec(),
            waited: ask.waited,
            has_run: ask.has_run,
        }
    }

    /// The ask in the frame.
    #[must_use]
    pub fn ask(&self) -> Ask<'_> {
        Ask {
            customer: self.customer.as_ref(),
            service: &self.service,
            generation: self.generation.as_ref(),
            aim: self.aim,
            time_left: self.time_left,
            domain: &self.domain,
            tried: &self.tried,
            waited: self.waited,
            has_run: self.has_run,
        }
    }
}

/// `AnswerFrame` answers an ask.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnswerFrame {
    /// The run that was asked for.
    pub run: RunId,
    /// Where to send it, or that it is refused.
    pub decision: Result<Placement, Refusal>,
}

impl Frame {
    /// The frame as bytes.
    ///
    /// # Errors
    /// Never for the types it holds; the encoder's error otherwise.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Reads a frame.
    ///
    /// # Errors
    /// When the bytes are not a frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
