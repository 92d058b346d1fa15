//! The entry's gate: admits from slices in hand, asks keepers for more before they run out, and
//! lets requests wait briefly for them.

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

use crate::amount::Amount;
use crate::limiter::Admission;
use crate::limiter::RateLimiter;
use crate::line::Line;
use crate::message::Answer;
use crate::message::Holder;
use crate::message::Origin;
use crate::message::Partition;
use crate::message::Refund;
use crate::message::Report;
use crate::message::ReportLine;
use crate::purse::Purse;
use crate::settings::Settings;

/// How long an answer's hint about the wait is believed, in heartbeats.
const HINT_HEARTBEATS: u32 = 2;
/// How much is asked ahead of demand: the use of so many heartbeats.
const AHEAD_HEARTBEATS: i64 = 3;

#[derive(Clone, Debug, Default)]
struct Account {
    line: Line,
    /// Reserved since the last report, and in the interval before it.
    recent: Amount,
    before: Amount,
    last_use: Timestamp,
    hint: Option<Hint>,
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    at: Timestamp,
    /// When the keeper first answered, after a time without fresh answers.
    first: Timestamp,
    retry_after: Duration,
    burst: Tokens,
}

#[derive(Clone, Debug)]
struct Reserved {
    account: AccountId,
    parts: Vec<(Origin, Amount)>,
}

#[derive(Clone, Debug)]
struct Group {
    purse: Purse,
    accounts: BTreeMap<AccountId, Account>,
    reported: Timestamp,
    /// When the use of each account was last looked at, once in a heartbeat.
    beaten: Timestamp,
    /// When the last report was sent, or there was nothing to say.
    told: Timestamp,
    /// Time to the next report while requests wait: it doubles as long as they do.
    urgent: Option<Duration>,
}

/// Admits requests of one entry from slices that keepers gave it.
#[derive(Clone, Debug)]
pub struct LeasedRateLimiter {
    settings: Settings,
    instance: InstanceId,
    incarnation: Incarnation,
    groups: BTreeMap<Partition, Group>,
    reserved: BTreeMap<RequestId, Reserved>,
}

