//! Index of the prompt prefixes that endpoints probably have cached.
//!
//! Cache reports may be late or lost, so the index is only a hint for the choice between endpoints.
//! Memory reservations never depend on it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::pool::Slot;

/// Maximum number of endpoints to track for one prefix.
const MAX_HOLDERS: usize = 8;

/// Endpoints by the prefix hashes that they have cached.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    holders: BTreeMap<u64, Vec<Holder>>,
    caches: BTreeMap<Slot, Cache>,
}

/// An endpoint that has a prefix cached, and the generation of its cache at that time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Holder {
    slot: Slot,
    generation: u64,
}

#[derive(Debug, Default)]
struct Cache {
    /// Number of times that the cache was cleared. Holders of an earlier generation are invalid.
    generation: u64,
    /// Number of the last cache report.
    last_sequence: Option<u64>,
    /// Prefix hashes, the oldest first.
    oldest_first: VecDeque<u64>,
}

/// An endpoint that probably has the first `depth` hashes of a chain cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PrefixMatch {
    pub slot: Slot,
    pub depth: usize,
}

impl PrefixIndex {
    /// Returns up to `limit` endpoints that hold the longest known prefix of a chain.
    pub fn lookup(&self, chain: &[u64], limit: usize) -> Vec<PrefixMatch> {
        let holding = |(i, hash)| {
            let matches: Vec<PrefixMatch> = self.current_holders(hash, i + 1).take(limit).collect();
            Some(matches).filter(|matches| !matches.is_empty())
        };
        let mut longest_first = chain.iter().enumerate().rev();
        longest_first.find_map(holding).unwrap_or_default()
    }

    fn current_holders(&self, hash: &u64, depth: usize) -> impl Iterator<Item = PrefixMatch> {
        let holders = self.holders.get(hash).into_iter().flatten();
        holders
            .filter(|holder| self.generation(holder.slot) == Some(holder.generation))
            .map(move |holder| PrefixMatch {
                slot: holder.slot,
                depth,
            })
    }

    fn generation(&self, slot: Slot) -> Option<u64> {
        self.caches.get(&slot).map(|cache| cache.generation)
    }

    /// Records a cached prefix. Beyond `max` prefixes of one endpoint, the oldest is removed.
    pub fn store(&mut self, slot: Slot, hash: u64, max: usize) {
        let cache = self.caches.entry(slot).or_default();
        let generation = cache.generation;
        let holders = self.holders.entry(hash).or_default();
        if holders.contains(&Holder { slot, generation }) {
            return;
        }
        holders.retain(|holder| holder.slot != slot);
        holders.truncate(MAX_HOLDERS - 1);
        holders.insert(0, Holder { slot, generation });
        cache.oldest_first.push_back(hash);
        if cache.oldest_first.len() > max {
            let oldest = cache.oldest_first.pop_front();
            oldest.into_iter().for_each(|hash| self.evict(slot, hash));
        }
    }

    pub fn evict(&mut self, slot: Slot, hash: u64) {
        let Some(holders) = self.holders.get_mut(&hash) else {
            return;
        };
        holders.retain(|holder| holder.slot != slot);
        if holders.is_empty() {
            self.holders.remove(&hash);
        }
    }

    /// Records the sequence number of a report. Returns whether the numbering restarted, which
    /// means that the endpoint restarted. After a gap the cached prefixes are unknown and are
    /// removed.
    pub fn observe_sequence(&mut self, slot: Slot, sequence: u64) -> bool {
        let cache = self.caches.entry(slot).or_default();
        let expected = cache.last_sequence.map_or(sequence, |last| last + 1);
        let restarted = sequence < expected && sequence <= 1;
        if sequence < expected && !restarted {
            return false;
        }
        cache.last_sequence = Some(sequence);
        if sequence != expected {
            self.clear(slot);
        }
        restarted
    }

    /// Removes all prefixes of an endpoint.
    pub fn clear(&mut self, slot: Slot) {
        let cache = self.caches.entry(slot).or_default();
        cache.generation += 1;
        let hashes = std::mem::take(&mut cache.oldest_first);
        hashes.into_iter().for_each(|hash| self.evict(slot, hash));
    }
}
