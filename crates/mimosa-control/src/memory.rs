//! The memory account of a control instance: sizes, and log lines on changes of pressure.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use mimosa_memory::sizes::ProcessLimits;
use mimosa_memory::sizes::ProcessSizes;
use mimosa_transport::bounded_connections::BoundedConnections;
use mimosa_transport::clock::Clock;
use mimosa_transport::pressure_log::PressureLog;
use mimosa_transport::reserved_buffer::ProcessMemory;
use tokio::time::sleep;

/// Interval at which stalled bodies and frames are closed and the pressure is evaluated.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Time without progress after which a body or frame is closed although there is room. An operator may pause for
/// 2 s.
const STALLED_TIME: Duration = Duration::from_secs(10);
/// Memory of an operator's connection: its read buffer and its task.
const CONNECTION_BYTES: u64 = 16 << 10;
/// Receive buffer of operators' connections where memory is limited. Linux doubles it.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// The memory of a control instance, and its operators' connections.
#[derive(Clone)]
pub struct ControlMemory {
    /// The account and its clock.
    pub process: ProcessMemory,
    /// The connections of operators.
    pub connections: Arc<BoundedConnections>,
    limits: ProcessLimits,
}

impl ControlMemory {
    /// Divides the memory of the process.
    pub fn new(limits: ProcessLimits) -> Self {
        let sizes = ProcessSizes::of(&limits);
        let max_connections = sizes.max_connections(limits.descriptors, CONNECTION_BYTES);
        Self {
            process: ProcessMemory::new(sizes.account, Clock::start()),
            connections: BoundedConnections::new(max_connections),
            limits,
        }
    }

    /// Receive buffer of operators' connections; `None` keeps that of the system.
    pub fn receive_buffer(&self) -> Option<usize> {
        self.limits.is_limited.then_some(RECEIVE_BUFFER_BYTES)
    }

    /// Closes stalled bodies and frames, and logs changes of pressure.
    pub async fn watch(self) {
        let account = &self.process.account;
        let sizes = account.sizes();
        info!(
            "event=memory limit={} account={} reserved={}",
            self.limits.memory,
            sizes.total(),
            sizes.reserved
        );
        let mut log = PressureLog::default();
        loop {
            sleep(WATCH_INTERVAL).await;
            let now = self.process.clock.now();
            if self.limits.is_limited {
                account.evict_stalled(now, STALLED_TIME);
            }
            let connections = &self.connections;
            let (open, closed) = (connections.open(), connections.closed_for_room());
            log.update(now, &account.usage(), sizes.general, open, closed);
        }
    }
}
