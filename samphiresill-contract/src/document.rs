//! The configuration document and its validation.

use std::collections::{BTreeMap, BTreeSet};

use samphiresill_core::name::{CustomerName, DomainName, KeyHash, ServiceName, TargetName};
use samphiresill_core::units::Share;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::object::{self, Kind, ObjectId};

/// `Document` contains all objects of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Customers that may send requests.
    pub customers: BTreeMap<CustomerName, object::Customer>,
    /// Models served by the model engines.
    pub models: BTreeMap<ServiceName, object::Model>,
    /// Plain services, which are not models.
    pub services: BTreeMap<ServiceName, object::Service>,
    /// Model engines and instances of plain services.
    pub targets: BTreeMap<TargetName, object::Target>,
    /// Evacuated failure domains. Omitted when there are none, because routers of versions without
    /// evacuations reject unknown fields.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub evacuations: BTreeSet<DomainName>,
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    /// `Invalid` with the path of the first syntax or schema error, or else of the first validation
    /// error.
    pub fn from_json(text: &str) -> Result<Self> {
        let mut json = serde_json::Deserializer::from_str(text);
        let document: Self = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            Error::invalid(
                e.path().to_string(),
                e.inner().to_string(),
                "a value that matches the schema",
            )
        })?;
        document.validate()?;
        Ok(document)
    }

    /// Validates value ranges, uniqueness and references between objects.
    ///
    /// # Errors
    /// `Invalid` with the path of the first invalid value.
    pub fn validate(&self) -> Result<()> {
        self.validate_customers()?;
        self.validate_services()?;
        self.validate_targets()?;
        for domain in &self.evacuations {
            validate_name(&format!("evacuations.{domain}"), domain)?;
        }
        Ok(())
    }

    /// Whether a target receives no new requests: it drains, or its failure domain is evacuated.
    #[must_use]
    pub fn is_draining(&self, target: &object::Target) -> bool {
        target.draining || self.evacuations.contains(&target.domain)
    }

    /// Returns the customer that an API key belongs to.
    #[must_use]
    pub fn customer_of_key(&self, hash: &KeyHash) -> Option<&CustomerName> {
        self.customers
            .iter()
            .find(|(_, c)| c.key_hashes.contains(hash))
            .map(|(name, _)| name)
    }

    /// Returns all objects with their identities.
    #[must_use]
    pub fn objects(&self) -> Vec<(ObjectId, object::Object)> {
        let id = |kind, name: &str| ObjectId {
            kind,
            name: name.to_owned(),
        };
        let customers = self
            .customers
            .iter()
            .map(|(n, v)| (id(Kind::Customer, n), object::Object::Customer(v.clone())));
        let models = self
            .models
            .iter()
            .map(|(n, v)| (id(Kind::Model, n), object::Object::Model(v.clone())));
        let services = self
            .services
            .iter()
            .map(|(n, v)| (id(Kind::Service, n), object::Object::Service(v.clone())));
        let targets = self
            .targets
            .iter()
            .map(|(n, v)| (id(Kind::Target, n), object::Object::Target(v.clone())));
        let evacuations = self.evacuations.iter().map(|n| {
            let value = object::Object::Evacuation(object::Evacuation {});
            (id(Kind::Evacuation, n), value)
        });
        customers
            .chain(models)
            .chain(services)
            .chain(targets)
            .chain(evacuations)
            .collect()
    }

    fn validate_customers(&self) -> Result<()> {
        let mut owners: BTreeMap<&KeyHash, &CustomerName> = BTreeMap::new();
        for (name, customer) in &self.customers {
            let path = format!("customers.{name}");
            validate_name(&path, name)?;
            validate_range(&path, "share", customer.share.0, Share::MAX)?;
            validate_range(&path, "max_waiting", customer.max_waiting, 100_000)?;
            for hash in &customer.key_hashes {
                validate_key_hash(&path, hash)?;
                if let Some(other) = owners.insert(hash, name) {
                    return Err(Error::invalid(
                        format!("{path}.key_hashes"),
                        format!("the hash of a key that already belongs to {other}"),
                        "a key that belongs to a single customer",
                    ));
                }
            }
        }
        Ok(())
    }

    fn validate_services(&self) -> Result<()> {
        for (name, model) in &self.models {
            let path = format!("models.{name}");
            validate_name(&path, name)?;
            validate_range(&path, "first_token_ms", model.first_token_ms, 600_000)?;
            validate_range(&path, "between_tokens_ms", model.between_tokens_ms, 60_000)?;
        }
        let mut paths = BTreeSet::new();
        for (name, service) in &self.services {
            let path = format!("services.{name}");
            validate_name(&path, name)?;
            validate_range(&path, "answer_ms", service.answer_ms, 600_000)?;
            if self.models.contains_key(name) {
                return Err(Error::invalid(
                    path,
                    "the name of a model",
                    "a name that no model has",
                ));
            }
            let is_absolute = service.path.starts_with('/') && service.path.len() > 1;
            if !is_absolute || service.path.starts_with("/v1/") || service.path.ends_with('/') {
                return Err(Error::invalid(
                    format!("{path}.path"),
                    format!("{:?}", service.path),
                    "an absolute path outside /v1/ without a trailing slash",
                ));
            }
            if !paths.insert(&service.path) {
                return Err(Error::invalid(
                    format!("{path}.path"),
                    "the path of another service",
                    "a path that no other service has",
                ));
            }
        }
        Ok(())
    }

    fn validate_targets(&self) -> Result<()> {
        for (name, target) in &self.targets {
            let path = format!("targets.{name}");
            validate_name(&path, name)?;
            validate_range(&path, "slots", target.slots, 1_000)?;
            for service in &target.serves {
                if !self.models.contains_key(service) && !self.services.contains_key(service) {
                    return Err(Error::invalid(
                        format!("{path}.serves"),
                        format!("{service}, which is not declared"),
                        "the name of a model or service",
                    ));
                }
            }
        }
        Ok(())
    }
}

/// Maximum length of an object's name, in bytes.
const MAX_NAME_BYTES: usize = 64;

fn validate_name(path: &str, name: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return Err(Error::invalid(
            path,
            format!("the name {name:?}"),
            "1 to 64 letters, digits, '-', '_' or '.'",
        ));
    }
    Ok(())
}

fn validate_range(path: &str, field: &str, value: u32, max: u32) -> Result<()> {
    if value == 0 || value > max {
        return Err(Error::invalid(
            format!("{path}.{field}"),
            value.to_string(),
            format!("1 to {max}"),
        ));
    }
    Ok(())
}

fn validate_key_hash(path: &str, hash: &KeyHash) -> Result<()> {
    let text: &str = hash.as_ref();
    if text.len() != 64
        || !text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
    {
        return Err(Error::invalid(
            format!("{path}.key_hashes"),
            "a malformed hash",
            "64 lower-case hexadecimal digits (BLAKE3 of the key)",
        ));
    }
    Ok(())
}
