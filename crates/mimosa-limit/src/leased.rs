//! The rate limiter of an entry that shares limits with others: it admits requests from leased
//! slices, asks keepers for more before they run out, and lets requests wait briefly for them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use crate::held::HeldSlices;
use crate::limiter::Admission;
use crate::limiter::RateLimiter;
use crate::message::AccountReport;
use crate::message::Answer;
use crate::message::Holder;
use crate::message::Origin;
use crate::message::Partition;
use crate::message::Refund;
use crate::message::Report;
use crate::micro_tokens::MicroTokens;
use crate::settings::Settings;
use crate::wait_queue::WaitQueue;

/// Lifetime of a keeper's hint about the wait, in heartbeats.
const HINT_LIFETIME_HEARTBEATS: u32 = 2;
/// Tokens are prefetched for the expected use of this many heartbeats.
const PREFETCH_HEARTBEATS: i64 = 3;

#[derive(Clone, Debug, Default)]
struct Account {
    queue: WaitQueue,
    /// Reserved since the last heartbeat.
    reserved: MicroTokens,
    /// Reserved in the heartbeat before.
    previously_reserved: MicroTokens,
    last_use: Timestamp,
    hint: Option<Hint>,
}

/// What a keeper last answered about an account.
#[derive(Clone, Copy, Debug)]
struct Hint {
    received_at: Timestamp,
    /// When the first of an unbroken series of hints arrived.
    first_received_at: Timestamp,
    retry_after: Duration,
    burst: Tokens,
}

#[derive(Clone, Debug)]
struct Reservation {
    account: AccountId,
    parts: Vec<(Origin, MicroTokens)>,
}

#[derive(Clone, Debug)]
struct PartitionState {
    held: HeldSlices,
    accounts: BTreeMap<AccountId, Account>,
    /// When a report was last considered.
    last_check: Timestamp,
    /// When the use of each account was last sampled, once per heartbeat.
    last_heartbeat: Timestamp,
    /// When the last report was sent, or there was nothing to report.
    last_report: Timestamp,
    /// Time to the next report while requests wait; it doubles with each report.
    urgent_interval: Option<Duration>,
}

/// Admits the requests of one entry from slices granted by keepers.
#[derive(Clone, Debug)]
pub struct LeasedRateLimiter {
    settings: Settings,
    instance: InstanceId,
    incarnation: Incarnation,
    partitions: BTreeMap<Partition, PartitionState>,
    reservations: BTreeMap<RequestId, Reservation>,
}

impl LeasedRateLimiter {
    /// Creates a limiter without slices, at which requests wait until a keeper has granted some.
    pub fn new(settings: Settings, instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            instance,
            incarnation,
            partitions: BTreeMap::new(),
            reservations: BTreeMap::new(),
        }
    }

    /// Follows a new keeper of a partition. A lower epoch is ignored.
    pub fn follow(&mut self, partition: Partition, epoch: Epoch) {
        self.partition(partition).held.follow(epoch);
    }

    /// Applies a keeper's answer. Returns whether it granted slices, so that waiting requests may
    /// ask again at once.
    pub fn accept(&mut self, now: Timestamp, answer: &Answer) -> bool {
        let Some(partition) = self.partitions.get_mut(&answer.partition) else {
            return false;
        };
        if !partition.held.accept(now, answer) {
            return false;
        }
        for answered in &answer.accounts {
            if let Some(account) = partition.accounts.get_mut(&answered.account) {
                let lifetime = self.settings.heartbeat * HINT_LIFETIME_HEARTBEATS;
                let previous = account
                    .hint
                    .filter(|hint| now.since(hint.received_at) <= lifetime);
                account.hint = Some(Hint {
                    received_at: now,
                    first_received_at: previous.map_or(now, |hint| hint.first_received_at),
                    retry_after: answered.retry_after,
                    burst: answered.burst,
                });
            }
        }
        let granted = answer
            .accounts
            .iter()
            .any(|account| !account.slices.is_empty());
        if granted && partition.urgent_interval.is_some() {
            partition.urgent_interval = Some(self.settings.min_report_interval);
        }
        granted
    }

    /// Returns the reports that are due. Call it in each heartbeat, and more often while requests
    /// wait.
    pub fn reports(&mut self, now: Timestamp) -> Vec<Report> {
        let settings = self.settings;
        self.partitions
            .values_mut()
            .filter_map(|partition| partition.report(now, &settings))
            .collect()
    }

    /// Number of accounts with recent or waiting requests, or with slices.
    pub fn active_accounts(&self) -> usize {
        self.partitions
            .values()
            .map(|partition| partition.accounts.len())
            .sum()
    }

    fn partition(&mut self, partition: Partition) -> &mut PartitionState {
        let holder = Holder::Entry(self.instance.clone());
        let (incarnation, lease) = (self.incarnation, self.settings.slice_lease);
        self.partitions
            .entry(partition)
            .or_insert_with(|| PartitionState {
                held: HeldSlices::new(partition, holder, incarnation, lease),
                accounts: BTreeMap::new(),
                last_check: Timestamp::ZERO,
                last_heartbeat: Timestamp::ZERO,
                last_report: Timestamp::ZERO,
                urgent_interval: None,
            })
    }
}

