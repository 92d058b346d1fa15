//! Several control instances in one process, connected through proxies that can be cut.

#![allow(dead_code)]

#[path = "support.rs"]
pub mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use mimosa_control::BoundServer;
use mimosa_control::ControlServer;
use mimosa_control::Running;
use mimosa_control::Settings;
use mimosa_control::replicator::replicated::disk::OpenStore;
use mimosa_protocol::InstanceId;
use mimosa_storage::LogStore;
use mimosa_storage::fault::FaultyDisk;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use support::ADA;
use support::Attempts;

/// A TCP proxy for the connections from one instance to another, which can be cut.
pub struct ProxyLink {
    address: SocketAddr,
    open: watch::Sender<bool>,
    /// Each increment makes the open connections drop all further bytes.
    drop_count: watch::Sender<u64>,
    target: watch::Sender<SocketAddr>,
    task: JoinHandle<()>,
}

impl ProxyLink {
    /// Starts a proxy to an address.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (open, is_open) = watch::channel(true);
        let (drop_count, drop_rx) = watch::channel(0);
        let (target, target_now) = watch::channel(target);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let target = *target_now.borrow();
                let mut drop_rx = drop_rx.clone();
                drop_rx.mark_unchanged();
                tokio::spawn(proxy(stream, target, is_open.clone(), drop_rx));
            }
        });
        Self {
            address,
            open,
            drop_count,
            target,
            task,
        }
    }
}

impl ProxyLink {
    /// The listen address of the proxy.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections.
    pub fn redirect_to(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }
}

impl Drop for ProxyLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn proxy(
    mut stream: TcpStream,
    target: SocketAddr,
    mut is_open: watch::Receiver<bool>,
    mut drop_rx: watch::Receiver<u64>,
) {
    if !*is_open.borrow() {
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    let drops_traffic = tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut upstream) => false,
        _ = is_open.wait_for(|open| !open) => false,
        Ok(()) = drop_rx.changed() => true,
    };
    if drops_traffic {
        // Still reads from the sender, but forwards nothing.
        let mut sink = tokio::io::sink();
        tokio::io::copy(&mut stream, &mut sink).await.ok();
    }
}

/// Opens a store on a disk with injected faults.
struct FaultyStore(FaultyDisk);

impl OpenStore for FaultyStore {
    fn open(
        &self,
        settings: mimosa_storage::Settings,
    ) -> mimosa_protocol::Result<Box<dyn LogStore>> {
        Ok(Box::new(self.0.open(settings)?))
    }
}

/// Control instances `c-1` to `c-n`.
pub struct Cluster {
    /// The disks with fault injection; empty if the instances use folders.
    disks: Vec<FaultyDisk>,
    folders: Vec<TempDir>,
    settings: Vec<Settings>,
    running: Vec<Option<Running>>,
    links: BTreeMap<(usize, usize), ProxyLink>,
}

impl Cluster {
    /// Starts instances; the first one bootstraps the cluster.
    pub async fn start(count: usize) -> Self {
        Self::start_with(count, |settings| settings).await
    }

    /// Starts instances with changed settings.
    pub async fn start_with(count: usize, change: impl Fn(Settings) -> Settings) -> Self {
        Self::start_on(count, Vec::new(), change).await
    }

    /// Starts instances on disks with fault injection.
    pub async fn start_on_faulty_disks(count: usize) -> Self {
        let disks = (1..).map(FaultyDisk::new).take(count).collect();
        Self::start_on(count, disks, |settings| settings).await
    }

