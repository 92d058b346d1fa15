//! What a control instance is told at its start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use mimosa_consensus::VoterPolicy;
use mimosa_limit::quota::Tolerance;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::OperatorId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::hash::Sha256Digest;

/// The life of every replica that founds a system together with others. Later lives are numbered
/// by their start in microseconds and are higher.
pub const FOUNDERS_LIFE: Incarnation = Incarnation(1);

/// The settings of a control instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this instance.
    pub instance: InstanceId,
    /// The name of the system; instances of another one are refused.
    pub cluster: String,
    /// Where it stands, if that matters to those who connect.
    pub data_centre: Option<DataCentreId>,
    /// Where everything that must survive is kept.
    pub data_folder: PathBuf,
    /// Where operators connect by HTTP.
    pub admin_listen: SocketAddr,
    /// Where entries connect.
    pub entry_listen: SocketAddr,
    /// Where other control instances connect.
    pub peer_listen: SocketAddr,
    /// Every control instance with its peer address, this one included. Empty means that this
    /// instance is alone.
    pub replicas: BTreeMap<InstanceId, SocketAddr>,
    /// Whether an empty data folder founds a new system. Ask for it once, at the first start of the
    /// first control instance: an instance that lost its disk has to join instead. It does so even
    /// if this is asked for again, as long as it reaches another instance of the system.
    pub bootstrap: bool,
    /// Instances that found the system together, each on an empty disk; empty if one founds it.
    pub initial_voters: BTreeSet<InstanceId>,
    /// How instances that are not listed are found; `None` if all are listed.
    pub discovery: Option<Discovery>,
    /// How long an earlier leader may still give orders to engines.
    pub order_lease: Duration,
    /// Where metrics of an instance for gateways are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// How many voters there are, and how those that are gone are replaced.
    pub voter_policy: Option<VoterPolicy>,
    /// How far accounts of gateways may go beyond their quotas.
    pub quota_tolerance: Tolerance,
    /// Silence after which another control instance stands for election.
    pub election_timeout: Duration,
    /// Time between two heartbeats of the leader to the other control instances.
    pub replica_heartbeat: Duration,
    /// Log entries between two snapshots.
    pub snapshot_after: u64,
    /// Operators with the digests of their keys.
    pub operators: BTreeMap<OperatorId, Sha256Digest>,
    /// Time between two proofs of freshness to each entry.
    pub heartbeat: Duration,
    /// How long entries honour keys without such a proof. Must be what the entries are told.
    pub key_lease: Duration,
    /// How long an order or a call waits for its quorum.
    pub propose_timeout: Duration,
    /// How long the answer to a confirm waits for entries to report the revision.
    pub confirm_wait: Duration,
    /// How long an entry that is not connected is still listed.
    pub forget_entry_after: Duration,
}

/// The settings that a running control instance of gateways takes anew.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reloadable {
    /// Instances that may know the others.
    pub seeds: BTreeSet<InstanceId>,
    /// How far accounts of gateways may go beyond their quotas.
    pub quota_tolerance: Tolerance,
}

/// How control instances find each other when they are named by their IP addresses.
#[derive(Clone, Debug, Default)]
pub struct Discovery {
    /// Instances that may know the others.
    pub seeds: BTreeSet<InstanceId>,
    /// The port at which every control instance listens to the others.
    pub port: u16,
}

impl Discovery {
    /// Where an instance that is named by its IP address listens to the others.
    pub fn address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let ip: IpAddr = instance.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.port))
    }
}

impl Settings {
    /// Whether an empty data folder founds a system: when asked to, or when there is no other
    /// control instance that could know one.
    pub fn founds(&self) -> bool {
        let is_alone = self.discovery.is_none() && self.peers().next().is_none();
        self.bootstrap || is_alone
    }

    /// The number of a life that starts with an empty disk. The founders of a system know each
    /// other's before they start.
    pub fn new_incarnation(&self, now: Timestamp) -> Incarnation {
        if self.bootstrap && self.initial_voters.contains(&self.instance) {
            FOUNDERS_LIFE
        } else {
            Incarnation(now.as_micros())
        }
    }

    /// The other control instances.
    pub fn peers(&self) -> impl Iterator<Item = (&InstanceId, &SocketAddr)> {
        self.replicas
            .iter()
            .filter(|(instance, _)| **instance != self.instance)
    }

    /// How long after its confirm a withdrawal can still be unknown to an entry that honours keys:
    /// the key lease, and one heartbeat for a proof that was on its way.
    pub fn in_force_bound(&self) -> Duration {
        self.key_lease + self.heartbeat
    }
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            instance: "control-1".parse().expect("the name is valid"),
            cluster: "mimosaswitch".to_owned(),
            data_centre: None,
            data_folder: PathBuf::from("mimosaswitch-data"),
            admin_listen: any_port,
            entry_listen: any_port,
            peer_listen: any_port,
            replicas: BTreeMap::new(),
            bootstrap: false,
            initial_voters: BTreeSet::new(),
            discovery: None,
            order_lease: Duration::from_secs(3),
            metrics: None,
            voter_policy: None,
            quota_tolerance: Tolerance::default(),
            election_timeout: Duration::from_millis(1_000),
            replica_heartbeat: Duration::from_millis(100),
            snapshot_after: 4_096,
            operators: BTreeMap::new(),
            heartbeat: Duration::from_millis(250),
            key_lease: Duration::from_secs(3),
            propose_timeout: Duration::from_secs(3),
            confirm_wait: Duration::from_secs(2),
            forget_entry_after: Duration::from_secs(3_600),
        }
    }
}
