//! One control instance as tasks of a runtime.

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
use crate::peer::PeerMessage;
use crate::peer::discovery::Search;
use crate::peer::founding;
use crate::peer::gossip;
use crate::peer::inbound::Inbound;
use crate::peer::outbound::Outbound;
use crate::replicator::ReplicatedLog;
use crate::replicator::Replicator;
use crate::replicator::replicated::calls::Calls;
use crate::replicator::replicated::core::CoreHandle;
use crate::replicator::replicated::disk::Folder;
use crate::replicator::replicated::disk::OpenStore;
use crate::replicator::replicated::disk::Opened;
use crate::replicator::replicated::disk::Opener;
use crate::routing::Integration;
use crate::routing::RoutingOrders;
use crate::routing::balancer::Balancer;
use crate::routing::dispatch::Dispatcher;
use crate::routing::gateway_port::GatewayPort;
use crate::routing::listing;
use crate::routing::metrics::Metrics;
use crate::settings::Reloadable;
use crate::settings::Settings;
use crate::shared::Shared;

/// How long operators' requests in hand may take at shutdown.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Time between two looks for entries to forget.
const FORGET_PERIOD: Duration = Duration::from_secs(10);

/// Starts control instances.
#[derive(Debug)]
pub struct ControlServer;

/// A control instance whose addresses are bound.
pub struct Bound {
    settings: Settings,
    store: Arc<dyn OpenStore>,
    admin: TcpListener,
    entry: TcpListener,
    peer: TcpListener,
    addresses: Addresses,
}

/// A control instance that runs. Dropping it stops its tasks without draining.
pub struct Running {
    addresses: Addresses,
    replicator: Arc<dyn Replicator>,
    /// Takes the names of control instances, where they find each other.
    discovered: Option<mpsc::UnboundedSender<InstanceId>>,
    dispatcher: Option<Arc<Dispatcher>>,
    stop: watch::Sender<bool>,
    admin_task: JoinHandle<()>,
    tasks: JoinSet<()>,
}

/// The parts of an instance while they are joined.
struct Assembly {
    settings: Arc<Settings>,
    shared: Arc<Shared>,
    in_force: Arc<EntryRegistry>,
    discovered: Option<mpsc::UnboundedSender<InstanceId>>,
    dispatcher: Option<Arc<Dispatcher>>,
    metrics: Metrics,
    tasks: JoinSet<()>,
}

#[derive(Clone, Copy)]
struct Addresses {
    admin: SocketAddr,
    entry: SocketAddr,
    peer: SocketAddr,
}

impl ControlServer {
    /// Binds the addresses and starts the tasks.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound, or the data folder cannot be used.
    pub async fn start(settings: Settings) -> Result<Running> {
        let replicas = settings.replicas.clone();
        Self::bind(settings).await?.start(replicas).await
    }

    /// Binds the addresses, so that other instances can be told of them before any of them starts.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub async fn bind(settings: Settings) -> Result<Bound> {
        let (admin, admin_address) = accept::bind(settings.admin_listen).await?;
        let (entry, entry_address) = accept::bind(settings.entry_listen).await?;
        let (peer, peer_address) = accept::bind(settings.peer_listen).await?;
        let addresses = Addresses {
            admin: admin_address,
            entry: entry_address,
            peer: peer_address,
        };
        Ok(Bound {
            store: Arc::new(Folder(settings.data_folder.clone())),
            settings,
            admin,
            entry,
            peer,
            addresses,
        })
    }
}

impl Bound {
    /// Where other control instances connect.
    pub const fn peer_address(&self) -> SocketAddr {
        self.addresses.peer
    }

    /// Keeps what must survive in another store than the data folder.
    #[must_use]
    pub fn with_store(self, store: Arc<dyn OpenStore>) -> Self {
        Self { store, ..self }
    }

    /// Opens the data folder and starts the tasks, with every control instance's peer address.
    ///
    /// # Errors
    ///
    /// If the data folder cannot be used.
    pub async fn start(mut self, replicas: BTreeMap<InstanceId, SocketAddr>) -> Result<Running> {
        self.settings.replicas = replicas;
        self.start_with(None).await
    }

    /// Starts an instance that also controls gateways; its operators' HTTP is the outside system's.
    ///
    /// # Errors
    ///
    /// If the data folder cannot be used.
    pub async fn start_for_gateways(self, outside: Integration) -> Result<Running> {
        self.start_with(Some(outside)).await
    }

