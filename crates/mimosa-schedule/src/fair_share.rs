//! Weighted fair shares of endpoint memory and time between accounts.
//!
//! The shares follow start-time fair queueing. Each account has a tag: the cost charged to it,
//! divided by its weight. The account with the lowest tag is served next. The virtual time of a
//! priority is the lowest tag of the accounts that have requests waiting; it never decreases. An
//! account that had nothing waiting continues close to the virtual time, so that idling gains no
//! credit. Shares apply within each priority, so each priority has its own tags and virtual time.
//!
//! [`LocalShares`] divides the share of a gateway while no leader responds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;

mod local;
mod returns;
mod waiting;
mod weights;

pub use self::local::LocalRequest;
pub use self::local::LocalShares;
pub use self::local::OverShare;
pub use self::returns::ToldClients;
pub use self::waiting::Rank;
pub use self::waiting::Waiting;
pub use self::weights::Weights;

/// Time in which the lead of an account over the virtual time decays by half. A request holds its
/// memory for about 3 s, and clients give up after about 4 s, so that the past use of an account
/// matters for two or three of its requests.
const LEAD_HALF_LIFE: Duration = Duration::from_secs(10);
/// Interval at which leads decay and accounts without a lead are removed.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);
/// Lead in token-seconds below which an account without waiting requests is removed. It is less than
/// the cost of any request worth queueing.
const MIN_LEAD: f64 = 1.0;
/// Number of requests by which an account that had nothing waiting starts ahead of the others. An
/// account within its share thereby does not wait behind a backlog.
const HEAD_START_REQUESTS: f64 = 2.0;
/// Number of its requests by which an account has to be behind so that its requests that miss their
/// target are no longer placed after all requests that can meet theirs.
const MAX_LATE_LAG_REQUESTS: f64 = 4.0;
/// Longest time after which clients are told to retry. Most clients have given up by then.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Shares of the accounts of one service.
#[derive(Debug)]
pub struct FairShares {
    weights: Arc<Weights>,
    priorities: BTreeMap<u8, PriorityShares>,
    decayed_at: Timestamp,
    /// Number of calls of [`Self::arrange`], which identifies the accounts that wait.
    round: u64,
}

/// Shares of the accounts with requests of one priority.
#[derive(Debug, Default)]
struct PriorityShares {
    virtual_time: f64,
    /// Sum of the weights of the accounts that wait.
    waiting_weight: f64,
    accounts: BTreeMap<Option<AccountId>, AccountShare>,
}

/// Share of an account. Only accounts that wait, are ahead of the virtual time or have told a client
/// when to return are stored.
#[derive(Debug, Default)]
struct AccountShare {
    /// Charged cost divided by the weight.
    tag: f64,
    /// Tag after all its waiting requests.
    tail: f64,
    /// Round in which it last had waiting requests.
    round: u64,
    /// Number of its waiting requests in that round.
    waiting: u32,
    /// Earliest time to tell the next client that has to return.
    next_turn: Timestamp,
}

/// An account with waiting requests, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSummary {
    /// The account; `None` for requests without one.
    pub account: Option<AccountId>,
    /// Number of its waiting requests.
    pub waiting: u32,
    /// Charged cost beyond that of the account served next, in token-seconds.
    pub lead: f64,
}

impl FairShares {
    /// Creates the shares of a service whose accounts have used nothing.
    pub const fn new(weights: Arc<Weights>) -> Self {
        Self {
            weights,
            priorities: BTreeMap::new(),
            decayed_at: Timestamp::ZERO,
            round: 0,
        }
    }

    /// Replaces the weights. Earlier charges keep the weight at which they were made.
    pub fn set_weights(&mut self, weights: Arc<Weights>) {
        self.weights = weights;
    }

    /// Charges a cost in token-seconds to an account; a negative one corrects an earlier charge.
    pub fn charge(&mut self, priority: u8, account: &Option<AccountId>, cost: f64) {
        let units = cost / self.weights.weight(account.as_ref());
        let shares = self.priorities.entry(priority).or_default();
        let virtual_time = shares.virtual_time;
        if let Some(share) = shares.accounts.get_mut(account) {
            share.tag += units;
            share.tail = share.tail.max(share.tag);
        } else {
            let tag = virtual_time + units;
            let share = AccountShare {
                tag,
                tail: tag,
                ..AccountShare::default()
            };
            shares.accounts.insert(account.clone(), share);
        }
    }

