//! Settings of the entry role.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use mimosa_protocol::ByteSize;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::InstanceId;

use crate::reader::Faults;
use crate::reader::TableReader;

/// The table `[entry]`: settings of a process that accepts client requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address on which other entries connect, by TCP and UDP.
    pub peer_listen: SocketAddr,
    /// Addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Entries that this one connects to; one with its own name is ignored.
    pub peers: Vec<Peer>,
    /// Address of the platform's instance list, if there is one.
    pub platform: Option<SocketAddr>,
    /// Timing of the membership protocol; must be the same at all entries of a data centre.
    pub membership: MembershipTimes,
    /// Limits on client requests, and time-outs.
    pub limits: EntryLimits,
}

/// The table `[entry.membership]`: timing of the membership protocol within a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipTimes {
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Time for which a role is held after the last heartbeat that a quorum acknowledged; at least
    /// three heartbeats.
    pub lease: Duration,
}

/// A table `[[entry.peers]]`: another entry of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the entry, as in its own `[instance]` table.
    pub id: InstanceId,
    /// Data centre of the entry, as in its own `[instance]` table.
    pub data_centre: DataCentreId,
    /// The `peer_listen` address of the entry.
    pub address: SocketAddr,
}

/// The table `[entry.limits]`: limits on client requests, and time-outs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryLimits {
    /// Maximum size of a request head; at least 8 KiB.
    pub head: ByteSize,
    /// Maximum size of a request body.
    pub body: ByteSize,
    /// Time within which a client must send the request head.
    pub head_time: Duration,
    /// Time within which a client must send the request body.
    pub body_time: Duration,
    /// Maximum number of concurrent client connections; at least 1.
    pub connections: u32,
    /// Time without data from an endpoint after which the attempt counts as failed.
    pub endpoint_silence: Duration,
    /// Time that running requests have to finish after a shutdown was requested.
    pub drain_time: Duration,
    /// Time for which API keys are accepted without confirmation that the configuration is up to
    /// date.
    pub key_lease: Duration,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8080)),
            peer_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8081)),
            control: Vec::new(),
            peers: Vec::new(),
            platform: None,
            membership: MembershipTimes::default(),
            limits: EntryLimits::default(),
        }
    }
}

impl Default for MembershipTimes {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            lease: Duration::from_millis(1_500),
        }
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            head: ByteSize(32 << 10),
            body: ByteSize(4 << 20),
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(30),
            connections: 10_000,
            endpoint_silence: Duration::from_secs(30),
            drain_time: Duration::from_secs(120),
            key_lease: Duration::from_secs(4),
        }
    }
}

impl EntrySettings {
    pub(crate) fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Self {
        let default = Self::default();
        let settings = Self {
            listen: reader.or("listen", default.listen, faults),
            peer_listen: reader.or("peer_listen", default.peer_listen, faults),
            control: reader.list("control", faults),
            peers: reader
                .tables("peers", faults)
                .into_iter()
                .filter_map(|reader| Peer::read(reader, faults))
                .collect(),
            platform: reader.optional("platform", faults),
            membership: reader
                .table("membership", faults)
                .map(|reader| MembershipTimes::read(reader, faults))
                .unwrap_or_default(),
            limits: reader
                .table("limits", faults)
                .map(|reader| EntryLimits::read(reader, faults))
                .unwrap_or_default(),
        };
        if settings.control.is_empty() {
            let help = "add control = [\"10.0.0.1:7301\"]";
            faults.add(
                reader.span("control"),
                "an entry needs a control instance",
                help,
            );
        }
        reader.report_unknown_fields(faults);
        settings
    }
}

impl MembershipTimes {
    fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Self {
        let default = Self::default();
        let times = Self {
            heartbeat: reader.duration("heartbeat", default.heartbeat, faults),
            lease: reader.duration("lease", default.lease, faults),
        };
        if times.heartbeat.is_zero() || times.lease < times.heartbeat * 3 {
            let help = "the lease must outlast three heartbeats";
            faults.add(reader.span("lease"), "'lease' is too short", help);
        }
        reader.report_unknown_fields(faults);
        times
    }
}

impl Peer {
    fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Option<Self> {
        let id = reader.required("id", faults);
        let data_centre = reader.required("data_centre", faults);
        let address = reader.required("address", faults);
        reader.report_unknown_fields(faults);
        Some(Self {
            id: id?,
            data_centre: data_centre?,
            address: address?,
        })
    }
}

impl EntryLimits {
    fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Self {
        let default = Self::default();
        let limits = Self {
            head: reader.or("head", default.head, faults),
            body: reader.or("body", default.body, faults),
            head_time: reader.duration("head_time", default.head_time, faults),
            body_time: reader.duration("body_time", default.body_time, faults),
            connections: reader.or("connections", default.connections, faults),
            endpoint_silence: reader.duration("endpoint_silence", default.endpoint_silence, faults),
            drain_time: reader.duration("drain_time", default.drain_time, faults),
            key_lease: reader.duration("key_lease", default.key_lease, faults),
        };
        if limits.head < ByteSize(8 << 10) {
            let help = "the HTTP library requires at least 8192 bytes";
            faults.add(reader.span("head"), "'head' is too small", help);
        }
        if limits.connections == 0 {
            faults.add(
                reader.span("connections"),
                "'connections' is zero",
                "allow at least 1",
            );
        }
        reader.report_unknown_fields(faults);
        limits
    }
}
