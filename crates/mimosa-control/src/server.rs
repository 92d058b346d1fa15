//! Starts and stops the tasks of one control instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use log::info;
use log::warn;
use mimosa_metrics::MetricsServer;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Result;
use mimosa_state::StateMachine;
use mimosa_transport::accept;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::admin;
use crate::admin::Admin;
use crate::clock;
use crate::entry_port::EntryPort;
use crate::entry_registry::EntryRegistry;
use crate::freshness;
use crate::memory::ControlMemory;
use crate::peer::PeerMessage;
use crate::peer::bootstrap;
use crate::peer::discovery::PeerDiscovery;
use crate::peer::gossip;
use crate::peer::inbound::Inbound;
use crate::peer::outbound::Outbound;
use crate::replicator::ReplicatedLog;
use crate::replicator::Replicator;
use crate::replicator::replicated::calls::PendingCalls;
use crate::replicator::replicated::core::ReplicaHandle;
use crate::replicator::replicated::disk::FolderStore;
use crate::replicator::replicated::disk::OpenStore;
use crate::replicator::replicated::disk::OpenedReplica;
use crate::replicator::replicated::disk::StoreOpener;
use crate::routing::Integration;
use crate::routing::MAX_DOCUMENT_BYTES;
use crate::routing::RoutingOrders;
use crate::routing::balancer::Balancer;
use crate::routing::dispatch::Components;
use crate::routing::dispatch::Dispatcher;
use crate::routing::dispatch::SchedulingPolicy;
use crate::routing::gateway_port::GatewayPort;
use crate::routing::listing;
use crate::routing::metrics::Metrics;
use crate::routing::rollouts::RolloutDriver;
use crate::settings::Reloadable;
use crate::settings::Settings;
use crate::shared::SharedState;

/// How long running operator requests may take at shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
const ENTRY_CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// Binds the listeners of a control instance and starts its tasks.
#[derive(Debug)]
pub struct ControlServer;

/// A control instance with bound listeners that runs no tasks yet.
pub struct BoundServer {
    settings: Settings,
    store: Arc<dyn OpenStore>,
    admin: TcpListener,
    entry: TcpListener,
    peer: TcpListener,
    addresses: Addresses,
}

/// A running control instance. Dropping it stops its tasks without draining.
pub struct Running {
    addresses: Addresses,
    replicator: Arc<dyn Replicator>,
    /// Names of control instances to connect to; `None` without peer discovery.
    discovered_tx: Option<mpsc::UnboundedSender<InstanceId>>,
    dispatcher: Option<Arc<Dispatcher>>,
    stop: watch::Sender<bool>,
    admin_task: JoinHandle<()>,
    tasks: JoinSet<()>,
}

/// The components of an instance during its start.
struct Assembly {
    settings: Arc<Settings>,
    shared: Arc<SharedState>,
    entry_registry: Arc<EntryRegistry>,
    discovered_tx: Option<mpsc::UnboundedSender<InstanceId>>,
    dispatcher: Option<Arc<Dispatcher>>,
    metrics: Metrics,
    memory: ControlMemory,
    tasks: JoinSet<()>,
}

#[derive(Clone, Copy)]
struct Addresses {
    admin: SocketAddr,
    entry: SocketAddr,
    peer: SocketAddr,
    metrics: Option<SocketAddr>,
}

impl ControlServer {
    /// Binds the listeners and starts the tasks.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound or the data folder cannot be opened.
    pub async fn start(settings: Settings) -> Result<Running> {
        let replicas = settings.replicas.clone();
        Self::bind(settings).await?.start(replicas).await
    }

    /// Binds the listeners only, so that the peer addresses of all instances are known before any
    /// of them starts.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub async fn bind(settings: Settings) -> Result<BoundServer> {
        let (admin, admin_address) = accept::bind(settings.admin_listen).await?;
        let (entry, entry_address) = accept::bind(settings.entry_listen).await?;
        let (peer, peer_address) = accept::bind(settings.peer_listen).await?;
        let addresses = Addresses {
            admin: admin_address,
            entry: entry_address,
            peer: peer_address,
            metrics: None,
        };
        Ok(BoundServer {
            store: Arc::new(FolderStore(settings.data_folder.clone())),
            settings,
            admin,
            entry,
            peer,
            addresses,
        })
    }
}

