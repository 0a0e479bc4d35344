//! The settings of a gateway: JSON with comments, validated as a whole before anything starts.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use samphiresill_core::name::{DomainName, VmName};
use serde::Deserialize;

/// `Settings` are the settings of one gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses at which other gateways listen for peers; entries may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Limits on the behaviour of the fleet that the operators have fixed.
    pub bounds: Bounds,
    /// Whether requests are spread over engines of similar cost while the views of the schedulers are
    /// old. For engines that crash when they are overloaded.
    #[serde(default)]
    pub balances_load: bool,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// `Listen` holds the addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Health checks of the load balancer.
    pub readiness: SocketAddr,
    /// Traffic of other gateways, over UDP and TCP.
    pub peers: SocketAddr,
    /// Scraping of metrics.
    pub metrics: SocketAddr,
}

/// `Limits` are the resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Resident memory in MB.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub descriptors: usize,
    /// Number of cores; may be a fraction.
    pub cores: f64,
}

/// `Bounds` are limits on the behaviour of the fleet that the operators have fixed.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time from the stop signal until the process is killed, in seconds.
    pub stop_grace_s: f64,
    /// Retries per request that is not a retry, over all gateways together.
    pub retry_ratio: f64,
    /// Retries that are allowed in a window beyond the ratio, over all gateways together.
    pub retry_slack: f64,
}

impl Limits {
    /// Number of cores in thousandths.
    #[must_use]
    pub fn millicores(&self) -> u32 {
        (self.cores.max(0.0) * 1_000.0) as u32
    }
}

impl Bounds {
    /// Time from the stop signal until the process is killed.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_s.max(0.0))
    }
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl Settings {
    /// Parses settings from JSON with comments.
    ///
    /// # Errors
    /// When the text is not JSON, or a field is missing, unknown or of the wrong type; the message
    /// contains the path of the field.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let opts = jsonc_parser::ParseOptions::default();
        let value: serde_json::Value = jsonc_parser::parse_to_serde_value(text, &opts)
            .context("the settings are not JSON with comments")?;
        let settings = serde_path_to_error::deserialize(value)
            .map_err(|e| anyhow::anyhow!("{}: {}", e.path(), e.inner()))?;
        Ok(settings)
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    /// As for [`Settings::parse`], and when the file cannot be read.
    pub fn read(path: &str) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {path}"))?;
        Self::parse(&text).with_context(|| format!("settings in {path}"))
    }
}
