//! Admission at one gateway while no leader counts the quotas.
//!
//! Hundreds of gateways that each admit a request ahead of their share exceed a quota together,
//! because one request costs more than the share of a gateway. Whatever they admit while the leader
//! changes must therefore follow from the demand of the account, not from their number.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;

use crate::quota::InitialLevel;
use crate::quota::OverQuota;
use crate::quota::QuotaLimits;
use crate::quota::Quotas;

/// Time since the last heartbeat of a leader for which its knowledge of the demand is used; covers
/// most changes of the leader. In a longer absence the demand may have changed.
const LEADER_MEMORY: Duration = Duration::from_secs(2);
/// Longest time between two heartbeats of a leader, which may grant quota until the next is due.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Retry delay for clients whose request was not among those admitted; about the rest of a change
/// of the leader.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time for which admitted requests are reported to new leaders; covers the windows over which
/// quotas are usually counted.
const REPORTED_PERIOD: Duration = Duration::from_secs(10);
/// Burst of the even share, as a divisor of one second's rate. A larger burst would add to the quota
/// that the leader granted just before it became unavailable.
const SHARE_BURST_DIVISOR: u64 = 4;
const WHOLE_PERMILLE: u64 = 1_000;

/// What a gateway admitted while no leader responded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AbsenceReport {
    /// Time for which no leader granted quota to this gateway, at least.
    pub absence: Duration,
    /// Cost of the admitted requests of each account.
    pub used: Vec<(AccountId, Tokens)>,
}

/// What a gateway admits while no leader responds.
#[derive(Debug, Default)]
pub struct LeaderlessAdmission {
    /// Even shares of the quotas, used while no leader responds for long.
    shares: Quotas,
    /// Admitted part, in thousandths, of accounts whose demand exceeded their rate when the leader
    /// last responded.
    overloaded: BTreeMap<AccountId, u16>,
    /// When a leader last sent a heartbeat; `None` before the first one.
    leader_heard_at: Option<Timestamp>,
    /// The term of the leader that was last heard of.
    term: u64,
    /// Requests admitted within [`REPORTED_PERIOD`].
    admitted: VecDeque<Admitted>,
    /// Absences of a leader that ended within [`REPORTED_PERIOD`], with their ends.
    absences: VecDeque<(Timestamp, Duration)>,
}

/// A request that was admitted while no leader responded.
#[derive(Debug)]
struct Admitted {
    at: Timestamp,
    account: AccountId,
    cost: Tokens,
    is_reported: bool,
}

impl LeaderlessAdmission {
    /// Decides on a request from a random number. Of an account whose demand exceeded its rate, the
    /// part that the rate covers is admitted. Of others everything is admitted for
    /// [`LEADER_MEMORY`]; later the request is charged to this gateway's even share of the quota,
    /// whose level may become negative, because its burst can be less than the cost of one request.
    ///
    /// # Errors
    ///
    /// If the request is not admitted.
    pub fn charge(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        cost: Tokens,
        random: u64,
    ) -> Result<(), OverQuota> {
        let is_demand_known = self
            .leader_heard_at
            .is_some_and(|at| now.since(at) < LEADER_MEMORY);
        match self.overloaded.get(account) {
            Some(permille) if random % WHOLE_PERMILLE >= u64::from(*permille) => {
                return Err(OverQuota::RetryAfter(REFUSED_RETRY_AFTER));
            }
            Some(_) => {}
            None if is_demand_known => {}
            None => self.shares.charge_allowing_debt(now, account, cost)?,
        }
        self.forget_old(now);
        self.admitted.push_back(Admitted {
            at: now,
            account: account.clone(),
            cost,
            is_reported: false,
        });
        Ok(())
    }

    /// Replaces the accounts whose demand exceeds their rate, with the admitted part in thousandths.
    pub fn set_overloaded(&mut self, accounts: impl IntoIterator<Item = (AccountId, u16)>) {
        self.overloaded = accounts.into_iter().collect();
    }

    /// Records a heartbeat of the leader of a term. Returns what was admitted that this leader does
    /// not know yet, if anything was; a leader that is lost again takes its knowledge with it.
    pub fn on_leader_heard(&mut self, now: Timestamp, term: u64) -> Option<AbsenceReport> {
        self.forget_old(now);
        let heard_at = self.leader_heard_at.replace(now).unwrap_or(now);
        let is_new_leader = term != std::mem::replace(&mut self.term, term);
        let mut absence = now.since(heard_at).saturating_sub(HEARTBEAT_INTERVAL);
        // Without such a request, a late heartbeat is no absence.
        let was_absent = self.admitted.iter().any(|each| !each.is_reported);
        if was_absent && absence > Duration::ZERO {
            self.absences.push_back((now, absence));
        }
        if is_new_leader {
            absence = self.absences.iter().map(|(_, absence)| *absence).sum();
        }
        let mut used: BTreeMap<AccountId, Tokens> = BTreeMap::new();
        for each in &mut self.admitted {
            if is_new_leader || !each.is_reported {
                *used.entry(each.account.clone()).or_default() += each.cost;
                each.is_reported = true;
            }
        }
        let used: Vec<(AccountId, Tokens)> = used.into_iter().collect();
        (!used.is_empty()).then_some(AbsenceReport { absence, used })
    }

    /// Drops what is no longer reported, which bounds the memory while no leader responds.
    fn forget_old(&mut self, now: Timestamp) {
        let since = now.minus(REPORTED_PERIOD);
        while self.admitted.front().is_some_and(|each| each.at < since) {
            self.admitted.pop_front();
        }
        self.absences.retain(|(end, _)| *end >= since);
    }

    /// Divides the quotas evenly by the number of gateways.
    pub fn configure(
        &mut self,
        now: Timestamp,
        accounts: impl IntoIterator<Item = (AccountId, QuotaLimits)>,
        gateways: u32,
    ) {
        let gateways = u64::from(gateways.max(1));
        let shares = accounts.into_iter().map(|(account, limits)| {
            let rate = limits.rate.0 / gateways;
            let share = QuotaLimits {
                rate: TokenRate(rate),
                burst: Tokens(rate / SHARE_BURST_DIVISOR),
            };
            (account, share)
        });
        self.shares.configure(now, shares, InitialLevel::Full);
    }
}
