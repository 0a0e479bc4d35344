//! The format of the datagrams between gateways.

use std::time::Duration;

use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName, VmName};
use samphiresill_member::membership::Message;
use samphiresill_sched::fleet::admission::Refusal;
use samphiresill_sched::fleet::event::Event;
use samphiresill_sched::fleet::load::Placement;
use samphiresill_sched::fleet::quarantine::Notice;
use samphiresill_sched::fleet::request::{Generation, PlacementRequest, RunId};
use samphiresill_sched::fleet::streams::StreamOrigin;
use serde::{Deserialize, Serialize};

use crate::knowledge::Versions;
use crate::knowledge::directory::{EntryColdTime, EntryVersion, Update};
use crate::knowledge::evacuations;

/// Maximum size of a datagram; larger ones would be fragmented on most links.
pub const MAX_BYTES: usize = 1_400;

/// Maximum number of targets to avoid in a placement request, so that it fits into a datagram.
const MAX_AVOIDED: usize = 40;

/// `Frame` is one datagram.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// A message of the membership protocol.
    Member {
        /// The sender.
        from: VmName,
        /// The message.
        message: Message,
    },
    /// Load events of the sender and the versions of its routing state.
    Load(LoadFrame),
    /// Requests a placement from a scheduler.
    PlacementRequest(PlacementRequestFrame),
    /// Replies to a placement request.
    Placed(PlacementReplyFrame),
    /// All notices about quarantined prompt parts that the sender knows.
    Notices(Vec<Notice>),
}

/// `LoadFrame` announces the load and the routing state of a gateway.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadFrame {
    /// Identifies the gateway; differs after each start of its process.
    pub origin: u64,
    /// Versions of its routing state.
    pub versions: Versions,
    /// Whether it watches the store and the store responds to it.
    pub is_watching: bool,
    /// Whether the receiver should relay the events to the other schedulers.
    pub is_for_relay: bool,
    /// Load events.
    pub events: Vec<Event>,
    /// Numbers of all its active runs, sent periodically; runs that are not listed have ended.
    pub runs: Option<Vec<u32>>,
    /// The latest changes of the directory of targets, or a part of them.
    pub update: Option<Update>,
    /// Ages of the store's answers. They follow the frame in its datagram, where gateways that do not
    /// know them ignore them.
    #[serde(skip)]
    pub answers: StoreAnswers,
    /// Evacuations and their ends. They follow the answers in the datagram.
    #[serde(skip)]
    pub evacuations: Vec<evacuations::Row>,
    /// Cold times of the entries in `update`. They follow the evacuations in the datagram.
    #[serde(skip)]
    pub cold: Vec<EntryColdTime>,
    /// Software versions of the entries in `update`. They follow the new events in the datagram.
    #[serde(skip)]
    pub software_versions: Vec<EntryVersion>,
}

impl LoadFrame {
    /// Splits off the events that gateways of the previous version cannot decode.
    fn split_new_events(&self) -> (Self, Vec<Event>) {
        let (new_events, events) = self.events.iter().cloned().partition(Event::is_new);
        let frame = Self {
            events,
            ..self.clone()
        };
        (frame, new_events)
    }

    /// Appends what gateways of earlier versions do not know, up to the last part that holds
    /// something. They ignore it.
    fn extend(&self, new_events: &[Event], mut bytes: Vec<u8>) -> Result<Vec<u8>, postcard::Error> {
        let has_versions = !self.software_versions.is_empty();
        let has_new_events = has_versions || !new_events.is_empty();
        let has_cold_times = has_new_events || !self.cold.is_empty();
        let has_evacuations = has_cold_times || !self.evacuations.is_empty();
        if has_evacuations || self.answers != StoreAnswers::default() {
            bytes = postcard::to_extend(&self.answers, bytes)?;
        }
        if has_evacuations {
            bytes = postcard::to_extend(&self.evacuations, bytes)?;
        }
        if has_cold_times {
            bytes = postcard::to_extend(&self.cold, bytes)?;
        }
        if has_new_events {
            bytes = postcard::to_extend(new_events, bytes)?;
        }
        if has_versions {
            bytes = postcard::to_extend(&self.software_versions, bytes)?;
        }
        Ok(bytes)
    }

