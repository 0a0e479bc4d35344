//! The settings of one router: JSON with comments, checked whole before anything starts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use samphiresill_core::name::{DomainName, KeyHash, VmName};
use serde::Deserialize;

/// `Fault` is one thing that is wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{path}: {found}; accepted: {accepted}")]
pub struct Fault {
    /// Path of the fault in the document.
    pub path: String,
    /// What is wrong there.
    pub found: String,
    /// What would be accepted.
    pub accepted: String,
}

/// `Faults` are all things that are wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Faults(#[error(not(source))] pub Vec<Fault>);

/// `Settings` are what a router has to be told before it starts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: VmName,
    /// Failure domain that the VM stands in.
    pub domain: DomainName,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform.
    pub platform: Platform,
    /// Other routers to begin with.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Secret that routers prove themselves with; at least 16 characters.
    pub peer_key: String,
    /// Hashes of the operators' keys.
    #[serde(default)]
    pub operator_key_hashes: BTreeSet<KeyHash>,
    /// Bounds on what callers may ask for.
    #[serde(default)]
    pub limits: Limits,
    /// Time between capacity reports, in milliseconds; the same in the whole fleet.
    #[serde(default = "default_report_interval_ms")]
    pub report_interval_ms: u64,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// `Listen` holds the addresses to listen on.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's checks and the collection of metrics.
    pub operations: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// `Platform` says how to reach the platform.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the table service, the object store and the list of VMs.
    pub address: SocketAddr,
    /// Time within which a call has to end, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
    /// Time between looks at the configuration, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
}

/// `Peer` is another router.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of its VM.
    pub vm: VmName,
    /// Failure domain that the VM stands in.
    pub domain: DomainName,
    /// Where it hears other routers.
    pub address: SocketAddr,
}

/// `Limits` bound what callers may ask for.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of callers at once.
    pub connections: usize,
    /// Requests at work at once, each with a thread while a target runs it.
    pub running: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Time for a request's body to arrive, in milliseconds.
    pub body_ms: u64,
    /// Time for a caller to take a piece of its answer, in milliseconds.
    pub write_ms: u64,
    /// Time that a request may wait for a slot, in milliseconds.
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
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Every fault, with its path in the document; only the first where the document does not
    /// have the right form.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let malformed = |path: String, found: String| {
            let accepted = "what docs/SETTINGS.md describes".into();
            Faults(vec![Fault {
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
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(Faults(faults))
        }
    }

    /// Time that a request may wait for a slot.
    #[must_use]
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.limits.wait_ms)
    }

    fn faults(&self) -> Vec<Fault> {
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
                is_level(&self.log_level),
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
        let broken = rules.into_iter().filter(|(_, holds, _)| !holds);
        let mut faults: Vec<Fault> = broken
            .map(|(path, _, accepted)| Fault {
                path: path.into(),
                found: "a value out of range".into(),
                accepted: accepted.into(),
            })
            .collect();
        faults.extend(self.address_faults());
        faults
    }

    fn address_faults(&self) -> Vec<Fault> {
        let listen = &self.listen;
        let all = [
            ("listen.callers", listen.callers),
            ("listen.operations", listen.operations),
            ("listen.peers", listen.peers),
            ("listen.operators", listen.operators),
        ];
        let mut seen = BTreeSet::new();
        let doubled = all
            .iter()
            .filter(|(_, a)| a.port() != 0 && !seen.insert(*a));
        let fault = |path: &str, found: String| Fault {
            path: path.into(),
            found,
            accepted: "an address of its own".into(),
        };
        let mut faults: Vec<Fault> = doubled
            .map(|(path, a)| fault(path, format!("{a}, which is taken")))
            .collect();
        for (index, peer) in self.peers.iter().enumerate() {
            if peer.vm == self.vm && peer.address != listen.peers {
                let path = format!("peers[{index}].address");
                faults.push(fault(&path, format!("{}, for this very VM", peer.address)));
            }
        }
        faults
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=64).contains(&name.len()) && name.chars().all(allowed)
}

fn is_level(level: &str) -> bool {
    ["error", "warn", "info", "debug", "trace"].contains(&level)
}