    async fn start_with(mut self, outside: Option<Integration>) -> Result<Running> {
        let asks = self.settings.bootstrap && self.settings.initial_voters.is_empty();
        if asks && is_founded(&self.settings).await {
            warn!("the system is founded already: this instance joins it");
            self.settings.bootstrap = false;
        }
        let mut assembly = Assembly {
            settings: Arc::new(self.settings),
            shared: Arc::new(Shared::new(StateMachine::default())),
            in_force: Arc::new(EntryRegistry::default()),
            discovered: None,
            dispatcher: None,
            metrics: Metrics::default(),
            tasks: JoinSet::new(),
        };
        let opener = Opener::new(Arc::clone(&assembly.settings), self.store);
        let (opened, opener) = open(opener).await?;
        let replicator = assembly.join_cluster(opened, opener, self.peer)?;
        let (stop, stopped) = watch::channel(false);
        let router = match outside {
            Some(outside) => {
                if let Some(address) = assembly.settings.metrics {
                    let registry = assembly.metrics.registry();
                    let server = MetricsServer::bind(address, registry).await?;
                    assembly.tasks.spawn(server.run());
                }
                assembly.serve_gateways(&replicator, self.entry, outside)
            }
            None => {
                assembly.serve_entries(&replicator, self.entry);
                assembly.admin(&replicator).router()
            }
        };
        let admin = admin::serve(router, self.admin, stopped);
        info!(
            "event=start role=control instance={} operators={}",
            assembly.settings.instance, self.addresses.admin
        );
        Ok(Running {
            addresses: self.addresses,
            replicator,
            discovered: assembly.discovered,
            dispatcher: assembly.dispatcher,
            stop,
            admin_task: tokio::spawn(admin),
            tasks: assembly.tasks,
        })
    }
}

impl Assembly {
    /// Starts the replicated log and its connections to the other control instances.
    fn join_cluster(
        &mut self,
        opened: Opened,
        opener: Opener,
        listener: TcpListener,
    ) -> Result<Arc<dyn Replicator>> {
        let settings = &self.settings;
        let peers: BTreeMap<_, _> = settings
            .peers()
            .map(|(peer, address)| (peer.clone(), *address))
            .collect();
        let (outbound, links) = Outbound::new(&hello(settings), peers.clone());
        let outbound = Arc::new(outbound);
        let calls = Arc::new(Calls::default());
        let consensus = consensus_settings(settings, random_seed());
        let shared = Arc::clone(&self.shared);
        let core = CoreHandle::start(
            opened,
            opener,
            consensus,
            shared,
            Arc::clone(&outbound),
            self.metrics.sync_time(),
        )?;
        self.discovered = settings.discovery.clone().map(|discovery| {
            let (tx, heard) = mpsc::unbounded_channel();
            let search = Search {
                own: settings.instance.clone(),
                discovery,
                outbound: Arc::clone(&outbound),
                core: core.sender(),
                status: core.shared_status(),
                heard,
            };
            self.tasks.spawn(search.run());
            tx
        });
        let inbound = Inbound {
            discovered: self.discovered.clone(),
            cluster: settings.cluster.clone(),
            peers: Arc::new(peers),
            core: core.sender(),
            status: core.shared_status(),
            outbound: Arc::clone(&outbound),
            calls: Arc::clone(&calls),
            in_force: Arc::clone(&self.in_force),
        };
        self.tasks.spawn(inbound.serve(listener));
        for link in links {
            self.tasks.spawn(link.run());
        }
        let in_force = Arc::clone(&self.in_force);
        self.tasks
            .spawn(gossip::run(in_force, Arc::clone(&outbound)));
        Ok(Arc::new(ReplicatedLog::new(
            settings.instance.clone(),
            core,
            outbound,
            calls,
            settings.propose_timeout,
        )))
    }

    /// Starts what entries connect to, and the proofs of freshness for them.
    fn serve_entries(&mut self, replicator: &Arc<dyn Replicator>, listener: TcpListener) {
        let heartbeat = self.settings.heartbeat;
        let (proofs_tx, proofs) = watch::channel(None);
        let shared = Arc::clone(&self.shared);
        let proving = freshness::run(Arc::clone(replicator), shared, heartbeat, proofs_tx);
        self.tasks.spawn(proving);
        let port = EntryPort {
            replicator: Arc::clone(replicator),
            shared: Arc::clone(&self.shared),
            in_force: Arc::clone(&self.in_force),
            proofs,
            max_proof_age: heartbeat,
        };
        self.tasks.spawn(port.serve(listener));
        let in_force = Arc::clone(&self.in_force);
        self.tasks
            .spawn(forget(in_force, self.settings.forget_entry_after));
    }

