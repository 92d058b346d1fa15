//! What a gateway is told at its start.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use mimosa_hold::retry::RetrySettings;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::InstanceId;

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this instance.
    pub instance: InstanceId,
    /// The name of the system; control instances of another one refuse it.
    pub cluster: String,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// The port at which control instances listen to gateways.
    pub control_port: u16,
    /// What may change while the gateway runs.
    pub reloadable: Reloadable,
}

/// The settings that a running gateway takes anew.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reloadable {
    /// Control instances that may know the others, named by their IP addresses.
    pub seeds: BTreeSet<InstanceId>,
    /// Silence after which a control instance counts as lost.
    pub control_silence: Duration,
    /// Time that work in hand may take after a shutdown was asked.
    pub drain_time: Duration,
    /// The retries of each service at this gateway.
    pub retries: Retries,
}

/// The retries that a service may get, all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retries {
    /// Thousandths of a retry that each request allows.
    pub permille: u64,
    /// Retries besides.
    pub slack: u64,
}

impl Default for Reloadable {
    fn default() -> Self {
        Self {
            seeds: BTreeSet::new(),
            control_silence: Duration::from_secs(3),
            drain_time: Duration::from_secs(7),
            retries: Retries::default(),
        }
    }
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            permille: 200,
            slack: 20,
        }
    }
}

impl Retries {
    /// The part of one gateway of several. Half of what is allowed is used: callers repeat
    /// requests as well, and gateways come and go.
    pub fn share(self, gateways: u32) -> RetrySettings {
        /// Time without any request in which one retry is earned.
        const TRICKLE: Duration = Duration::from_secs(10);
        RetrySettings {
            deposit_permille: self.permille / 2,
            max_balance: (self.slack / 2 / u64::from(gateways.max(1))).max(1),
            refill_interval: TRICKLE,
            ..RetrySettings::default()
        }
    }
}