impl RateLimiter for LeasedRateLimiter {
    fn reserve(
        &mut self,
        now: Timestamp,
        request: RequestId,
        account: &AccountId,
        cost: Tokens,
    ) -> Admission {
        if self.reservations.contains_key(&request) {
            return Admission::Admitted;
        }
        let settings = self.settings;
        let partition = self.partition(Partition::of(account));
        let (admission, parts) = partition.reserve(now, request, account, cost, &settings);
        if admission == Admission::Admitted {
            let account = account.clone();
            self.reservations
                .insert(request, Reservation { account, parts });
        }
        admission
    }

    fn settle(&mut self, _now: Timestamp, request: RequestId, used: Tokens) {
        let Some(reservation) = self.reservations.remove(&request) else {
            self.remove_from_queues(request);
            return;
        };
        let partition = self.partition(Partition::of(&reservation.account));
        let mut used = MicroTokens::from(used);
        for (origin, amount) in reservation.parts {
            let spent = used.min(amount);
            used = used.minus(spent);
            partition.held.refund(Refund {
                account: reservation.account.clone(),
                origin,
                amount: amount.minus(spent),
            });
        }
    }
}

impl LeasedRateLimiter {
    fn remove_from_queues(&mut self, request: RequestId) {
        self.partitions
            .values_mut()
            .flat_map(|partition| partition.accounts.values_mut())
            .filter(|account| !account.queue.is_empty())
            .for_each(|account| account.queue.remove(request));
    }
}

impl PartitionState {
    fn reserve(
        &mut self,
        now: Timestamp,
        request: RequestId,
        id: &AccountId,
        cost: Tokens,
        settings: &Settings,
    ) -> (Admission, Vec<(Origin, MicroTokens)>) {
        let account = self.accounts.entry(id.clone()).or_default();
        account.last_use = now;
        let position = account.queue.position(now, request);
        let amount = MicroTokens::from(cost);
        let available = self.held.available(now, id, Duration::ZERO);
        if available >= position.cost_ahead.plus(amount) {
            account.queue.remove(request);
            account.reserved = account.reserved.plus(amount);
            return (Admission::Admitted, self.spend(now, id, amount));
        }
        let admission =
            account.enqueue_or_reject(now, request, cost, position.enqueued_at, settings);
        if matches!(admission, Admission::Wait(_)) {
            self.urgent_interval
                .get_or_insert(settings.min_report_interval);
        }
        (admission, Vec::new())
    }

    fn spend(
        &mut self,
        now: Timestamp,
        id: &AccountId,
        amount: MicroTokens,
    ) -> Vec<(Origin, MicroTokens)> {
        let parts = self.held.withdraw(now, id, amount, Duration::ZERO);
        parts
            .into_iter()
            .map(|part| {
                self.held.spend(id, part.number, part.amount);
                (part.origin, part.amount)
            })
            .collect()
    }

