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
    left: BTreeMap<VmName, (Member, u32)>,
}

impl GossipQueue {
    /// Queues an update. The number of transmissions is about three times the binary logarithm of
    /// the fleet size.
    pub fn add(&mut self, member: Member, fleet_size: usize) {
        let transmissions = 3 * (usize::BITS - fleet_size.leading_zeros()) + 3;
        self.left.insert(member.vm.clone(), (member, transmissions));
    }

    /// Returns the updates for one message, and counts the transmission. Updates with the most
    /// transmissions remaining come first.
    pub fn take(&mut self) -> Vec<Member> {
        let mut order: Vec<(u32, VmName)> = self
            .left
            .iter()
            .map(|(vm, (_, left))| (*left, vm.clone()))
            .collect();
        order.sort_by(|a, b| b.cmp(a));
        let chosen = order.into_iter().take(MAX_PER_MESSAGE).map(|(_, vm)| vm);
        chosen.filter_map(|vm| self.take_one(&vm)).collect()
    }

    fn take_one(&mut self, vm: &VmName) -> Option<Member> {
        let (member, left) = self.left.get_mut(vm)?;
        let member = member.clone();
        *left -= 1;
        if *left == 0 {
            self.left.remove(vm);
        }
        Some(member)
    }
}