impl BoundServer {
    /// The address of the peer port, for other control instances.
    pub const fn peer_address(&self) -> SocketAddr {
        self.addresses.peer
    }

    /// Replaces the data folder by another durable store.
    #[must_use]
    pub fn with_store(self, store: Arc<dyn OpenStore>) -> Self {
        Self { store, ..self }
    }

    /// Opens the store and starts the tasks. `replicas` holds the peer address of every control
    /// instance.
    ///
    /// # Errors
    ///
    /// If the store cannot be opened.
    pub async fn start(mut self, replicas: BTreeMap<InstanceId, SocketAddr>) -> Result<Running> {
        self.settings.replicas = replicas;
        self.start_with(None).await
    }

    /// Starts an instance that serves gateways instead of entries. The integration provides the
    /// operator HTTP API.
    ///
    /// # Errors
    ///
    /// If the store cannot be opened or the metrics address cannot be bound.
    pub async fn start_for_gateways(self, integration: Integration) -> Result<Running> {
        self.start_with(Some(integration)).await
    }

    async fn start_with(mut self, integration: Option<Integration>) -> Result<Running> {
        let should_query_peers = self.settings.bootstrap && self.settings.initial_voters.is_empty();
        if should_query_peers && is_cluster_bootstrapped(&self.settings).await {
            warn!("another control instance already belongs to a cluster: joining it");
            self.settings.bootstrap = false;
        }
        let memory = ControlMemory::new(self.settings.limits);
        let mut assembly = Assembly {
            settings: Arc::new(self.settings),
            shared: Arc::new(SharedState::new(StateMachine::default())),
            entry_registry: Arc::new(EntryRegistry::default()),
            discovered_tx: None,
            dispatcher: None,
            metrics: Metrics::default(),
            memory,
            tasks: JoinSet::new(),
        };
        let opener = StoreOpener::new(Arc::clone(&assembly.settings), self.store);
        let (opened, opener) = open(opener).await?;
        let replicator = assembly.join_cluster(opened, opener, self.peer)?;
        let (stop, stopped) = watch::channel(false);
        let (router, max_body) = match integration {
            Some(integration) => {
                if let Some(address) = assembly.settings.metrics {
                    let registry = assembly.metrics.registry();
                    let server = MetricsServer::bind(address, registry).await?;
                    self.addresses.metrics = Some(server.address());
                    assembly.tasks.spawn(server.run());
                }
                let router = assembly.serve_gateways(&replicator, self.entry, integration);
                (router, MAX_DOCUMENT_BYTES)
            }
            None => {
                assembly.serve_entries(&replicator, self.entry);
                (assembly.admin(&replicator).router(), admin::MAX_BODY_BYTES)
            }
        };
        let memory = assembly.memory.clone();
        assembly.tasks.spawn(memory.clone().watch());
        let admin = admin::serve(router, self.admin, memory, max_body, stopped);
        info!(
            "event=start role=control instance={} operators={}",
            assembly.settings.instance, self.addresses.admin
        );
        Ok(Running {
            addresses: self.addresses,
            replicator,
            discovered_tx: assembly.discovered_tx,
            dispatcher: assembly.dispatcher,
            stop,
            admin_task: tokio::spawn(admin),
            tasks: assembly.tasks,
        })
    }
}

