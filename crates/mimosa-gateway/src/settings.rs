//! Settings of a gateway.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use mimosa_hold::retry::RetrySettings;
use mimosa_protocol::ByteSize;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Features;
use mimosa_protocol::InstanceId;

pub use mimosa_memory::sizes::ProcessLimits;

/// Settings of a gateway instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identifier of this instance, under which control instances track its requests; unique in the
    /// cluster.
    pub instance: InstanceId,
    /// Name of the cluster; control instances of another cluster reject the gateway.
    pub cluster: String,
    /// Data centre in which the gateway runs; endpoints and control instances in it are preferred.
    pub data_centre: DataCentreId,
    /// Listen address for clients; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Listen address of the readiness probe; port 0 selects a free port.
    pub readiness: SocketAddr,
    /// Listen address of the metrics server; `None` disables it.
    pub metrics: Option<SocketAddr>,
    /// Port on which control instances accept gateway connections.
    pub control_port: u16,
    /// Memory and descriptors that the process may use.
    pub limits: ProcessLimits,
    /// Bytes of request bodies that one endpoint holds for all gateways together, where the memory of
    /// the process is limited.
    pub endpoint_bodies: ByteSize,
    /// Features that are enabled.
    pub features: Features,
    /// Settings that can change while the gateway runs.
    pub reloadable: Reloadable,
}

/// Default of [`Settings::endpoint_bodies`]: 16 bodies of the largest size.
pub const DEFAULT_ENDPOINT_BODIES: ByteSize = ByteSize(64 << 20);

/// Settings that a running gateway can reload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reloadable {
    /// Control instances to contact first, identified by their IP addresses.
    pub seeds: BTreeSet<InstanceId>,
    /// Time without messages after which the connection to a control instance is considered lost.
    pub control_silence: Duration,
    /// Time after a shutdown request within which requests in flight must finish; requests accepted
    /// meanwhile get the same time again.
    pub drain_time: Duration,
    /// Retry limits that apply to each service separately.
    pub retries: RetryLimits,
}

/// Retry limits of a service, summed over all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimits {
    /// Retries allowed per 1000 requests.
    pub permille: u64,
    /// Retries allowed in addition, independent of the number of requests.
    pub slack: u64,
}

impl Default for Reloadable {
    fn default() -> Self {
        Self {
            seeds: BTreeSet::new(),
            control_silence: Duration::from_secs(3),
            drain_time: Duration::from_secs(7),
            retries: RetryLimits::default(),
        }
    }
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            permille: 200,
            slack: 20,
        }
    }
}

impl RetryLimits {
    /// Settings of the retry budget of one of `gateways`. Only half of the limits is used, because
    /// clients retry as well and the number of gateways changes.
    pub fn share(self, gateways: u32) -> RetrySettings {
        /// Time in which one retry is earned without any request.
        const RETRY_INTERVAL: Duration = Duration::from_secs(10);
        RetrySettings {
            deposit_permille: self.permille / 2,
            max_balance: (self.slack / 2 / u64::from(gateways.max(1))).max(1),
            refill_interval: RETRY_INTERVAL,
            ..RetrySettings::default()
        }
    }
}
