//! The endpoints of one service in one data centre, indexed by what they can take next.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mimosa_protocol::EndpointId;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointRole;

use crate::endpoint::Availability;
use crate::endpoint::TrackedEndpoint;
use crate::settings::PlacementSettings;
use crate::settings::RampSettings;

/// Index of an endpoint in its pool. Slots of removed endpoints are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Slot(usize);

/// All endpoints, with indexes of those that can accept work.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    endpoints: Vec<TrackedEndpoint>,
    availability: Vec<Availability>,
    by_id: BTreeMap<EndpointId, Slot>,
    /// Slots of removed endpoints.
    unused: Vec<Slot>,
    /// Available prefill endpoints by the expected end of their backlog.
    prefill: BTreeSet<(Timestamp, Slot)>,
    /// Available decode and plain endpoints by free blocks and free streams.
    decode: BTreeSet<(KvBlocks, u32, Slot)>,
    /// Unavailable endpoints by the time at which they become available.
    closed: BTreeSet<(Timestamp, Slot)>,
    /// Free streams over all available decode and plain endpoints.
    free_streams: usize,
    settings: PoolSettings,
    summary: Summary,
}

/// The scheduler's settings that concern the pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolSettings {
    /// Used for the availability of an endpoint.
    pub placement: PlacementSettings,
    /// Used for new endpoints and for the end of a backoff.
    pub ramp: RampSettings,
}

/// Totals of the pool, updated when the configuration changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Summary {
    /// Whether prefill and decode run at separate endpoints.
    pub disaggregated: bool,
    /// Number of active decode and plain endpoints.
    pub active_decode: usize,
    /// Total concurrency of the active decode and plain endpoints once they are warm.
    pub concurrency: usize,
    /// Number of active prefill endpoints.
    pub active_prefill: usize,
    /// Largest request that fits into the memory of any active decode endpoint; `None` for plain
    /// services.
    pub max_request_tokens: Option<Tokens>,
}

impl Pool {
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Applies a new list of endpoints. Attempts at removed endpoints continue. Returns the slots
    /// that were freed.
    pub fn configure(&mut self, now: Timestamp, endpoints: &[Endpoint]) -> Vec<Slot> {
        for slot in self.slots() {
            self.update(now, slot, |endpoint| endpoint.configured = false);
        }
        for config in endpoints {
            self.insert_or_update(now, config);
        }
        self.summary = self.summarise();
        self.remove_unused()
    }

    fn remove_unused(&mut self) -> Vec<Slot> {
        let unused =
            |endpoint: &TrackedEndpoint| !endpoint.configured && endpoint.attempts.is_empty();
        let by_id = self.by_id.iter();
        let removed: Vec<(EndpointId, Slot)> = by_id
            .filter(|(_, slot)| unused(&self.endpoints[slot.0]))
            .map(|(id, slot)| (id.clone(), *slot))
            .collect();
        for (id, slot) in &removed {
            self.by_id.remove(id);
            self.unused.push(*slot);
        }
        removed.into_iter().map(|(_, slot)| slot).collect()
    }

    fn insert_or_update(&mut self, now: Timestamp, config: &Endpoint) {
        if let Some(slot) = self.slot(&config.id) {
            self.update(now, slot, |endpoint| {
                endpoint.configured = true;
                endpoint.config = config.clone();
                endpoint.memory.resize(config.capacity.blocks);
            });
            return;
        }
        let endpoint = TrackedEndpoint::new(now, config.clone(), &self.settings.ramp);
        let slot = self.unused.pop().unwrap_or(Slot(self.endpoints.len()));
        if slot.0 == self.endpoints.len() {
            self.endpoints.push(endpoint);
            self.availability.push(Availability::Closed(None));
        } else {
            self.endpoints[slot.0] = endpoint;
        }
        self.by_id.insert(config.id.clone(), slot);
        self.update(now, slot, |_| {});
    }

    fn summarise(&self) -> Summary {
        let configured = || self.endpoints.iter().filter(|endpoint| endpoint.configured);
        let active = || configured().filter(|endpoint| endpoint.is_active());
        let is_prefill =
            |endpoint: &&TrackedEndpoint| endpoint.config.role == EndpointRole::Prefill;
        Summary {
            disaggregated: configured().any(|endpoint| is_prefill(&endpoint)),
            active_decode: active().filter(|endpoint| !is_prefill(endpoint)).count(),
            concurrency: active()
                .filter(|endpoint| !is_prefill(endpoint))
                .map(|endpoint| endpoint.config.capacity.concurrency as usize)
                .sum(),
            active_prefill: active().filter(is_prefill).count(),
            max_request_tokens: active()
                .filter_map(|endpoint| self.max_tokens_at(endpoint))
                .max(),
        }
    }

