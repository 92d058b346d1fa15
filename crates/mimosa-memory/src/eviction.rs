//! Selection of the holders to evict when an account is full.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use mimosa_protocol::AccountId;

use crate::account::HolderId;

/// What the selection considers of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderView<'a> {
    /// The holder.
    pub id: HolderId,
    /// Bytes that it holds.
    pub bytes: u64,
    /// Time for which its client made no progress.
    pub stalled_for: Duration,
    /// The client account, if the client has one.
    pub owner: Option<&'a AccountId>,
}

/// Selects the holders to evict to release `needed` bytes, in the order of [`eviction_order`]; empty if
/// all stalled holders together hold less, as evicting them would not help.
pub fn select_victims(
    holders: &[HolderView<'_>],
    needed: u64,
    stall_time: Duration,
) -> Vec<HolderId> {
    let order = eviction_order(holders, stall_time);
    if order.iter().map(|holder| holder.bytes).sum::<u64>() < needed {
        return Vec::new();
    }
    let mut released = 0;
    let mut victims = Vec::new();
    for holder in order {
        if released >= needed {
            break;
        }
        released += holder.bytes;
        victims.push(holder.id);
    }
    victims
}

/// The holders without progress for `stall_time`, in the order in which they are evicted.
///
/// The largest go first. Sizes are compared in powers of two, because buffers grow in such steps. Among
/// holders of similar size, those whose client account holds most go first, then those that are stalled
/// longest.
pub fn eviction_order<'a, 'b>(
    holders: &'a [HolderView<'b>],
    stall_time: Duration,
) -> Vec<&'a HolderView<'b>> {
    let mut held_by_owner: HashMap<&AccountId, u64> = HashMap::new();
    for holder in holders {
        if let Some(owner) = holder.owner {
            *held_by_owner.entry(owner).or_default() += holder.bytes;
        }
    }
    let mut stalled: Vec<&HolderView<'_>> = holders
        .iter()
        .filter(|holder| holder.stalled_for >= stall_time)
        .collect();
    stalled.sort_by_cached_key(|holder| {
        let by_owner = holder.owner.and_then(|owner| held_by_owner.get(owner));
        Reverse((
            holder.bytes.checked_ilog2(),
            by_owner.copied().unwrap_or(holder.bytes),
            holder.stalled_for,
            holder.id,
        ))
    });
    stalled
}
