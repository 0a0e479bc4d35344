//! Unit tests of the gateway.

mod body_budget;
mod cold_share;
mod directory;
mod evacuations;
mod events;
mod frames;
mod framing;
mod listener;
mod pool;
mod role_settling;
mod settings;
mod supervisor;
