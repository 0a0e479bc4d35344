//! The objects that a configuration consists of.

use std::collections::BTreeSet;

use derive_more::Display;
use samphiresill_core::name::{DomainName, KeyHash, ServiceName};
use samphiresill_core::units::Share;
use serde::{Deserialize, Serialize};

/// `Priority` orders the waiting requests of one customer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Someone waits for the answer.
    #[serde(rename = "quick")]
    #[display("quick")]
    Interactive,
    /// A late answer is acceptable.
    #[default]
    #[serde(rename = "patient")]
    #[display("patient")]
    Batch,
}

/// `Customer` is who pays for requests and has a share of the capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The part of the capacity, in proportion to other customers' shares.
    pub share: Share,
    /// Hashes of the keys that its callers present.
    #[serde(default)]
    pub key_hashes: BTreeSet<KeyHash>,
    /// Requests that may wait at one router; 1 to 100,000.
    #[serde(default = "default_max_waiting")]
    pub max_waiting: u32,
}

fn default_max_waiting() -> u32 {
    1_000
}

/// `Model` is a model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Objective for the time to the first token, in milliseconds, for 95 in 100.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u32,
    /// Objective for the time between tokens, in milliseconds, for 95 in 100.
    #[serde(default = "default_between_tokens_ms")]
    pub between_tokens_ms: u32,
    /// Requests that ask for at most this many tokens are quick.
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

/// `Service` is a plain service beside the model engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Path below which callers reach the service, for instance `/orders`.
    pub path: String,
    /// Methods that may be repeated without effect.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: BTreeSet<String>,
    /// Time within which a target must answer, in milliseconds.
    #[serde(default = "default_answer_ms")]
    pub answer_ms: u32,
}

fn default_idempotent_methods() -> BTreeSet<String> {
    ["GET", "HEAD", "OPTIONS"].map(String::from).into()
}

fn default_answer_ms() -> u32 {
    10_000
}

/// `Target` is one model engine or one instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The failure domain that the target stands in.
    pub domain: DomainName,
    /// Address as `IP:port`.
    pub address: std::net::SocketAddr,
    /// The models or services that it serves.
    pub serves: BTreeSet<ServiceName>,
    /// Requests that it may run at once; 1 to 1,000.
    pub slots: u32,
    /// Whether it refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it is leaving: it finishes what it has and receives nothing new.
    #[serde(default)]
    pub draining: bool,
}

/// `Kind` names the kinds of objects.
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
}

/// `ObjectId` identifies one object of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{kind}/{name}")]
pub struct ObjectId {
    /// The kind of the object.
    pub kind: Kind,
    /// Its name, unique among objects of the kind.
    pub name: String,
}

/// `Object` is the value of one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Object {
    /// A customer.
    Customer(Customer),
    /// A model.
    Model(Model),
    /// A plain service.
    Service(Service),
    /// A target.
    Target(Target),
}

impl Object {
    /// The kind of this object.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Customer(_) => Kind::Customer,
            Self::Model(_) => Kind::Model,
            Self::Service(_) => Kind::Service,
            Self::Target(_) => Kind::Target,
        }
    }
}
