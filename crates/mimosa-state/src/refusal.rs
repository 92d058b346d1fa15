//! Why an operator's order is refused. Each refusal says what to do about it.

use mimosa_protocol::AccountId;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::KeyId;
use mimosa_protocol::OrderNumber;
use mimosa_protocol::Revision;
use mimosa_protocol::ServiceId;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::data;
use thiserror::Error;

use crate::plan::PlanId;

data! {
    /// A refusal. Nothing changed.
    #[derive(Error)]
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// No such account.
        #[error("there is no client account '{0}'; create it with put_account first")]
        UnknownAccount(AccountId),
        /// No such key.
        #[error("there is no key '{0}'; 'status' lists the keys")]
        UnknownKey(KeyId),
        /// No such service.
        #[error("there is no service '{0}'; create it with put_service first")]
        UnknownService(ServiceId),
        /// No such data centre.
        #[error("there is no data centre '{0}'; create it with put_data_centre first")]
        UnknownDataCentre(DataCentreId),
        /// No such endpoint.
        #[error("there is no endpoint '{0}'; create it with put_endpoint first")]
        UnknownEndpoint(EndpointId),
        /// The key's name was used before.
        #[error("the key '{0}' exists; key names are used once, choose another")]
        KeyExists(KeyId),
        /// The key is withdrawn.
        #[error("the key '{0}' was withdrawn before")]
        KeyWithdrawn(KeyId),
        /// The same secret was used before.
        #[error("another key has the same secret; make a new one")]
        SecretUsed,
        /// A value makes no sense.
        #[error("{field}: {reason}")]
        BadValue {
            /// The field.
            field: String,
            /// What is wrong, and the way out.
            reason: String,
        },
        /// The role does not fit the service.
        #[error("service '{service}' has no {role} endpoints; choose a role that fits its kind")]
        RoleMismatch {
            /// The service.
            service: ServiceId,
            /// The role as a word.
            role: String,
        },
        /// Another endpoint listens there.
        #[error("endpoint '{0}' has the same address; each endpoint needs its own")]
        AddressTaken(EndpointId),
        /// The kind of a service is for good.
        #[error("the kind of service '{0}' cannot change while it has endpoints; remove them first")]
        KindInUse(ServiceId),
        /// No data centre would be left.
        #[error("'{0}' is the last data centre in; return another one first")]
        LastDataCentre(DataCentreId),
        /// A service would have no endpoint left for a role.
        #[error(
            "service '{service}' would have no active {role} endpoint left; \
             add or return one first, or remove the service"
        )]
        ServiceWouldStop {
            /// The service.
            service: ServiceId,
            /// The role as a word.
            role: String,
        },
        /// All is as asked.
        #[error("nothing would change: it is so already")]
        NothingChanges,
        /// No such plan, or too old.
        #[error("there is no pending plan {0}; plan again")]
        UnknownPlan(PlanId),
        /// The plan was confirmed before, under another number.
        #[error("plan {0} was confirmed before")]
        AlreadyConfirmed(PlanId),
        /// The configuration moved since the plan.
        #[error("the plan was made at revision {planned}, now it is {current}; plan again")]
        RevisionMoved {
            /// The revision of the plan.
            planned: Revision,
            /// The revision now.
            current: Revision,
        },
        /// The number came before with other content.
        #[error("order number {0} was used with other content; use a new number")]
        OrderConflict(OrderNumber),
        /// The number is below those that are remembered.
        #[error("order number {number} is too old; use one above {floor}")]
        OrderTooOld {
            /// The number.
            number: OrderNumber,
            /// The highest number that was forgotten.
            floor: OrderNumber,
        },
    }
}

impl Refusal {
    /// The refusal as a stable word.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::UnknownAccount(_) => "unknown_account",
            Self::UnknownKey(_) => "unknown_key",
            Self::UnknownService(_) => "unknown_service",
            Self::UnknownDataCentre(_) => "unknown_data_centre",
            Self::UnknownEndpoint(_) => "unknown_endpoint",
            Self::KeyExists(_) => "key_exists",
            Self::KeyWithdrawn(_) => "key_withdrawn",
            Self::SecretUsed => "secret_used",
            Self::BadValue { .. } => "bad_value",
            Self::RoleMismatch { .. } => "role_mismatch",
            Self::AddressTaken(_) => "address_taken",
            Self::KindInUse(_) => "kind_in_use",
            Self::LastDataCentre(_) => "last_data_centre",
            Self::ServiceWouldStop { .. } => "service_would_stop",
            Self::NothingChanges => "nothing_changes",
            Self::UnknownPlan(_) => "unknown_plan",
            Self::AlreadyConfirmed(_) => "already_confirmed",
            Self::RevisionMoved { .. } => "revision_moved",
            Self::OrderConflict(_) => "order_conflict",
            Self::OrderTooOld { .. } => "order_too_old",
        }
    }

    /// A value that makes no sense.
    pub fn bad_value(field: &str, reason: impl Into<String>) -> Self {
        Self::BadValue {
            field: field.to_owned(),
            reason: reason.into(),
        }
    }
}

/// A role as a word.
pub const fn role_word(role: EndpointRole) -> &'static str {
    match role {
        EndpointRole::Prefill => "prefill",
        EndpointRole::Decode => "decode",
        EndpointRole::Plain => "plain",
    }
}