impl LeasedRateLimiter {
    /// A gate without slices.
    pub fn new(settings: Settings, instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            instance,
            incarnation,
            groups: BTreeMap::new(),
            reserved: BTreeMap::new(),
        }
    }

    /// A partition has a new keeper. A lower epoch is ignored.
    pub fn follow(&mut self, partition: Partition, epoch: Epoch) {
        self.group(partition).purse.follow(epoch);
    }

    /// Takes a keeper's answer in. Returns whether requests that wait may ask again at once.
    pub fn accept(&mut self, now: Timestamp, answer: &Answer) -> bool {
        let Some(group) = self.groups.get_mut(&answer.partition) else {
            return false;
        };
        if !group.purse.accept(now, answer) {
            return false;
        }
        for line in &answer.lines {
            if let Some(account) = group.accounts.get_mut(&line.account) {
                let fresh = self.settings.heartbeat * HINT_HEARTBEATS;
                let before = account.hint.filter(|hint| now.since(hint.at) <= fresh);
                account.hint = Some(Hint {
                    at: now,
                    first: before.map_or(now, |hint| hint.first),
                    retry_after: line.retry_after,
                    burst: line.burst,
                });
            }
        }
        let gave = answer.lines.iter().any(|line| !line.slices.is_empty());
        if gave && group.urgent.is_some() {
            group.urgent = Some(self.settings.urgent_gap);
        }
        gave
    }

    /// The reports that are due. Call it in each heartbeat, and sooner while requests wait.
    pub fn reports(&mut self, now: Timestamp) -> Vec<Report> {
        let settings = self.settings;
        self.groups
            .values_mut()
            .filter_map(|group| group.report(now, &settings))
            .collect()
    }

    /// Accounts with state.
    pub fn active_accounts(&self) -> usize {
        self.groups.values().map(|group| group.accounts.len()).sum()
    }

    fn group(&mut self, partition: Partition) -> &mut Group {
        let holder = Holder::Entry(self.instance.clone());
        let (incarnation, lease) = (self.incarnation, self.settings.slice_lease);
        self.groups.entry(partition).or_insert_with(|| Group {
            purse: Purse::new(partition, holder, incarnation, lease),
            accounts: BTreeMap::new(),
            reported: Timestamp::ZERO,
            beaten: Timestamp::ZERO,
            told: Timestamp::ZERO,
            urgent: None,
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
        if self.reserved.contains_key(&request) {
            return Admission::Admitted;
        }
        let settings = self.settings;
        let group = self.group(Partition::of(account));
        let (admission, parts) = group.ask(now, request, account, cost, &settings);
        if admission == Admission::Admitted {
            let account = account.clone();
            self.reserved.insert(request, Reserved { account, parts });
        }
        admission
    }

    fn settle(&mut self, _now: Timestamp, request: RequestId, used: Tokens) {
        let Some(reserved) = self.reserved.remove(&request) else {
            self.leave_line(request);
            return;
        };
        let group = self.group(Partition::of(&reserved.account));
        let mut used = Amount::from(used);
        for (origin, amount) in reserved.parts {
            let spent = used.min(amount);
            used = used.minus(spent);
            group.purse.refund(Refund {
                account: reserved.account.clone(),
                origin,
                amount: amount.minus(spent),
            });
        }
    }
}

impl LeasedRateLimiter {
    fn leave_line(&mut self, request: RequestId) {
        self.groups
            .values_mut()
            .flat_map(|group| group.accounts.values_mut())
            .filter(|account| !account.line.is_empty())
            .for_each(|account| account.line.leave(request));
    }
}

impl Group {
    fn ask(
        &mut self,
        now: Timestamp,
        request: RequestId,
        id: &AccountId,
        cost: Tokens,
        settings: &Settings,
    ) -> (Admission, Vec<(Origin, Amount)>) {
        let account = self.accounts.entry(id.clone()).or_default();
        account.last_use = now;
        let place = account.line.place(now, request);
        let amount = Amount::from(cost);
        let available = self.purse.available(now, id, Duration::ZERO);
        if available >= place.ahead.plus(amount) {
            account.line.leave(request);
            account.recent = account.recent.plus(amount);
            return (Admission::Admitted, self.start(now, id, amount));
        }
        let admission = account.wait_or_refuse(now, request, cost, place.since, settings);
        if matches!(admission, Admission::Wait(_)) {
            self.urgent.get_or_insert(settings.urgent_gap);
        }
        (admission, Vec::new())
    }

    fn start(&mut self, now: Timestamp, id: &AccountId, amount: Amount) -> Vec<(Origin, Amount)> {
        let parts = self.purse.take(now, id, amount, Duration::ZERO);
        parts
            .into_iter()
            .map(|part| {
                self.purse.spend(id, part.number, part.amount);
                (part.origin, part.amount)
            })
            .collect()
    }

    fn report(&mut self, now: Timestamp, settings: &Settings) -> Option<Report> {
        self.purse.expire(now);
        let gap = self.urgent.unwrap_or(settings.heartbeat);
        if now.since(self.reported) < gap {
            return None;
        }
        let beat = now.since(self.beaten) >= settings.heartbeat;
        if beat {
            self.beaten = now;
        }
        self.accounts
            .retain(|id, account| !account.is_idle(now, settings) || self.purse.holds(id));
        let named: BTreeSet<AccountId> = self
            .accounts
            .keys()
            .chain(self.purse.accounts())
            .cloned()
            .collect();
        let lines: Vec<ReportLine> = named
            .into_iter()
            .filter_map(|id| self.line(now, id, settings, beat))
            .collect();
        self.slow_down(settings);
        self.reported = now;
        if lines.is_empty() && !self.purse.has_refunds() {
            self.told = now;
            return None;
        }
        let asks = |line: &ReportLine| line.needed.0 > 0 || line.ahead.0 > 0;
        let presses = lines.iter().any(asks) || self.purse.gives_back();
        if !presses && now.since(self.told) < settings.lazy_gap {
            return None;
        }
        self.told = now;
        Some(self.purse.report(now, lines))
    }

    /// Reports on waiting requests come ever more slowly.
    fn slow_down(&mut self, settings: &Settings) {
        let waits = self
            .accounts
            .values()
            .any(|account| !account.line.is_empty());
        self.urgent = self
            .urgent
            .filter(|_| waits)
            .map(|gap| (gap * 2).min(settings.heartbeat));
    }

    /// What is to be said of an account, if anything is new.
    fn line(
        &mut self,
        now: Timestamp,
        id: AccountId,
        settings: &Settings,
        beat: bool,
    ) -> Option<ReportLine> {
        let account = self.accounts.entry(id.clone()).or_default();
        let idle = account.is_idle(now, settings);
        let reserve = settings.heartbeat * 2;
        self.purse.close(now, &id, reserve, idle);
        let available = self.purse.available(now, &id, reserve);
        let needed = account.line.total(now);
        let head = account.line.head().minus(available);
        let expected = account.expected(beat);
        let needed = needed.minus(available).or_zero().tokens_up();
        let left = available.minus(account.line.total(now)).or_zero();
        let ahead = expected.minus(left).or_zero().tokens();
        let asks = needed.0 > 0 || ahead.0 > 0;
        if !asks && !self.purse.has_news(&id) {
            return None;
        }
        Some(ReportLine {
            slices: self.purse.states(&id),
            account: id,
            head: head.tokens_up(),
            needed,
            ahead,
        })
    }
}

impl Account {
    fn is_idle(&self, now: Timestamp, settings: &Settings) -> bool {
        self.line.is_empty() && now.since(self.last_use) >= settings.idle_after
    }

    /// What is expected to be used next, if the use goes on over heartbeats.
    fn expected(&mut self, beat: bool) -> Amount {
        let steady = self.recent.min(self.before);
        if beat {
            self.before = std::mem::take(&mut self.recent);
        }
        Amount(steady.0.saturating_mul(AHEAD_HEARTBEATS))
    }

    fn wait_or_refuse(
        &mut self,
        now: Timestamp,
        request: RequestId,
        cost: Tokens,
        since: Timestamp,
        settings: &Settings,
    ) -> Admission {
        let fresh = settings.heartbeat * HINT_HEARTBEATS;
        let hint = self.hint.filter(|hint| now.since(hint.at) <= fresh);
        let retry_after = hint.map_or(settings.heartbeat, |hint| hint.retry_after);
        let joins = since == now;
        let hopeless = joins && retry_after > settings.max_wait;
        let too_large = hint.is_some_and(|hint| cost > hint.burst);
        let (counted_from, longest) = match hint {
            Some(hint) => (since.max(hint.first), settings.max_wait),
            None => (since, settings.keeper_patience),
        };
        if hopeless || too_large || now.since(counted_from) >= longest {
            self.line.leave(request);
            return Admission::Rejected(retry_after.max(settings.heartbeat));
        }
        self.line
            .join(now, request, cost.into(), settings.retry_gap);
        Admission::Wait(settings.retry_gap)
    }
}
