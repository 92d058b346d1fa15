//! The leader's account of permits: how many requests the new version may get, and has got.
//!
//! A granted permit counts as used until its gateway confirms that it expired unused. The account
//! never grants more than the replicated log has reserved, so that a successor, which counts the whole
//! reservation as used, cannot exceed the limit either.

use std::collections::HashMap;
use std::time::Duration;

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

use crate::message::RolloutReport;

/// Longest time for which a permit may be used. A successor waits it out.
pub const PERMIT_LEASE: Duration = Duration::from_secs(1);
/// Time after which a report no longer counts towards the request rate of its gateway.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Lowest rate that a gateway is assumed to have, so that permits to many idle gateways count.
const MIN_GATEWAY_RATE: f64 = 0.02;
/// Rate of a gateway before it is measured: high enough that the first permits are not given to all
/// gateways at once.
const UNKNOWN_GATEWAY_RATE: f64 = 1.0;
/// Smallest reservation, so that slow services need few log entries. A leader that is lost wastes at
/// most one block.
const MIN_BLOCK: u64 = 8;

/// The limit on the requests that a version under test gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureSettings {
    /// Part of all requests for the service, from 0 to 1.
    pub share: f64,
    /// Requests beyond that part.
    pub slack: u64,
    /// How long a permit may be used; at most [`PERMIT_LEASE`].
    pub lease: Duration,
}

impl Default for ExposureSettings {
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 50,
            lease: PERMIT_LEASE,
        }
    }
}

impl ExposureSettings {
    /// The most requests that the new version may get out of `requests` for the service.
    pub fn limit(&self, requests: u64) -> u64 {
        let share = self.share.clamp(0.0, 1.0);
        self.slack + (requests as f64 * share).floor() as u64
    }
}

/// The account of one rollout at one leader.
#[derive(Clone, Debug)]
pub struct ExposureAccount {
    settings: ExposureSettings,
    term: u64,
    /// Permits reserved in the log, by all leaders.
    reserved: u64,
    /// Part of `reserved` that may have been used by other leaders and counts as used.
    foreign: u64,
    /// Until then, permits of a predecessor may still be in use.
    usable_from: Timestamp,
    gateways: HashMap<InstanceId, GatewayAccount>,
    /// Sums over `gateways`.
    sums: Sums,
    /// Requests and unconfirmed permits of gateway processes that were replaced.
    past_requests: u64,
    past_permits: u64,
    /// Permits that the leader itself used for requests that it placed.
    own: u64,
    /// The reservation in progress: the total expected before, and the one requested.
    pending: Option<(u64, u64)>,
}

/// Sums over gateways, so that a report costs no walk over all of them.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    requests: u64,
    held_or_used: u64,
    used: u64,
    rate: f64,
    expected_use: f64,
}

#[derive(Clone, Debug, Default)]
struct GatewayAccount {
    incarnation: Incarnation,
    sequence: u64,
    requests: u64,
    granted: u64,
    used: u64,
    expired: u64,
    /// Start of the interval over which the rate is measured, and the requests before it.
    rate_from: Option<(Timestamp, u64)>,
    rate: f64,
    is_rate_known: bool,
    reported_at: Timestamp,
}

impl ExposureAccount {
    /// Opens the account of a leader. `reserved` is the reservation in the log, all of which counts
    /// as used, and `is_successor` tells whether an earlier leader may have granted permits.
    pub fn new(
        now: Timestamp,
        settings: ExposureSettings,
        term: u64,
        reserved: u64,
        is_successor: bool,
    ) -> Self {
        let wait = match is_successor {
            true => PERMIT_LEASE,
            false => Duration::ZERO,
        };
        Self {
            settings,
            term,
            reserved,
            foreign: reserved,
            usable_from: now + wait,
            gateways: HashMap::new(),
            sums: Sums::default(),
            past_requests: 0,
            past_permits: 0,
            own: 0,
            pending: None,
        }
    }

