//! Selection of a target of a plain service for a request.

use std::time::Duration;

use super::FleetLoad;
use super::place::{self, Choice};
use super::target::TargetLoad;
use super::unavailable::Unavailable;
use crate::fleet::admission::{self, Reason, Refusal};
use crate::fleet::directive::rate_limit::Claim;
use crate::fleet::request::PlacementRequest;

impl FleetLoad {
    pub(super) fn choose_plain(
        &self,
        req: &PlacementRequest<'_>,
        jitter: f64,
        now: Duration,
    ) -> Result<Choice, Refusal> {
        let claim = Claim::new(false, jitter);
        let mut unavailable = Unavailable::from(Reason::NoTarget);
        let costs = self.candidates(req, now).filter_map(|target| {
            let TargetLoad::Plain(load) = &target.load else {
                return None;
            };
            let wait = self.rate_wait(&target.entry.name, claim, now);
            if !wait.is_zero() {
                unavailable.limited(wait);
                return None;
            }
            let expected = load.expected_latency();
            let cost =
                expected.as_secs_f64() * 1_000.0 + place::domain_cost_ms(req.domain, &target.entry);
            Some((cost, target, expected, load.has_free_slot()))
        });
        let Some((_, target, expected, has_free_slot)) = costs.min_by(|a, b| a.0.total_cmp(&b.0))
        else {
            return Err(Refusal {
                recheck_in: self.recheck_cold(req, &unavailable, jitter),
                ..unavailable.refusal(req, jitter)
            });
        };
        if expected > req.time_left && !has_free_slot {
            let retry_after = admission::retry_after(expected, req.time_left, jitter);
            return Err(Refusal::new(Reason::Wait, retry_after));
        }
        Ok(Choice {
            name: target.entry.name.clone(),
            address: target.entry.address,
            expected,
            estimate: None,
            copy_from: None,
            total_prefill_rate: 0.0,
        })
    }
}
