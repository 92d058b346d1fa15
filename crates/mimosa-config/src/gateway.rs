//! The gateway role.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::control::SeedAddress;
use crate::reader::Faults;
use crate::reader::Reader;
use crate::value::Ratio;

/// The gateway role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Control instances that may know the others.
    pub seeds: Vec<IpAddr>,
    /// The port at which control instances listen to gateways.
    pub control_port: u16,
    /// Time that work in hand may take after a shutdown was asked.
    pub drain_time: Duration,
    /// Silence after which a control instance counts as lost.
    pub control_silence: Duration,
    /// Retries that each request allows, all gateways together.
    pub retry_ratio: Ratio,
    /// Retries of a service besides, all gateways together.
    pub retry_slack: u64,
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
        }
    }
}

impl GatewaySettings {
    /// The same settings with the defaults for what a running gateway takes anew.
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

    pub(crate) fn read(mut reader: Reader<'_, '_>, faults: &mut Faults) -> Self {
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
        };
        if settings.seeds.is_empty() {
            let help = "list the addresses of some control instances";
            faults.add(reader.span("seeds"), "there are no seeds", help);
        }
        reader.finish(faults);
        settings
    }
}