    fn report(&mut self, now: Timestamp, settings: &Settings) -> Option<Report> {
        self.held.expire(now);
        let interval = self.urgent_interval.unwrap_or(settings.heartbeat);
        if now.since(self.last_check) < interval {
            return None;
        }
        let heartbeat = now.since(self.last_heartbeat) >= settings.heartbeat;
        if heartbeat {
            self.last_heartbeat = now;
        }
        self.accounts
            .retain(|id, account| !account.is_idle(now, settings) || self.held.holds(id));
        let ids: BTreeSet<AccountId> = self
            .accounts
            .keys()
            .chain(self.held.accounts())
            .cloned()
            .collect();
        let accounts: Vec<AccountReport> = ids
            .into_iter()
            .filter_map(|id| self.report_account(now, id, settings, heartbeat))
            .collect();
        self.back_off(settings);
        self.last_check = now;
        if accounts.is_empty() && !self.held.has_refunds() {
            self.last_report = now;
            return None;
        }
        let has_demand =
            |account: &AccountReport| account.shortfall.0 > 0 || account.prefetch.0 > 0;
        let urgent = accounts.iter().any(has_demand) || self.held.has_remainder_to_return();
        if !urgent && now.since(self.last_report) < settings.max_report_delay {
            return None;
        }
        self.last_report = now;
        Some(self.held.report(now, accounts))
    }

    /// Doubles the time between reports while requests wait, up to a heartbeat.
    fn back_off(&mut self, settings: &Settings) {
        let waits = self
            .accounts
            .values()
            .any(|account| !account.queue.is_empty());
        self.urgent_interval = self
            .urgent_interval
            .filter(|_| waits)
            .map(|interval| (interval * 2).min(settings.heartbeat));
    }

    /// The report on one account, unless there is neither demand nor unacknowledged state.
    fn report_account(
        &mut self,
        now: Timestamp,
        id: AccountId,
        settings: &Settings,
        heartbeat: bool,
    ) -> Option<AccountReport> {
        let account = self.accounts.entry(id.clone()).or_default();
        let idle = account.is_idle(now, settings);
        let min_lease_left = settings.heartbeat * 2;
        self.held.close(now, &id, min_lease_left, idle);
        let available = self.held.available(now, &id, min_lease_left);
        let waiting = account.queue.total_cost(now);
        let head_shortfall = account.queue.head_cost().minus(available);
        let expected = account.expected_use(heartbeat);
        let shortfall = waiting.minus(available).or_zero().tokens_ceil();
        let unused = available.minus(account.queue.total_cost(now)).or_zero();
        let prefetch = expected.minus(unused).or_zero().tokens();
        let has_demand = shortfall.0 > 0 || prefetch.0 > 0;
        if !has_demand && !self.held.has_unacknowledged(&id) {
            return None;
        }
        Some(AccountReport {
            slices: self.held.report_slices(&id),
            account: id,
            head_shortfall: head_shortfall.tokens_ceil(),
            shortfall,
            prefetch,
        })
    }
}

impl Account {
    fn is_idle(&self, now: Timestamp, settings: &Settings) -> bool {
        self.queue.is_empty() && now.since(self.last_use) >= settings.idle_timeout
    }

    /// The use expected next: the smaller of the last two heartbeats, so that only steady use is
    /// prefetched for.
    fn expected_use(&mut self, heartbeat: bool) -> MicroTokens {
        let steady = self.reserved.min(self.previously_reserved);
        if heartbeat {
            self.previously_reserved = std::mem::take(&mut self.reserved);
        }
        MicroTokens(steady.0.saturating_mul(PREFETCH_HEARTBEATS))
    }

    fn enqueue_or_reject(
        &mut self,
        now: Timestamp,
        request: RequestId,
        cost: Tokens,
        enqueued_at: Timestamp,
        settings: &Settings,
    ) -> Admission {
        let lifetime = settings.heartbeat * HINT_LIFETIME_HEARTBEATS;
        let hint = self
            .hint
            .filter(|hint| now.since(hint.received_at) <= lifetime);
        let retry_after = hint.map_or(settings.heartbeat, |hint| hint.retry_after);
        let is_new = enqueued_at == now;
        let too_late = is_new && retry_after > settings.max_wait;
        let too_large = hint.is_some_and(|hint| cost > hint.burst);
        let (waits_since, longest) = match hint {
            Some(hint) => (enqueued_at.max(hint.first_received_at), settings.max_wait),
            None => (enqueued_at, settings.keeper_timeout),
        };
        if too_late || too_large || now.since(waits_since) >= longest {
            self.queue.remove(request);
            return Admission::Rejected(retry_after.max(settings.heartbeat));
        }
        self.queue
            .enqueue(now, request, cost.into(), settings.retry_interval);
        Admission::Wait(settings.retry_interval)
    }
}
