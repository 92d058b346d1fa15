//! Shares of the accounts at one gateway while no leader responds.
//!
//! Each gateway uses an equal part of a service's decode memory. While the part is in use, an account
//! gets no more than its weighted share among the accounts that sent requests recently. One request
//! of each account is always admitted, because the part of a gateway may be smaller than a request.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use super::weights::Weights;

/// Time after its last request for which an account keeps its share. Longer than the time between
/// two requests of most accounts at one gateway, and shorter than clients wait.
const ACTIVE_TIME: Duration = Duration::from_secs(1);

/// A request to be admitted without the leader.
#[derive(Clone, Debug)]
pub struct LocalRequest<'a> {
    /// Account that is charged.
    pub account: &'a Option<AccountId>,
    /// Memory that it needs at its end.
    pub memory: Tokens,
    /// This gateway's part of the decode memory.
    pub part: Tokens,
}

/// The account has used up its share at this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverShare;

/// Memory held by the requests that a gateway placed without the leader, by account.
#[derive(Debug, Default)]
pub struct LocalShares {
    accounts: BTreeMap<Option<AccountId>, LocalAccount>,
    held: u64,
}

#[derive(Debug, Default)]
struct LocalAccount {
    held: u64,
    requests: u32,
    last_request: Timestamp,
}

impl LocalShares {
    /// Admits a request and reserves its memory until [`Self::release`].
    pub fn admit(
        &mut self,
        now: Timestamp,
        weights: &Weights,
        request: &LocalRequest<'_>,
    ) -> Result<(), OverShare> {
        self.accounts
            .retain(|_, each| each.requests > 0 || now.since(each.last_request) < ACTIVE_TIME);
        let account = self.accounts.entry(request.account.clone()).or_default();
        account.last_request = now;
        let own = account.held + request.memory.0;
        let is_first = account.requests == 0;
        let fits = self.held + request.memory.0 <= request.part.0;
        if !fits && !is_first {
            let active = self.accounts.keys();
            let all: f64 = active.map(|each| weights.weight(each.as_ref())).sum();
            let share = weights.weight(request.account.as_ref()) / all;
            if own as f64 > request.part.0 as f64 * share {
                return Err(OverShare);
            }
        }
        self.reserve(request.account, request.memory);
        Ok(())
    }

    /// Reserves the memory of a request that is placed in any case.
    pub fn reserve(&mut self, account: &Option<AccountId>, memory: Tokens) {
        let share = self.accounts.entry(account.clone()).or_default();
        share.held += memory.0;
        share.requests += 1;
        self.held += memory.0;
    }

    /// Releases the memory of a request that ended.
    pub fn release(&mut self, account: &Option<AccountId>, memory: Tokens) {
        if let Some(share) = self.accounts.get_mut(account) {
            share.held = share.held.saturating_sub(memory.0);
            share.requests = share.requests.saturating_sub(1);
            self.held = self.held.saturating_sub(memory.0);
        }
    }

    /// Whether no request holds memory.
    pub fn is_idle(&self) -> bool {
        self.accounts.values().all(|each| each.requests == 0)
    }
}
