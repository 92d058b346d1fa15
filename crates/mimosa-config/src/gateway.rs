//! Settings of the gateway role.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use mimosa_protocol::ByteSize;

use crate::control::SeedAddress;
use crate::reader::Faults;
use crate::reader::TableReader;
use crate::value::Ratio;
use crate::value::SizeText;

/// The table `[gateway]`: settings of a process that routes requests to endpoints from a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the readiness probe.
    pub readiness: SocketAddr,
    /// Address on which metrics are served; `None` serves no metrics.
    pub metrics: Option<SocketAddr>,
    /// Addresses of control instances, from which the others are discovered.
    pub seeds: Vec<IpAddr>,
    /// Port on which control instances accept connections of gateways.
    pub control_port: u16,
    /// Time that running requests have to finish after a shutdown was requested.
    pub drain_time: Duration,
    /// Time without a message after which a control instance counts as failed.
    pub control_silence: Duration,
    /// Maximum retries of a service as a ratio of its requests, across all gateways; 0.2 allows one
    /// retry per five requests.
    pub retry_ratio: Ratio,
    /// Retries allowed per service in addition to `retry_ratio`, across all gateways.
    pub retry_slack: u64,
    /// Bytes of request bodies that one endpoint holds for all gateways together.
    pub endpoint_bodies: ByteSize,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        let localhost = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            listen: localhost(8360),
            readiness: localhost(8365),
            metrics: None,
            seeds: Vec::new(),
            control_port: 7501,
            drain_time: Duration::from_secs(7),
            control_silence: Duration::from_secs(3),
            retry_ratio: Ratio(200),
            retry_slack: 20,
            endpoint_bodies: ByteSize(64 << 20),
        }
    }
}

impl GatewaySettings {
    /// Returns the settings with defaults for all fields that a running gateway can reload.
    pub(crate) fn without_reloadable(&self) -> Self {
        let default = Self::default();
        Self {
            seeds: default.seeds,
            drain_time: default.drain_time,
            control_silence: default.control_silence,
            retry_ratio: default.retry_ratio,
            retry_slack: default.retry_slack,
            ..self.clone()
        }
    }

    pub(crate) fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Self {
        let default = Self::default();
        let seeds = reader.list::<SeedAddress>("seeds", faults);
        let settings = Self {
            listen: reader.or("listen", default.listen, faults),
            readiness: reader.or("readiness", default.readiness, faults),
            metrics: reader.optional("metrics", faults),
            seeds: seeds.into_iter().map(|seed| seed.0).collect(),
            control_port: reader.or("control_port", default.control_port, faults),
            drain_time: reader.duration("drain_time", default.drain_time, faults),
            control_silence: reader.duration("control_silence", default.control_silence, faults),
            retry_ratio: reader.or("retry_ratio", default.retry_ratio, faults),
            retry_slack: reader.or("retry_slack", default.retry_slack, faults),
            endpoint_bodies: reader
                .optional("endpoint_bodies", faults)
                .map_or(default.endpoint_bodies, |SizeText(bytes)| ByteSize(bytes)),
        };
        if settings.seeds.is_empty() {
            let help = "list the addresses of some control instances";
            faults.add(reader.span("seeds"), "no seeds are configured", help);
        }
        reader.report_unknown_fields(faults);
        settings
    }
}
