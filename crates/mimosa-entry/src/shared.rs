//! State shared by all requests and background tasks of an entry.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
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
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::configuration_store::ConfigurationStore;
use crate::engine::EngineClient;
use crate::follow::ControlLink;
use crate::holds::Holds;
use crate::memory::EntryMemory;
use crate::metrics::HasMetrics;
use crate::metrics::Metrics;
use crate::peers::network::Network;
use crate::place::RequestQueues;
use crate::rate_limits::RateLimits;
use crate::retry::RetryBudgets;
use crate::suspects::QuarantineTracker;

/// State shared by all requests and background tasks of an entry.
pub(crate) struct Shared {
    pub(crate) instance: InstanceSettings,
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Clock,
    /// Also the incarnation that the control instances see.
    pub(crate) started_at: Timestamp,
    pub(crate) configuration: ConfigurationStore,
    pub(crate) freshness: Mutex<Freshness>,
    pub(crate) weak_self: Weak<Self>,
    pub(crate) peer_address: SocketAddr,
    pub(crate) network: Arc<Network>,
    pub(crate) members: Mutex<Membership>,
    pub(crate) rate_limits: RateLimits,
    pub(crate) holds: Holds,
    pub(crate) quarantine: QuarantineTracker,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) queues: RequestQueues,
    pub(crate) engine_client: Arc<dyn EngineClient>,
    pub(crate) control: ControlLink,
    pub(crate) metrics: Metrics,
    pub(crate) memory: EntryMemory,
    /// When the drain started; `None` before.
    pub(crate) drain_started: watch::Sender<Option<Instant>>,
    /// Endpoints that failed an attempt since their last probe.
    pub(crate) failed_endpoints: Mutex<HashSet<EndpointId>>,
}

impl Shared {
    /// Value of `retry-after` for refusals that a short wait may resolve.
    pub(crate) const RETRY_DELAY: Duration = Duration::from_secs(1);

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, Membership> {
        self.members.lock().expect("no holder of this lock panics")
    }

    /// Refuses new requests from now on.
    pub(crate) fn drain(&self) {
        self.drain_started.send_replace(Some(Instant::now()));
    }

    /// Waits until requests without an answer must get a final one, as the process ends soon.
    pub(crate) async fn last_answer_due(&self) {
        /// Part of the drain time, in thousandths, until then.
        const LAST_ANSWER_PERMILLE: u32 = 940;
        let mut drain_started = self.drain_started.subscribe();
        let started = drain_started.wait_for(Option::is_some).await;
        let started = started.ok().and_then(|started| *started);
        let until = self.settings.limits.drain_time * LAST_ANSWER_PERMILLE / 1_000;
        match started {
            Some(started) => sleep_until(started + until).await,
            None => std::future::pending().await,
        }
    }

    pub(crate) fn honours_keys_of(&self, account: &ClientAccount) -> bool {
        self.freshness().honours_keys_of(self.now(), account)
    }

    /// Whether the configuration is fresh enough to accept the keys of all accounts.
    pub(crate) fn is_fresh(&self) -> bool {
        let state = self.freshness().state(self.now());
        matches!(state, freshness::State::Fresh { .. })
    }

    /// Whether a control instance has confirmed the configuration since the start.
    pub(crate) fn was_ever_fresh(&self) -> bool {
        let state = self.freshness().state(self.now());
        !matches!(state, freshness::State::Stale { since: None })
    }

    pub(crate) fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .expect("no holder of this lock panics")
    }

    pub(crate) fn mark_failed(&self, endpoint: &EndpointId) {
        self.failed_endpoints().insert(endpoint.clone());
    }

    /// Whether an endpoint failed an attempt since the last call. Clears the mark.
    pub(crate) fn take_failed(&self, endpoint: &EndpointId) -> bool {
        self.failed_endpoints().remove(endpoint)
    }

    fn failed_endpoints(&self) -> MutexGuard<'_, HashSet<EndpointId>> {
        self.failed_endpoints
            .lock()
            .expect("no holder of this lock panics")
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.drain_started.borrow().is_some()
    }
}

impl HasMetrics for Shared {
    fn metrics(&self) -> &Metrics {
        &self.metrics
    }
}

/// Generates a request id from the system's random source.
pub(crate) fn new_request_id() -> RequestId {
    let mut random = [0; 16];
    getrandom::fill(&mut random).expect("the system's random source is available");
    RequestId(u128::from_le_bytes(random))
}
