//! Incremental synchronisation of the leader's endpoint list to gateways.
//!
//! Designed for several thousand endpoints and hundreds of gateways on low-bandwidth links. A
//! changed endpoint costs one entry per gateway. A new leader or a new connection costs a digest
//! with one hash per bucket of endpoints; the gateway then requests only the buckets that differ.

use std::collections::HashMap;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint::EndpointList;
use crate::endpoint::ListedEndpoint;

/// Number of buckets in a digest. With 3000 endpoints, a bucket holds about 50 endpoints (a few
/// kilobytes) and a digest takes about 512 bytes.
pub const BUCKET_COUNT: u16 = 64;
/// Largest difference at which two readings of the remaining warm-up time count as equal. Sources
/// count it down between reads, and their responses have latency.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

data! {
    /// Summary of a leader's list: bucket hashes instead of entries.
    pub struct ListDigest {
        /// Consensus term of the leader.
        pub term: u64,
        /// Sequence number of the list within the term.
        pub sequence: u64,
        /// Hash of each bucket, by bucket index; [`BUCKET_COUNT`] entries.
        pub hashes: Vec<u64>,
        /// Endpoints that are warming up, with the remaining time, which the hashes do not cover.
        pub cold: Vec<(EndpointId, Duration)>,
    }

    /// Difference between two lists of the same term.
    pub struct ListChange {
        /// Consensus term of the leader.
        pub term: u64,
        /// Sequence number of the list that the change applies to.
        pub base: u64,
        /// Sequence number of the resulting list.
        pub sequence: u64,
        /// New and changed endpoints, as in the resulting list.
        pub upserted: Vec<ListedEndpoint>,
        /// Endpoints that the resulting list no longer contains.
        pub removed: Vec<EndpointId>,
    }

    /// Complete contents of some buckets of a list.
    pub struct ListParts {
        /// Consensus term of the leader.
        pub term: u64,
        /// Sequence number of the list within the term.
        pub sequence: u64,
        /// Indices of the included buckets, below [`BUCKET_COUNT`].
        pub buckets: Vec<u16>,
        /// All endpoints in these buckets; others that the receiver has in them are removed.
        pub endpoints: Vec<ListedEndpoint>,
    }
}

/// Index of the bucket that an endpoint belongs to, below [`BUCKET_COUNT`]. It depends only on the
/// identifier, so that all processes agree on it.
pub fn bucket_of(id: &EndpointId) -> u16 {
    let hash = xxh3_64(id.as_str().as_bytes());
    u16::try_from(hash % u64::from(BUCKET_COUNT)).unwrap_or_default()
}

/// Hash of each bucket of a list, by bucket index. The order of the endpoints does not matter.
pub fn bucket_hashes<'a>(endpoints: impl IntoIterator<Item = &'a ListedEndpoint>) -> Vec<u64> {
    let mut hashes = vec![0_u64; usize::from(BUCKET_COUNT)];
    for each in endpoints {
        let bucket = usize::from(bucket_of(&each.id));
        hashes[bucket] = hashes[bucket].wrapping_add(endpoint_hash(each));
    }
    hashes
}

/// Hashes all fields of an endpoint except the remaining warm-up time, which changes continuously.
fn endpoint_hash(endpoint: &ListedEndpoint) -> u64 {
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
        version,
    } = endpoint;
    let version = version.as_ref().map_or("", ServiceVersion::as_str);
    let text = format!(
        "{id}|{service}|{address}|{data_centre}|{role:?}|{state:?}|{slots}|{started_at_ms}|{version}"
    );
    xxh3_64(text.as_bytes())
}

impl ListedEndpoint {
    /// Whether a later reading describes the same state, apart from the warm-up time that passed in
    /// between.
    fn is_unchanged(&self, later: &Self, elapsed: Duration) -> bool {
        let expected = self.cold_remaining.saturating_sub(elapsed);
        let is_cold_time_equal = expected.abs_diff(later.cold_remaining) < COLD_TOLERANCE;
        let with_same_cold_time = Self {
            cold_remaining: self.cold_remaining,
            ..later.clone()
        };
        is_cold_time_equal && *self == with_same_cold_time
    }

    /// The endpoint with its remaining warm-up time reduced by the time since the read.
    fn aged(&self, elapsed: Duration) -> Self {
        Self {
            cold_remaining: self.cold_remaining.saturating_sub(elapsed),
            ..self.clone()
        }
    }
}

