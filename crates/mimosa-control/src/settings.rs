//! Settings of a control instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use mimosa_consensus::VoterPolicy;
use mimosa_limit::quota::Tolerance;
use mimosa_memory::sizes::ProcessLimits;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Features;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::OperatorId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::hash::Sha256Digest;
use mimosa_rollout::exposure::ExposureSettings;

/// Incarnation of every replica that bootstraps a cluster together with others. Later incarnations
/// are the start time in microseconds since 1970 and therefore higher.
pub const INITIAL_INCARNATION: Incarnation = Incarnation(1);

/// The settings of a control instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this instance, unique within the cluster; its IP address with peer discovery.
    pub instance: InstanceId,
    /// The name of the cluster; instances of another cluster are refused.
    pub cluster: String,
    /// The data centre of this instance, sent to gateways.
    pub data_centre: Option<DataCentreId>,
    /// The folder of the durable state; created if it does not exist.
    pub data_folder: PathBuf,
    /// Listen address of the operator HTTP API.
    pub admin_listen: SocketAddr,
    /// Listen address for entries, or for gateways.
    pub entry_listen: SocketAddr,
    /// Listen address for other control instances.
    pub peer_listen: SocketAddr,
    /// The peer address of every control instance, including this one. Empty for a single-instance
    /// cluster.
    pub replicas: BTreeMap<InstanceId, SocketAddr>,
    /// Whether an empty data folder bootstraps a new cluster. Set it once, at the first start of
    /// the first control instance: an instance that lost its disk must join instead. It also joins
    /// with this set, as long as it reaches another instance of the cluster.
    pub bootstrap: bool,
    /// Instances that bootstrap the cluster together, each on an empty disk. Empty if one instance
    /// bootstraps it alone.
    pub initial_voters: BTreeSet<InstanceId>,
    /// Discovery of instances missing from `replicas`; `None` if all are listed there.
    pub discovery: Option<Discovery>,
    /// How long a previous leader may still send orders to engines.
    pub order_lease: Duration,
    /// Listen address of the metrics, for instances that serve gateways.
    pub metrics: Option<SocketAddr>,
    /// Number of voters and replacement of lost ones; `None` makes each instance that asks a voter
    /// and replaces none.
    pub voter_policy: Option<VoterPolicy>,
    /// How far gateway accounts may exceed their quotas.
    pub quota_tolerance: Tolerance,
    /// The limit on the requests to a version under test in a rollout.
    pub exposure: ExposureSettings,
    /// Features that are enabled.
    pub features: Features,
    /// Time without a message of the leader after which a follower starts an election.
    pub election_timeout: Duration,
    /// Interval of the leader's heartbeats to the other control instances.
    pub replica_heartbeat: Duration,
    /// Number of log entries between two snapshots.
    pub snapshot_after: u64,
    /// Operators and the digests of their keys.
    pub operators: BTreeMap<OperatorId, Sha256Digest>,
    /// Interval of the freshness proofs sent to each entry.
    pub heartbeat: Duration,
    /// How long entries accept API keys without a freshness proof. Must equal the setting of the
    /// entries.
    pub key_lease: Duration,
    /// How long an order or a ledger call waits for a quorum.
    pub propose_timeout: Duration,
    /// How long a confirm waits for the entries to report its revision.
    pub confirm_wait: Duration,
    /// How long a disconnected entry is still listed.
    pub entry_retention: Duration,
    /// What the process may use.
    pub limits: ProcessLimits,
}

/// Settings that a running control instance for gateways can reload.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reloadable {
    /// Instances to contact first; they name the others.
    pub seeds: BTreeSet<InstanceId>,
    /// How far gateway accounts may exceed their quotas.
    pub quota_tolerance: Tolerance,
}

/// Peer discovery between control instances that are named by their IP addresses.
#[derive(Clone, Debug, Default)]
pub struct Discovery {
    /// Instances to contact first; they name the others.
    pub seeds: BTreeSet<InstanceId>,
    /// The peer port, the same on every control instance.
    pub port: u16,
}

impl Discovery {
    /// The peer address of an instance; `None` if its name is not an IP address.
    pub fn address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let ip: IpAddr = instance.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.port))
    }
}

impl Settings {
    /// Whether an empty data folder bootstraps a cluster: on request, or if no other control
    /// instance is configured.
    pub fn should_bootstrap(&self) -> bool {
        let is_alone = self.discovery.is_none() && self.peers().next().is_none();
        self.bootstrap || is_alone
    }

    /// The incarnation of a replica that starts on an empty disk. Initial voters share a fixed one,
    /// as they list each other as voters before they start.
    pub fn new_incarnation(&self, now: Timestamp) -> Incarnation {
        if self.bootstrap && self.initial_voters.contains(&self.instance) {
            INITIAL_INCARNATION
        } else {
            Incarnation(now.as_micros())
        }
    }

    /// Names and peer addresses of the other configured control instances.
    pub fn peers(&self) -> impl Iterator<Item = (&InstanceId, &SocketAddr)> {
        self.replicas
            .iter()
            .filter(|(instance, _)| **instance != self.instance)
    }

    /// Upper bound on the time from the confirm of a withdrawal until no entry accepts the key: the
    /// key lease, plus one heartbeat for a freshness proof already in flight.
    pub fn max_propagation_time(&self) -> Duration {
        self.key_lease + self.heartbeat
    }
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            instance: "control-1".parse().expect("the name is valid"),
            cluster: "mimosaswitch".to_owned(),
            limits: ProcessLimits::default(),
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
            exposure: ExposureSettings::default(),
            features: Features::default(),
            election_timeout: Duration::from_millis(1_000),
            replica_heartbeat: Duration::from_millis(100),
            snapshot_after: 4_096,
            operators: BTreeMap::new(),
            heartbeat: Duration::from_millis(250),
            key_lease: Duration::from_secs(3),
            propose_timeout: Duration::from_secs(3),
            confirm_wait: Duration::from_secs(2),
            entry_retention: Duration::from_secs(3_600),
        }
    }
}
