//! News that are passed on with probes, each a bounded number of times.

use std::collections::BTreeMap;

use samphiresill_core::name::VmName;

use crate::member::Member;

/// News in one message at the most.
const MAX_PER_MESSAGE: usize = 8;

/// `News` are the pieces of knowledge that are still passed on.
#[derive(Clone, Debug, Default)]
pub struct News {
    left: BTreeMap<VmName, (Member, u32)>,
}

impl News {
    /// Adds a piece of knowledge, to be passed on about three times the logarithm of the fleet.
    pub fn add(&mut self, member: Member, fleet: usize) {
        let times = 3 * (usize::BITS - fleet.leading_zeros()) + 3;
        self.left.insert(member.vm.clone(), (member, times));
    }

    /// Takes the news for one message: those first that were passed on least.
    pub fn take(&mut self) -> Vec<Member> {
        let mut order: Vec<(u32, VmName)> = self
            .left
            .iter()
            .map(|(vm, (_, left))| (*left, vm.clone()))
            .collect();
        order.sort_by(|a, b| b.cmp(a));
        let chosen = order.into_iter().take(MAX_PER_MESSAGE).map(|(_, vm)| vm);
        chosen.filter_map(|vm| self.pass_on(&vm)).collect()
    }

    fn pass_on(&mut self, vm: &VmName) -> Option<Member> {
        let (member, left) = self.left.get_mut(vm)?;
        let member = member.clone();
        *left -= 1;
        if *left == 0 {
            self.left.remove(vm);
        }
        Some(member)
    }
}