    /// Starts what gateways connect to and the reading of the list; returns the operators' HTTP.
    fn serve_gateways(
        &mut self,
        replicator: &Arc<dyn Replicator>,
        listener: TcpListener,
        outside: Integration,
    ) -> Router {
        let (published, endpoints) = watch::channel(Arc::default());
        let reading = listing::run(
            outside.source,
            Arc::clone(replicator),
            outside.list_interval,
            published,
        );
        self.tasks.spawn(reading);
        let dispatcher = Arc::new(Dispatcher::new(
            Arc::clone(replicator),
            Arc::clone(&self.shared),
            Arc::clone(&outside.format),
            endpoints.clone(),
            self.settings.quota_tolerance,
            self.metrics.clone(),
        ));
        self.dispatcher = Some(Arc::clone(&dispatcher));
        self.tasks.spawn(Arc::clone(&dispatcher).run());
        let balancer = Balancer {
            own: self.settings.instance.clone(),
            replicator: Arc::clone(replicator),
            dispatcher: Arc::clone(&dispatcher),
            metrics: self.metrics.clone(),
            engines: outside.engines,
            lease: self.settings.order_lease,
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
        };
        self.tasks.spawn(port.serve(listener));
        outside.operators.router(RoutingOrders {
            format: outside.format,
            replicator: Arc::clone(replicator),
            shared: Arc::clone(&self.shared),
        })
    }

    fn admin(&self, replicator: &Arc<dyn Replicator>) -> Admin {
        Admin {
            settings: Arc::clone(&self.settings),
            replicator: Arc::clone(replicator),
            shared: Arc::clone(&self.shared),
            in_force: Arc::clone(&self.in_force),
        }
    }
}

impl Running {
    /// Where operators connect.
    pub const fn admin_address(&self) -> SocketAddr {
        self.addresses.admin
    }

    /// Where entries connect.
    pub const fn entry_address(&self) -> SocketAddr {
        self.addresses.entry
    }

    /// Where other control instances connect.
    pub const fn peer_address(&self) -> SocketAddr {
        self.addresses.peer
    }

    /// Takes the settings that may change anew.
    pub fn reload(&self, reloadable: &Reloadable) {
        if let Some(discovered) = &self.discovered {
            for seed in &reloadable.seeds {
                // The search ends only with this instance.
                discovered.send(seed.clone()).ok();
            }
        }
        if let Some(dispatcher) = &self.dispatcher {
            dispatcher.set_tolerance(reloadable.quota_tolerance);
        }
    }

    /// Lets operators' requests in hand finish, hands the leadership on, then stops.
    pub async fn shutdown(mut self) {
        self.stop.send_replace(true);
        if timeout(DRAIN_TIME, &mut self.admin_task).await.is_err() {
            self.admin_task.abort();
        }
        self.replicator.shutdown().await;
        self.tasks.shutdown().await;
    }

    /// Stops at once, as a killed process would: nothing is drained or handed on. What was not
    /// synced may be lost, the connections break.
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

async fn open(opener: Opener) -> Result<(Opened, Opener)> {
    let opening = tokio::task::spawn_blocking(move || {
        let opened = opener.open();
        opened.map(|opened| (opened, opener))
    });
    opening.await.expect("opening a folder does not panic")
}

async fn is_founded(settings: &Settings) -> bool {
    let peers: Vec<SocketAddr> = settings.peers().map(|(_, address)| *address).collect();
    founding::is_founded(&hello(settings), peers).await
}

fn hello(settings: &Settings) -> PeerMessage {
    PeerMessage::Hello {
        cluster: settings.cluster.clone(),
        instance: settings.instance.clone(),
    }
}

fn consensus_settings(settings: &Settings, seed: u64) -> mimosa_consensus::Settings {
    let seeds = settings.discovery.iter().flat_map(|known| &known.seeds);
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

/// Another number at each start of each instance.
fn random_seed() -> u64 {
    let mut random = [0; 8];
    getrandom::fill(&mut random).expect("the system gives random bytes");
    u64::from_le_bytes(random)
}

async fn forget(in_force: Arc<EntryRegistry>, after: Duration) {
    loop {
        tokio::time::sleep(FORGET_PERIOD).await;
        in_force.forget(clock::now(), after);
    }
}
