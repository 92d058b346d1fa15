//! Keeps the endpoint lists of gateways the same as the leader's, at the cost of what changed.
//!
//! It answers the load of some thousand endpoints that hundreds of gateways follow over narrow links.
//! A changed endpoint costs one entry a gateway. A new leader and a new connection cost a digest: a
//! hash for each bucket of endpoints. The gateway asks for the buckets that differ.

use std::collections::HashMap;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint::EndpointList;
use crate::endpoint::ListedEndpoint;

/// Buckets of a digest. With three thousand endpoints one holds about fifty, some kilobytes, and a
/// digest takes half a kilobyte.
pub const BUCKET_COUNT: u16 = 64;
/// How far two readings of the time that an endpoint stays cold may lie apart and mean the same:
/// sources count it down between reads, and their answers take some time.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

data! {
    /// Tells which list a leader has, without the list.
    pub struct ListDigest {
        /// The leader's term.
        pub term: u64,
        /// Counts the lists of a term.
        pub sequence: u64,
        /// The hashes of the buckets.
        pub hashes: Vec<u64>,
        /// Endpoints that are cold, and for how much longer; the hashes leave that out.
        pub cold: Vec<(EndpointId, Duration)>,
    }

    /// What differs between two lists of a term.
    pub struct ListChange {
        /// The leader's term.
        pub term: u64,
        /// The list that it builds on.
        pub base: u64,
        /// The list that it leads to.
        pub sequence: u64,
        /// Endpoints that are new or changed.
        pub put: Vec<ListedEndpoint>,
        /// Endpoints that are gone.
        pub gone: Vec<EndpointId>,
    }

    /// Some buckets of a list, whole.
    pub struct ListParts {
        /// The leader's term.
        pub term: u64,
        /// The list.
        pub sequence: u64,
        /// The buckets.
        pub buckets: Vec<u16>,
        /// All endpoints in them.
        pub endpoints: Vec<ListedEndpoint>,
    }
}

/// The bucket of an endpoint.
pub fn bucket_of(id: &EndpointId) -> u16 {
    let hash = xxh3_64(id.as_str().as_bytes());
    u16::try_from(hash % u64::from(BUCKET_COUNT)).unwrap_or_default()
}

/// The hashes of the buckets of a list, in any order of its endpoints.
pub fn hashes<'a>(endpoints: impl IntoIterator<Item = &'a ListedEndpoint>) -> Vec<u64> {
    let mut hashes = vec![0_u64; usize::from(BUCKET_COUNT)];
    for each in endpoints {
        let bucket = usize::from(bucket_of(&each.id));
        hashes[bucket] = hashes[bucket].wrapping_add(hash_of(each));
    }
    hashes
}

/// Hashes all of an endpoint but for its cold time, which is different at each moment.
fn hash_of(endpoint: &ListedEndpoint) -> u64 {
    let ListedEndpoint {
        id,
        service,
        address,
        data_centre,
        role,
        state,
        slots,
        cold_remaining: _,
        started_at_ms,
    } = endpoint;
    let text = format!(
        "{id}|{service}|{address}|{data_centre}|{role:?}|{state:?}|{slots}|{started_at_ms}"
    );
    xxh3_64(text.as_bytes())
}

impl ListedEndpoint {
    /// Whether another reading, some time later, tells the same.
    fn is_still(&self, later: &Self, elapsed: Duration) -> bool {
        let expected = self.cold_remaining.saturating_sub(elapsed);
        let is_as_cold = expected.abs_diff(later.cold_remaining) < COLD_TOLERANCE;
        let as_before = Self {
            cold_remaining: self.cold_remaining,
            ..later.clone()
        };
        is_as_cold && *self == as_before
    }

    /// The same some time after it was read.
    fn after(&self, elapsed: Duration) -> Self {
        Self {
            cold_remaining: self.cold_remaining.saturating_sub(elapsed),
            ..self.clone()
        }
    }
}

