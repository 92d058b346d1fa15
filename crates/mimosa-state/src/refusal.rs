//! Reasons to refuse an operator's order. Each message says how to proceed.

use mimosa_protocol::AccountId;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::KeyId;
use mimosa_protocol::OrderNumber;
use mimosa_protocol::Revision;
use mimosa_protocol::ServiceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::data;
use thiserror::Error;

use crate::plan::PlanId;

data! {
    /// Why an order was refused. The configuration is unchanged.
    #[derive(Error)]
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// No client account has this name.
        #[error("there is no client account '{0}'; create it with put_account first")]
        UnknownAccount(AccountId),
        /// No API key has this name.
        #[error("there is no key '{0}'; 'status' lists the keys")]
        UnknownKey(KeyId),
        /// No service has this name.
        #[error("there is no service '{0}'; create it with put_service first")]
        UnknownService(ServiceId),
        /// No data centre has this name.
        #[error("there is no data centre '{0}'; create it with put_data_centre first")]
        UnknownDataCentre(DataCentreId),
        /// No endpoint has this name.
        #[error("there is no endpoint '{0}'; create it with put_endpoint first")]
        UnknownEndpoint(EndpointId),
        /// A key of this name exists, in force or withdrawn.
        #[error("the key '{0}' exists; key names are used once, choose another")]
        KeyExists(KeyId),
        /// The key is withdrawn already.
        #[error("the key '{0}' was withdrawn before")]
        KeyWithdrawn(KeyId),
        /// Another key has a secret of the same digest.
        #[error("another key has the same secret; make a new one")]
        SecretUsed,
        /// A field of the intent has an invalid value.
        #[error("{field}: {reason}")]
        BadValue {
            /// The path of the field within the intent.
            field: String,
            /// The requirement that the value does not meet.
            reason: String,
        },
        /// The role does not fit the kind of the service.
        #[error("service '{service}' has no {role} endpoints; choose a role that fits its kind")]
        RoleMismatch {
            /// The service that the endpoint belongs to.
            service: ServiceId,
            /// The requested role, as [`role_name`] spells it.
            role: String,
        },
        /// This other endpoint has the same address.
        #[error("endpoint '{0}' has the same address; each endpoint needs its own")]
        AddressTaken(EndpointId),
        /// The kind of a service that has endpoints cannot change.
        #[error("the kind of service '{0}' cannot change while it has endpoints; remove them first")]
        KindInUse(ServiceId),
        /// No data centre would be left in service.
        #[error("'{0}' is the last data centre in; return another one first")]
        LastDataCentre(DataCentreId),
        /// A service would have no active endpoint left in a role that it has one in now.
        #[error(
            "service '{service}' would have no active {role} endpoint left; \
             add or return one first, or remove the service"
        )]
        ServiceWouldStop {
            /// The service that the plan would stop.
            service: ServiceId,
            /// The role of the pool that would be empty, as [`role_name`] spells it.
            role: String,
        },
        /// The configuration is already as requested.
        #[error("nothing would change: it is so already")]
        NothingChanges,
        /// No plan has this number, or it was evicted.
        #[error("there is no pending plan {0}; plan again")]
        UnknownPlan(PlanId),
        /// The plan was confirmed by an earlier order.
        #[error("plan {0} was confirmed before")]
        AlreadyConfirmed(PlanId),
        /// The configuration changed after the plan was made.
        #[error("the plan was made at revision {planned}, now it is {current}; plan again")]
        RevisionMoved {
            /// The revision that the plan was made at.
            planned: Revision,
            /// The revision in force.
            current: Revision,
        },
        /// The number was used before with other content.
        #[error("order number {0} was used with other content; use a new number")]
        OrderConflict(OrderNumber),
        /// The number is not above the last evicted one, so a resend cannot be recognised.
        #[error("order number {number} is too old; use one above {floor}")]
        OrderTooOld {
            /// The number of the refused order.
            number: OrderNumber,
            /// The highest evicted number.
            floor: OrderNumber,
        },
        /// A rollout of the service is running.
        #[error("a rollout of service '{service}' to version '{to}' is running; cancel it first")]
        RolloutRunning {
            /// The service.
            service: ServiceId,
            /// The version that it moves to.
            to: ServiceVersion,
        },
        /// No rollout of the service is running.
        #[error("no rollout of service '{0}' is running")]
        NoRollout(ServiceId),
    }
}

impl Refusal {
    /// A stable identifier for programs.
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
            Self::RolloutRunning { .. } => "rollout_running",
            Self::NoRollout(_) => "no_rollout",
        }
    }

    /// A [`Refusal::BadValue`] for a field, with the requirement that its value does not meet.
    pub fn bad_value(field: &str, reason: impl Into<String>) -> Self {
        Self::BadValue {
            field: field.to_owned(),
            reason: reason.into(),
        }
    }
}

/// The name of a role, spelled as in JSON.
pub const fn role_name(role: EndpointRole) -> &'static str {
    match role {
        EndpointRole::Prefill => "prefill",
        EndpointRole::Decode => "decode",
        EndpointRole::Plain => "plain",
    }
}
