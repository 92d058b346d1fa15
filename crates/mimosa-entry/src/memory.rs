//! The memory account of an entry: sizes, gauges, and log lines on changes of pressure.

use std::sync::Arc;
use std::time::Duration;

use mimosa_memory::Usage;
use mimosa_memory::sizes::ProcessLimits;
use mimosa_memory::sizes::ProcessSizes;
use mimosa_transport::bounded_connections::BoundedConnections;
use mimosa_transport::clock::Clock;
use mimosa_transport::pressure_log::PressureLog;
use mimosa_transport::reserved_buffer::ProcessMemory;
use tokio::time::sleep;

use crate::shared::Shared;

/// Interval at which stalled bodies are closed and the pressure is evaluated. One timer of the process
/// replaces one for each body.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Time without progress after which a body is closed although there is room. A client may pause for
/// 2 s.
const STALLED_TIME: Duration = Duration::from_secs(10);
/// The same where memory is not limited, so that readers that vanished are closed as well: the kernel notices
/// them only while nothing is on its way to them.
const UNLIMITED_STALLED_TIME: Duration = Duration::from_secs(60);
/// Memory of a client connection: its task, its read buffer with a usual head, and unsent bytes up to 4 KiB.
const CONNECTION_BYTES: u64 = 32 << 10;
/// Receive buffer of client connections where memory is limited. Linux doubles it.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// The memory account and what follows from the limits of the process.
pub(crate) struct EntryMemory {
    pub(crate) process: ProcessMemory,
    /// The client connections.
    pub(crate) connections: Arc<BoundedConnections>,
    limits: ProcessLimits,
    max_connections: usize,
}

impl EntryMemory {
    /// `max_connections` is the number that the settings allow.
    pub(crate) fn new(limits: ProcessLimits, max_connections: u32, clock: Clock) -> Self {
        let sizes = ProcessSizes::of(&limits);
        let by_limits = sizes.max_connections(limits.descriptors, CONNECTION_BYTES);
        let max_connections = by_limits.min(max_connections as usize);
        Self {
            process: ProcessMemory::new(sizes.account, clock),
            connections: BoundedConnections::new(max_connections),
            limits,
            max_connections,
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
}

/// Closes stalled bodies, updates the gauges, and logs changes of pressure.
pub(crate) async fn watch(shared: Arc<Shared>) {
    let memory = &shared.memory;
    let account = &memory.process.account;
    let sizes = account.sizes();
    log::info!(
        "event=memory limit={} account={} reserved={} connections={}",
        memory.limits.memory,
        sizes.total(),
        sizes.reserved,
        memory.max_connections
    );
    let mut log = PressureLog::default();
    let mut before = Usage::default();
    loop {
        sleep(WATCH_INTERVAL).await;
        let now = shared.now();
        let stalled_time = match memory.is_limited() {
            true => STALLED_TIME,
            false => UNLIMITED_STALLED_TIME,
        };
        account.evict_stalled(now, stalled_time);
        let usage = account.usage();
        let connections = &memory.connections;
        let (open, closed) = (connections.open(), connections.closed_for_room());
        let pressure = log.update(now, &usage, sizes.general, open, closed);
        let metrics = &shared.metrics.memory;
        metrics.set(&usage, pressure, open);
        metrics.add_rejections("evicted", usage.evicted - before.evicted);
        metrics.add_rejections("stalled", usage.stalled - before.stalled);
        metrics.add_rejections("refused", usage.refused - before.refused);
        before = usage;
    }
}
