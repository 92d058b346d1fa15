//! Authentication of callers and authorisation for services.

use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::hash::Sha256Digest;

use crate::shared::Shared;

/// The identity that a caller presented.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Caller {
    /// The request carried no key.
    Anonymous,
    /// Digest of the presented key. It is looked up again after each wait, because the key can be
    /// withdrawn in the meantime.
    Key(Sha256Digest),
}

/// Checks that the caller may use the service now. Returns the account that is charged; `None` for
/// an anonymous caller of an open service.
///
/// # Errors
///
/// As for [`identify`], and [`RefusalReason::Unauthenticated`] for an anonymous caller of a service
/// that is not open, [`RefusalReason::Forbidden`] if the account may not use the service.
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

/// Returns the account of the caller's key; `None` for an anonymous caller.
///
/// # Errors
///
/// [`RefusalReason::Unauthenticated`] if the key is unknown or withdrawn; [`RefusalReason::Stale`]
/// if the configuration was not confirmed for so long that the key may have been withdrawn since.
pub(crate) fn identify(shared: &Shared, caller: &Caller) -> Result<Option<ClientAccount>, Refusal> {
    let Caller::Key(digest) = caller else {
        return Ok(None);
    };
    let current = shared.configuration.load();
    let account = current.account_of(digest).cloned();
    let Some(account) = account else {
        return Err(Refusal::not_run(RefusalReason::Unauthenticated));
    };
    if !shared.honours_keys_of(&account) {
        return Err(Refusal::not_run(RefusalReason::Stale).retry_after(Shared::RETRY_DELAY));
    }
    Ok(Some(account))
}