    /// Ranks all waiting requests, and advances the virtual time to the lowest tag of their accounts.
    /// Returns the ranks in the order of the requests.
    pub fn arrange(&mut self, waiting: &[Waiting<'_>]) -> Vec<Rank> {
        self.round += 1;
        let mut order: Vec<usize> = (0..waiting.len()).collect();
        order.sort_by(|a, b| waiting[*a].compare_within_account(&waiting[*b]));
        for shares in self.priorities.values_mut() {
            shares.waiting_weight = 0.0;
        }
        for group in order.chunk_by(|a, b| waiting[*a].has_same_share(&waiting[*b])) {
            self.join(&waiting[group[0]], group.len());
        }
        for shares in self.priorities.values_mut() {
            shares.advance(self.round);
        }
        let mut ranks = vec![Rank::default(); waiting.len()];
        // The start of the request in time that is placed next, by priority.
        let mut first_in_time: BTreeMap<u8, f64> = BTreeMap::new();
        for group in order.chunk_by(|a, b| waiting[*a].has_same_share(&waiting[*b])) {
            let first = &waiting[group[0]];
            let weight = self.weights.weight(first.account.as_ref());
            let Some(shares) = self.priorities.get_mut(&first.priority) else {
                continue;
            };
            let Some(share) = shares.accounts.get_mut(first.account) else {
                continue;
            };
            let mut start = share.tag - shares.virtual_time;
            for index in group {
                let each = &waiting[*index];
                ranks[*index] = each.rank(start);
                if !each.is_late {
                    let lowest = first_in_time.entry(each.priority).or_insert(start);
                    *lowest = lowest.min(start);
                }
                start += each.cost / weight;
            }
            share.tail = start + shares.virtual_time;
        }
        for (each, rank) in waiting.iter().zip(&mut ranks) {
            let max_lag =
                MAX_LATE_LAG_REQUESTS * each.cost / self.weights.weight(each.account.as_ref());
            let first = first_in_time.get(&each.priority);
            if first.is_some_and(|first| first - rank.start > max_lag) {
                rank.is_late = false;
            }
        }
        ranks
    }

    /// Ranks a request that arrived after the last call of [`Self::arrange`], behind the others of
    /// its account or, if it precedes them, before these.
    pub fn rank_newcomer(&mut self, newcomer: &Waiting<'_>) -> Rank {
        let is_known = self
            .share(newcomer.priority, newcomer.account)
            .is_some_and(|share| share.round == self.round);
        if !is_known {
            self.join(newcomer, 1);
        }
        let weight = self.weights.weight(newcomer.account.as_ref());
        let shares = self.priorities.entry(newcomer.priority).or_default();
        let virtual_time = shares.virtual_time;
        let Some(share) = shares.accounts.get_mut(newcomer.account) else {
            return newcomer.rank(0.0);
        };
        let is_first = newcomer.has_kv_cache || newcomer.is_returning;
        let start = if is_first { share.tag } else { share.tail };
        share.tail += newcomer.cost / weight;
        newcomer.rank(start - virtual_time)
    }

    /// Time after which a refused client should return: when the share of its account is expected,
    /// and after the clients of the account that were told to return earlier. `expected` is the time
    /// at which the request would have started, and `interval` the time between two starts of
    /// requests of all accounts.
    pub fn turn(
        &mut self,
        now: Timestamp,
        refused: &Waiting<'_>,
        expected: Timestamp,
        interval: Duration,
    ) -> Duration {
        let weight = self.weights.weight(refused.account.as_ref());
        let shares = self.priorities.entry(refused.priority).or_default();
        let parts = (shares.waiting_weight / weight).max(1.0);
        let share = shares.accounts.entry(refused.account.clone());
        let share = share.or_insert_with(|| AccountShare {
            tag: shares.virtual_time,
            tail: shares.virtual_time,
            ..AccountShare::default()
        });
        let latest = now + MAX_RETRY_AFTER;
        let turn = expected.max(share.next_turn).min(latest);
        let account_interval = interval.as_secs_f64() * parts;
        let account_interval = account_interval.min(MAX_RETRY_AFTER.as_secs_f64());
        share.next_turn = (turn + Duration::from_secs_f64(account_interval)).min(latest);
        turn.since(now)
    }

    /// Lets leads decay and removes accounts that have none; does nothing until the next interval.
    pub fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let keep = 0.5_f64.powf(elapsed.as_secs_f64() / LEAD_HALF_LIFE.as_secs_f64());
        let round = self.round;
        for shares in self.priorities.values_mut() {
            let virtual_time = shares.virtual_time;
            shares.accounts.retain(|account, share| {
                let mut lead = share.tag - virtual_time;
                if lead > 0.0 {
                    lead *= keep;
                    share.tag = virtual_time + lead;
                }
                let weight = self.weights.weight(account.as_ref());
                share.round == round || lead * weight >= MIN_LEAD || share.next_turn > now
            });
        }
        self.priorities
            .retain(|_, shares| !shares.accounts.is_empty());
    }

