//! Speeds of endpoints as this gateway knows them: from its own calls, and from the digest that the
//! leader merges from the reports of all gateways.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Features;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_route::message::GatewayMessage;
use mimosa_route::message::MAX_SPEEDS;
use mimosa_schedule::speed::EndpointSpeed;
use mimosa_schedule::speed::EndpointWork;
use mimosa_schedule::speed::SpeedEstimate;
use mimosa_schedule::speed::SpeedTable;
use mimosa_schedule::speed::WorkSums;

use crate::directory::EndpointEntry;

pub(crate) mod select;

/// Time without a message of the leader after which its digest is not used any more.
const DIGEST_LIFETIME: Duration = Duration::from_secs(10);
/// Time for which completed work is kept for a report. Older work says little, and is dropped if no
/// leader asked for it.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Maximum number of endpoints in the digest.
const MAX_DIGEST: usize = 4_096;

/// Speeds of endpoints, if a feature needs them.
#[derive(Default)]
pub(crate) struct KnownSpeeds {
    features: Features,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    services: HashMap<ServiceId, OwnSpeeds>,
    digest: HashMap<EndpointId, SpeedEstimate>,
    leader_heard_at: Timestamp,
    expired_at: Timestamp,
    /// Figures of prefill endpoints that were last sent to the leader.
    sent_percents: HashMap<EndpointId, u16>,
    /// Endpoints that did not state their load in time.
    not_asked_until: HashMap<EndpointId, Timestamp>,
    calls: CallBudget,
}

/// What this gateway saw of the plain endpoints of a service.
#[derive(Default)]
struct OwnSpeeds {
    table: SpeedTable,
    unreported: HashMap<EndpointId, WorkSums>,
    unreported_since: Timestamp,
}

/// Bounds the calls that ask endpoints for their load.
#[derive(Default)]
struct CallBudget {
    available_permille: u64,
    refilled_at: Timestamp,
}

impl CallBudget {
    /// Calls per second. One is estimated to take 300 bytes, so that all of them stay within the 4 KB/s
    /// that a gateway may spend on control.
    const PER_S: u64 = 8;

    fn take(&mut self, now: Timestamp) -> bool {
        let elapsed = now.since(self.refilled_at).min(Duration::from_secs(1));
        let earned = u64::try_from(elapsed.as_millis()).unwrap_or(0) * Self::PER_S;
        if earned > 0 {
            self.refilled_at = now;
            self.available_permille = (self.available_permille + earned).min(Self::PER_S * 1_000);
        }
        let is_available = self.available_permille >= 1_000;
        if is_available {
            self.available_permille -= 1_000;
        }
        is_available
    }
}

impl KnownSpeeds {
    pub(crate) fn new(features: Features) -> Self {
        Self {
            features,
            ..Self::default()
        }
    }

    /// Whether plain endpoints are asked for their load.
    pub(crate) const fn asks_for_load(&self) -> bool {
        self.features.load_probes
    }

    /// Whether the times that endpoints state are used.
    const fn uses_stated_times(&self) -> bool {
        self.features.endpoint_speeds || self.features.uneven_speeds
    }

    /// Records a complete successful response of a plain endpoint.
    pub(crate) fn record_answer(&self, now: Timestamp, endpoint: &EndpointEntry, took: Duration) {
        if !self.asks_for_load() || endpoint.listed.role != EndpointRole::Plain {
            return;
        }
        let (running, waiting) = endpoint
            .reported_load()
            .map_or((1, 0), |(_, load)| (load.running, load.waiting));
        let mut sums = WorkSums::default();
        sums.record_call(took, running, waiting);
        let id = &endpoint.listed.id;
        let mut inner = self.lock();
        inner.expire(now);
        let own = inner.service(&endpoint.listed.service);
        own.table.record(now, id, &sums);
        if own.unreported.is_empty() || now.since(own.unreported_since) > REPORT_LIFETIME {
            own.unreported.clear();
            own.unreported_since = now;
        }
        let has_room = own.unreported.len() < MAX_SPEEDS;
        match own.unreported.get_mut(id) {
            Some(unreported) => unreported.add(&sums),
            None if has_room => {
                own.unreported.insert(id.clone(), sums);
            }
            None => {}
        }
    }

