//! Weights of the accounts.

use std::collections::BTreeMap;

use mimosa_protocol::AccountId;
use mimosa_protocol::TokenRate;

/// Weights of the accounts: their quota rates.
#[derive(Clone, Debug)]
pub struct Weights {
    by_account: BTreeMap<AccountId, f64>,
    /// Weight of accounts without a quota.
    default: f64,
}

impl Weights {
    /// Weights for the quota rates of accounts. All others get the mean rate, and 1 if there is none.
    pub fn new(rates: impl IntoIterator<Item = (AccountId, TokenRate)>) -> Self {
        let rates = rates.into_iter();
        let by_account: BTreeMap<AccountId, f64> = rates
            .map(|(account, rate)| (account, rate.0.max(1) as f64))
            .collect();
        let sum: f64 = by_account.values().sum();
        let default = if by_account.is_empty() {
            1.0
        } else {
            sum / by_account.len() as f64
        };
        Self {
            by_account,
            default,
        }
    }

    /// Weight of an account, or of requests without one; always positive.
    pub fn weight(&self, account: Option<&AccountId>) -> f64 {
        let weight = account.and_then(|account| self.by_account.get(account));
        weight.copied().unwrap_or(self.default)
    }
}

impl Default for Weights {
    fn default() -> Self {
        Self::new([])
    }
}