    /// Takes in a report. Returns false, and changes nothing, if it is not newer than the last one of
    /// the gateway's process, or comes from an earlier process.
    pub fn record(
        &mut self,
        now: Timestamp,
        gateway: &InstanceId,
        incarnation: Incarnation,
        report: &RolloutReport,
    ) -> bool {
        let account = self.gateways.entry(gateway.clone()).or_default();
        if account.sequence > 0 && account.incarnation != incarnation {
            // The earlier process ended; what it held is never confirmed.
            self.past_requests += account.requests;
            self.past_permits += account.held_or_used();
            self.sums.subtract(account);
            *account = GatewayAccount::default();
            self.sums.add(account);
        }
        if report.sequence <= account.sequence {
            return false;
        }
        self.sums.subtract(account);
        account.incarnation = incarnation;
        account.sequence = report.sequence;
        account.record_requests(now, report.requests);
        if report.term == self.term {
            account.record_permits(report.used, report.expired);
        }
        self.sums.add(account);
        true
    }

    /// Grants a gateway up to `wanted` permits. The caller sends them in response to a report; each
    /// counts as used from here on.
    pub fn grant(&mut self, now: Timestamp, gateway: &InstanceId, wanted: u64) -> u64 {
        let available = self.available(now);
        let Some(account) = self.gateways.get_mut(gateway) else {
            return 0;
        };
        let granted = wanted.min(available);
        self.sums.subtract(account);
        account.granted += granted;
        self.sums.add(account);
        granted
    }

    /// Takes one permit for a request that the leader places itself.
    pub fn take_own(&mut self, now: Timestamp) -> bool {
        let is_available = self.available(now) > 0;
        self.own += u64::from(is_available);
        is_available
    }