    /// Records how long work takes at an endpoint at this moment, as it stated. Returns a report for
    /// the leader if it places requests by it.
    pub(crate) fn record_percent(
        &self,
        now: Timestamp,
        endpoint: &EndpointEntry,
        percent: u16,
    ) -> Option<GatewayMessage> {
        /// Change, in percent of the figure that was last sent, that is sent.
        const MIN_CHANGE: u16 = 20;
        if !self.uses_stated_times() && !self.asks_for_load() {
            return None;
        }
        let listed = &endpoint.listed;
        let mut inner = self.lock();
        match listed.role {
            EndpointRole::Plain => {
                let own = inner.service(&listed.service);
                own.table.record_percent(now, &listed.id, percent);
                None
            }
            EndpointRole::Prefill => {
                let sent = inner.sent_percents.get(&listed.id).copied();
                let is_new = sent.is_none_or(|sent| {
                    u32::from(sent.abs_diff(percent)) * 100
                        > u32::from(sent) * u32::from(MIN_CHANGE)
                });
                if !is_new {
                    return None;
                }
                if inner.sent_percents.len() >= MAX_DIGEST {
                    inner.sent_percents.clear();
                }
                inner.sent_percents.insert(listed.id.clone(), percent);
                Some(GatewayMessage::ReportStatedTime {
                    service: listed.service.clone(),
                    endpoint: listed.id.clone(),
                    percent,
                })
            }
            EndpointRole::Decode => None,
        }
    }

    /// Records a heartbeat of the leader; returns the reports to send to it.
    pub(crate) fn on_leader_heard(&self, now: Timestamp) -> Vec<GatewayMessage> {
        if !self.asks_for_load() {
            return Vec::new();
        }
        let mut inner = self.lock();
        inner.leader_heard_at = now;
        inner.expire(now);
        let services = inner.services.iter_mut();
        let reports = services.filter_map(|(service, own)| {
            let work = own.unreported.drain();
            let is_recent = now.since(own.unreported_since) <= REPORT_LIFETIME;
            let work: Vec<EndpointWork> = work
                .filter(|_| is_recent)
                .map(|(endpoint, sums)| EndpointWork { endpoint, sums })
                .collect();
            let service = service.clone();
            (!work.is_empty()).then_some(GatewayMessage::ReportWork { service, work })
        });
        reports.collect()
    }

    /// Applies the estimates that changed at the leader.
    pub(crate) fn on_digest(&self, speeds: Vec<EndpointSpeed>) {
        if !self.asks_for_load() {
            return;
        }
        let mut inner = self.lock();
        // Endpoints that are gone are not removed one by one.
        if inner.digest.len() + speeds.len() > MAX_DIGEST {
            inner.digest.clear();
        }
        let speeds = speeds.into_iter();
        let speeds = speeds.map(|speed| (speed.endpoint, speed.estimate));
        inner.digest.extend(speeds);
    }

    /// Whether an endpoint may be asked for its load.
    fn may_ask(&self, now: Timestamp, endpoint: &EndpointEntry) -> bool {
        let inner = self.lock();
        let not_before = inner.not_asked_until.get(&endpoint.listed.id);
        not_before.is_none_or(|not_before| now >= *not_before)
    }

    /// Sets the time before which an endpoint is not asked for its load.
    fn ask_again_at(&self, endpoint: &EndpointEntry, at: Timestamp) {
        let mut inner = self.lock();
        inner.not_asked_until.insert(endpoint.listed.id.clone(), at);
    }

    /// Takes one call that asks an endpoint for its load. Returns whether one was available.
    fn take_call(&self, now: Timestamp) -> bool {
        self.lock().calls.take(now)
    }

    /// Duration of work at an endpoint at this moment in thousandths of the usual one, as it stated.
    pub(crate) fn current_permille(&self, now: Timestamp, endpoint: &EndpointEntry) -> u32 {
        /// Without a recent figure.
        const USUAL: u32 = 1_000;
        if !self.uses_stated_times() {
            return USUAL;
        }
        let inner = self.lock();
        let own = inner.services.get(&endpoint.listed.service);
        own.map_or(USUAL, |own| {
            own.table.current_permille(now, &endpoint.listed.id)
        })
    }

    /// The estimate of an endpoint, and the duration of work there at this moment in thousandths of the
    /// usual one.
    fn speed(&self, now: Timestamp, endpoint: &EndpointEntry) -> (SpeedEstimate, u32) {
        let listed = &endpoint.listed;
        let mut inner = self.lock();
        let has_digest = now.since(inner.leader_heard_at) < DIGEST_LIFETIME;
        let merged = inner.digest.get(&listed.id).filter(|_| has_digest).copied();
        let own = inner.service(&listed.service);
        let estimate = merged.unwrap_or_else(|| own.table.estimate(now, &listed.id));
        (estimate, own.table.current_permille(now, &listed.id))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn service(&mut self, service: &ServiceId) -> &mut OwnSpeeds {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), OwnSpeeds::default());
        }
        self.services
            .get_mut(service)
            .expect("the service was added above")
    }

    /// Removes endpoints without recent evidence, from time to time.
    fn expire(&mut self, now: Timestamp) {
        const INTERVAL: Duration = Duration::from_secs(10);
        if now.since(self.expired_at) < INTERVAL {
            return;
        }
        self.expired_at = now;
        for own in self.services.values_mut() {
            own.table.expire(now);
        }
        self.not_asked_until.retain(|_, until| now < *until);
    }
}