impl EndpointList {
    /// What leads from this list to one that was read some time later.
    pub fn change_to(&self, later: &Self, elapsed: Duration) -> ListChange {
        let old: HashMap<_, _> = self.endpoints.iter().map(|each| (&each.id, each)).collect();
        let new: HashMap<_, _> = later
            .endpoints
            .iter()
            .map(|each| (&each.id, each))
            .collect();
        let is_new = |each: &&ListedEndpoint| {
            let known = old.get(&each.id);
            known.is_none_or(|known| !known.is_still(each, elapsed))
        };
        let is_gone = |each: &&ListedEndpoint| !new.contains_key(&each.id);
        let gone = self.endpoints.iter().filter(is_gone);
        ListChange {
            term: later.term,
            base: self.sequence,
            sequence: later.sequence,
            put: later.endpoints.iter().filter(is_new).cloned().collect(),
            gone: gone.map(|each| each.id.clone()).collect(),
        }
    }

    /// The digest of this list some time after it was read.
    pub fn digest(&self, elapsed: Duration) -> ListDigest {
        let cold = self.endpoints.iter().filter_map(|each| {
            let left = each.cold_remaining.saturating_sub(elapsed);
            (left > Duration::ZERO).then(|| (each.id.clone(), left))
        });
        ListDigest {
            term: self.term,
            sequence: self.sequence,
            hashes: hashes(&self.endpoints),
            cold: cold.collect(),
        }
    }

    /// Some buckets of this list some time after it was read.
    pub fn parts(&self, buckets: &[u16], elapsed: Duration) -> ListParts {
        let endpoints = self.endpoints.iter();
        let wanted = endpoints.filter(|each| buckets.contains(&bucket_of(&each.id)));
        ListParts {
            term: self.term,
            sequence: self.sequence,
            buckets: buckets.to_vec(),
            endpoints: wanted.map(|each| each.after(elapsed)).collect(),
        }
    }
}

impl ListChange {
    /// Whether nothing differs.
    pub const fn is_empty(&self) -> bool {
        self.put.is_empty() && self.gone.is_empty()
    }
}

/// Which list a gateway has, and which news of it count. News of a lower term come from a control
/// instance that no longer leads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Follower {
    term: u64,
    sequence: u64,
    is_complete: bool,
}

/// What to do with news of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// They are old.
    Old,
    /// They go on top of what is held.
    Apply,
    /// Something was missed: ask for these buckets.
    Want(Vec<u16>),
}

impl Follower {
    /// Whether a whole list is held.
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// The list's number in its term.
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// A control instance tells which list it has; `own` are the hashes of what is held.
    pub fn digest(&mut self, digest: &ListDigest, own: &[u64]) -> News {
        if (digest.term, digest.sequence) < (self.term, self.sequence) {
            return News::Old;
        }
        self.term = digest.term;
        self.sequence = digest.sequence;
        let differing: Vec<u16> = (0..BUCKET_COUNT)
            .filter(|bucket| {
                let place = usize::from(*bucket);
                own.get(place).unwrap_or(&0) != digest.hashes.get(place).unwrap_or(&0)
            })
            .collect();
        if differing.is_empty() {
            self.is_complete = true;
            News::Apply
        } else {
            News::Want(differing)
        }
    }

    /// A change arrived.
    pub fn change(&mut self, change: &ListChange) -> News {
        if change.term < self.term || change.sequence <= self.sequence && change.term == self.term {
            return News::Old;
        }
        if change.term > self.term || change.base != self.sequence {
            return News::Want((0..BUCKET_COUNT).collect());
        }
        self.sequence = change.sequence;
        News::Apply
    }

    /// Buckets that were asked for arrived.
    pub fn parts(&mut self, parts: &ListParts) -> News {
        if (parts.term, parts.sequence) < (self.term, self.sequence) {
            return News::Old;
        }
        self.term = parts.term;
        self.sequence = parts.sequence;
        self.is_complete = true;
        News::Apply
    }
}
