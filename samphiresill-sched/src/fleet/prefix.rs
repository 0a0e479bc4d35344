//! Model of an engine's prefix cache: the prompt parts whose KV cache entries it holds.
//!
//! Handles the load pattern in which many requests share long prefixes: a request that is sent to
//! an engine that caches its prefix costs only the prefill of the remaining prompt.
//!
//! Invariant: the cached tokens do not exceed the capacity, unless a single part does.

use std::collections::BTreeMap;
use std::time::Duration;

use super::request::PromptPart;

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    used_at: Duration,
    /// When its prefill ends and other engines can copy it.
    ready_at: Duration,
}

/// `PrefixCache` estimates which prompt parts an engine caches, assuming LRU eviction.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    entries: BTreeMap<u64, Entry>,
    tokens: u64,
}

impl PrefixCache {
    /// Returns the length of the cached prefix of a prompt, in tokens.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        parts
            .iter()
            .take_while(|p| self.entries.contains_key(&p.id))
            .map(|p| p.tokens)
            .sum()
    }

    /// Returns the length of the prefix of a prompt that another engine can copy now, in tokens.
    #[must_use]
    pub fn copyable_tokens(&self, parts: &[PromptPart], now: Duration) -> u32 {
        let is_ready = |p: &&PromptPart| self.entries.get(&p.id).is_some_and(|e| e.ready_at <= now);
        parts.iter().take_while(is_ready).map(|p| p.tokens).sum()
    }

    /// Records that a request with these parts runs and that their prefill ends at `ready_at`.
    /// Evicts the least recently used parts beyond `capacity` tokens.
    pub fn touch(
        &mut self,
        parts: &[PromptPart],
        capacity: u64,
        ready_at: Duration,
        now: Duration,
    ) {
        for part in parts {
            let before = self.entries.get(&part.id).map(|e| e.ready_at);
            let entry = Entry {
                tokens: part.tokens,
                used_at: now,
                ready_at: before.unwrap_or(ready_at).min(ready_at),
            };
            self.tokens += u64::from(part.tokens);
            if let Some(old) = self.entries.insert(part.id, entry) {
                self.tokens -= u64::from(old.tokens);
            }
        }
        while self.tokens > capacity && self.entries.len() > 1 {
            self.evict_least_recently_used();
        }
    }

    /// Returns the cached parts, the most recently used first.
    #[must_use]
    pub fn parts(&self) -> Vec<PromptPart> {
        let mut entries: Vec<(&u64, &Entry)> = self.entries.iter().collect();
        entries.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.used_at));
        let part = |(id, entry): (&u64, &Entry)| PromptPart {
            id: *id,
            tokens: entry.tokens,
        };
        entries.into_iter().map(part).collect()
    }

    /// Adds parts that the engine reports as cached, up to `capacity` tokens in total. Known parts
    /// stay unchanged; added parts count as least recently used.
    pub fn add_cached(&mut self, parts: &[PromptPart], capacity: u64) {
        for part in parts {
            let exceeds_capacity = self.tokens + u64::from(part.tokens) > capacity;
            if exceeds_capacity || self.entries.contains_key(&part.id) {
                continue;
            }
            self.tokens += u64::from(part.tokens);
            let entry = Entry {
                tokens: part.tokens,
                used_at: Duration::ZERO,
                ready_at: Duration::ZERO,
            };
            self.entries.insert(part.id, entry);
        }
    }

    fn evict_least_recently_used(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.used_at);
        if let Some((id, _)) = oldest.map(|(id, e)| (*id, *e))
            && let Some(entry) = self.entries.remove(&id)
        {
            self.tokens -= u64::from(entry.tokens);
        }
    }
}