    /// Decodes what [`Self::extend`] has appended.
    fn decode_extensions(&mut self, rest: &[u8]) -> Result<(), postcard::Error> {
        let (answers, rest) = postcard::take_from_bytes(rest)?;
        self.answers = answers;
        if rest.is_empty() {
            return Ok(());
        }
        let (evacuations, rest) = postcard::take_from_bytes(rest)?;
        self.evacuations = evacuations;
        if rest.is_empty() {
            return Ok(());
        }
        let (cold, rest) = postcard::take_from_bytes(rest)?;
        self.cold = cold;
        if rest.is_empty() {
            return Ok(());
        }
        let (new_events, rest): (Vec<Event>, _) = postcard::take_from_bytes(rest)?;
        self.events.extend(new_events);
        if !rest.is_empty() {
            self.software_versions = postcard::from_bytes(rest)?;
        }
        Ok(())
    }
}

/// `StoreAnswers` are the ages of the store's newest answers when a frame was sent, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreAnswers {
    /// Answers to the sender itself; `None` while it does not watch the store or its calls fail.
    pub own_ms: Option<u32>,
    /// Answers to the sender or to any gateway that has told it directly.
    pub known_ms: Option<u32>,
}

/// `PlacementRequestFrame` requests a placement from a scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlacementRequestFrame {
    /// Identifies the run.
    pub run: RunId,
    /// The customer; `None` on routes that need no API key.
    pub customer: Option<CustomerName>,
    /// The requested service.
    pub service: ServiceName,
    /// Describes the generation; present for requests to model engines.
    pub generation: Option<Generation>,
    /// Objective for the time to the first byte of the response.
    pub latency_objective: Duration,
    /// Time until the deadline for the complete response.
    pub time_left: Duration,
    /// Failure domain of the requesting gateway.
    pub domain: DomainName,
    /// Targets that have already been tried.
    pub tried: Vec<TargetName>,
    /// Time for which the request has been queued in its router.
    pub waited: Duration,
    /// Whether the request has run before.
    pub has_run: bool,
    /// Whether this is the first attempt to place the request.
    pub is_first_attempt: bool,
    /// Targets that may get no requests of the requesting gateway.
    pub avoided: Vec<TargetName>,
    /// Where the stream of the request began. It follows the frame in its datagram.
    #[serde(skip)]
    pub origin: StreamOrigin,
}

impl PlacementRequestFrame {
    /// Creates the frame for a request.
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
            is_first_attempt: req.is_first_attempt,
            avoided: req.avoided.iter().take(MAX_AVOIDED).cloned().collect(),
            origin: req.origin.clone(),
        }
    }

    /// Returns the request in the frame.
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
            is_first_attempt: self.is_first_attempt,
            avoided: &self.avoided,
            origin: &self.origin,
        }
    }
}

/// `PlacementReplyFrame` replies to a placement request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlacementReplyFrame {
    /// The run of the request.
    pub run: RunId,
    /// The placement of the request, or its refusal.
    pub decision: Result<Placement, Refusal>,
}

impl Frame {
    /// Encodes the frame.
    ///
    /// # Errors
    /// When the encoder fails, which it does not for the types in a frame.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let load = match self {
            Self::Load(load) => load,
            Self::PlacementRequest(req) if req.origin != StreamOrigin::New => {
                return postcard::to_extend(&req.origin, postcard::to_stdvec(self)?);
            }
            _ => return postcard::to_stdvec(self),
        };
        if !load.events.iter().any(Event::is_new) {
            return load.extend(&[], postcard::to_stdvec(self)?);
        }
        let (known, new_events) = load.split_new_events();
        load.extend(&new_events, postcard::to_stdvec(&Self::Load(known))?)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    /// When the bytes are not a valid frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut frame, rest) = postcard::take_from_bytes(bytes)?;
        if rest.is_empty() {
            return Ok(frame);
        }
        match &mut frame {
            Self::Load(load) => load.decode_extensions(rest)?,
            Self::PlacementRequest(req) => req.origin = postcard::from_bytes(rest)?,
            _ => {}
        }
        Ok(frame)
    }
}
