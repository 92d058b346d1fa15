//! Orders that take or return a data centre and reach the log late, as when a partition holds them up.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_consensus::LogIndex;
use mimosa_control::replicator::BoxFuture;
use mimosa_control::replicator::MemoryReplicator;
use mimosa_control::replicator::NotCurrent;
use mimosa_control::replicator::ProposeError;
use mimosa_control::replicator::ReplicaStatus;
use mimosa_control::replicator::Replicator;
use mimosa_control::routing::OrderError;
use mimosa_control::routing::RoutingOrders;
use mimosa_control::shared::SharedState;
use mimosa_protocol::DataCentreId;
use mimosa_route::DocumentFormat;
use mimosa_route::InvalidConfiguration;
use mimosa_route::RoutingConfiguration;
use mimosa_state::CommandResult;
use mimosa_state::Operation;
use mimosa_state::StateMachine;
use tokio::sync::watch;

/// A log behind a partition: commands and reads wait until it heals.
struct HeldReplicator {
    log: Arc<MemoryReplicator>,
    healed: watch::Sender<bool>,
    /// Whether reads wait as well.
    holds_reads: bool,
}

impl HeldReplicator {
    async fn wait_until_healed(&self) {
        let mut healed = self.healed.subscribe();
        healed.wait_for(|healed| *healed).await.unwrap();
    }
}

impl Replicator for HeldReplicator {
    fn propose(
        &self,
        operation: Operation,
    ) -> BoxFuture<'_, std::result::Result<CommandResult, ProposeError>> {
        Box::pin(async move {
            self.wait_until_healed().await;
            self.log.propose(operation).await
        })
    }

    fn read_barrier(&self) -> BoxFuture<'_, std::result::Result<LogIndex, NotCurrent>> {
        Box::pin(async move {
            if self.holds_reads {
                self.wait_until_healed().await;
            }
            self.log.read_barrier().await
        })
    }

    fn status(&self) -> ReplicaStatus {
        self.log.status()
    }

    fn shutdown(&self) -> BoxFuture<'_, ()> {
        self.log.shutdown()
    }

    fn kill(&self) -> BoxFuture<'_, ()> {
        self.log.kill()
    }
}

struct NoFormat;

impl DocumentFormat for NoFormat {
    fn read(&self, _: &[u8]) -> std::result::Result<RoutingConfiguration, InvalidConfiguration> {
        unreachable!("no test adopts a document")
    }
}

/// Two control instances of one log: one behind a partition, one that reaches the log.
struct Cluster {
    shared: Arc<SharedState>,
    held: Arc<HeldReplicator>,
    connected: RoutingOrders,
    cut_off: RoutingOrders,
}

impl Cluster {
    fn new(holds_reads: bool) -> Self {
        let shared = Arc::new(SharedState::new(StateMachine::default()));
        let log = Arc::new(MemoryReplicator::new(Arc::clone(&shared)));
        let held = Arc::new(HeldReplicator {
            log: Arc::clone(&log),
            healed: watch::Sender::default(),
            holds_reads,
        });
        let orders = |replicator| RoutingOrders {
            format: Arc::new(NoFormat),
            replicator,
            shared: Arc::clone(&shared),
        };
        Self {
            connected: orders(log),
            cut_off: orders(held.clone()),
            held,
            shared,
        }
    }

    /// Sends an order to the instance that is cut off, which passes it on when the partition heals.
    fn order_cut_off(
        &self,
        out: bool,
    ) -> tokio::task::JoinHandle<std::result::Result<(), OrderError>> {
        let orders = self.cut_off.clone();
        tokio::spawn(async move { orders.set_data_centre_out(north(), out).await })
    }

    async fn order(&self, out: bool) {
        let ordered = self.connected.set_data_centre_out(north(), out).await;
        assert_that!(ordered, ok(anything()));
    }

    fn is_out(&self) -> bool {
        self.shared
            .read(|machine| machine.routing().data_centres_out().contains(&north()))
    }
}

fn north() -> DataCentreId {
    "north".parse().unwrap()
}

/// Lets spawned tasks run until they wait.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(10)).await;
}

// Guards against EVAC: an order that a partition held up undid a newer, acknowledged one.
#[tokio::test(start_paused = true)]
async fn a_held_up_order_does_not_undo_a_newer_one() {
    for out in [false, true] {
        let cluster = Cluster::new(false);
        cluster.order(!out).await;
        let late = cluster.order_cut_off(out);
        settle().await;
        cluster.order(out).await;
        cluster.order(!out).await;
        cluster.held.healed.send_replace(true);
        assert_that!(late.await.unwrap(), err(eq(&OrderError::Superseded)));
        assert_that!(cluster.is_out(), eq(!out));
    }
}

// Guards against EVAC: the held-up instance learns the state only after the newer orders.
#[tokio::test(start_paused = true)]
async fn an_order_whose_receipt_was_not_placed_in_time_changes_nothing() {
    let cluster = Cluster::new(true);
    cluster.order(true).await;
    let late = cluster.order_cut_off(false);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.order(false).await;
    cluster.order(true).await;
    cluster.held.healed.send_replace(true);
    assert_that!(late.await.unwrap(), err(eq(&OrderError::NotCurrent)));
    assert_that!(cluster.is_out(), eq(true));
}

#[tokio::test(start_paused = true)]
async fn a_resent_order_is_acknowledged_at_both_instances() {
    let cluster = Cluster::new(false);
    let late = cluster.order_cut_off(true);
    settle().await;
    cluster.order(true).await;
    cluster.order(true).await;
    cluster.held.healed.send_replace(true);
    assert_that!(late.await.unwrap(), ok(anything()));
    assert_that!(cluster.is_out(), eq(true));
}

#[tokio::test(start_paused = true)]
async fn an_order_overtaken_by_another_data_centre_still_takes_effect() {
    let cluster = Cluster::new(false);
    let late = cluster.order_cut_off(true);
    settle().await;
    let south = "south".parse().unwrap();
    let ordered = cluster.connected.set_data_centre_out(south, true).await;
    assert_that!(ordered, ok(anything()));
    cluster.held.healed.send_replace(true);
    assert_that!(late.await.unwrap(), ok(anything()));
    assert_that!(cluster.is_out(), eq(true));
}