impl Assembly {
    /// Starts the replicated log and the connections to the other control instances.
    fn join_cluster(
        &mut self,
        opened: OpenedReplica,
        opener: StoreOpener,
        listener: TcpListener,
    ) -> Result<Arc<dyn Replicator>> {
        let settings = &self.settings;
        let peers: BTreeMap<_, _> = settings
            .peers()
            .map(|(peer, address)| (peer.clone(), *address))
            .collect();
        let (outbound, links) = Outbound::new(&hello(settings), peers.clone());
        let outbound = Arc::new(outbound);
        let calls = Arc::new(PendingCalls::default());
        let consensus = consensus_settings(settings, random_seed());
        let shared = Arc::clone(&self.shared);
        let replica = ReplicaHandle::start(
            opened,
            opener,
            consensus,
            shared,
            Arc::clone(&outbound),
            self.metrics.sync_time(),
        )?;
        self.discovered_tx = settings.discovery.clone().map(|discovery| {
            let (tx, discovered_rx) = mpsc::unbounded_channel();
            let peer_discovery = PeerDiscovery {
                instance: settings.instance.clone(),
                discovery,
                outbound: Arc::clone(&outbound),
                inputs: replica.sender(),
                status: replica.shared_status(),
                discovered_rx,
            };
            self.tasks.spawn(peer_discovery.run());
            tx
        });
        let inbound = Inbound {
            discovered_tx: self.discovered_tx.clone(),
            cluster: settings.cluster.clone(),
            peers: Arc::new(peers),
            inputs: replica.sender(),
            status: replica.shared_status(),
            outbound: Arc::clone(&outbound),
            calls: Arc::clone(&calls),
            entry_registry: Arc::clone(&self.entry_registry),
            connections: Arc::default(),
            memory: self.memory.process.clone(),
        };
        self.tasks.spawn(inbound.serve(listener));
        for link in links {
            self.tasks.spawn(link.run());
        }
        let entry_registry = Arc::clone(&self.entry_registry);
        self.tasks
            .spawn(gossip::run(entry_registry, Arc::clone(&outbound)));
        Ok(Arc::new(ReplicatedLog::new(
            settings.instance.clone(),
            replica,
            outbound,
            calls,
            settings.propose_timeout,
        )))
    }

    /// Starts the entry port and the task that produces its freshness proofs.
    fn serve_entries(&mut self, replicator: &Arc<dyn Replicator>, listener: TcpListener) {
        let heartbeat = self.settings.heartbeat;
        let (proofs_tx, proofs) = watch::channel(None);
        let shared = Arc::clone(&self.shared);
        let freshness_task = freshness::run(Arc::clone(replicator), shared, heartbeat, proofs_tx);
        self.tasks.spawn(freshness_task);
        let port = EntryPort {
            replicator: Arc::clone(replicator),
            shared: Arc::clone(&self.shared),
            entry_registry: Arc::clone(&self.entry_registry),
            proofs,
            max_proof_age: heartbeat,
            connections: Arc::default(),
            memory: self.memory.process.clone(),
        };
        self.tasks.spawn(port.serve(listener));
        let entry_registry = Arc::clone(&self.entry_registry);
        self.tasks.spawn(remove_silent_entries(
            entry_registry,
            self.settings.entry_retention,
        ));
    }

    /// Starts the gateway port, the schedulers and the reads of the endpoint list. Returns the
    /// routes of the operator HTTP API.
    fn serve_gateways(
        &mut self,
        replicator: &Arc<dyn Replicator>,
        listener: TcpListener,
        integration: Integration,
    ) -> Router {
        let (published, endpoints) = watch::channel(Arc::default());
        let listing_task = listing::run(
            integration.source,
            self.memory.process.clone(),
            Arc::clone(replicator),
            integration.list_interval,
            published,
        );
        self.tasks.spawn(listing_task);
        let rollouts = Arc::new(RolloutDriver::new(
            Arc::clone(replicator),
            Arc::clone(&self.shared),
            endpoints.clone(),
            self.settings.exposure,
            self.metrics.clone(),
        ));
        self.tasks.spawn(Arc::clone(&rollouts).run());
        let components = Components {
            replicator: Arc::clone(replicator),
            shared: Arc::clone(&self.shared),
            format: Arc::clone(&integration.format),
            endpoints: endpoints.clone(),
            rollouts,
            metrics: self.metrics.clone(),
        };
        let policy = SchedulingPolicy {
            tolerance: self.settings.quota_tolerance,
            has_fair_shares: self.settings.features.fair_shares,
        };
        let dispatcher = Dispatcher::new(components, policy);
        let dispatcher = Arc::new(dispatcher.with_features(self.settings.features));
        self.dispatcher = Some(Arc::clone(&dispatcher));
        self.tasks.spawn(Arc::clone(&dispatcher).run());
        let balancer = Balancer {
            instance: self.settings.instance.clone(),
            replicator: Arc::clone(replicator),
            dispatcher: Arc::clone(&dispatcher),
            metrics: self.metrics.clone(),
            engines: integration.engines,
            order_lease: self.settings.order_lease,
        };
        self.tasks.spawn(balancer.run());
        let port = GatewayPort {
            dispatcher,
            cluster: self.settings.cluster.clone(),
            data_centre: self.settings.data_centre.clone(),
            replicator: Arc::clone(replicator),
            shared: Arc::clone(&self.shared),
            endpoints,
            heartbeat: self.settings.heartbeat,
            connections: Arc::default(),
            memory: self.memory.process.clone(),
        };
        self.tasks.spawn(port.serve(listener));
        let router = integration.operators.router(RoutingOrders {
            format: integration.format,
            replicator: Arc::clone(replicator),
            shared: Arc::clone(&self.shared),
        });
        match self.settings.operators.is_empty() {
            true => router,
            false => router.merge(self.admin(replicator).operator_routes()),
        }
    }