    async fn start_on(
        count: usize,
        disks: Vec<FaultyDisk>,
        change: impl Fn(Settings) -> Settings,
    ) -> Self {
        let mut cluster = Self {
            disks,
            folders: Vec::new(),
            settings: Vec::new(),
            running: Vec::new(),
            links: BTreeMap::new(),
        };
        let mut bound = Vec::new();
        for index in 0..count {
            let folder = tempfile::tempdir().unwrap();
            let settings = change(Settings {
                bootstrap: index == 0,
                ..fast_settings(index, folder.path())
            });
            let instance = cluster.bind(index, settings.clone()).await;
            cluster.settings.push(settings);
            cluster.folders.push(folder);
            bound.push(instance);
        }
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let link = ProxyLink::to(bound[to].peer_address()).await;
                cluster.links.insert((from, to), link);
            }
        }
        for (index, instance) in bound.into_iter().enumerate() {
            let replicas = cluster.replicas(index, instance.peer_address());
            cluster
                .running
                .push(Some(instance.start(replicas).await.unwrap()));
            cluster.settings[index].bootstrap = false;
        }
        cluster.wait_until_all_vote().await;
        cluster
    }

    async fn bind(&self, index: usize, settings: Settings) -> BoundServer {
        let bound = ControlServer::bind(settings).await.unwrap();
        match self.disks.get(index) {
            Some(disk) => bound.with_store(Arc::new(FaultyStore(disk.clone()))),
            None => bound,
        }
    }

    /// The disk of an instance.
    pub fn disk(&self, index: usize) -> &FaultyDisk {
        &self.disks[index]
    }

    /// Waits until an instance has no fault and a vote, and can prove that it is current.
    pub async fn wait_until_healthy(&self, index: usize) {
        let mut attempts = Attempts::default();
        loop {
            let status = self.status(index).await;
            let replica = &status["replica"];
            if replica["fault"].is_null() && replica["votes"] == true && status["current"] == true {
                return;
            }
            attempts.pause().await;
        }
    }

    /// The running instance at an index.
    pub fn instance(&self, index: usize) -> &Running {
        self.running[index].as_ref().unwrap()
    }

    /// Stops an instance like a killed process.
    pub async fn kill(&mut self, index: usize) {
        self.running[index].take().unwrap().kill().await;
    }

    /// Starts a killed instance again, on other ports.
    pub async fn restart(&mut self, index: usize) {
        let bound = self.bind(index, self.settings[index].clone()).await;
        self.links
            .iter()
            .filter(|((_, to), _)| *to == index)
            .for_each(|(_, link)| {
                link.redirect_to(bound.peer_address());
            });
        let replicas = self.replicas(index, bound.peer_address());
        self.running[index] = Some(bound.start(replicas).await.unwrap());
    }

    /// Sets the bootstrap setting for the next start of an instance.
    pub fn enable_bootstrap(&mut self, index: usize) {
        self.settings[index].bootstrap = true;
    }

    /// Gives a killed instance an empty data folder.
    pub fn replace_data_folder(&mut self, index: usize) {
        let folder = tempfile::tempdir().unwrap();
        self.settings[index].data_folder = folder.path().into();
        self.folders[index] = folder;
    }

    /// Cuts or restores all connections of an instance.
    pub fn isolate(&self, index: usize, cut: bool) {
        self.links
            .iter()
            .filter(|((from, to), _)| *from == index || *to == index)
            .for_each(|(_, link)| {
                link.open.send_replace(!cut);
            });
    }

    /// Makes all open connections drop further bytes without closing; new connections work.
    pub fn drop_traffic(&self) {
        for link in self.links.values() {
            link.drop_count.send_modify(|count| *count += 1);
        }
    }

    /// The status that an instance reports.
    pub async fn status(&self, index: usize) -> Value {
        let admin = self.instance(index).admin_address();
        support::call(admin, ADA, "GET /v1/status", &Value::Null)
            .await
            .1
    }

    /// Waits until an instance leads and proves that it is current; returns its index.
    pub async fn leader(&self) -> usize {
        let mut attempts = Attempts::default();
        loop {
            for index in self.running_instances() {
                let status = self.status(index).await;
                if status["replica"]["role"] == "leader" && status["current"] == true {
                    return index;
                }
            }
            attempts.pause().await;
        }
    }

    /// Waits until every running instance has a vote in its current incarnation.
    pub async fn wait_until_all_vote(&self) {
        let mut attempts = Attempts::default();
        for index in self.running_instances() {
            while self.status(index).await["replica"]["votes"] != true {
                attempts.pause().await;
            }
        }
    }

    /// Waits until an instance proves that it is current at a revision.
    pub async fn wait_until_revision(&self, index: usize, revision: u64) {
        let mut attempts = Attempts::default();
        loop {
            let status = self.status(index).await;
            if status["current"] == true && status["revision"] == revision {
                return;
            }
            attempts.pause().await;
        }
    }

    /// Sends an order to the instances in turn until one answers with status 200, like the
    /// operators' command line.
    pub async fn order(&self, line: &str, body: Value) -> Value {
        let mut attempts = Attempts::default();
        loop {
            for index in self.running_instances() {
                let admin = self.instance(index).admin_address();
                match support::try_call(admin, ADA, line, &body).await {
                    Some((200, answer)) => return answer,
                    Some((503, _)) | None => {}
                    Some((status, answer)) => panic!("{line} {body}: {status} {answer}"),
                }
            }
            attempts.pause().await;
        }
    }

    /// Plans an intent under `number` and confirms it under the next number.
    pub async fn plan_and_confirm(&self, number: u64, intent: Value) -> Value {
        let body = json!({ "number": number, "intent": intent });
        let plan = self.order("POST /v1/plans", body).await;
        let line = format!("POST /v1/plans/{}/confirm", plan["plan"]);
        self.order(&line, json!({ "number": number + 1 })).await
    }

    /// Reads the configuration from an instance, once it can prove that it is current.
    pub async fn configuration(&self, index: usize) -> Value {
        let admin = self.instance(index).admin_address();
        let mut attempts = Attempts::default();
        loop {
            let line = "GET /v1/configuration";
            if let Some((200, answer)) = support::try_call(admin, ADA, line, &Value::Null).await {
                return answer;
            }
            attempts.pause().await;
        }
    }

    /// The indexes of the running instances.
    pub fn running_instances(&self) -> Vec<usize> {
        let is_running = |index: &usize| self.running[*index].is_some();
        (0..self.running.len()).filter(is_running).collect()
    }

    fn replicas(&self, index: usize, own: SocketAddr) -> BTreeMap<InstanceId, SocketAddr> {
        (0..self.settings.len())
            .map(|to| {
                let address = self
                    .links
                    .get(&(index, to))
                    .map_or(own, |link| link.address);
                (name(to), address)
            })
            .collect()
    }
}

/// Settings of the instance at an index, with short timeouts.
pub fn fast_settings(index: usize, folder: impl Into<PathBuf>) -> Settings {
    Settings {
        instance: name(index),
        election_timeout: Duration::from_millis(400),
        replica_heartbeat: Duration::from_millis(50),
        propose_timeout: Duration::from_millis(1_500),
        ..support::settings(folder)
    }
}

/// The name of the instance at an index.
pub fn name(index: usize) -> InstanceId {
    format!("c-{}", index + 1).parse().unwrap()
}

/// An intent that sets an account; the rate identifies the change.
pub fn account(rate: u64) -> Value {
    json!({"put_account": {"account": "wisla", "rate": rate, "burst": 10}})
}