impl EndpointList {
    /// The change from this list to one that was read `elapsed` later.
    pub fn change_to(&self, later: &Self, elapsed: Duration) -> ListChange {
        let old: HashMap<_, _> = self.endpoints.iter().map(|each| (&each.id, each)).collect();
        let new: HashMap<_, _> = later
            .endpoints
            .iter()
            .map(|each| (&each.id, each))
            .collect();
        let is_upserted = |each: &&ListedEndpoint| {
            let known = old.get(&each.id);
            known.is_none_or(|known| !known.is_unchanged(each, elapsed))
        };
        let is_removed = |each: &&ListedEndpoint| !new.contains_key(&each.id);
        let removed = self.endpoints.iter().filter(is_removed);
        ListChange {
            term: later.term,
            base: self.sequence,
            sequence: later.sequence,
            upserted: later
                .endpoints
                .iter()
                .filter(is_upserted)
                .cloned()
                .collect(),
            removed: removed.map(|each| each.id.clone()).collect(),
        }
    }

    /// The digest of this list, `elapsed` after it was read.
    pub fn digest(&self, elapsed: Duration) -> ListDigest {
        let cold = self.endpoints.iter().filter_map(|each| {
            let left = each.cold_remaining.saturating_sub(elapsed);
            (left > Duration::ZERO).then(|| (each.id.clone(), left))
        });
        ListDigest {
            term: self.term,
            sequence: self.sequence,
            hashes: bucket_hashes(&self.endpoints),
            cold: cold.collect(),
        }
    }

    /// The contents of some buckets, `elapsed` after the list was read.
    pub fn parts(&self, buckets: &[u16], elapsed: Duration) -> ListParts {
        let endpoints = self.endpoints.iter();
        let wanted = endpoints.filter(|each| buckets.contains(&bucket_of(&each.id)));
        ListParts {
            term: self.term,
            sequence: self.sequence,
            buckets: buckets.to_vec(),
            endpoints: wanted.map(|each| each.aged(elapsed)).collect(),
        }
    }
}

impl ListChange {
    /// Whether the lists before and after the change are equal.
    pub const fn is_empty(&self) -> bool {
        self.upserted.is_empty() && self.removed.is_empty()
    }
}

/// Tracks which list a gateway has and decides how to handle incoming updates. Updates of a lower
/// term come from a control instance that is no longer the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListTracker {
    term: u64,
    sequence: u64,
    is_complete: bool,
}

/// How to handle an update of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateAction {
    /// Ignore the update, because it is outdated.
    Ignore,
    /// Apply the update to the current list.
    Apply,
    /// Request these buckets, because the current list differs or an update was missed.
    Request(Vec<u16>),
}

impl ListTracker {
    /// Whether a complete list has been received.
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Sequence number of the current list within its term.
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Handles a digest; `own_hashes` are the bucket hashes of the current list.
    pub fn on_digest(&mut self, digest: &ListDigest, own_hashes: &[u64]) -> UpdateAction {
        if (digest.term, digest.sequence) < (self.term, self.sequence) {
            return UpdateAction::Ignore;
        }
        self.term = digest.term;
        self.sequence = digest.sequence;
        let differing: Vec<u16> = (0..BUCKET_COUNT)
            .filter(|bucket| {
                let index = usize::from(*bucket);
                own_hashes.get(index).unwrap_or(&0) != digest.hashes.get(index).unwrap_or(&0)
            })
            .collect();
        if differing.is_empty() {
            self.is_complete = true;
            UpdateAction::Apply
        } else {
            UpdateAction::Request(differing)
        }
    }

    /// Handles a change. Requests all buckets if it does not apply to the current list.
    pub fn on_change(&mut self, change: &ListChange) -> UpdateAction {
        if change.term < self.term || change.sequence <= self.sequence && change.term == self.term {
            return UpdateAction::Ignore;
        }
        if change.term > self.term || change.base != self.sequence {
            return UpdateAction::Request((0..BUCKET_COUNT).collect());
        }
        self.sequence = change.sequence;
        UpdateAction::Apply
    }

    /// Handles the contents of requested buckets, after which the list is complete.
    pub fn on_parts(&mut self, parts: &ListParts) -> UpdateAction {
        if (parts.term, parts.sequence) < (self.term, self.sequence) {
            return UpdateAction::Ignore;
        }
        self.term = parts.term;
        self.sequence = parts.sequence;
        self.is_complete = true;
        UpdateAction::Apply
    }
}