    fn max_tokens_at(&self, endpoint: &TrackedEndpoint) -> Option<Tokens> {
        let size = endpoint.config.capacity.tokens_per_block;
        let blocks = endpoint.max_grantable(&self.settings.placement);
        let counted = endpoint.config.role == EndpointRole::Decode;
        counted.then(|| Tokens(blocks.0.saturating_mul(size.0)))
    }

    pub fn summary(&self) -> &Summary {
        &self.summary
    }

    pub fn slot(&self, id: &EndpointId) -> Option<Slot> {
        self.by_id.get(id).copied()
    }

    /// Slots of all endpoints in the pool.
    pub fn slots(&self) -> Vec<Slot> {
        self.by_id.values().copied().collect()
    }

    pub fn endpoint(&self, slot: Slot) -> &TrackedEndpoint {
        &self.endpoints[slot.0]
    }

    /// Modifies the state of an endpoint and updates the indexes.
    pub fn update<T>(
        &mut self,
        now: Timestamp,
        slot: Slot,
        change: impl FnOnce(&mut TrackedEndpoint) -> T,
    ) -> T {
        let endpoint = &mut self.endpoints[slot.0];
        let result = change(endpoint);
        let availability = endpoint.availability(now, &self.settings);
        let old = std::mem::replace(&mut self.availability[slot.0], availability);
        if old != availability {
            self.unindex(slot, old);
            self.index(slot, availability);
        }
        result
    }

    fn unindex(&mut self, slot: Slot, availability: Availability) {
        match availability {
            Availability::Prefill(end) => self.prefill.remove(&(end, slot)),
            Availability::Decode(blocks, free_streams) => {
                self.free_streams -= free_streams as usize;
                self.decode.remove(&(blocks, free_streams, slot))
            }
            Availability::Closed(Some(until)) => self.closed.remove(&(until, slot)),
            Availability::Closed(None) => false,
        };
    }

    fn index(&mut self, slot: Slot, availability: Availability) {
        match availability {
            Availability::Prefill(end) => self.prefill.insert((end, slot)),
            Availability::Decode(blocks, free_streams) => {
                self.free_streams += free_streams as usize;
                self.decode.insert((blocks, free_streams, slot))
            }
            Availability::Closed(Some(until)) => self.closed.insert((until, slot)),
            Availability::Closed(None) => false,
        };
    }

    /// Makes endpoints available again whose waiting time is over. Returns whether there were any.
    pub fn reopen_due(&mut self, now: Timestamp) -> bool {
        let mut reopened = false;
        while let Some((until, slot)) = self.closed.first().copied() {
            if until > now {
                break;
            }
            let ramp = self.settings.ramp.clone();
            self.update(now, slot, |endpoint| {
                endpoint.ramp.double_if_due(now, &ramp)
            });
            reopened = true;
        }
        reopened
    }

    /// Available decode or plain endpoints with their free blocks, in descending order.
    pub fn by_free_blocks(&self) -> impl Iterator<Item = (KvBlocks, Slot)> {
        let descending = self.decode.iter().rev();
        descending.map(|(blocks, _, slot)| (*blocks, *slot))
    }

    /// Available prefill endpoints whose backlog is expected to end by a deadline, earliest first.
    pub fn by_prefill_end(&self, deadline: Timestamp) -> impl Iterator<Item = Slot> {
        self.prefill
            .iter()
            .take_while(move |(end, _)| *end <= deadline)
            .map(|(_, slot)| *slot)
    }

    /// Whether a prefill endpoint is available and its backlog is expected to end by a deadline.
    pub fn accepts_prompt(&self, slot: Slot, deadline: Timestamp) -> bool {
        matches!(self.availability[slot.0], Availability::Prefill(end) if end <= deadline)
    }

    /// Number of free streams over all available decode and plain endpoints.
    pub fn free_streams(&self) -> usize {
        self.free_streams
    }

    /// Time at which the next unavailable endpoint becomes available.
    pub fn next_available(&self) -> Option<Timestamp> {
        self.closed.first().map(|(until, _)| *until)
    }

    /// Earliest expected end of a prefill backlog.
    pub fn next_prefill_end(&self) -> Option<Timestamp> {
        self.prefill.first().map(|(end, _)| *end)
    }
}
