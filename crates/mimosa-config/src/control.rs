//! The control role.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use mimosa_protocol::InstanceId;
use mimosa_protocol::OperatorId;
use mimosa_protocol::Tokens;
use mimosa_protocol::hash::Sha256Digest;

use crate::reader::Faults;
use crate::reader::Reader;
use crate::value::CallRate;
use crate::value::Ratio;
use crate::value::parse_digest;

/// Most control instances of a cluster.
const MAX_REPLICAS: usize = 9;

/// The control role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Folder of everything that it stores.
    pub data_folder: PathBuf,
    /// Where operators connect.
    pub admin_listen: SocketAddr,
    /// Where entries connect.
    pub entry_listen: SocketAddr,
    /// Where other control instances connect.
    pub peer_listen: SocketAddr,
    /// All control instances at the first start, this one included; empty for a single one.
    pub replicas: Vec<Replica>,
    /// Who may change things.
    pub operators: Vec<Operator>,
    /// Gateways instead of entries, and control instances that find each other; `None` if every
    /// control instance is listed.
    pub routing: Option<ControlRouting>,
    /// Time between two heartbeats to an entry.
    pub heartbeat: Duration,
    /// Time that entries honour keys without a proof of freshness, as their settings say.
    pub key_lease: Duration,
}

/// Control of gateways, by instances that are named by their IP addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlRouting {
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Control instances that may know the others.
    pub seeds: Vec<IpAddr>,
    /// Whether the system starts for the first time: the seeds then found it together.
    pub found: bool,
    /// Where the list of endpoints is read.
    pub endpoint_list: SocketAddr,
    /// Calls a second that the list takes from all instances together.
    pub list_call_rate: CallRate,
    /// Time between two reads of the list.
    pub list_interval: Duration,
    /// Control instances that may be lost at once: there are twice as many voters and one more.
    pub tolerated_losses: u32,
    /// Silence after which a control instance stands for election.
    pub election_timeout: Duration,
    /// How long an earlier leader may still give orders to engines.
    pub order_lease: Duration,
    /// How far the accounts' use may go beyond their quotas.
    pub quota_overage: Ratio,
    /// Tokens by which it may go beyond them besides.
    pub quota_slack: Tokens,
}

impl ControlRouting {
    fn read(mut reader: Reader<'_, '_>, faults: &mut Faults) -> Self {
        let default = Self::default();
        let settings = Self {
            seeds: reader
                .list::<SeedAddress>("seeds", faults)
                .into_iter()
                .map(|seed| seed.0)
                .collect(),
            metrics: reader.optional("metrics", faults),
            found: reader.or("found", default.found, faults),
            endpoint_list: reader.or("endpoint_list", default.endpoint_list, faults),
            list_call_rate: reader.or("list_call_rate", default.list_call_rate, faults),
            list_interval: reader.duration("list_interval", default.list_interval, faults),
            tolerated_losses: reader.or("tolerated_losses", default.tolerated_losses, faults),
            election_timeout: reader.duration("election_timeout", default.election_timeout, faults),
            order_lease: reader.duration("order_lease", default.order_lease, faults),
            quota_overage: reader.or("quota_overage", default.quota_overage, faults),
            quota_slack: reader.or("quota_slack", default.quota_slack, faults),
        };
        if settings.seeds.is_empty() {
            let help = "list the addresses of some control instances";
            faults.add(reader.span("seeds"), "there are no seeds", help);
        }
        reader.finish(faults);
        settings
    }
}

impl Default for ControlRouting {
    fn default() -> Self {
        Self {
            metrics: None,
            seeds: Vec::new(),
            found: false,
            endpoint_list: SocketAddr::from((Ipv4Addr::LOCALHOST, 8361)),
            list_call_rate: CallRate::default(),
            // An endpoint that leaves must get no new work a few seconds after the list shows it.
            list_interval: Duration::from_secs(1),
            tolerated_losses: 1,
            // Some times what a sync of a slow disk and a round trip inside a region take together.
            election_timeout: Duration::from_millis(500),
            order_lease: Duration::from_secs(3),
            quota_overage: Ratio(0),
            quota_slack: Tokens(0),
        }
    }
}

