//! Request queue: weighted fair sharing of tokens between accounts, earliest deadline first within
//! an account.
//!
//! The queue implements start-time fair queueing. Each account has a tag, which is the number of
//! tokens charged to it divided by its weight; the account with the lowest tag is served next. An
//! account that pauses keeps its lag behind the others up to a limit. An account that is idle for
//! longer is removed and later restarts at the lowest tag in use, so that idling gains no credit.
//! Charges are corrected when a request ends.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use crate::Submission;
use crate::settings::QueueSettings;

/// Tag units of one token at weight 1.
const TAG_UNITS_PER_TOKEN: u64 = 1_024;

/// Number of accounts to examine for a wait estimate; beyond it the count is extrapolated.
const MAX_COUNTED_ACCOUNTS: usize = 16;

#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub submission: Submission,
    /// Deadline after which the request is shed.
    pub latest_start: Timestamp,
    /// Tokens charged to the account when the request starts.
    pub cost: Tokens,
}

/// The queued requests of all accounts.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    accounts: Vec<Account>,
    /// Indexes of removed accounts, which are reused.
    unused: Vec<usize>,
    by_id: BTreeMap<AccountId, usize>,
    requests: BTreeMap<RequestId, QueueItem>,
    /// Accounts with queued requests, by tag.
    due: BTreeSet<(u64, usize)>,
    /// Accounts without queued requests, by the end of their idle time.
    idle: BTreeSet<(Timestamp, usize)>,
    /// Accounts with queued requests, by queued tokens divided by weight.
    most_queued: BTreeSet<(u64, usize)>,
    /// Queued requests by deadline.
    expiry: BTreeSet<(Timestamp, RequestId)>,
    /// Tag of the account that was served last.
    last_tag: u64,
    now: Timestamp,
    max_lag: u64,
    max_idle_time: Duration,
}

#[derive(Debug)]
struct Account {
    id: AccountId,
    weight: u32,
    /// Charged tokens divided by the weight, in tag units.
    tag: u64,
    queued_tokens: u64,
    /// End of the idle time, after which an account without queued requests is removed.
    idle_until: Timestamp,
    /// Queued requests by deadline. Only ids are stored, as most accounts have few requests.
    queued: BTreeSet<(Timestamp, RequestId)>,
}

/// A queued request and the index of its account.
#[derive(Debug)]
struct QueueItem {
    account_index: usize,
    queued: QueuedRequest,
}

impl Account {
    /// Tag units of a number of tokens, at the weight of the account.
    fn units(&self, tokens: Tokens) -> u64 {
        tokens.0.saturating_mul(TAG_UNITS_PER_TOKEN) / u64::from(self.weight.max(1))
    }

    fn queued_units(&self) -> u64 {
        self.units(Tokens(self.queued_tokens))
    }

    /// Number of queued requests that are served before an account with the given tag.
    fn served_before(&self, tag: u64) -> usize {
        let count = self.queued.len();
        let each = (self.queued_units() / (count.max(1) as u64)).max(1);
        let served = tag.saturating_sub(self.tag) / each + 1;
        usize::try_from(served).unwrap_or(usize::MAX).min(count)
    }
}

impl FairQueue {
    pub fn new(settings: &QueueSettings) -> Self {
        Self {
            max_lag: settings.max_lag.0.saturating_mul(TAG_UNITS_PER_TOKEN),
            max_idle_time: settings.max_idle_time,
            ..Self::default()
        }
    }

    /// Sets the current time and removes accounts whose idle time is over.
    pub fn advance(&mut self, now: Timestamp) {
        self.now = now;
        self.remove_idle();
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn contains(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Adds a request. Its account starts at most the maximum lag behind the others.
    pub fn push(&mut self, queued: QueuedRequest) {
        let submission = &queued.submission;
        let request = submission.request;
        let weight = submission.weight;
        let index = self.index_or_insert(&submission.account);
        let min_tag = self.lowest_tag().saturating_sub(self.max_lag);
        let latest = queued.latest_start;
        let cost = queued.cost;
        self.requests.insert(
            request,
            QueueItem {
                account_index: index,
                queued,
            },
        );
        self.expiry.insert((latest, request));
        self.update(index, |account| {
            account.weight = weight;
            account.tag = account.tag.max(min_tag);
            account.queued_tokens += cost.0;
            account.queued.insert((latest, request));
        });
    }

    /// Removes a request without charging its account.
    pub fn remove(&mut self, request: RequestId) -> Option<QueuedRequest> {
        let QueueItem {
            account_index: index,
            queued,
        } = self.requests.remove(&request)?;
        let latest = queued.latest_start;
        self.expiry.remove(&(latest, request));
        self.update(index, |account| {
            account.queued.remove(&(latest, request));
            account.queued_tokens -= queued.cost.0;
        });
        Some(queued)
    }

    /// Removes a request that is started, and charges its account.
    pub fn take(&mut self, request: RequestId) -> Option<QueuedRequest> {
        let item = self.requests.get(&request)?;
        let account = &self.accounts[item.account_index];
        self.last_tag = account.tag;
        let queued = self.remove(request)?;
        self.charge(&queued.submission.account, queued.cost, Tokens::ZERO);
        Some(queued)
    }

    /// Adds to and subtracts from the tokens charged to an account.
    pub fn charge(&mut self, account: &AccountId, more: Tokens, less: Tokens) {
        let index = self.index_or_insert(account);
        self.update(index, |account| {
            let added = account.tag.saturating_add(account.units(more));
            account.tag = added.saturating_sub(account.units(less));
        });
    }

    /// The most urgent request of each account, in the order in which accounts are due.
    pub fn heads(&self) -> impl Iterator<Item = &QueuedRequest> {
        let first = |index: usize| self.accounts[index].queued.first();
        self.due
            .iter()
            .filter_map(move |(_, index)| first(*index))
            .filter_map(|(_, request)| self.requests.get(request))
            .map(|item| &item.queued)
    }

    /// Removes a request whose deadline has passed.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<QueuedRequest> {
        let (latest, request) = *self.expiry.first()?;
        if latest >= now {
            return None;
        }
        self.remove(request)
    }

    /// Removes the least urgent request of the account with the most queued tokens for its weight.
    pub fn pop_most_queued(&mut self) -> Option<QueuedRequest> {
        let (_, index) = *self.most_queued.last()?;
        let (_, request) = *self.accounts[index].queued.last()?;
        self.remove(request)
    }

    /// Removes all requests without charging their accounts.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        let requests: Vec<RequestId> = self.requests.keys().copied().collect();
        requests
            .into_iter()
            .filter_map(|request| self.remove(request))
            .collect()
    }

