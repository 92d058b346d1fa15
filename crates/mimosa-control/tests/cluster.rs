//! Several control instances in one process, with links that can be cut.

#![allow(dead_code)]

#[path = "support.rs"]
pub mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use mimosa_control::Bound;
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
use support::Looks;

/// A one-way TCP link that can be cut.
pub struct Link {
    address: SocketAddr,
    open: watch::Sender<bool>,
    /// Counts the times when everything open went silent.
    silences: watch::Sender<u64>,
    target: watch::Sender<SocketAddr>,
    task: JoinHandle<()>,
}

impl Link {
    /// A link to an address.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (open, is_open) = watch::channel(true);
        let (silences, silenced) = watch::channel(0);
        let (target, target_now) = watch::channel(target);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let target = *target_now.borrow();
                let mut silenced = silenced.clone();
                silenced.mark_unchanged();
                tokio::spawn(carry(stream, target, is_open.clone(), silenced));
            }
        });
        Self {
            address,
            open,
            silences,
            target,
            task,
        }
    }
}

impl Link {
    /// Where to connect.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leads further connections elsewhere.
    pub fn lead_to(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(
    mut stream: TcpStream,
    target: SocketAddr,
    mut is_open: watch::Receiver<bool>,
    mut silenced: watch::Receiver<u64>,
) {
    if !*is_open.borrow() {
        return;
    }
    let Ok(mut onward) = TcpStream::connect(target).await else {
        return;
    };
    let is_silenced = tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut onward) => false,
        _ = is_open.wait_for(|open| !open) => false,
        Ok(()) = silenced.changed() => true,
    };
    if is_silenced {
        // Bytes are still taken from the sender and never arrive.
        let mut nowhere = tokio::io::sink();
        tokio::io::copy(&mut stream, &mut nowhere).await.ok();
    }
}

/// A disk that fails as it is told to.
struct Faulty(FaultyDisk);

impl OpenStore for Faulty {
    fn open(
        &self,
        settings: mimosa_storage::Settings,
    ) -> mimosa_protocol::Result<Box<dyn LogStore>> {
        Ok(Box::new(self.0.open(settings)?))
    }
}

/// Control instances `c-1` to `c-n`.
pub struct Cluster {
    /// The disks, where they are not folders.
    disks: Vec<FaultyDisk>,
    folders: Vec<TempDir>,
    settings: Vec<Settings>,
    running: Vec<Option<Running>>,
    links: BTreeMap<(usize, usize), Link>,
}

impl Cluster {
    /// Starts instances; the first one founds the system.
    pub async fn start(count: usize) -> Self {
        Self::start_with(count, |settings| settings).await
    }

    /// Starts instances with changed settings.
    pub async fn start_with(count: usize, change: impl Fn(Settings) -> Settings) -> Self {
        Self::start_on(count, Vec::new(), change).await
    }