    /// Returns a permit of [`Self::take_own`] whose request was never sent to an endpoint.
    pub fn return_own(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Permits that could be granted now.
    pub fn available(&self, now: Timestamp) -> u64 {
        if now < self.usable_from {
            return 0;
        }
        let bound = self.limit().min(self.reserved);
        bound.saturating_sub(self.committed())
    }

    /// Permits that count as used: those of other leaders, and those granted here and not confirmed
    /// as unused.
    pub fn committed(&self) -> u64 {
        self.foreign + self.past_permits + self.sums.held_or_used + self.own
    }

    /// Permits that gateways hold and have reported neither as used nor as expired.
    pub fn outstanding(&self, gateway: &InstanceId) -> u64 {
        let account = self.gateways.get(gateway);
        account.map_or(0, |a| a.held_or_used().saturating_sub(a.used))
    }

    /// All requests for the service that gateways reported.
    pub fn requests(&self) -> u64 {
        self.past_requests + self.sums.requests
    }

    /// The most permits that may ever count as used, after the requests reported so far.
    pub fn limit(&self) -> u64 {
        self.settings.limit(self.requests())
    }

    /// The most permits that may count as used after a number of requests.
    pub fn limit_for(&self, requests: u64) -> u64 {
        self.settings.limit(requests)
    }

    /// Permits that were used, as far as is known; at most [`Self::committed`].
    pub fn used(&self) -> u64 {
        self.foreign + self.past_permits + self.sums.used + self.own
    }

    /// Permits in circulation that will be used within a second, if gateways keep their rates.
    pub fn expected_use(&self) -> f64 {
        self.sums.expected_use
    }

    /// Leaves out the rates of gateways that no longer report. Called several times a second.
    pub fn refresh(&mut self, now: Timestamp) {
        let gateways = self.gateways.values_mut();
        for account in gateways {
            if now.since(account.reported_at) >= RATE_WINDOW {
                account.rate = 0.0;
            }
        }
        self.sums = Sums::default();
        let gateways = self.gateways.values();
        gateways.for_each(|account| self.sums.add(account));
    }

    /// Requests per second of all gateways that reported recently.
    pub fn request_rate(&self) -> f64 {
        self.sums.rate
    }

    /// Requests per second of one gateway, at least [`MIN_GATEWAY_RATE`].
    pub fn gateway_rate(&self, gateway: &InstanceId) -> f64 {
        self.gateways.get(gateway).map_or(0.0, GatewayAccount::rate)
    }

    /// Starts a reservation so that `wanted` permits can be granted beyond those that count as used.
    /// Returns the total in the log that is expected and the new one; `None` if the reservation
    /// suffices, the limit allows no more, or one is in progress.
    pub fn start_reservation(&mut self, now: Timestamp, wanted: u64) -> Option<(u64, u64)> {
        if self.pending.is_some() || now < self.usable_from {
            return None;
        }
        let committed = self.committed();
        if self.reserved >= committed + wanted.max(1) {
            return None;
        }
        let total = (committed + wanted.max(MIN_BLOCK)).min(self.limit());
        if total <= self.reserved {
            return None;
        }
        self.pending = Some((self.reserved, total));
        self.pending
    }

    /// Ends the reservation in progress. `accepted` tells that the log took it, and `reserved` is the
    /// total in the log now. A reservation with an unknown outcome counts as not accepted: whatever
    /// the log holds beyond this leader's own blocks counts as used.
    pub fn finish_reservation(&mut self, accepted: bool, reserved: u64) {
        let Some((expected, total)) = self.pending.take() else {
            return;
        };
        if accepted {
            debug_assert_eq!(self.reserved, expected);
            self.reserved = total;
        }
        self.observe_reserved(reserved);
    }

    /// Takes over the total in the log. What this leader did not reserve counts as used.
    pub fn observe_reserved(&mut self, reserved: u64) {
        if self.pending.is_none() && reserved > self.reserved {
            self.foreign += reserved - self.reserved;
            self.reserved = reserved;
        }
    }
}

impl GatewayAccount {
    fn rate(&self) -> f64 {
        match self.is_rate_known {
            true => self.rate.max(MIN_GATEWAY_RATE),
            false => UNKNOWN_GATEWAY_RATE,
        }
    }

    fn held_or_used(&self) -> u64 {
        self.granted - self.expired
    }

    fn record_permits(&mut self, used: u64, expired: u64) {
        self.expired = self.expired.max(expired.min(self.granted));
        let used = used.min(self.granted - self.expired);
        self.used = self.used.max(used);
    }

    /// Permits in circulation that will be used within a second, if the gateway keeps its rate.
    fn expected_use(&self) -> f64 {
        let held = self.held_or_used().saturating_sub(self.used) as f64;
        held.min(held * self.rate()).min(self.rate())
    }

    fn record_requests(&mut self, now: Timestamp, requests: u64) {
        self.requests = self.requests.max(requests);
        self.reported_at = now;
        let Some((from, before)) = self.rate_from else {
            self.rate_from = Some((now, self.requests));
            return;
        };
        let elapsed = now.since(from);
        if elapsed >= RATE_WINDOW / 2 {
            let rate = (self.requests - before) as f64 / elapsed.as_secs_f64();
            self.rate = match self.is_rate_known {
                true => self.rate * 0.6 + rate * 0.4,
                false => rate,
            };
            self.is_rate_known = true;
            self.rate_from = Some((now, self.requests));
        }
    }
}

impl Sums {
    fn add(&mut self, account: &GatewayAccount) {
        self.requests += account.requests;
        self.held_or_used += account.held_or_used();
        self.used += account.used;
        self.rate += account.rate;
        self.expected_use += account.expected_use();
    }

    fn subtract(&mut self, account: &GatewayAccount) {
        self.requests -= account.requests;
        self.held_or_used -= account.held_or_used();
        self.used -= account.used;
        self.rate -= account.rate;
        self.expected_use -= account.expected_use();
    }
}
