//! Sample configurations of a given size, with names of typical length.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::ByteRate;
use mimosa_protocol::Configuration;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::KeyId;
use mimosa_protocol::Revision;
use mimosa_protocol::ServiceId;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::Capacity;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_protocol::configuration::DataCentre;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::configuration::Key;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::configuration::ServiceKind;
use mimosa_protocol::hash::Sha256Digest;

/// Number of services in a sample configuration; all are models.
pub const SERVICES: usize = 20;

/// Id of the account at an index, such as `account-00042`.
pub fn account_id(index: usize) -> AccountId {
    format!("account-{index:05}").parse().expect("a valid name")
}

/// Id of the data centre at an index, in one of six regions, such as `region-5-11`.
pub fn data_centre_id(index: usize) -> DataCentreId {
    format!("region-{}-{index:02}", index % 6)
        .parse()
        .expect("a valid name")
}

/// Id of the entry at an index, such as `entry-042`.
pub fn instance_id(index: usize) -> InstanceId {
    format!("entry-{index:03}").parse().expect("a valid name")
}

/// Id of the service at an index, such as `model-07`.
pub fn service_id(index: usize) -> ServiceId {
    format!("model-{index:02}").parse().expect("a valid name")
}

/// The account at an index: 4,000 tokens/s with a burst of 40,000 tokens, for all services.
pub fn account(index: usize) -> ClientAccount {
    ClientAccount {
        id: account_id(index),
        rate: TokenRate(4_000),
        burst: Tokens(40_000),
        weight: 1,
        services: Vec::new(),
        serve_when_cut_off: false,
    }
}

/// The only key of the account at an index, not withdrawn.
pub fn key(index: usize) -> Key {
    let id: KeyId = format!("key-{index:05}").parse().expect("a valid name");
    Key {
        digest: Sha256Digest::of(id.as_str().as_bytes()),
        id,
        account: account_id(index),
        withdrawn: None,
    }
}

/// The model service at an index, with targets of 1.3 s to the first token and of 44 ms between
/// tokens.
pub fn service(index: usize) -> Service {
    Service {
        id: service_id(index),
        kind: ServiceKind::Model,
        open: false,
        first_token_target: Duration::from_millis(1_300),
        token_gap_target: Duration::from_millis(44),
        max_queue_time: Duration::from_secs(5),
    }
}

/// The data centre at an index: in service, with a link rate of 1 TB/s.
pub fn data_centre(index: usize) -> DataCentre {
    DataCentre {
        id: data_centre_id(index),
        state: DataCentreState::In,
        link_rate: ByteRate(1_000_000_000_000),
    }
}

/// The endpoint at an index below 65,536, which its address encodes. One in three is a prefill
/// endpoint, the others decode.
pub fn endpoint(index: usize, service: &ServiceId, data_centre: &DataCentreId) -> Endpoint {
    let id: EndpointId = format!("worker-{index:05}").parse().expect("a valid name");
    let [high, low] = (index as u16).to_be_bytes();
    Endpoint {
        id,
        service: service.clone(),
        data_centre: data_centre.clone(),
        address: ([10, 0, high, low], 8_000).into(),
        role: if index.is_multiple_of(3) {
            EndpointRole::Prefill
        } else {
            EndpointRole::Decode
        },
        state: EndpointState::Active,
        capacity: Capacity::default(),
        checks_fencing: true,
    }
}

/// A configuration with [`SERVICES`] services and one key per account.
pub fn configuration(accounts: usize, data_centres: usize, endpoints: usize) -> Configuration {
    let mut configuration = Configuration {
        revision: Revision(1),
        ..Configuration::default()
    };
    for index in 0..accounts {
        let (account, key) = (account(index), key(index));
        configuration.accounts.insert(account.id.clone(), account);
        configuration.keys.insert(key.id.clone(), key);
    }
    let services = (0..SERVICES).map(service);
    configuration.services = services.map(|each| (each.id.clone(), each)).collect();
    let centres = (0..data_centres).map(data_centre);
    configuration.data_centres = centres.map(|each| (each.id.clone(), each)).collect();
    let endpoints = (0..endpoints).map(|index| {
        let service = service_id(index % SERVICES);
        endpoint(
            index,
            &service,
            &data_centre_id(index % data_centres.max(1)),
        )
    });
    configuration.endpoints = endpoints.map(|each| (each.id.clone(), each)).collect();
    configuration
}