    /// Estimated number of requests that are served before a new request of this account.
    pub fn count_ahead_of(&self, account: &AccountId) -> usize {
        let lowest = self.lowest_tag();
        let index = self.by_id.get(account).copied();
        let known = index.map(|index| &self.accounts[index]);
        let same_account = known.map_or(0, |account| account.queued.len());
        let min_tag = lowest.saturating_sub(self.max_lag);
        let own_tag = known.map_or(lowest, |each| each.tag.max(min_tag) + each.queued_units());
        let others = self.due.iter().filter(|(_, other)| Some(*other) != index);
        let earlier = others.take_while(|(tag, _)| *tag <= own_tag);
        let (accounts, requests) = earlier
            .take(MAX_COUNTED_ACCOUNTS)
            .map(|(_, other)| self.accounts[*other].served_before(own_tag))
            .fold((0, 0), |(accounts, sum), more| (accounts + 1, sum + more));
        let other_accounts = if accounts == MAX_COUNTED_ACCOUNTS {
            requests * self.due.len() / MAX_COUNTED_ACCOUNTS
        } else {
            requests
        };
        (same_account + other_accounts).min(self.len())
    }

    pub fn queued_tokens(&self, account: &AccountId) -> Tokens {
        self.by_id.get(account).map_or(Tokens::ZERO, |index| {
            Tokens(self.accounts[*index].queued_tokens)
        })
    }

    /// Number of accounts with queued requests.
    pub fn queued_accounts(&self) -> usize {
        self.due.len()
    }

    /// Time at which the next request expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.expiry
            .first()
            .map(|(latest, _)| Timestamp(latest.0.saturating_add(1)))
    }

    fn lowest_tag(&self) -> u64 {
        self.due.first().map_or(self.last_tag, |(tag, _)| *tag)
    }

    fn index_or_insert(&mut self, id: &AccountId) -> usize {
        if let Some(index) = self.by_id.get(id) {
            return *index;
        }
        let account = Account {
            id: id.clone(),
            weight: 1,
            tag: self.lowest_tag(),
            queued_tokens: 0,
            idle_until: Timestamp::ZERO,
            queued: BTreeSet::new(),
        };
        let index = self.unused.pop().unwrap_or(self.accounts.len());
        if index == self.accounts.len() {
            self.accounts.push(account);
        } else {
            self.accounts[index] = account;
        }
        self.by_id.insert(id.clone(), index);
        index
    }

    /// Changes an account and updates the indexes by tag, idle time and queued tokens.
    fn update<T>(&mut self, index: usize, change: impl FnOnce(&mut Account) -> T) -> T {
        let account = &mut self.accounts[index];
        self.due.remove(&(account.tag, index));
        self.idle.remove(&(account.idle_until, index));
        self.most_queued.remove(&(account.queued_units(), index));
        let result = change(account);
        if account.queued.is_empty() {
            account.idle_until = self.now + self.max_idle_time;
            self.idle.insert((account.idle_until, index));
        } else {
            self.due.insert((account.tag, index));
            self.most_queued.insert((account.queued_units(), index));
        }
        result
    }

    /// Removes accounts whose idle time is over. An account ahead of the others is kept until they
    /// have caught up; otherwise idling would erase its charges.
    fn remove_idle(&mut self) {
        while let Some((at, index)) = self.idle.first().copied() {
            if at > self.now {
                return;
            }
            self.idle.remove(&(at, index));
            let lowest = self.lowest_tag();
            let account = &mut self.accounts[index];
            if account.tag > lowest && !self.due.is_empty() {
                account.idle_until = self.now + self.max_idle_time;
                self.idle.insert((account.idle_until, index));
                continue;
            }
            self.by_id.remove(&account.id);
            self.unused.push(index);
        }
    }
}
