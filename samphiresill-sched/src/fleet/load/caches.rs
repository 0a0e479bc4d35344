//! What the caches of engines hold.

use std::net::SocketAddr;
use std::time::Duration;

use samphiresill_core::name::TargetName;

use super::FleetLoad;
use super::target::{Target, TargetLoad};
use crate::fleet::event::Event;
use crate::fleet::request::PromptPart;

/// Maximum number of cached prompt parts in one event, so that it fits into a datagram.
const MAX_CACHED_PARTS: usize = 80;

impl FleetLoad {
    /// Returns the names and addresses of all engines.
    #[must_use]
    pub fn engines(&self) -> Vec<(TargetName, SocketAddr)> {
        let engines = self
            .targets
            .iter()
            .filter(|(_, t)| matches!(t.load, TargetLoad::Engine(_)));
        engines
            .map(|(name, t)| (name.clone(), t.entry.address))
            .collect()
    }

    /// Returns the prompt parts that engines cache, as far as known to this router.
    #[must_use]
    pub fn cached_parts(&self) -> Vec<(TargetName, Vec<PromptPart>)> {
        let engines = self.targets.iter().filter_map(|(name, t)| match &t.load {
            TargetLoad::Engine(load) => Some((name.clone(), load.cached_parts())),
            TargetLoad::Plain(_) => None,
        });
        engines.filter(|(_, parts)| !parts.is_empty()).collect()
    }

    /// Adds prompt parts to the known content of an engine's cache.
    pub fn add_cached(&mut self, target: &TargetName, parts: &[PromptPart]) {
        if let Some(Target {
            load: TargetLoad::Engine(load),
            ..
        }) = self.targets.get_mut(target)
        {
            load.add_cached(parts);
        }
    }

    /// Adds prompt parts that this router has read from an engine, and publishes them to the other
    /// routers.
    pub fn publish_cached(&mut self, target: &TargetName, parts: &[PromptPart], now: Duration) {
        for parts in parts.chunks(MAX_CACHED_PARTS) {
            let event = Event::Cached {
                target: target.clone(),
                parts: parts.to_vec(),
            };
            self.publish(event, now);
        }
    }
}
