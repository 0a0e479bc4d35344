//! Settings of a router, read from JSON with comments and validated completely before startup.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use samphiresill_core::name::{DomainName, KeyHash, VmName};
use serde::Deserialize;

/// `ValidationError` describes one invalid value in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{path}: {found}; accepted: {accepted}")]
pub struct ValidationError {
    /// Path of the value in the document.
    pub path: String,
    /// Description of the invalid value.
    pub found: String,
    /// Description of valid values.
    pub accepted: String,
}

/// `ValidationErrors` are all errors found in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct ValidationErrors(#[error(not(source))] pub Vec<ValidationError>);

/// `Settings` are the static settings of a router.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM that the router runs on.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Access to the platform.
    pub platform: Platform,
    /// Initial peers, through which the router joins the fleet.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Shared secret that authenticates frames between routers; at least 16 characters.
    pub peer_key: String,
    /// Hashes of the operators' API keys.
    #[serde(default)]
    pub operator_key_hashes: BTreeSet<KeyHash>,
    /// Limits for callers.
    #[serde(default)]
    pub limits: Limits,
    /// Interval of capacity reports in milliseconds; must be the same in the entire fleet.
    #[serde(default = "default_report_interval_ms")]
    pub report_interval_ms: u64,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// `Listen` contains the addresses to listen on.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for health checks of the load balancer and for metrics.
    pub operations: SocketAddr,
    /// Address for other routers.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// `Platform` contains the parameters of access to the platform.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the table service, the object store and the list of VMs.
    pub address: SocketAddr,
    /// Timeout for a call, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
    /// Polling interval for the configuration, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
}

/// `Peer` identifies another router.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the VM that the peer runs on.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address on which the peer accepts connections of other routers.
    pub address: SocketAddr,
}

/// `Limits` are the limits on connections and requests of callers.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of concurrent connections, and of requests in flight.
    pub connections: usize,
    /// Maximum number of threads for blocking calls. A request occupies one while a target runs it.
    pub running: usize,
    /// Maximum size of a request's header section, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the header section of a request, in milliseconds.
    pub head_ms: u64,
    /// Timeout for receiving the body of a request, in milliseconds.
    pub body_ms: u64,
    /// Timeout for writing one chunk of a response to a caller, in milliseconds.
    pub write_ms: u64,
    /// Maximum time that a request waits for a slot, in milliseconds.
    pub wait_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            running: 1_024,
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_ms: 10_000,
            body_ms: 30_000,
            write_ms: 15_000,
            wait_ms: 600_000,
        }
    }
}

fn default_report_interval_ms() -> u64 {
    250
}

fn default_log_level() -> String {
    "info".into()
}

fn default_platform_timeout_ms() -> u64 {
    2_000
}

fn default_poll_ms() -> u64 {
    500
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    /// All invalid values with their paths. If the document cannot be parsed, only the first error.
    pub fn parse(text: &str) -> Result<Self, ValidationErrors> {
        let malformed = |path: String, found: String| {
            let accepted = "a document as described in docs/SETTINGS.md".into();
            ValidationErrors(vec![ValidationError {
                path,
                found,
                accepted,
            }])
        };
        let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(
            text,
            &jsonc_parser::ParseOptions::default(),
        )
        .map_err(|e| malformed(".".into(), e.to_string()))?;
        let settings: Self = serde_path_to_error::deserialize(value)
            .map_err(|e| malformed(e.path().to_string(), e.inner().to_string()))?;
        let errors = settings.validate();
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(ValidationErrors(errors))
        }
    }

    /// Returns the maximum time that a request waits for a slot.
    #[must_use]
    pub fn queue_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.wait_ms)
    }

    fn validate(&self) -> Vec<ValidationError> {
        let limits = &self.limits;
        let rules = [
            (
                "vm",
                is_name(&self.vm),
                "1 to 64 letters, digits, '-', '_' or '.'",
            ),
            (
                "domain",
                is_name(&self.domain),
                "1 to 64 letters, digits, '-', '_' or '.'",
            ),
            (
                "peer_key",
                self.peer_key.len() >= 16,
                "at least 16 characters",
            ),
            (
                "report_interval_ms",
                (20..=10_000).contains(&self.report_interval_ms),
                "20 to 10000",
            ),
            (
                "log_level",
                is_log_level(&self.log_level),
                "error, warn, info, debug or trace",
            ),
            (
                "platform.timeout_ms",
                self.platform.timeout_ms > 0,
                "1 or more",
            ),
            (
                "platform.poll_ms",
                self.platform.poll_ms >= 50,
                "50 or more",
            ),
            ("limits.connections", limits.connections > 0, "1 or more"),
            (
                "limits.running",
                (1..=10_000).contains(&limits.running),
                "1 to 10000",
            ),
            (
                "limits.head_bytes",
                limits.head_bytes >= 8_192,
                "8192 or more",
            ),
            ("limits.body_bytes", limits.body_bytes > 0, "1 or more"),
            ("limits.head_ms", limits.head_ms > 0, "1 or more"),
            ("limits.body_ms", limits.body_ms > 0, "1 or more"),
            ("limits.write_ms", limits.write_ms > 0, "1 or more"),
            ("limits.wait_ms", limits.wait_ms > 0, "1 or more"),
        ];
        let violated = rules.into_iter().filter(|(_, holds, _)| !holds);
        let mut errors: Vec<ValidationError> = violated
            .map(|(path, _, accepted)| ValidationError {
                path: path.into(),
                found: "a value out of range".into(),
                accepted: accepted.into(),
            })
            .collect();
        errors.extend(self.validate_addresses());
        errors
    }

    fn validate_addresses(&self) -> Vec<ValidationError> {
        let listen = &self.listen;
        let all = [
            ("listen.callers", listen.callers),
            ("listen.operations", listen.operations),
            ("listen.peers", listen.peers),
            ("listen.operators", listen.operators),
        ];
        let mut seen = BTreeSet::new();
        let duplicates = all
            .iter()
            .filter(|(_, a)| a.port() != 0 && !seen.insert(*a));
        let error = |path: &str, found: String| ValidationError {
            path: path.into(),
            found,
            accepted: "an address that no other entry uses".into(),
        };
        let mut errors: Vec<ValidationError> = duplicates
            .map(|(path, a)| {
                error(
                    path,
                    format!("{a}, which is already used by another listener"),
                )
            })
            .collect();
        for (index, peer) in self.peers.iter().enumerate() {
            if peer.vm == self.vm && peer.address != listen.peers {
                let path = format!("peers[{index}].address");
                errors.push(error(
                    &path,
                    format!(
                        "{}, which differs from listen.peers of this VM",
                        peer.address
                    ),
                ));
            }
        }
        errors
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=64).contains(&name.len()) && name.chars().all(allowed)
}

fn is_log_level(level: &str) -> bool {
    ["error", "warn", "info", "debug", "trace"].contains(&level)
}
