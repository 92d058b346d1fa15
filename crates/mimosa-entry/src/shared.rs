//! What all requests of an entry share.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mimosa_config::EntrySettings;
use mimosa_config::InstanceSettings;
use mimosa_membership::Membership;
use mimosa_membership::freshness;
use mimosa_membership::freshness::Freshness;
use mimosa_protocol::EndpointId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_transport::clock::Clock;

use crate::engine::Engine;
use crate::follow::ControlLink;
use crate::holds::Holds;
use crate::limits::Limits;
use crate::metrics::AsMetrics;
use crate::metrics::Metrics;
use crate::peers::network::Network;
use crate::place::Placers;
use crate::retry::Budgets;
use crate::suspects::Suspects;
use crate::table::CurrentTable;

/// What all requests of an entry share.
pub(crate) struct Shared {
    pub(crate) instance: InstanceSettings,
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Clock,
    pub(crate) started: Timestamp,
    pub(crate) table: CurrentTable,
    pub(crate) freshness: Mutex<Freshness>,
    pub(crate) own: Weak<Self>,
    pub(crate) peer_address: SocketAddr,
    pub(crate) network: Arc<Network>,
    pub(crate) members: Mutex<Membership>,
    pub(crate) limits: Limits,
    pub(crate) holds: Holds,
    pub(crate) suspects: Suspects,
    pub(crate) budgets: Budgets,
    pub(crate) placers: Placers,
    pub(crate) engine: Arc<dyn Engine>,
    pub(crate) control: ControlLink,
    pub(crate) metrics: Metrics,
    pub(crate) draining: AtomicBool,
    /// Endpoints that failed an attempt since they last answered a probe.
    pub(crate) doubted: Mutex<HashSet<EndpointId>>,
}

impl Shared {
    /// When a caller may come back after a refusal for a stale configuration.
    pub(crate) const STALE_RETRY: Duration = Duration::from_secs(1);

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, Membership> {
        self.members.lock().expect("no holder of this lock panics")
    }

    /// Takes no new work from now on.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    pub(crate) fn honours_keys_of(&self, account: &ClientAccount) -> bool {
        self.freshness().honours_keys_of(self.now(), account)
    }

    /// Whether keys of every account are honoured now.
    pub(crate) fn is_fresh(&self) -> bool {
        let state = self.freshness().state(self.now());
        matches!(state, freshness::State::Fresh { .. })
    }

    /// Whether a control instance confirmed the configuration since the start.
    pub(crate) fn was_ever_fresh(&self) -> bool {
        let state = self.freshness().state(self.now());
        !matches!(state, freshness::State::Stale { since: None })
    }

    pub(crate) fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .expect("no holder of this lock panics")
    }

    pub(crate) fn doubt(&self, endpoint: &EndpointId) {
        self.doubted().insert(endpoint.clone());
    }

    /// Whether an endpoint was doubted since the last call.
    pub(crate) fn take_doubt(&self, endpoint: &EndpointId) -> bool {
        self.doubted().remove(endpoint)
    }

    fn doubted(&self) -> MutexGuard<'_, HashSet<EndpointId>> {
        self.doubted.lock().expect("no holder of this lock panics")
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

impl AsMetrics for Shared {
    fn metrics(&self) -> &Metrics {
        &self.metrics
    }
}

/// A new request id from the system's random source.
pub(crate) fn new_request_id() -> RequestId {
    let mut random = [0; 16];
    getrandom::fill(&mut random).expect("the system gives random bytes");
    RequestId(u128::from_le_bytes(random))
}
