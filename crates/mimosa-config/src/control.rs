//! Settings of the control role.

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
use crate::reader::TableReader;
use crate::value::CallRate;
use crate::value::Ratio;
use crate::value::parse_digest;

/// Maximum number of control instances in a cluster.
const MAX_REPLICAS: usize = 9;

/// The table `[control]`: settings of a control instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Directory of all persistent data.
    pub data_folder: PathBuf,
    /// Address on which operators connect.
    pub admin_listen: SocketAddr,
    /// Address on which entries connect.
    pub entry_listen: SocketAddr,
    /// Address on which other control instances connect.
    pub peer_listen: SocketAddr,
    /// All control instances at the first start, including this one; empty for a single instance.
    pub replicas: Vec<Replica>,
    /// Operators that may change the configuration.
    pub operators: Vec<Operator>,
    /// Settings for serving gateways instead of entries, with discovery of the control instances;
    /// `None` if all control instances are listed in `replicas`.
    pub routing: Option<ControlRouting>,
    /// Interval between heartbeats to an entry; more than zero.
    pub heartbeat: Duration,
    /// Time for which entries accept API keys without confirmation that their configuration is up
    /// to date; must match the entries' settings.
    pub key_lease: Duration,
}

/// The table `[control.routing]`: settings for serving gateways. The control instances are named by their IP addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlRouting {
    /// Address on which metrics are served; `None` serves no metrics.
    pub metrics: Option<SocketAddr>,
    /// Addresses of control instances, from which the others are discovered.
    pub seeds: Vec<IpAddr>,
    /// Whether to bootstrap a new cluster together with the seeds, at the first start of the
    /// system.
    pub found: bool,
    /// Address from which the list of endpoints is read.
    pub endpoint_list: SocketAddr,
    /// Maximum rate of calls to the endpoint list, across all instances.
    pub list_call_rate: CallRate,
    /// Interval between reads of the endpoint list.
    pub list_interval: Duration,
    /// Number of control instances that may fail at once. There are twice as many voters plus one.
    pub tolerated_losses: u32,
    /// Time without a message from the leader after which a control instance starts an election.
    pub election_timeout: Duration,
    /// Time for which a former leader may still send orders to engines.
    pub order_lease: Duration,
    /// Ratio by which the usage of the accounts may exceed their quotas; 0.1 allows 10 % more.
    pub quota_overage: Ratio,
    /// Additional tokens by which the usage may exceed the quotas.
    pub quota_slack: Tokens,
    /// Part of a service's requests that a version under test may get in a rollout, at most 1.
    pub exposure_share: Ratio,
    /// Requests that it may get beyond that part.
    pub exposure_slack: u64,
    /// Time within which requests to a bad version must end.
    pub rollback_time: Duration,
}

impl ControlRouting {
    fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Self {
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
            exposure_share: reader.or("exposure_share", default.exposure_share, faults),
            exposure_slack: reader.or("exposure_slack", default.exposure_slack, faults),
            rollback_time: reader.duration("rollback_time", default.rollback_time, faults),
        };
        if settings.exposure_share.0 > 1_000 {
            let help = "a share is at most 1";
            faults.add(
                reader.span("exposure_share"),
                "'exposure_share' is above 1",
                help,
            );
        }
        if settings.rollback_time.is_zero() {
            let help = "5s is the default";
            faults.add(
                reader.span("rollback_time"),
                "'rollback_time' is zero",
                help,
            );
        }
        if settings.seeds.is_empty() {
            let help = "list the addresses of some control instances";
            faults.add(reader.span("seeds"), "no seeds are configured", help);
        }
        reader.report_unknown_fields(faults);
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
            // An endpoint must receive no new requests a few seconds after it disappears from the
            // list.
            list_interval: Duration::from_secs(1),
            tolerated_losses: 1,
            // Several times the duration of a sync on a slow disk plus a round trip within a
            // region.
            election_timeout: Duration::from_millis(500),
            order_lease: Duration::from_secs(3),
            quota_overage: Ratio(0),
            quota_slack: Tokens(0),
            exposure_share: Ratio(100),
            exposure_slack: 50,
            rollback_time: Duration::from_secs(5),
        }
    }
}

/// The address of a seed, with or without a port. The port is ignored.
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

/// A table `[[control.replicas]]`: a control instance of the first start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Name of the instance, as in its own `[instance]` table.
    pub id: InstanceId,
    /// The `peer_listen` address of the instance.
    pub address: SocketAddr,
}

/// A table `[[control.operators]]`: an operator, who may change the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator, which the audit trail records with each order.
    pub id: OperatorId,
    /// SHA-256 digest of the operator's key, as `mimosaswitch key` prints it.
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
    /// Returns the settings with defaults for all fields that a running control instance can
    /// reload.
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

    pub(crate) fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Option<Self> {
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
        reader.report_unknown_fields(faults);
        data_folder.map(|_| settings)
    }

    fn check(&self, reader: &TableReader<'_, '_>, faults: &mut Faults) {
        if self.replicas.len() > MAX_REPLICAS {
            let help = "list 3 or 5; the maximum is 9";
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
    fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Option<Self> {
        let id = reader.required("id", faults);
        let address = reader.required("address", faults);
        reader.report_unknown_fields(faults);
        Some(Self {
            id: id?,
            address: address?,
        })
    }
}

/// A digest in the notation of a settings file.
#[derive(Clone)]
struct DigestText(Sha256Digest);

impl FromStr for DigestText {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_digest(text).map(Self)
    }
}

impl Operator {
    fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Option<Self> {
        let id = reader.required("id", faults);
        let digest: Option<DigestText> = reader.required("key_digest", faults);
        reader.report_unknown_fields(faults);
        Some(Self {
            id: id?,
            key_digest: digest?.0,
        })
    }
}
