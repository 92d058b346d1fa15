//! State shared by all requests of a gateway.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use mimosa_hold::retry::RetryBudget;
use mimosa_protocol::ByteSize;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_route::RetryPolicy;
use mimosa_schedule::body_bound::allows_body;
use mimosa_schedule::rate_limit::Senders;
use mimosa_transport::clock::Clock;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::client_connections::ClientConnections;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::dispatch::PlacementClient;
use crate::local_quota::LocalQuota;
use crate::local_share::LocalMemory;
use crate::memory::GatewayMemory;
use crate::metrics::Metrics;
use crate::part_quarantine::KnownSuspects;
use crate::rollout::Rollouts;
use crate::settings::Reloadable;
use crate::settings::Settings;
use crate::speed::KnownSpeeds;

/// Part of the drain time, in thousandths, during which new streams are accepted. The platform
/// takes several seconds to stop sending requests, and a stream can last for most of the drain
/// time.
const STREAM_ACCEPT_PERMILLE: u32 = 250;
/// Part of the drain time, in thousandths, during which other requests are accepted.
const PLAIN_ACCEPT_PERMILLE: u32 = 850;
/// Part of the drain time, in thousandths, after which requests without an answer get a final one, so
/// that it arrives before the process ends.
const LAST_ANSWER_PERMILLE: u32 = 940;

/// Number of gateways assumed until a control instance reports it.
const ASSUMED_GATEWAYS: u32 = 8;

