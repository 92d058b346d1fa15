//! What all requests of a gateway share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use mimosa_hold::retry::RetryBudget;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_route::Repeat;
use mimosa_transport::clock::Clock;
use tokio::sync::Notify;

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::dispatch::Dispatch;
use crate::metrics::Metrics;
use crate::purse::Purse;
use crate::settings::Reloadable;
use crate::settings::Settings;

/// Part of the drain time, in thousandths, in which new streams are still taken: the platform needs
/// some seconds to send nothing more, and a stream lasts for most of the drain time.
const STREAM_DRAIN_PART: u32 = 250;
/// Part of the drain time, in thousandths, in which other requests are still taken.
const PLAIN_DRAIN_PART: u32 = 850;

/// Gateways assumed before a control instance told how many there are.
const ASSUMED_GATEWAYS: u32 = 8;

/// What all requests share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    reloadable: ArcSwap<Reloadable>,
    /// Wakes whoever follows the settings that may change.
    pub(crate) reloaded: Notify,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) directory: Directory,
    pub(crate) dispatch: Arc<Dispatch>,
    pub(crate) purse: Purse,
    pub(crate) metrics: Metrics,
    /// When a shutdown was asked for, in microseconds; 0 before.
    drains_since: AtomicU64,
    /// Gateways that share what is allowed to all together.
    pub(crate) gateways: AtomicU32,
    retries: Mutex<HashMap<ServiceId, RetryBudget>>,
    clock: Clock,
    /// Tells this life of the gateway from others, where they take turns.
    pub(crate) number: u64,
    random: AtomicU64,
}

impl Shared {
    pub(crate) fn new(settings: Settings, dialect: Arc<dyn Dialect>, directory: Directory) -> Self {
        let mut seed = [0; 8];
        getrandom::fill(&mut seed).expect("the system gives random bytes");
        Self {
            reloadable: ArcSwap::from_pointee(settings.reloadable.clone()),
            reloaded: Notify::new(),
            settings,
            dialect,
            directory,
            dispatch: Arc::default(),
            purse: Purse::default(),
            metrics: Metrics::new(),
            drains_since: AtomicU64::new(0),
            gateways: AtomicU32::new(ASSUMED_GATEWAYS),
            retries: Mutex::default(),
            clock: Clock::start(),
            number: u64::from_le_bytes(seed),
            random: AtomicU64::new(u64::from_le_bytes(seed)),
        }
    }

    /// The settings that may change.
    pub(crate) fn reloadable(&self) -> Arc<Reloadable> {
        self.reloadable.load_full()
    }

    /// Takes the settings that may change anew.
    pub(crate) fn reload(&self, reloadable: Reloadable) {
        self.reloadable.store(Arc::new(reloadable));
        self.reloaded.notify_one();
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// A number that spreads choices; it guards nothing.
    pub(crate) fn random(&self) -> u64 {
        // Weyl sequence and the finalizer of SplitMix64.
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut z = self.random.fetch_add(STEP, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Takes little new work from now on.
    pub(crate) fn drain(&self) {
        let now = self.now().as_micros();
        self.drains_since.store(now, Ordering::Relaxed);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.drains_since.load(Ordering::Relaxed) > 0
    }

    /// Whether a request that comes now would probably be cut by the end of the drain time.
    pub(crate) fn is_too_late_for(&self, now: Timestamp, repeat: Repeat) -> bool {
        let since = Timestamp(self.drains_since.load(Ordering::Relaxed));
        if since == Timestamp::ZERO {
            return false;
        }
        let part = if repeat.is_stream() {
            STREAM_DRAIN_PART
        } else {
            PLAIN_DRAIN_PART
        };
        now.since(since) > self.reloadable().drain_time * part / 1_000
    }

    /// Counts a request for a service: it earns a part of a retry.
    pub(crate) fn count_request(&self, now: Timestamp, service: &ServiceId) {
        self.with_budget(now, service, RetryBudget::deposit);
    }

    /// Takes one retry for a service if there is one.
    pub(crate) fn take_retry(&self, now: Timestamp, service: &ServiceId) -> bool {
        let allowed = self.with_budget(now, service, |budget| budget.try_withdraw(now));
        self.metrics.retried(service.as_str(), allowed);
        allowed
    }

    fn with_budget<T>(
        &self,
        now: Timestamp,
        service: &ServiceId,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        let gateways = self.gateways.load(Ordering::Relaxed);
        let settings = self.reloadable().retries.share(gateways);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(now, settings));
        if budget.settings() != settings {
            budget.set_settings(settings);
        }
        change(budget)
    }
}
