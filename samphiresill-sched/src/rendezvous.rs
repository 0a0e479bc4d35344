//! Rendezvous hashing: routers with the same membership view select the same scheduler for a pool
//! without coordination, and the loss of a VM reassigns only the pools of that VM.

use samphiresill_core::name::VmName;

use crate::message::PoolKey;

/// Returns the candidate with the highest hash for `pool`, or `None` if there are no candidates.
pub fn choose<'a>(pool: &PoolKey, candidates: impl Iterator<Item = &'a VmName>) -> Option<VmName> {
    candidates.max_by_key(|vm| (weight(pool, vm), *vm)).cloned()
}

fn weight(pool: &PoolKey, vm: &VmName) -> [u8; 32] {
    let mut hash = blake3::Hasher::new();
    for part in [pool.domain.as_bytes(), pool.work.as_bytes(), vm.as_bytes()] {
        hash.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    *hash.finalize().as_bytes()
}
