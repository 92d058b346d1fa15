//! The memory account of a gateway: sizes, gauges, and log lines on changes of pressure.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use mimosa_memory::Memory;
use mimosa_memory::Usage;
use mimosa_memory::sizes::ProcessLimits;
use mimosa_memory::sizes::ProcessSizes;
use mimosa_transport::pressure_log::PressureLog;
use tokio::time::sleep;

use crate::shared::Shared;

/// Interval at which stalled bodies are closed and the pressure is evaluated. One timer of the process
/// replaces one for each body.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Time without progress after which a body is closed although there is room. A client may pause for
/// 2 s; the kernel closes connections to vanished clients after 9 s.
const STALLED_BODY_TIME: Duration = Duration::from_secs(10);
/// The same where memory is not limited, so that readers that vanished are closed as well: the kernel notices
/// them only while nothing is on its way to them.
const UNLIMITED_STALLED_TIME: Duration = Duration::from_secs(60);
/// Memory of a client connection: up to 24 KiB of read buffer, and its task. Measured: 16 KiB idle,
/// 34 KiB with a head of 15 KB (debug build).
const CONNECTION_BYTES: u64 = 32 << 10;
/// Receive buffer of connections where memory is limited. Linux doubles it.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Receive buffer of a connection with a large body, of which the account admits few.
const LARGE_RECEIVE_BUFFER_BYTES: usize = 128 << 10;

/// The memory account and what follows from the limits of the process.
pub(crate) struct GatewayMemory {
    pub(crate) account: Memory,
    limits: ProcessLimits,
    /// Largest number of client connections.
    pub(crate) max_connections: usize,
    /// Largest number of connections to endpoints.
    pub(crate) max_endpoint_connections: u32,
}

impl GatewayMemory {
    pub(crate) fn new(limits: ProcessLimits) -> Self {
        let sizes = ProcessSizes::of(&limits);
        Self {
            account: Memory::new(sizes.account),
            limits,
            max_connections: sizes.max_connections(limits.descriptors, CONNECTION_BYTES),
            max_endpoint_connections: sizes.max_endpoint_connections(limits.descriptors),
        }
    }

    /// Whether the settings limit the memory of the process.
    pub(crate) const fn is_limited(&self) -> bool {
        self.limits.is_limited
    }

    /// Receive buffer of new connections; `None` keeps that of the system.
    pub(crate) fn receive_buffer(&self) -> Option<usize> {
        self.is_limited().then_some(RECEIVE_BUFFER_BYTES)
    }

    /// Receive buffer of a connection with a large body; `None` keeps that of the system.
    pub(crate) fn large_receive_buffer(&self) -> Option<usize> {
        self.is_limited().then_some(LARGE_RECEIVE_BUFFER_BYTES)
    }
}

/// Closes stalled bodies, updates the gauges, and logs changes of pressure.
pub(crate) async fn watch(shared: Arc<Shared>) {
    let memory = &shared.memory;
    let sizes = memory.account.sizes();
    info!(
        "event=memory limit={} account={} reserved={} connections={} endpoint_connections={}",
        memory.limits.memory,
        sizes.total(),
        sizes.reserved,
        memory.max_connections,
        memory.max_endpoint_connections
    );
    let mut log = PressureLog::default();
    let mut before = Usage::default();
    loop {
        sleep(WATCH_INTERVAL).await;
        let now = shared.now();
        let stalled_time = match memory.is_limited() {
            true => STALLED_BODY_TIME,
            false => UNLIMITED_STALLED_TIME,
        };
        memory.account.evict_stalled(now, stalled_time);
        let usage = memory.account.usage();
        let open = shared.client_connections.open();
        let closed = shared.client_connections.closed_for_room();
        let pressure = log.update(now, &usage, sizes.general, open, closed);
        shared.metrics.set_memory(&usage, pressure, open);
        shared.metrics.add_rejections(
            usage.evicted - before.evicted,
            usage.stalled - before.stalled,
            usage.refused - before.refused,
        );
        before = usage;
    }
}
