//! The choice of a target for a request, on the account.

use std::net::SocketAddr;
use std::time::Duration;

use samphiresill_core::name::{CustomerName, DomainName, TargetName};
use samphiresill_core::routing::{TargetEntry, TargetState};

use super::target::{Load, Target};
use super::{Account, Placement, started};
use crate::fleet::admission::{self, Candidate, Reason, Refusal};
use crate::fleet::engine::Estimate;
use crate::fleet::event::Event;
use crate::fleet::work::{Ask, Generation, RunId};

/// Cost of reading prompt tokens again that another engine keeps, against reading them once:
/// the second copy also displaces others from memory.
const REREAD_WEIGHT: f64 = 1.0;
/// Cost of a running request to one more beside it, in milliseconds: each step grows by it for
/// all the steps of an answer.
const CROWDING_MS: f64 = 4.0;
/// Cost of an engine at the pace beyond which many streams would not end in time, in
/// milliseconds; in proportion above and below.
const PACE_MS: f64 = 100.0;
/// Cost of another failure domain, in milliseconds: the way there and back, and its bytes.
const DISTANCE_MS: f64 = 4.0;
/// One in so many targets of a service may be set aside because it fails many requests.
const MAX_FAILING: usize = 3;
/// Pause that is asked for when no target is known.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

/// `Best` is the target at which a request costs least.
struct Best {
    name: TargetName,
    address: SocketAddr,
    expected: Duration,
    estimate: Option<Estimate>,
    copy_from: Option<SocketAddr>,
    /// Prompt tokens that all engines of the service read in a millisecond.
    fleet_rate: f64,
}

impl Account {
    /// Chooses a target for a request, and counts the run there; or refuses it. `draw` is uniform
    /// over 0 to 1.
    ///
    /// # Errors
    /// The refusal; the request was not and will not be sent.
    pub fn place(
        &mut self,
        ask: &Ask<'_>,
        run: RunId,
        draw: f64,
        now: Duration,
    ) -> Result<Placement, Refusal> {
        let best = match ask.generation {
            Some(generation) => self.choose_engine(ask, generation, draw, now)?,
            None => self.choose_plain(ask, draw, now)?,
        };
        let placement = Placement {
            target: best.name,
            address: best.address,
            run,
            expected: best.expected,
            copy_from: best.copy_from,
            estimate: best.estimate,
        };
        self.tell(started(&placement, ask), now);
        if run.origin == self.origin {
            self.note_own(&placement, now);
        }
        Ok(placement)
    }

    fn choose_engine(
        &mut self,
        ask: &Ask<'_>,
        generation: &Generation,
        draw: f64,
        now: Duration,
    ) -> Result<Best, Refusal> {
        let fingerprint = fingerprint(ask.customer, generation);
        let is_return = self.is_return(fingerprint, now);
        let is_new = ask.tried.is_empty() && !is_return;
        let is_fresh = is_new && ask.waited.is_zero();
        // What others hear of a refusal is all that they hear of a request that has waited.
        let cost = if is_new { generation.cost() } else { 0 };
        if is_fresh {
            self.pace.observe(ask);
        }
        if let Some(customer) = ask.customer.filter(|_| is_fresh) {
            self.shares.ask(customer, cost, now);
        }
        self.held.remove(fingerprint);
        let chosen = self
            .best_engine(ask, generation, now)
            .map_err(|reason| Refusal {
                reason,
                retry_after: admission::retry_after(NO_TARGET_RETRY, ask.time_left, draw),
                look_again: None,
            })
            .and_then(|best| {
                self.admit(ask, &best, draw, now)
                    .inspect_err(|refusal| self.hold(fingerprint, &best, refusal, now))?;
                Ok(best)
            });
        let is_held = matches!(&chosen, Err(refusal) if refusal.look_again.is_some());
        if !ask.waited.is_zero() && !is_held {
            self.holding.observe(chosen.is_ok());
        }
        if chosen.is_err() && !is_held {
            self.remember_refused(fingerprint, now);
            self.outbox.push(Event::Refused {
                fingerprint,
                customer: ask.customer.cloned(),
                cost,
            });
        }
        chosen
    }

    fn admit(
        &mut self,
        ask: &Ask<'_>,
        best: &Best,
        draw: f64,
        now: Duration,
    ) -> Result<(), Refusal> {
        if ask.has_run {
            return Ok(());
        }
        let estimate = best.estimate.unwrap_or_default();
        let share_ratio = ask.customer.map_or(0.0, |c| self.shares.ratio(c, now));
        admission::decide(&Candidate {
            wait: estimate.wait,
            pace_ms: estimate.pace_before_ms,
            pace_target_ms: self.pace.ms(),
            aim: ask.aim,
            waited: ask.waited,
            queue: self.held.queue(best.fleet_rate, now),
            holding: self.holding,
            time_left: ask.time_left,
            share_ratio,
            draw,
        })
    }

    /// Counts a request that is to wait.
    fn hold(&mut self, fingerprint: u64, best: &Best, refusal: &Refusal, now: Duration) {
        if let Some(pause) = refusal.look_again {
            let tokens = best.estimate.map_or(0, |e| e.unread_tokens);
            self.held.insert(fingerprint, tokens, now + pause);
        }
    }

