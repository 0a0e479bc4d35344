//! The request path of a router: it accepts requests of callers, selects a target for each and
//! relays the response.
//!
//! The crate contains no names of headers or fields on the wire: a [`dialect::Dialect`] encodes and
//! decodes them. The configuration and the directory of targets are kept in
//! [`knowledge::RoutingState`]. Routers exchange their load and newer routing state through
//! [`peers`].

pub mod body_budget;
pub mod callers;
pub mod connection;
pub mod crash_probe;
pub mod customer_log;
pub mod dialect;
pub mod gateway;
pub mod knowledge;
pub mod listener;
pub mod log_budget;
pub mod metrics;
pub mod peers;
pub mod relay;
pub mod responder;
pub mod settings;
pub mod supervisor;

#[cfg(test)]
mod tests;
