//! The form of the datagrams between gateways.

use std::time::Duration;

use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName, VmName};
use samphiresill_member::membership::Message;
use samphiresill_sched::fleet::account::Placement;
use samphiresill_sched::fleet::admission::Refusal;
use samphiresill_sched::fleet::event::Event;
use samphiresill_sched::fleet::work::{Generation, PlacementRequest, RunId};
use serde::{Deserialize, Serialize};

use crate::knowledge::Versions;
use crate::knowledge::directory::Update;

/// Bytes of a datagram at most; larger ones would be fragmented on most links.
pub const MAX_BYTES: usize = 1_400;

/// `Frame` is one datagram.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Membership.
    Member {
        /// The sender.
        from: VmName,
        /// What it says.
        message: Message,
    },
    /// Load and versions of knowledge.
    Load(LoadFrame),
    /// Requests a placement from a scheduler.
    PlacementRequest(PlacementRequestFrame),
    /// Replies to a placement request.
    Placed(PlacementReplyFrame),
}

/// `LoadFrame` is what a gateway announces of its load and its knowledge.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadFrame {
    /// The gateway, new with each start of its process.
    pub origin: u64,
    /// How new its knowledge is.
    pub versions: Versions,
    /// Whether it follows the store, and the store answers it.
    pub is_watching: bool,
    /// Whether the receiver should pass the events on to the other schedulers.
    pub is_for_relay: bool,
    /// Changes of the load.
    pub events: Vec<Event>,
    /// All its runs, now and then; those that are not listed have ended.
    pub runs: Option<Vec<u32>>,
    /// The newest changes of the directory of targets, or a part of them.
    pub update: Option<Update>,
}

/// `PlacementRequestFrame` requests a placement from a scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlacementRequestFrame {
    /// Identifies the run.
    pub run: RunId,
    /// The customer.
    pub customer: Option<CustomerName>,
    /// The service.
    pub service: ServiceName,
    /// Present for requests to model engines.
    pub generation: Option<Generation>,
    /// Time to the first byte within which the answer is on time.
    pub latency_objective: Duration,
    /// Time until the answer must have ended.
    pub time_left: Duration,
    /// Failure domain of the requesting gateway.
    pub domain: DomainName,
    /// Targets that were tried already.
    pub tried: Vec<TargetName>,
    /// How long the request has been queued in its router.
    pub waited: Duration,
    /// Whether the request has run before.
    pub has_run: bool,
}

impl PlacementRequestFrame {
    /// The frame for a request.
    #[must_use]
    pub fn new(run: RunId, req: &PlacementRequest<'_>) -> Self {
        Self {
            run,
            customer: req.customer.cloned(),
            service: req.service.clone(),
            generation: req.generation.cloned(),
            latency_objective: req.latency_objective,
            time_left: req.time_left,
            domain: req.domain.clone(),
            tried: req.tried.to_vec(),
            waited: req.waited,
            has_run: req.has_run,
        }
    }

    /// The request in the frame.
    #[must_use]
    pub fn request(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            customer: self.customer.as_ref(),
            service: &self.service,
            generation: self.generation.as_ref(),
            latency_objective: self.latency_objective,
            time_left: self.time_left,
            domain: &self.domain,
            tried: &self.tried,
            waited: self.waited,
            has_run: self.has_run,
        }
    }
}

/// `PlacementReplyFrame` replies to a placement request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlacementReplyFrame {
    /// The run of the request.
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
