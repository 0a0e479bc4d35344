//! Tests of the gateway's parts that need no connection.

mod body_budget;
mod events;
mod frames;
mod settings;