    fn admin(&self, replicator: &Arc<dyn Replicator>) -> Admin {
        Admin {
            settings: Arc::clone(&self.settings),
            replicator: Arc::clone(replicator),
            shared: Arc::clone(&self.shared),
            entry_registry: Arc::clone(&self.entry_registry),
        }
    }
}

impl Running {
    /// The address of the operator HTTP API.
    pub const fn admin_address(&self) -> SocketAddr {
        self.addresses.admin
    }

    /// The address of the entry port, or of the gateway port.
    pub const fn entry_address(&self) -> SocketAddr {
        self.addresses.entry
    }

    /// The address of the peer port, for other control instances.
    pub const fn peer_address(&self) -> SocketAddr {
        self.addresses.peer
    }

    /// Bound address of the metrics server; `None` if the settings disable it.
    pub const fn metrics(&self) -> Option<SocketAddr> {
        self.addresses.metrics
    }

    /// Applies changed settings without a restart. Seeds are only added.
    pub fn reload(&self, reloadable: &Reloadable) {
        if let Some(discovered_tx) = &self.discovered_tx {
            for seed in &reloadable.seeds {
                // The receiver closes only when this instance stops.
                discovered_tx.send(seed.clone()).ok();
            }
        }
        if let Some(dispatcher) = &self.dispatcher {
            dispatcher.set_tolerance(reloadable.quota_tolerance);
        }
    }

    /// Lets running operator requests finish, transfers the leadership, then stops.
    pub async fn shutdown(mut self) {
        self.stop.send_replace(true);
        if timeout(DRAIN_TIMEOUT, &mut self.admin_task).await.is_err() {
            self.admin_task.abort();
        }
        self.replicator.shutdown().await;
        self.tasks.shutdown().await;
    }

    /// Stops at once, like a killed process: connections break, and nothing is drained, transferred
    /// or synced.
    pub async fn kill(mut self) {
        self.admin_task.abort();
        self.tasks.shutdown().await;
        self.replicator.kill().await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.admin_task.abort();
    }
}

async fn open(opener: StoreOpener) -> Result<(OpenedReplica, StoreOpener)> {
    let opening = tokio::task::spawn_blocking(move || {
        let opened = opener.open();
        opened.map(|opened| (opened, opener))
    });
    opening.await.expect("opening a store does not panic")
}

async fn is_cluster_bootstrapped(settings: &Settings) -> bool {
    let peers: Vec<SocketAddr> = settings.peers().map(|(_, address)| *address).collect();
    bootstrap::is_any_peer_bootstrapped(&hello(settings), peers).await
}

fn hello(settings: &Settings) -> PeerMessage {
    PeerMessage::Hello {
        cluster: settings.cluster.clone(),
        instance: settings.instance.clone(),
    }
}

fn consensus_settings(settings: &Settings, seed: u64) -> mimosa_consensus::Settings {
    let seeds = settings
        .discovery
        .iter()
        .flat_map(|discovery| &discovery.seeds);
    mimosa_consensus::Settings {
        seed,
        heartbeat_interval: settings.replica_heartbeat,
        election_timeout: settings.election_timeout,
        snapshot_after: settings.snapshot_after,
        voter_policy: settings.voter_policy,
        peers: settings.replicas.keys().chain(seeds).cloned().collect(),
        ..mimosa_consensus::Settings::default()
    }
}

/// Differs between instances and starts, so that their election timeouts differ.
fn random_seed() -> u64 {
    let mut random = [0; 8];
    getrandom::fill(&mut random).expect("the operating system provides random bytes");
    u64::from_le_bytes(random)
}

async fn remove_silent_entries(entry_registry: Arc<EntryRegistry>, after: Duration) {
    loop {
        tokio::time::sleep(ENTRY_CLEANUP_INTERVAL).await;
        entry_registry.remove_silent(clock::now(), after);
    }
}
