//! Queue of membership updates that are piggybacked on probes, each a bounded number of times.

use std::collections::BTreeMap;

use samphiresill_core::name::VmName;

use crate::member::Member;

/// Maximum number of updates in one message.
const MAX_PER_MESSAGE: usize = 8;

/// `GossipQueue` holds the updates that are still to be disseminated, with their remaining
/// transmissions.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    remaining: BTreeMap<VmName, (Member, u32)>,
}

impl GossipQueue {
    /// Queues an update. The number of transmissions is about three times the binary logarithm of
    /// the fleet size.
    pub fn add(&mut self, member: Member, fleet: usize) {
        let times = 3 * (usize::BITS - fleet.leading_zeros()) + 3;
        self.remaining.insert(member.vm.clone(), (member, times));
    }

    /// Returns the updates for one message, and counts the transmission. Updates with the most
    /// transmissions remaining come first.
    pub fn take(&mut self) -> Vec<Member> {
        let mut order: Vec<(u32, VmName)> = self
            .remaining
            .iter()
            .map(|(vm, (_, remaining))| (*remaining, vm.clone()))
            .collect();
        order.sort_by(|a, b| b.cmp(a));
        let selected = order.into_iter().take(MAX_PER_MESSAGE).map(|(_, vm)| vm);
        selected.filter_map(|vm| self.take_one(&vm)).collect()
    }

    fn take_one(&mut self, vm: &VmName) -> Option<Member> {
        let (member, remaining) = self.remaining.get_mut(vm)?;
        let member = member.clone();
        *remaining -= 1;
        if *remaining == 0 {
            self.remaining.remove(vm);
        }
        Some(member)
    }
}
