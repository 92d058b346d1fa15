//! What a new leader takes over of the counting of quotas.

use std::sync::Arc;

use googletest::prelude::*;
use mimosa_consensus::LogIndex;
use mimosa_control::connection_order::ConnectionOrder;
use mimosa_control::replicator::BoxFuture;
use mimosa_control::replicator::NotCurrent;
use mimosa_control::replicator::ProposeError;
use mimosa_control::replicator::ReplicaStatus;
use mimosa_control::replicator::Replicator;
use mimosa_control::routing::dispatch::Components;
use mimosa_control::routing::dispatch::Dispatcher;
use mimosa_control::routing::dispatch::SchedulingPolicy;
use mimosa_control::routing::metrics::Metrics;
use mimosa_control::routing::rollouts::RolloutDriver;
use mimosa_control::shared::SharedState;
use mimosa_limit::quota::Tolerance;
use mimosa_protocol::AccountId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_route::AccountQuota;
use mimosa_route::DocumentFormat;
use mimosa_route::DocumentVersion;
use mimosa_route::InvalidConfiguration;
use mimosa_route::RoutedAccount;
use mimosa_route::RoutingConfiguration;
use mimosa_route::message::ControlMessage;
use mimosa_route::message::GatewayMessage;
use mimosa_state::Command;
use mimosa_state::CommandResult;
use mimosa_state::Operation;
use mimosa_state::StateMachine;
use mimosa_state::routing::AdoptedDocument;
use tokio::sync::mpsc;
use tokio::sync::watch;

const BURST: u64 = 400_000;
const SLACK: u64 = 120_000;
/// First log index of the term of the leader.
const LEADS_FROM: u64 = 100;

/// A replica that leads and commits nothing by itself.
struct LeadingReplica;

impl Replicator for LeadingReplica {
    fn propose(
        &self,
        _: Operation,
    ) -> BoxFuture<'_, std::result::Result<CommandResult, ProposeError>> {
        Box::pin(async { Err(ProposeError::NoQuorum) })
    }

    fn read_barrier(&self) -> BoxFuture<'_, std::result::Result<LogIndex, NotCurrent>> {
        Box::pin(async { Err(NotCurrent) })
    }

    fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            role: "leader".to_owned(),
            term: 7,
            leads_from: LEADS_FROM,
            ..ReplicaStatus::default()
        }
    }

    fn shutdown(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }

    fn kill(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}

/// Parses every document to the same account.
struct OneAccountFormat;

impl DocumentFormat for OneAccountFormat {
    fn read(&self, _: &[u8]) -> std::result::Result<RoutingConfiguration, InvalidConfiguration> {
        Ok(RoutingConfiguration {
            accounts: vec![RoutedAccount {
                id: account(),
                keys: Vec::new(),
                priority: None,
                quota: Some(AccountQuota {
                    rate: Tokens(1),
                    burst: Tokens(BURST),
                    default_cost: Tokens(1_000),
                }),
            }],
            ..RoutingConfiguration::default()
        })
    }
}

fn account() -> AccountId {
    "orchid".parse().unwrap()
}

fn adopt(shared: &SharedState, index: u64, version: u64) {
    let document = AdoptedDocument {
        version: DocumentVersion(version),
        bytes: Arc::from(&b"a document"[..]),
    };
    let command = Command {
        at: Timestamp::ZERO,
        operation: Operation::AdoptRouting(document),
    };
    shared.apply(index, command);
}

/// What a new leader grants a gateway that asks for the whole burst, after documents were adopted at these
/// places of the log.
async fn granted(document_indexes: &[u64]) -> u64 {
    let shared = Arc::new(SharedState::new(StateMachine::default()));
    for (index, version) in document_indexes.iter().zip(1..) {
        adopt(&shared, *index, version);
    }
    let replicator: Arc<dyn Replicator> = Arc::new(LeadingReplica);
    let (_published, endpoints) = watch::channel(Arc::default());
    let metrics = Metrics::default();
    let rollouts = RolloutDriver::new(
        Arc::clone(&replicator),
        Arc::clone(&shared),
        endpoints.clone(),
        Default::default(),
        metrics.clone(),
    );
    let components = Components {
        replicator,
        shared,
        format: Arc::new(OneAccountFormat),
        endpoints,
        rollouts: Arc::new(rollouts),
        metrics,
    };
    let tolerance = Tolerance {
        permille: 0,
        slack: Tokens(SLACK),
    };
    let policy = SchedulingPolicy {
        tolerance,
        ..SchedulingPolicy::default()
    };
    let dispatcher = Dispatcher::new(components, policy);
    let gateway: InstanceId = "10.0.0.1".parse().unwrap();
    let connection = ConnectionOrder::default().next();
    let (tx, mut rx) = mpsc::channel(16);
    dispatcher.register_gateway(&gateway, Incarnation(1), connection, tx);
    let borrow = GatewayMessage::BorrowQuota {
        account: account(),
        requested: Tokens(BURST),
    };
    dispatcher.handle_message(&gateway, connection, borrow);
    loop {
        if let Some(ControlMessage::QuotaGranted { granted, .. }) = rx.recv().await {
            return granted.0;
        }
    }
}

#[tokio::test]
async fn the_leader_under_which_the_first_document_comes_grants_the_whole_burst() {
    assert_that!(granted(&[LEADS_FROM + 1]).await, eq(BURST));
}

#[tokio::test]
async fn a_new_leader_grants_no_second_burst() {
    assert_that!(granted(&[10]).await, le(SLACK / 2));
}

/// Guards against QUOTA: a document that came just after the election made the new leader take the accounts
/// for new ones.
#[tokio::test]
async fn a_new_leader_grants_no_second_burst_if_its_first_document_is_of_its_own_term() {
    assert_that!(granted(&[10, LEADS_FROM + 1]).await, le(SLACK / 2));
}