/// State shared by all requests.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    /// Differs from that of an earlier process of this gateway.
    pub(crate) incarnation: Incarnation,
    reloadable: ArcSwap<Reloadable>,
    /// Notified when the reloadable settings change.
    pub(crate) reloaded: Notify,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) directory: Directory,
    pub(crate) placement: Arc<PlacementClient>,
    pub(crate) local_quota: LocalQuota,
    /// Decode memory held by requests that were placed without the leader.
    pub(crate) local_memory: Arc<LocalMemory>,
    /// Prompt parts and requests that crash endpoints.
    pub(crate) suspects: KnownSuspects,
    /// Rollouts of services to new versions.
    pub(crate) rollouts: Rollouts,
    /// Speeds of endpoints.
    pub(crate) speeds: KnownSpeeds,
    pub(crate) metrics: Metrics,
    pub(crate) memory: GatewayMemory,
    pub(crate) client_connections: ClientConnections,
    /// Start of the drain in microseconds; 0 if the gateway is not draining.
    drain_started_us: AtomicU64,
    /// Notified when the drain starts.
    drain_started: Notify,
    /// Number of gateways that share cluster-wide limits.
    pub(crate) gateways: AtomicU32,
    /// Number of gateways that each connected control instance counts.
    gateway_counts: Mutex<HashMap<InstanceId, u32>>,
    retry_budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    clock: Clock,
    /// Random number of this process lifetime. It sets the phase at which this gateway sends to cold
    /// and limited endpoints, so that gateways do not all send at the same moment.
    pub(crate) pacing_number: u64,
    random: AtomicU64,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        directory: Directory,
        memory: GatewayMemory,
    ) -> Self {
        let mut seed = [0; 8];
        getrandom::fill(&mut seed).expect("the operating system provides random bytes");
        Self {
            reloadable: ArcSwap::from_pointee(settings.reloadable.clone()),
            reloaded: Notify::new(),
            speeds: KnownSpeeds::new(settings.features),
            settings,
            incarnation: Incarnation(u64::from_le_bytes(seed)),
            dialect,
            directory,
            placement: Arc::default(),
            local_quota: LocalQuota::default(),
            local_memory: Arc::default(),
            suspects: KnownSuspects::default(),
            rollouts: Rollouts::default(),
            metrics: Metrics::new(),
            memory,
            client_connections: ClientConnections::default(),
            drain_started_us: AtomicU64::new(0),
            drain_started: Notify::new(),
            gateways: AtomicU32::new(ASSUMED_GATEWAYS),
            gateway_counts: Mutex::default(),
            retry_budgets: Mutex::default(),
            clock: Clock::start(),
            pacing_number: u64::from_le_bytes(seed),
            random: AtomicU64::new(u64::from_le_bytes(seed)),
        }
    }

    pub(crate) fn reloadable(&self) -> Arc<Reloadable> {
        self.reloadable.load_full()
    }

    /// Replaces the reloadable settings and wakes the task that connects to new seeds.
    pub(crate) fn reload(&self, reloadable: Reloadable) {
        self.reloadable.store(Arc::new(reloadable));
        self.reloaded.notify_one();
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Records how many gateways a control instance counts; 0 if it is unknown. The highest count
    /// applies, because an instance that has just started, or is cut off from some gateways, counts
    /// too few. Returns it.
    pub(crate) fn set_gateways(&self, instance: &InstanceId, count: u32) -> u32 {
        let mut counts = self
            .gateway_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        counts.insert(instance.clone(), count);
        counts.retain(|_, count| *count > 0);
        if let Some(highest) = counts.values().copied().max() {
            self.gateways.store(highest, Ordering::Relaxed);
        }
        self.gateways.load(Ordering::Relaxed)
    }

    /// The gateways that share the rate limits of endpoints.
    pub(crate) fn senders(&self) -> Senders {
        Senders {
            count: self.gateways.load(Ordering::Relaxed),
            number: self.pacing_number,
        }
    }

    /// Whether a request with a body of this size may be sent to an endpoint where this gateway's
    /// requests in flight have bodies of `held` bytes.
    pub(crate) fn allows_body(&self, held: ByteSize, body: ByteSize) -> bool {
        let bound = self.settings.endpoint_bodies;
        !self.memory.is_limited() || allows_body(bound, self.senders(), held, body)
    }

    /// A pseudo-random number for load spreading; not for security.
    pub(crate) fn random(&self) -> u64 {
        // Weyl sequence and the finalizer of SplitMix64.
        const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut z = self.random.fetch_add(INCREMENT, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Starts draining: less new work is accepted from now on.
    pub(crate) fn drain(&self) {
        let now = self.now().as_micros();
        self.drain_started_us.store(now, Ordering::Relaxed);
        self.drain_started.notify_waiters();
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.drain_started_us.load(Ordering::Relaxed) > 0
    }

    /// The time at this part of the drain time, in thousandths; `None` if the gateway is not draining.
    fn drain_at(&self, permille: u32) -> Option<Timestamp> {
        let started = Timestamp(self.drain_started_us.load(Ordering::Relaxed));
        let elapsed = self.reloadable().drain_time * permille / 1_000;
        (started != Timestamp::ZERO).then(|| started + elapsed)
    }

    /// Whether the end of the drain time may cut off a new request. Streams and requests with a late
    /// deadline are accepted only at first, while the platform still sends requests here.
    pub(crate) fn rejects_new_request(
        &self,
        now: Timestamp,
        retry_policy: RetryPolicy,
        deadline: Timestamp,
    ) -> bool {
        let is_after = |permille| self.drain_at(permille).is_some_and(|at| now > at);
        let ends_late = || {
            let last_answer = self.drain_at(LAST_ANSWER_PERMILLE);
            last_answer.is_some_and(|last_answer| deadline > last_answer)
        };
        is_after(PLAIN_ACCEPT_PERMILLE)
            || is_after(STREAM_ACCEPT_PERMILLE) && (retry_policy.is_stream() || ends_late())
    }

    /// Waits until requests without an answer must get a final one, as the process ends soon.
    pub(crate) async fn last_answer_due(&self) {
        loop {
            let drain_started = self.drain_started.notified();
            if let Some(due) = self.drain_at(LAST_ANSWER_PERMILLE) {
                return sleep(due.since(self.now())).await;
            }
            drain_started.await;
        }
    }

    /// Deposits part of a retry in the budget of a service for a request to it.
    pub(crate) fn count_request(&self, now: Timestamp, service: &ServiceId) {
        self.with_retry_budget(now, service, RetryBudget::deposit);
    }

    /// Takes one retry from the budget of a service. Returns whether one was available.
    pub(crate) fn take_retry(&self, now: Timestamp, service: &ServiceId) -> bool {
        let allowed = self.with_retry_budget(now, service, |budget| budget.try_withdraw(now));
        self.metrics.record_retry(service.as_str(), allowed);
        allowed
    }

    /// Whether the budget covers a retry now.
    pub(crate) fn covers_retry(&self, now: Timestamp, service: &ServiceId) -> bool {
        self.with_retry_budget(now, service, |budget| budget.covers_retry(now))
    }

    fn with_retry_budget<T>(
        &self,
        now: Timestamp,
        service: &ServiceId,
        operation: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let gateways = self.gateways.load(Ordering::Relaxed);
        let settings = self.reloadable().retries.share(gateways);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(now, settings));
        if budget.settings() != settings {
            budget.set_settings(settings);
        }
        operation(budget)
    }
}