    /// The engine at which a request costs everyone least.
    fn best_engine(
        &self,
        ask: &Ask<'_>,
        generation: &Generation,
        now: Duration,
    ) -> Result<Best, Reason> {
        let mut reason = Reason::NoTarget;
        let mut best: Option<(f64, &Target, Estimate)> = None;
        let mut fleet_rate = 0.0;
        let holder = self.holder(ask, generation, now);
        let kept_elsewhere = holder.map_or(0, |(_, tokens)| tokens);
        for target in self.usable(ask, now) {
            let Load::Engine(load) = &target.load else {
                continue;
            };
            fleet_rate += load.rate();
            if !load.has_room(generation) {
                reason = Reason::NoRoom;
                continue;
            }
            let estimate = load.estimate(generation, kept_elsewhere, now);
            let cost = engine_cost(&estimate, self.pace.ms()) + distance(ask.domain, &target.entry);
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, target, estimate));
            }
        }
        let (_, target, estimate) = best.ok_or(reason)?;
        let source = holder.filter(|_| estimate.copied_tokens > 0);
        Ok(Best {
            name: target.entry.name.clone(),
            address: target.entry.address,
            expected: estimate.first_event(),
            estimate: Some(estimate),
            copy_from: source.map(|(address, _)| address),
            fleet_rate,
        })
    }

    /// The engine that keeps most of a prompt, and how many tokens.
    fn holder(
        &self,
        ask: &Ask<'_>,
        generation: &Generation,
        now: Duration,
    ) -> Option<(SocketAddr, u32)> {
        let engines = self.targets.values().filter_map(|t| match &t.load {
            Load::Engine(load) if t.entry.service == *ask.service && t.health.is_usable(now) => {
                Some((t.entry.address, load.copyable_tokens(generation, now)))
            }
            _ => None,
        });
        engines
            .filter(|(_, tokens)| *tokens > 0)
            .max_by_key(|(_, tokens)| *tokens)
    }

    fn choose_plain(&self, ask: &Ask<'_>, draw: f64, now: Duration) -> Result<Best, Refusal> {
        let costs = self.usable(ask, now).filter_map(|target| {
            let Load::Plain(load) = &target.load else {
                return None;
            };
            let expected = load.expected();
            let cost = expected.as_secs_f64() * 1_000.0 + distance(ask.domain, &target.entry);
            Some((cost, target, expected))
        });
        let Some((_, target, expected)) = costs.min_by(|a, b| a.0.total_cmp(&b.0)) else {
            let retry_after = admission::retry_after(NO_TARGET_RETRY, ask.time_left, draw);
            return Err(Refusal {
                reason: Reason::NoTarget,
                retry_after,
                look_again: None,
            });
        };
        if expected > ask.time_left {
            let retry_after = admission::retry_after(expected, ask.time_left, draw);
            return Err(Refusal {
                reason: Reason::Wait,
                retry_after,
                look_again: None,
            });
        }
        Ok(Best {
            name: target.entry.name.clone(),
            address: target.entry.address,
            expected,
            estimate: None,
            copy_from: None,
            fleet_rate: 0.0,
        })
    }

    /// Targets that may get the request: usable ones, or all when none is usable.
    fn usable<'a>(&'a self, ask: &'a Ask<'_>, now: Duration) -> impl Iterator<Item = &'a Target> {
        let is_open = move |target: &&Target| {
            target.entry.service == *ask.service
                && target.entry.state == TargetState::Ready
                && !ask.tried.contains(&target.entry.name)
        };
        let open = || self.targets.values().filter(is_open);
        let failing = open().filter(|t| t.health.is_failing(now)).count();
        // Where many fail, the requests are at fault, or there is nowhere better to go.
        let is_failing_usual = failing * MAX_FAILING > open().count();
        let is_usable = move |target: &Target| {
            let health = target.health;
            health.is_reachable(now) && (is_failing_usual || !health.is_failing(now))
        };
        let is_any_usable = open().any(is_usable);
        self.targets
            .values()
            .filter(is_open)
            .filter(move |t| !is_any_usable || is_usable(t))
    }
}

/// Cost of a request at an engine to everyone, in milliseconds of engine time.
fn engine_cost(estimate: &Estimate, pace_target_ms: f64) -> f64 {
    let ms = |d: Duration| d.as_secs_f64() * 1_000.0;
    ms(estimate.wait)
        + ms(estimate.reading) * (1.0 + REREAD_WEIGHT)
        + CROWDING_MS * estimate.runs as f64
        + PACE_MS * estimate.pace_ms / pace_target_ms
}

fn distance(domain: &DomainName, entry: &TargetEntry) -> f64 {
    if *domain == entry.domain {
        0.0
    } else {
        DISTANCE_MS
    }
}

/// Recognises a request that returns: the same customer with the same prompt.
fn fingerprint(customer: Option<&CustomerName>, generation: &Generation) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(customer.map_or("", |c| c).as_bytes());
    for part in &generation.parts {
        hasher.update(&part.id.to_le_bytes());
    }
    hasher.update(&generation.prompt_tokens.to_le_bytes());
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
