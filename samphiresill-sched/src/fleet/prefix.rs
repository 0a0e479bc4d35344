//! Prompt parts that an engine keeps in memory.
//!
//! Answers the load pattern in which many requests begin with the same long parts: a request
//! that is sent where its parts are kept costs the engine only the rest of its prompt.
//!
//! Invariant: the tokens kept never exceed the capacity, unless a single part does.

use std::collections::BTreeMap;
use std::time::Duration;

use super::work::PromptPart;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used_at: Duration,
    /// When it has been read, and can be copied.
    read_at: Duration,
}

/// `PrefixCache` estimates which parts an engine keeps: those most recently used.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    kept: BTreeMap<u64, Kept>,
    tokens: u64,
}

impl PrefixCache {
    /// Tokens at the start of a prompt that need not be read again.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        parts
            .iter()
            .take_while(|p| self.kept.contains_key(&p.id))
            .map(|p| p.tokens)
            .sum()
    }

    /// Tokens at the start of a prompt that another engine can copy now.
    #[must_use]
    pub fn copyable_tokens(&self, parts: &[PromptPart], now: Duration) -> u32 {
        let is_read = |p: &&PromptPart| self.kept.get(&p.id).is_some_and(|k| k.read_at <= now);
        parts.iter().take_while(is_read).map(|p| p.tokens).sum()
    }

    /// Notes that a request with these parts runs, and that they will have been read at
    /// `read_at`; the least recently used parts beyond `capacity` tokens are dropped.
    pub fn touch(&mut self, parts: &[PromptPart], capacity: u64, read_at: Duration, now: Duration) {
        for part in parts {
            let before = self.kept.get(&part.id).map(|k| k.read_at);
            let kept = Kept {
                tokens: part.tokens,
                used_at: now,
                read_at: before.unwrap_or(read_at).min(read_at),
            };
            self.tokens += u64::from(part.tokens);
            if let Some(old) = self.kept.insert(part.id, kept) {
                self.tokens -= u64::from(old.tokens);
            }
        }
        while self.tokens > capacity && self.kept.len() > 1 {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.kept.iter().min_by_key(|(_, k)| k.used_at);
        if let Some((id, _)) = oldest.map(|(id, k)| (*id, *k))
            && let Some(kept) = self.kept.remove(&id)
        {
            self.tokens -= u64::from(kept.tokens);
        }
    }
}
