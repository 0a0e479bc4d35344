//! Structured logs as JSON lines and metrics in the Prometheus text format, for all programs.

pub mod exposition;
pub mod logging;
