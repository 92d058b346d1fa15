//! Admission of requests within the quota of their account.

use std::time::Duration;

use log::info;
use mimosa_limit::quota::OverQuota;
use mimosa_protocol::AccountId;
use mimosa_protocol::Tokens;
use tokio::time::timeout;

use crate::head::IdentifiedRequest;
use crate::local_quota::ChargeResult;
use crate::response::Failure;
use crate::shared::Shared;

/// Time to wait for borrowed quota; covers several round trips within a region.
const BORROW_TIMEOUT: Duration = Duration::from_millis(100);
/// Attempts to charge a request. The first grant may have been requested before the other requests of
/// a burst arrived; the second one covers them all.
const MAX_CHARGES: u32 = 3;
/// Retry delay for clients over their quota, if the time until it is refilled is not known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Charges a request to the quota borrowed from the leader; admits it by itself if the leader does
/// not respond. Accounts without a quota are admitted.
pub(crate) async fn admit(shared: &Shared, request: &IdentifiedRequest) -> Result<(), Failure> {
    let Some((account, cost)) = cost(request) else {
        return Ok(());
    };
    for _ in 0..MAX_CHARGES {
        let response = shared.local_quota.response.notified();
        let now = shared.now();
        let (result, borrow) = shared.local_quota.charge(now, account, cost);
        let is_reachable =
            borrow.is_none_or(|requested| shared.placement.borrow_quota(now, account, requested));
        if !is_reachable {
            shared.local_quota.on_no_response(account);
        }
        match result {
            ChargeResult::Charged => {
                shared.metrics.record_quota_charge("lent");
                return Ok(());
            }
            ChargeResult::Exhausted => return Err(Failure::OverQuota(RETRY_AFTER)),
            ChargeResult::Insufficient if !is_reachable => {
                return admit_without_leader(shared, request);
            }
            ChargeResult::Insufficient => {
                let has_response = timeout(BORROW_TIMEOUT, response).await.is_ok();
                if !has_response {
                    shared.local_quota.on_no_response(account);
                }
                if !has_response || shared.local_quota.take_not_leader(account) {
                    return admit_without_leader(shared, request);
                }
            }
        }
    }
    Err(Failure::OverQuota(RETRY_AFTER))
}

/// Decides on a request by what this gateway knows itself while no leader responds.
pub(crate) fn admit_without_leader(
    shared: &Shared,
    request: &IdentifiedRequest,
) -> Result<(), Failure> {
    let Some((account, cost)) = cost(request) else {
        return Ok(());
    };
    shared.metrics.record_quota_charge("alone");
    info!(
        "request={} step=quota outcome=alone account={account}",
        request.metadata.attempt_id
    );
    let random = shared.random();
    match shared
        .local_quota
        .charge_without_leader(shared.now(), account, cost, random)
    {
        Ok(()) => Ok(()),
        Err(OverQuota::RetryAfter(wait)) => Err(Failure::OverQuota(wait)),
        // A request may exceed the share of one gateway although the whole quota covers it.
        Err(OverQuota::Never) => Err(Failure::OverQuota(RETRY_AFTER)),
    }
}

/// The account and the cost in tokens of a request, if the account has a quota.
fn cost(request: &IdentifiedRequest) -> Option<(&AccountId, Tokens)> {
    let account = request.account.as_ref()?;
    let quota = request.table.account(account)?.quota?;
    let stated = request
        .metadata
        .prompt_tokens
        .zip(request.metadata.max_output_tokens);
    let cost = stated.map_or(quota.default_cost, |(prompt, output)| prompt + output);
    Some((account, cost))
}
