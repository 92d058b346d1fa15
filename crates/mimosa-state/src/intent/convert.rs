//! Conversions between the specs of intents and the types of the configuration.

use std::time::Duration;

use mimosa_protocol::configuration::Capacity;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::configuration::Service;

use crate::intent::AccountSpec;
use crate::intent::CapacitySpec;
use crate::intent::EndpointSpec;
use crate::intent::ServiceSpec;

impl Default for CapacitySpec {
    fn default() -> Self {
        Self::from(Capacity::default())
    }
}

impl From<Capacity> for CapacitySpec {
    fn from(capacity: Capacity) -> Self {
        Self {
            blocks: capacity.blocks,
            tokens_per_block: capacity.tokens_per_block,
            concurrency: capacity.concurrency,
            prefill_rate: capacity.prefill_rate,
            token_gap_us: capacity.token_gap.as_micros() as u64,
            bytes_per_token: capacity.bytes_per_token,
            prefill_life_ms: capacity.prefill_life.as_millis() as u64,
        }
    }
}

impl From<CapacitySpec> for Capacity {
    fn from(spec: CapacitySpec) -> Self {
        Self {
            blocks: spec.blocks,
            tokens_per_block: spec.tokens_per_block,
            concurrency: spec.concurrency,
            prefill_rate: spec.prefill_rate,
            token_gap: Duration::from_micros(spec.token_gap_us),
            bytes_per_token: spec.bytes_per_token,
            prefill_life: Duration::from_millis(spec.prefill_life_ms),
        }
    }
}

impl From<AccountSpec> for ClientAccount {
    fn from(spec: AccountSpec) -> Self {
        Self {
            id: spec.account,
            rate: spec.rate,
            burst: spec.burst,
            weight: spec.weight,
            services: spec.services,
            serve_when_cut_off: spec.serve_when_cut_off,
        }
    }
}

impl From<ClientAccount> for AccountSpec {
    fn from(account: ClientAccount) -> Self {
        Self {
            account: account.id,
            rate: account.rate,
            burst: account.burst,
            weight: account.weight,
            services: account.services,
            serve_when_cut_off: account.serve_when_cut_off,
        }
    }
}

impl From<ServiceSpec> for Service {
    fn from(spec: ServiceSpec) -> Self {
        Self {
            id: spec.service,
            kind: spec.kind,
            open: spec.open,
            first_token_target: Duration::from_millis(spec.first_token_target_ms),
            token_gap_target: Duration::from_millis(spec.token_gap_target_ms),
            max_queue_time: Duration::from_millis(spec.max_queue_time_ms),
        }
    }
}

impl From<Service> for ServiceSpec {
    fn from(service: Service) -> Self {
        Self {
            service: service.id,
            kind: service.kind,
            open: service.open,
            first_token_target_ms: service.first_token_target.as_millis() as u64,
            token_gap_target_ms: service.token_gap_target.as_millis() as u64,
            max_queue_time_ms: service.max_queue_time.as_millis() as u64,
        }
    }
}

impl From<EndpointSpec> for Endpoint {
    fn from(spec: EndpointSpec) -> Self {
        Self {
            id: spec.endpoint,
            service: spec.service,
            data_centre: spec.data_centre,
            address: spec.address,
            role: spec.role,
            state: EndpointState::Active,
            capacity: spec.capacity.into(),
            checks_fencing: spec.checks_fencing,
        }
    }
}

impl From<Endpoint> for EndpointSpec {
    fn from(endpoint: Endpoint) -> Self {
        Self {
            endpoint: endpoint.id,
            service: endpoint.service,
            data_centre: endpoint.data_centre,
            address: endpoint.address,
            role: endpoint.role,
            capacity: endpoint.capacity.into(),
            checks_fencing: endpoint.checks_fencing,
        }
    }
}
