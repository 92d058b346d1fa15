//! The memory account of a gateway: sizes, gauges, and log lines on changes of pressure.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
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
/// 2 s; the kernel closes connections to vanished clients after 9 s.
const STALLED_BODY_TIME: Duration = Duration::from_secs(10);
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
    let mut pressure = Pressure::default();
    let mut before = Usage::default();
    let mut closed_before = 0;
    loop {
        sleep(WATCH_INTERVAL).await;
        if memory.is_limited() {
            memory
                .account
                .evict_stalled(shared.now(), STALLED_BODY_TIME);
        }
        let usage = memory.account.usage();
        let connections = &shared.client_connections;
        let closed = connections.closed_for_room();
        let has_rejected = usage.evicted > before.evicted
            || usage.refused > before.refused
            || closed > closed_before;
        let next = pressure.next(usage.general, sizes.general, has_rejected);
        shared.metrics.set_memory(&usage, next, connections.open());
        shared.metrics.add_rejections(
            usage.evicted - before.evicted,
            usage.stalled - before.stalled,
            usage.refused - before.refused,
        );
        if next != pressure {
            let held = usage.general + usage.reserved;
            let evicted = usage.evicted - before.evicted;
            let refused = usage.refused - before.refused;
            let holders = usage.holders;
            let open = connections.open();
            let closed = closed - closed_before;
            let line = format!(
                "event=memory_pressure from={pressure} to={next} held={held} account={} \
                 holders={holders} evicted={evicted} refused={refused} connections={open} \
                 closed={closed}",
                sizes.total()
            );
            match next {
                Pressure::Full => warn!("{line}"),
                Pressure::Low | Pressure::High => info!("{line}"),
            }
        }
        pressure = next;
        before = usage;
        closed_before = closed;
    }
}
