//! Logs as JSON lines and metrics in the form that a scraper takes, for all programs.

pub mod exposition;
pub mod logging;
