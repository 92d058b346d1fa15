//! An endpoint as a gateway knows it, and what the gateway tracks for its process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use log::info;
use mimosa_protocol::ByteSize;
use mimosa_protocol::Timestamp;
use mimosa_route::ListedEndpoint;
use mimosa_schedule::cold::ColdStart;
use mimosa_schedule::health::Health;
use mimosa_schedule::rate_limit::RateLimit;

use crate::connection::EndpointSockets;
use crate::connection::Pool;
use crate::dialect::ReportedLoad;

/// Whether two entries of the list with the same identifier mean the same process.
pub(super) fn is_same_lifetime(one: &ListedEndpoint, other: &ListedEndpoint) -> bool {
    one.started_at_ms == other.started_at_ms && one.address == other.address
}

/// An entry of the list, and the state of the process that it means. Another entry for the same process
/// shares that state, so that a call that began under one of them reports to all.
pub(crate) struct EndpointEntry {
    pub(crate) listed: ListedEndpoint,
    pub(crate) pool: Pool,
    process: Arc<ProcessState>,
}

/// What this gateway tracks for an endpoint's process.
#[derive(Default)]
struct ProcessState {
    cold: Mutex<ColdStart>,
    /// Requests of this gateway in flight at the endpoint.
    in_flight: AtomicU32,
    /// Bytes of the bodies of these requests.
    body_bytes: AtomicU64,
    health: Mutex<Health>,
    reported_load: Mutex<Option<(Timestamp, ReportedLoad)>>,
    /// The rate limit that the endpoint names for all gateways together.
    rate_limit: Mutex<RateLimit>,
    /// Whether the endpoint said that it is about to stop. Never cleared.
    is_leaving: AtomicBool,
    /// End of the pause that the endpoint asked this gateway for, in microseconds.
    paused_until_us: AtomicU64,
}

impl EndpointEntry {
    /// The entry of a listed endpoint in place of the current one of its identifier.
    pub(super) fn new(
        now: Timestamp,
        listed: &ListedEndpoint,
        current: Option<&Self>,
        sockets: &Arc<EndpointSockets>,
    ) -> Self {
        info!(
            "endpoint={} service={} address={} role={:?} state={:?} cold_ms={}",
            listed.id,
            listed.service,
            listed.address,
            listed.role,
            listed.state,
            listed.cold_remaining.as_millis()
        );
        let previous = current.filter(|current| is_same_lifetime(&current.listed, listed));
        let entry = Self {
            listed: listed.clone(),
            pool: previous.map_or_else(
                || Pool::new(listed.address, Arc::clone(sockets)),
                |previous| previous.pool.clone(),
            ),
            process: previous.map_or_else(Arc::default, |previous| Arc::clone(&previous.process)),
        };
        entry.cold().set_until(now, now + listed.cold_remaining);
        entry
    }

    /// Whether the entry equals a listed endpoint, including its remaining warm-up time.
    pub(super) fn is_unchanged(&self, now: Timestamp, listed: &ListedEndpoint) -> bool {
        let with_same_cold_time = ListedEndpoint {
            cold_remaining: self.listed.cold_remaining,
            ..listed.clone()
        };
        let is_cold_time_equal = self.cold().until().since(now) == listed.cold_remaining;
        is_cold_time_equal && self.listed == with_same_cold_time
    }

    /// Requests of this gateway in flight at the endpoint.
    pub(crate) fn in_flight(&self) -> u32 {
        self.process.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn health(&self) -> MutexGuard<'_, Health> {
        self.process
            .health
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn cold(&self) -> MutexGuard<'_, ColdStart> {
        self.process
            .cold
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the endpoint wants no further requests. Returns whether that was unknown.
    pub(crate) fn set_leaving(&self) -> bool {
        !self.process.is_leaving.swap(true, Ordering::Relaxed)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.process.is_leaving.load(Ordering::Relaxed)
    }

    /// Records that the endpoint wants no requests of this gateway until a time. Responses overtake
    /// each other, so the latest time holds.
    pub(crate) fn pause_until(&self, until: Timestamp) {
        self.process
            .paused_until_us
            .fetch_max(until.as_micros(), Ordering::Relaxed);
    }

    /// End of the pause that the endpoint asked this gateway for.
    pub(crate) fn paused_until(&self) -> Timestamp {
        Timestamp(self.process.paused_until_us.load(Ordering::Relaxed))
    }

    /// Whether both entries mean the same process in the same role.
    pub(crate) fn is_same_process(&self, other: &Self) -> bool {
        is_same_lifetime(&self.listed, &other.listed) && self.listed.role == other.listed.role
    }

    /// Whether the endpoint takes requests of this gateway, whatever its rate limit.
    pub(crate) fn accepts_requests(&self, now: Timestamp) -> bool {
        !self.is_leaving() && now >= self.paused_until()
    }

    /// Bytes of the bodies of this gateway's requests in flight at the endpoint.
    pub(crate) fn held_bodies(&self) -> ByteSize {
        ByteSize(self.process.body_bytes.load(Ordering::Relaxed))
    }

    pub(crate) fn rate_limit(&self) -> MutexGuard<'_, RateLimit> {
        self.process
            .rate_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_reported_load(&self, now: Timestamp, load: ReportedLoad) {
        *self
            .process
            .reported_load
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some((now, load));
    }

    pub(crate) fn reported_load(&self) -> Option<(Timestamp, ReportedLoad)> {
        *self
            .process
            .reported_load
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request and its body as in flight at an endpoint until dropped.
pub(crate) struct InFlightGuard {
    endpoint: Arc<EndpointEntry>,
    body: ByteSize,
}

impl InFlightGuard {
    pub(crate) fn new(endpoint: &Arc<EndpointEntry>, body: ByteSize) -> Self {
        endpoint.process.in_flight.fetch_add(1, Ordering::Relaxed);
        endpoint
            .process
            .body_bytes
            .fetch_add(body.0, Ordering::Relaxed);
        Self {
            endpoint: Arc::clone(endpoint),
            body,
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let endpoint = &self.endpoint;
        endpoint.process.in_flight.fetch_sub(1, Ordering::Relaxed);
        endpoint
            .process
            .body_bytes
            .fetch_sub(self.body.0, Ordering::Relaxed);
    }
}
