//! Objects of the configuration document.

use std::collections::BTreeSet;

use derive_more::Display;
use samphiresill_core::name::{DomainName, KeyHash, ServiceName};
use samphiresill_core::units::Share;
use serde::{Deserialize, Serialize};

/// `Priority` orders the queued requests of one customer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// A user waits for the response.
    #[serde(rename = "quick")]
    #[display("quick")]
    Interactive,
    /// A delayed response is acceptable.
    #[default]
    #[serde(rename = "patient")]
    #[display("patient")]
    Batch,
}

/// `Customer` owns API keys and has a share of the capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Weight in the distribution of capacity, relative to other customers.
    pub share: Share,
    /// Hashes of the API keys of its callers.
    #[serde(default)]
    pub key_hashes: BTreeSet<KeyHash>,
    /// Maximum number of queued requests per router; 1 to 100,000.
    #[serde(default = "default_max_waiting")]
    pub max_waiting: u32,
}

fn default_max_waiting() -> u32 {
    1_000
}

/// `Model` is a model served by model engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Objective for the 95th percentile of the time to first token, in milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u32,
    /// Objective for the 95th percentile of the time between tokens, in milliseconds.
    #[serde(default = "default_between_tokens_ms")]
    pub between_tokens_ms: u32,
    /// Requests whose `max_tokens` does not exceed this value have interactive priority.
    #[serde(default = "default_quick_tokens")]
    pub quick_tokens: u32,
}

fn default_first_token_ms() -> u32 {
    1_400
}

fn default_between_tokens_ms() -> u32 {
    42
}

fn default_quick_tokens() -> u32 {
    256
}

/// `Service` is a plain service, as opposed to a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Path prefix of the service's requests, for example `/orders`.
    pub path: String,
    /// HTTP methods whose requests are idempotent and may be retried.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: BTreeSet<String>,
    /// Timeout for the response of a target, in milliseconds.
    #[serde(default = "default_answer_ms")]
    pub answer_ms: u32,
}

fn default_idempotent_methods() -> BTreeSet<String> {
    ["GET", "HEAD", "OPTIONS"].map(String::from).into()
}

fn default_answer_ms() -> u32 {
    10_000
}

/// `Target` is a model engine or an instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Address as `IP:port`.
    pub address: std::net::SocketAddr,
    /// Models or services that the target serves.
    pub serves: BTreeSet<ServiceName>,
    /// Maximum number of concurrent requests; 1 to 1,000.
    pub slots: u32,
    /// Whether the target rejects requests with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the target completes its running requests and receives no new ones.
    #[serde(default)]
    pub draining: bool,
}

/// `Evacuation` takes the failure domain of its name out of service: the targets of the domain complete
/// their running requests and receive no new ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {}

/// `Kind` is the type of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Kind {
    /// A [`Customer`].
    Customer,
    /// A [`Model`].
    Model,
    /// A [`Service`].
    Service,
    /// A [`Target`].
    Target,
    /// An [`Evacuation`].
    Evacuation,
}

/// `ObjectId` identifies one object of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{kind}/{name}")]
pub struct ObjectId {
    /// Type of the object.
    pub kind: Kind,
    /// Name, unique among objects of this type.
    pub name: String,
}

/// `Object` is the value of a configuration object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Object {
    /// Value of a customer.
    Customer(Customer),
    /// Value of a model.
    Model(Model),
    /// Value of a plain service.
    Service(Service),
    /// Value of a target.
    Target(Target),
    /// Value of an evacuation.
    Evacuation(Evacuation),
}

impl Object {
    /// Returns the type of this object.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Customer(_) => Kind::Customer,
            Self::Model(_) => Kind::Model,
            Self::Service(_) => Kind::Service,
            Self::Target(_) => Kind::Target,
            Self::Evacuation(_) => Kind::Evacuation,
        }
    }
}