    /// Number of accounts that are stored.
    pub fn accounts(&self) -> usize {
        let accounts = self.priorities.values().map(|each| each.accounts.len());
        accounts.sum()
    }

    /// Number of accounts that have requests waiting.
    pub fn waiting_accounts(&self) -> usize {
        let accounts = self.priorities.values().flat_map(|each| &each.accounts);
        accounts
            .filter(|(_, share)| share.round == self.round)
            .count()
    }

    /// The accounts with the most waiting requests, at most `limit`.
    pub fn summary(&self, limit: usize) -> Vec<AccountSummary> {
        let mut accounts: Vec<AccountSummary> = Vec::new();
        for shares in self.priorities.values() {
            let waiting = shares.accounts.iter();
            let waiting = waiting.filter(|(_, share)| share.round == self.round);
            accounts.extend(waiting.map(|(account, share)| AccountSummary {
                account: account.clone(),
                waiting: share.waiting,
                lead: (share.tag - shares.virtual_time) * self.weights.weight(account.as_ref()),
            }));
        }
        accounts.sort_by(|a, b| b.waiting.cmp(&a.waiting).then(a.account.cmp(&b.account)));
        accounts.truncate(limit);
        accounts
    }

    fn share(&self, priority: u8, account: &Option<AccountId>) -> Option<&AccountShare> {
        self.priorities.get(&priority)?.accounts.get(account)
    }

    /// Marks the account of a request as waiting. If it had nothing waiting before, it continues at
    /// its lead, or slightly ahead of the others if it has none.
    fn join(&mut self, first: &Waiting<'_>, count: usize) {
        let weight = self.weights.weight(first.account.as_ref());
        let shares = self.priorities.entry(first.priority).or_default();
        let head_start = shares.virtual_time - HEAD_START_REQUESTS * first.cost / weight;
        shares.waiting_weight += weight;
        if !shares.accounts.contains_key(first.account) {
            let share = AccountShare {
                tag: head_start,
                ..AccountShare::default()
            };
            shares.accounts.insert(first.account.clone(), share);
        }
        if let Some(share) = shares.accounts.get_mut(first.account) {
            let was_waiting = share.round != 0 && share.round + 1 >= self.round;
            if !was_waiting {
                share.tag = share.tag.max(head_start);
            }
            share.round = self.round;
            share.waiting = u32::try_from(count).unwrap_or(u32::MAX);
            share.tail = share.tag;
        }
    }
}

impl PriorityShares {
    /// Advances the virtual time to the lowest tag of the accounts that wait in a round.
    fn advance(&mut self, round: u64) {
        let waiting = self.accounts.values().filter(|share| share.round == round);
        let lowest = waiting.map(|share| share.tag).min_by(f64::total_cmp);
        if let Some(lowest) = lowest {
            self.virtual_time = self.virtual_time.max(lowest);
        }
    }
}