    /// Starts instances on disks that can fail.
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
        for at in 0..count {
            let folder = tempfile::tempdir().unwrap();
            let settings = change(Settings {
                bootstrap: at == 0,
                ..fast_settings(at, folder.path())
            });
            let one = cluster.bind(at, settings.clone()).await;
            cluster.settings.push(settings);
            cluster.folders.push(folder);
            bound.push(one);
        }
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let link = Link::to(bound[to].peer_address()).await;
                cluster.links.insert((from, to), link);
            }
        }
        for (at, one) in bound.into_iter().enumerate() {
            let replicas = cluster.replicas(at, one.peer_address());
            cluster
                .running
                .push(Some(one.start(replicas).await.unwrap()));
            cluster.settings[at].bootstrap = false;
        }
        cluster.until_all_vote().await;
        cluster
    }

    async fn bind(&self, at: usize, settings: Settings) -> Bound {
        let bound = ControlServer::bind(settings).await.unwrap();
        match self.disks.get(at) {
            Some(disk) => bound.with_store(Arc::new(Faulty(disk.clone()))),
            None => bound,
        }
    }

    /// The disk of an instance.
    pub fn disk(&self, at: usize) -> &FaultyDisk {
        &self.disks[at]
    }

    /// Waits until an instance takes part again, and can prove that it is current.
    pub async fn until_well(&self, at: usize) {
        let mut looks = Looks::default();
        loop {
            let status = self.status(at).await;
            let replica = &status["replica"];
            if replica["fault"].is_null() && replica["votes"] == true && status["current"] == true {
                return;
            }
            looks.pause().await;
        }
    }

    /// The instance at a place.
    pub fn at(&self, at: usize) -> &Running {
        self.running[at].as_ref().unwrap()
    }

    /// Kills an instance.
    pub async fn kill(&mut self, at: usize) {
        self.running[at].take().unwrap().kill().await;
    }

    /// Starts a killed instance again, at other ports.
    pub async fn restart(&mut self, at: usize) {
        let bound = self.bind(at, self.settings[at].clone()).await;
        self.links
            .iter()
            .filter(|((_, to), _)| *to == at)
            .for_each(|(_, link)| {
                link.lead_to(bound.peer_address());
            });
        let replicas = self.replicas(at, bound.peer_address());
        self.running[at] = Some(bound.start(replicas).await.unwrap());
    }

    /// Lets an instance be told to found a system at its next start.
    pub fn tell_to_found(&mut self, at: usize) {
        self.settings[at].bootstrap = true;
    }

    /// Empties the data folder of a killed instance.
    pub fn empty_folder(&mut self, at: usize) {
        let folder = tempfile::tempdir().unwrap();
        self.settings[at].data_folder = folder.path().into();
        self.folders[at] = folder;
    }

    /// Cuts or heals all links of an instance.
    pub fn isolate(&self, at: usize, cut: bool) {
        self.links
            .iter()
            .filter(|((from, to), _)| *from == at || *to == at)
            .for_each(|(_, link)| {
                link.open.send_replace(!cut);
            });
    }

    /// Lets every open connection carry nothing any more; new ones work.
    pub fn silence(&self) {
        for link in self.links.values() {
            link.silences.send_modify(|count| *count += 1);
        }
    }

    /// The status as an instance tells it.
    pub async fn status(&self, at: usize) -> Value {
        let admin = self.at(at).admin_address();
        support::call(admin, ADA, "GET /v1/status", &Value::Null)
            .await
            .1
    }

    /// Waits until some instance leads and proves it, and returns its place.
    pub async fn leader(&self) -> usize {
        let mut looks = Looks::default();
        loop {
            for at in self.alive() {
                let status = self.status(at).await;
                if status["replica"]["role"] == "leader" && status["current"] == true {
                    return at;
                }
            }
            looks.pause().await;
        }
    }

    /// Waits until every running instance has a vote in its present life.
    pub async fn until_all_vote(&self) {
        let mut looks = Looks::default();
        for at in self.alive() {
            while self.status(at).await["replica"]["votes"] != true {
                looks.pause().await;
            }
        }
    }

    /// Waits until an instance shows a revision.
    pub async fn until_revision(&self, at: usize, revision: u64) {
        let mut looks = Looks::default();
        loop {
            let status = self.status(at).await;
            if status["current"] == true && status["revision"] == revision {
                return;
            }
            looks.pause().await;
        }
    }

    /// Gives an order to the instances in turn until one answers for good, as the operators'
    /// command does.
    pub async fn order(&self, line: &str, body: Value) -> Value {
        let mut looks = Looks::default();
        loop {
            for at in self.alive() {
                let admin = self.at(at).admin_address();
                match support::try_call(admin, ADA, line, &body).await {
                    Some((200, answer)) => return answer,
                    Some((503, _)) | None => {}
                    Some((status, answer)) => panic!("{line} {body}: {status} {answer}"),
                }
            }
            looks.pause().await;
        }
    }

    /// Plans and confirms an intent under two numbers.
    pub async fn accept(&self, number: u64, intent: Value) -> Value {
        let body = json!({ "number": number, "intent": intent });
        let plan = self.order("POST /v1/plans", body).await;
        let line = format!("POST /v1/plans/{}/confirm", plan["plan"]);
        self.order(&line, json!({ "number": number + 1 })).await
    }

    /// The configuration as an instance proves it.
    pub async fn configuration(&self, at: usize) -> Value {
        let admin = self.at(at).admin_address();
        let mut looks = Looks::default();
        loop {
            let line = "GET /v1/configuration";
            if let Some((200, answer)) = support::try_call(admin, ADA, line, &Value::Null).await {
                return answer;
            }
            looks.pause().await;
        }
    }

    /// The places of the instances that run.
    pub fn alive(&self) -> Vec<usize> {
        let is_alive = |at: &usize| self.running[*at].is_some();
        (0..self.running.len()).filter(is_alive).collect()
    }

    fn replicas(&self, at: usize, own: SocketAddr) -> BTreeMap<InstanceId, SocketAddr> {
        (0..self.settings.len())
            .map(|to| {
                let address = self.links.get(&(at, to)).map_or(own, |link| link.address);
                (name(to), address)
            })
            .collect()
    }
}

/// Settings of the instance at a place, with short times.
pub fn fast_settings(at: usize, folder: impl Into<PathBuf>) -> Settings {
    Settings {
        instance: name(at),
        election_timeout: Duration::from_millis(400),
        replica_heartbeat: Duration::from_millis(50),
        propose_timeout: Duration::from_millis(1_500),
        ..support::settings(folder)
    }
}

/// The name of the instance at a place.
pub fn name(at: usize) -> InstanceId {
    format!("c-{}", at + 1).parse().unwrap()
}

/// An account whose rate tells the change that made it.
pub fn account(rate: u64) -> Value {
    json!({"put_account": {"account": "wisla", "rate": rate, "burst": 10}})
}