/// A seed, with or without a port; the port does not count.
pub(crate) struct SeedAddress(pub(crate) IpAddr);

impl FromStr for SeedAddress {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let with_port = text.parse().map(|address: SocketAddr| address.ip());
        with_port
            .or_else(|_| text.parse())
            .map(Self)
            .map_err(|_| "write an IP address, with or without a port")
    }
}

/// A control instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Its name.
    pub id: InstanceId,
    /// Its `peer_listen`.
    pub address: SocketAddr,
}

/// An operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The operator's name.
    pub id: OperatorId,
    /// Digest of the operator's key, as `mimosaswitch key` prints it.
    pub key_digest: Sha256Digest,
}

impl Default for ControlSettings {
    fn default() -> Self {
        let localhost = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            data_folder: PathBuf::from("data"),
            admin_listen: localhost(7300),
            entry_listen: localhost(7301),
            peer_listen: localhost(7302),
            replicas: Vec::new(),
            operators: Vec::new(),
            routing: None,
            heartbeat: Duration::from_millis(250),
            key_lease: Duration::from_secs(4),
        }
    }
}

impl ControlSettings {
    /// The same settings with the defaults for what a running control instance takes anew.
    pub(crate) fn without_reloadable(&self) -> Self {
        let routing = self.routing.as_ref().map(|routing| {
            let default = ControlRouting::default();
            ControlRouting {
                seeds: default.seeds,
                quota_overage: default.quota_overage,
                quota_slack: default.quota_slack,
                ..routing.clone()
            }
        });
        Self {
            routing,
            ..self.clone()
        }
    }

    pub(crate) fn read(mut reader: Reader<'_, '_>, faults: &mut Faults) -> Option<Self> {
        let default = Self::default();
        let data_folder = reader.required("data_folder", faults);
        let settings = Self {
            data_folder: data_folder.clone().unwrap_or(default.data_folder),
            admin_listen: reader.or("admin_listen", default.admin_listen, faults),
            entry_listen: reader.or("entry_listen", default.entry_listen, faults),
            peer_listen: reader.or("peer_listen", default.peer_listen, faults),
            replicas: reader
                .tables("replicas", faults)
                .into_iter()
                .filter_map(|reader| Replica::read(reader, faults))
                .collect(),
            operators: reader
                .tables("operators", faults)
                .into_iter()
                .filter_map(|reader| Operator::read(reader, faults))
                .collect(),
            routing: reader
                .table("routing", faults)
                .map(|reader| ControlRouting::read(reader, faults)),
            heartbeat: reader.duration("heartbeat", default.heartbeat, faults),
            key_lease: reader.duration("key_lease", default.key_lease, faults),
        };
        settings.check(&reader, faults);
        reader.finish(faults);
        data_folder.map(|_| settings)
    }

    fn check(&self, reader: &Reader<'_, '_>, faults: &mut Faults) {
        if self.replicas.len() > MAX_REPLICAS {
            let help = "list 3 or 5; 9 is the most";
            faults.add(reader.span("replicas"), "too many control instances", help);
        }
        if self.operators.is_empty() && self.routing.is_none() {
            let help = "add [[control.operators]] with id and key_digest";
            faults.add(
                reader.span("operators"),
                "nobody could change anything",
                help,
            );
        }
        if self.heartbeat.is_zero() {
            faults.add(
                reader.span("heartbeat"),
                "'heartbeat' is zero",
                "250ms is the default",
            );
        }
    }
}

impl Replica {
    fn read(mut reader: Reader<'_, '_>, faults: &mut Faults) -> Option<Self> {
        let id = reader.required("id", faults);
        let address = reader.required("address", faults);
        reader.finish(faults);
        Some(Self {
            id: id?,
            address: address?,
        })
    }
}

/// A digest as it is written.
#[derive(Clone)]
struct Digest(Sha256Digest);

impl FromStr for Digest {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_digest(text).map(Self)
    }
}

impl Operator {
    fn read(mut reader: Reader<'_, '_>, faults: &mut Faults) -> Option<Self> {
        let id = reader.required("id", faults);
        let digest: Option<Digest> = reader.required("key_digest", faults);
        reader.finish(faults);
        Some(Self {
            id: id?,
            key_digest: digest?.0,
        })
    }
}
