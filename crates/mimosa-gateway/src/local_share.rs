//! Shares of the accounts at this gateway while no leader responds.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use mimosa_protocol::AccountId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_route::DocumentVersion;
use mimosa_route::RouteTable;
use mimosa_schedule::fair_share::LocalRequest;
use mimosa_schedule::fair_share::LocalShares;
use mimosa_schedule::fair_share::OverShare;
use mimosa_schedule::fair_share::Weights;

/// Decode memory held by the requests that this gateway placed without the leader.
#[derive(Default)]
pub(crate) struct LocalMemory(Mutex<Inner>);

#[derive(Default)]
struct Inner {
    services: HashMap<ServiceId, LocalShares>,
    weights: Weights,
    /// Document version of the weights.
    version: Option<DocumentVersion>,
}

/// Memory reserved for a request; released when dropped.
pub(crate) struct LocalReservation {
    memory: Arc<LocalMemory>,
    service: ServiceId,
    account: Option<AccountId>,
    tokens: Tokens,
}

impl LocalMemory {
    /// Reserves memory for a request, if its account does not exceed its share. A request that has
    /// waited at a leader is not refused.
    pub(crate) fn reserve(
        self: &Arc<Self>,
        now: Timestamp,
        table: &RouteTable,
        service: &ServiceId,
        request: &LocalRequest<'_>,
        has_waited: bool,
    ) -> Result<LocalReservation, OverShare> {
        let mut inner = self.lock();
        inner.configure(table);
        let Inner {
            services, weights, ..
        } = &mut *inner;
        let shares = services.entry(service.clone()).or_default();
        if has_waited {
            shares.reserve(request.account, request.memory);
        } else {
            shares.admit(now, weights, request)?;
        }
        Ok(LocalReservation {
            memory: Arc::clone(self),
            service: service.clone(),
            account: request.account.clone(),
            tokens: request.memory,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Takes the weights from the routing document if it changed. Services that it no longer has are
    /// kept while requests of them run.
    fn configure(&mut self, table: &RouteTable) {
        let configuration = table.configuration();
        if self.version == Some(configuration.version) {
            return;
        }
        self.version = Some(configuration.version);
        let accounts = configuration.accounts.iter();
        self.weights = Weights::new(accounts.filter_map(|account| {
            let rate = TokenRate(account.quota?.rate.0);
            Some((account.id.clone(), rate))
        }));
        self.services
            .retain(|service, shares| table.service(service).is_some() || !shares.is_idle());
    }
}

impl Drop for LocalReservation {
    fn drop(&mut self) {
        let mut inner = self.memory.lock();
        if let Some(shares) = inner.services.get_mut(&self.service) {
            shares.release(&self.account, self.tokens);
        }
    }
}
