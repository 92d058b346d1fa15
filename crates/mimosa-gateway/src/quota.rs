//! Admits requests inside their account's quota.

use std::time::Duration;

use log::info;
use mimosa_limit::quota::OverQuota;
use mimosa_protocol::AccountId;
use mimosa_protocol::Tokens;
use tokio::time::timeout;

use crate::answer::Failure;
use crate::head::Identified;
use crate::purse::Drawn;
use crate::shared::Shared;

/// Time in which the leader lends: some round trips inside a region.
const LEND_PATIENCE: Duration = Duration::from_millis(100);
/// When callers come back whose account has nothing left, where the time is not known.
const RETRY: Duration = Duration::from_millis(500);

/// Pays for a request from what the leader lent.
pub(crate) async fn admit(shared: &Shared, request: &Identified) -> Result<(), Failure> {
    let Some((account, cost)) = cost(request) else {
        return Ok(());
    };
    for _ in 0..2 {
        let lent = shared.purse.lent.notified();
        let now = shared.now();
        let (drawn, borrow) = shared.purse.draw(now, account, cost);
        let asked = borrow.is_none_or(|wanted| shared.dispatch.borrow(now, account, wanted));
        if !asked {
            shared.purse.unanswered(account);
        }
        match drawn {
            Drawn::Paid => {
                shared.metrics.counted("lent");
                return Ok(());
            }
            Drawn::Refused => return Err(Failure::OverQuota(RETRY)),
            Drawn::Empty if !asked => return alone(shared, request),
            Drawn::Empty => {
                let answered = timeout(LEND_PATIENCE, lent).await.is_ok();
                if !answered {
                    shared.purse.unanswered(account);
                }
                if !answered || shared.purse.take_not_lending(account) {
                    return alone(shared, request);
                }
            }
        }
    }
    Err(Failure::OverQuota(RETRY))
}

/// Counts a request against this gateway's even share, while no leader answers.
pub(crate) fn alone(shared: &Shared, request: &Identified) -> Result<(), Failure> {
    let Some((account, cost)) = cost(request) else {
        return Ok(());
    };
    shared.metrics.counted("alone");
    info!(
        "request={} step=quota outcome=alone account={account}",
        request.facts.attempt
    );
    match shared.purse.draw_alone(shared.now(), account, cost) {
        Ok(()) => Ok(()),
        Err(OverQuota::RetryAfter(wait)) => Err(Failure::OverQuota(wait)),
        // The share of one gateway may be smaller than a request that the whole quota bears.
        Err(OverQuota::Never) => Err(Failure::OverQuota(RETRY)),
    }
}

/// The account and the cost of a request, if the account has a quota.
fn cost(request: &Identified) -> Option<(&AccountId, Tokens)> {
    let account = request.account.as_ref()?;
    let quota = request.table.account(account)?.quota?;
    let told = request.facts.prompt.zip(request.facts.max_output);
    let cost = told.map_or(quota.default_cost, |(prompt, output)| prompt + output);
    Some((account, cost))
}
