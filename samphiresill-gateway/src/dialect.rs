//! The interface to an adapter that knows the names on the wire.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use hyper::{HeaderMap, StatusCode};
use samphiresill_core::name::{CustomerName, RequestId, TargetName};
use samphiresill_core::routing::RoutingTable;
use samphiresill_sched::fleet::work::{Generation, PromptPart};

/// `CallerHead` is what a caller says of its request beside method, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Identity that the caller gave the request.
    pub request: Option<RequestId>,
    /// How long the caller will wait, its deadline from the start of the request.
    pub timeout: Option<Duration>,
    /// Key that names the customer.
    pub key: Option<Arc<str>>,
    /// Present for requests to model engines.
    pub generation: Option<Generation>,
    /// Last event that the caller has, when it resumes a stream itself.
    pub last_event: Option<Arc<str>>,
}

/// `ForwardMetadata` is what is sent to a target beside the caller's headers.
#[derive(Clone, Copy, Debug)]
pub struct ForwardMetadata<'a> {
    /// The target that the request is meant for.
    pub target: &'a TargetName,
    /// How long the target may work on it.
    pub time_left: Duration,
    /// The customer that the key names.
    pub customer: Option<&'a CustomerName>,
    /// An engine with a longer cached prefix, from which the target should copy it.
    pub copy_from: Option<SocketAddr>,
    /// Last event delivered, when another run continues a stream.
    pub resume_after: Option<&'a str>,
}

/// `ResponseHead` is what a target says of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether the answer names the request that was sent.
    pub echoes_request: bool,
    /// Whether the target states that it has not run the request.
    pub is_unexecuted: bool,
    /// Whether the answer carries the target's signature.
    pub is_signed: bool,
}

/// `DecodeError` is a document that cannot be understood.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{path}: {found}")]
pub struct DecodeError {
    /// Where in the document.
    pub path: String,
    /// What is wrong there.
    pub found: String,
}

/// `Dialect` reads and writes the names on the wire.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    fn caller_head(&self, headers: &HeaderMap) -> CallerHead;
    /// Headers for a target: the caller's, without those that are not meant for it.
    fn target_headers(&self, caller: &HeaderMap, forward: &ForwardMetadata<'_>) -> HeaderMap;
    /// Reads the head of a target's answer to `request`.
    fn response_head(
        &self,
        request: &RequestId,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseHead;
    /// Path at which an engine lists the prompt parts that it caches.
    fn cache_list_path(&self) -> &'static str;
    /// Decodes an engine's list of cached prompt parts.
    ///
    /// # Errors
    /// When the document is not such a list.
    fn cache_list(&self, document: &[u8]) -> Result<Vec<PromptPart>, DecodeError>;
    /// Decodes the operators' configuration.
    ///
    /// # Errors
    /// When the document is not a configuration.
    fn routing_table(&self, document: &[u8]) -> Result<RoutingTable, DecodeError>;
}
