//! The whole configuration at one revision.

use std::collections::{BTreeMap, BTreeSet};

use samphiresill_core::name::{CustomerName, KeyHash, ServiceName, TargetName};
use samphiresill_core::units::Share;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::object::{self, Kind, ObjectId};

/// `Document` holds every object of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Who may send requests.
    pub customers: BTreeMap<CustomerName, object::Customer>,
    /// The models in service.
    pub models: BTreeMap<ServiceName, object::Model>,
    /// The plain services.
    pub services: BTreeMap<ServiceName, object::Service>,
    /// The model engines and the instances of plain services.
    pub targets: BTreeMap<TargetName, object::Target>,
}

impl Document {
    /// Reads a document and checks it whole.
    ///
    /// # Errors
    /// `Invalid` with the path of the first fault that stops the reading, or of every fault's
    /// first when it reads but does not fit together.
    pub fn from_json(text: &str) -> Result<Self> {
        let mut json = serde_json::Deserializer::from_str(text);
        let document: Self = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            Error::invalid(
                e.path().to_string(),
                e.inner().to_string(),
                "a value of the schema",
            )
        })?;
        document.check()?;
        Ok(document)
    }

    /// Checks that every value is in range and every reference leads somewhere.
    ///
    /// # Errors
    /// `Invalid` with the path of the first fault.
    pub fn check(&self) -> Result<()> {
        self.check_customers()?;
        self.check_services()?;
        self.check_targets()
    }

    /// The customer that a key belongs to.
    #[must_use]
    pub fn customer_of_key(&self, hash: &KeyHash) -> Option<&CustomerName> {
        self.customers
            .iter()
            .find(|(_, c)| c.key_hashes.contains(hash))
            .map(|(name, _)| name)
    }

    /// Every object with its identity.
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
        customers
            .chain(models)
            .chain(services)
            .chain(targets)
            .collect()
    }

    fn check_customers(&self) -> Result<()> {
        let mut owners: BTreeMap<&KeyHash, &CustomerName> = BTreeMap::new();
        for (name, customer) in &self.customers {
            let path = format!("customers.{name}");
            check_name(&path, name)?;
            check_range(&path, "share", customer.share.0, Share::MAX)?;
            check_range(&path, "max_waiting", customer.max_waiting, 100_000)?;
            for hash in &customer.key_hashes {
                check_key_hash(&path, hash)?;
                if let Some(other) = owners.insert(hash, name) {
                    return Err(Error::invalid(
                        format!("{path}.key_hashes"),
                        format!("a key that {other} has already"),
                        "a key of one customer only",
                    ));
                }
            }
        }
        Ok(())
    }

    fn check_services(&self) -> Result<()> {
        for (name, model) in &self.models {
            let path = format!("models.{name}");
            check_name(&path, name)?;
            check_range(&path, "first_token_ms", model.first_token_ms, 600_000)?;
            check_range(&path, "between_tokens_ms", model.between_tokens_ms, 60_000)?;
        }
        let mut paths = BTreeSet::new();
        for (name, service) in &self.services {
            let path = format!("services.{name}");
            check_name(&path, name)?;
            check_range(&path, "answer_ms", service.answer_ms, 600_000)?;
            if self.models.contains_key(name) {
                return Err(Error::invalid(
                    path,
                    "the name of a model",
                    "a name of its own",
                ));
            }
            let absolute = service.path.starts_with('/') && service.path.len() > 1;
            if !absolute || service.path.starts_with("/v1/") || service.path.ends_with('/') {
                return Err(Error::invalid(
                    format!("{path}.path"),
                    format!("{:?}", service.path),
                    "an absolute path outside /v1/ with no slash at its end",
                ));
            }
            if !paths.insert(&service.path) {
                return Err(Error::invalid(
                    format!("{path}.path"),
                    "the path of another service",
                    "a path of its own",
                ));
            }
        }
        Ok(())
    }

    fn check_targets(&self) -> Result<()> {
        for (name, target) in &self.targets {
            let path = format!("targets.{name}");
            check_name(&path, name)?;
            check_range(&path, "slots", target.slots, 1_000)?;
            for work in &target.serves {
                if !self.models.contains_key(work) && !self.services.contains_key(work) {
                    return Err(Error::invalid(
                        format!("{path}.serves"),
                        format!("{work}, which is not declared"),
                        "the name of a model or service",
                    ));
                }
            }
        }
        Ok(())
    }
}

/// Longest name of an object, in bytes.
const MAX_NAME_BYTES: usize = 64;

fn check_name(path: &str, name: &str) -> Result<()> {
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

fn check_range(path: &str, field: &str, value: u32, max: u32) -> Result<()> {
    if value == 0 || value > max {
        return Err(Error::invalid(
            format!("{path}.{field}"),
            value.to_string(),
            format!("1 to {max}"),
        ));
    }
    Ok(())
}

fn check_key_hash(path: &str, hash: &KeyHash) -> Result<()> {
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
