//! Who calls, and what the caller may use.

use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::hash::Sha256Digest;

use crate::shared::Shared;

/// Who calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Caller {
    /// No key was shown.
    Anonymous,
    /// A key was shown; it is checked again whenever time has passed.
    Key(Sha256Digest),
}

/// Checks that the caller may use the service now. Returns the account that it runs for; nothing
/// for an open service.
///
/// # Errors
///
/// A refusal if it may not, or if this instance cannot tell.
pub(crate) fn authorise(
    shared: &Shared,
    caller: &Caller,
    service: &Service,
) -> Result<Option<ClientAccount>, Refusal> {
    let Some(account) = identify(shared, caller)? else {
        return match service.open {
            true => Ok(None),
            false => Err(Refusal::not_run(RefusalReason::Unauthenticated)),
        };
    };
    if !account.services.is_empty() && !account.services.contains(&service.id) {
        return Err(Refusal::not_run(RefusalReason::Forbidden));
    }
    Ok(Some(account))
}

/// Finds the account of a caller's key, if the key is in force and the table is fresh enough.
///
/// # Errors
///
/// A refusal if the key is not in force, or if this instance cannot tell.
pub(crate) fn identify(shared: &Shared, caller: &Caller) -> Result<Option<ClientAccount>, Refusal> {
    let Caller::Key(digest) = caller else {
        return Ok(None);
    };
    let table = shared.table.load();
    let account = table.account_of(digest).cloned();
    let Some(account) = account else {
        return Err(Refusal::not_run(RefusalReason::Unauthenticated));
    };
    if !shared.honours_keys_of(&account) {
        return Err(Refusal::not_run(RefusalReason::Stale).retry_after(Shared::STALE_RETRY));
    }
    Ok(Some(account))
}
