//! The memory account of an entry: sizes, gauges, and log lines on changes of pressure.

use std::sync::Arc;
use std::time::Duration;

use mimosa_memory::Memory;
use mimosa_memory::Pressure;
use mimosa_memory::Usage;
use mimosa_memory::sizes::ProcessLimits;
use mimosa_memory::sizes::ProcessSizes;
use tokio::time::sleep;

use crate::shared::Shared;

/// Interval at which stalled bodies are closed and the pressure is evaluated. One timer of the process
/// replaces one for each body.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Time without progress after which a body is closed although there is room. A client may pause for
/// 2 s.
const STALLED_TIME: Duration = Duration::from_secs(10);
/// Memory of a client connection: its read buffer, its task, and unsent bytes up to 4 KiB.
const CONNECTION_BYTES: u64 = 16 << 10;
/// Receive buffer of client connections where memory is limited. Linux doubles it.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// The memory account and what follows from the limits of the process.
pub(crate) struct EntryMemory {
    pub(crate) account: Memory,
    limits: ProcessLimits,
    /// Largest number of client connections.
    pub(crate) max_connections: usize,
}

impl EntryMemory {
    /// `max_connections` is the number that the settings allow.
    pub(crate) fn new(limits: ProcessLimits, max_connections: u32) -> Self {
        let sizes = ProcessSizes::of(&limits);
        let by_limits = sizes.max_connections(limits.descriptors, CONNECTION_BYTES);
        Self {
            account: Memory::new(sizes.account),
            limits,
            max_connections: by_limits.min(max_connections as usize),
        }
    }

    /// Receive buffer of new connections; `None` keeps that of the system.
    pub(crate) fn receive_buffer(&self) -> Option<usize> {
        self.limits.is_limited.then_some(RECEIVE_BUFFER_BYTES)
    }
}

/// Closes stalled bodies, updates the gauges, and logs changes of pressure.
pub(crate) async fn watch(shared: Arc<Shared>) {
    let memory = &shared.memory;
    let sizes = memory.account.sizes();
    log::info!(
        "event=memory limit={} account={} reserved={} connections={}",
        memory.limits.memory,
        sizes.total(),
        sizes.reserved,
        memory.max_connections
    );
    let mut pressure = Pressure::default();
    let mut before = Usage::default();
    let mut closed_before = 0;
    loop {
        sleep(WATCH_INTERVAL).await;
        if memory.limits.is_limited {
            memory.account.evict_stalled(shared.now(), STALLED_TIME);
        }
        let usage = memory.account.usage();
        let closed = shared.connections.closed_for_room();
        let evicted = usage.evicted - before.evicted;
        let refused = usage.refused - before.refused;
        let has_rejected = evicted > 0 || refused > 0 || closed > closed_before;
        let next = pressure.next(usage.general, sizes.general, has_rejected);
        let metrics = &shared.metrics.memory;
        metrics.set(&usage, next, shared.connections.open());
        metrics.add_rejections("evicted", evicted);
        metrics.add_rejections("stalled", usage.stalled - before.stalled);
        metrics.add_rejections("refused", refused);
        if next != pressure {
            let level = match next {
                Pressure::Full => log::Level::Warn,
                Pressure::Low | Pressure::High => log::Level::Info,
            };
            log::log!(
                level,
                "event=memory_pressure from={pressure} to={next} held={} account={} holders={} \
                 evicted={evicted} refused={refused} connections={} closed={}",
                usage.general + usage.reserved,
                sizes.total(),
                usage.holders,
                shared.connections.open(),
                closed - closed_before
            );
        }
        pressure = next;
        before = usage;
        closed_before = closed;
    }
}
