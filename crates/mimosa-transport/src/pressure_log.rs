//! Log lines on changes of the pressure on the memory account of a process.

use log::Level;
use log::log;
use mimosa_memory::Pressure;
use mimosa_memory::Usage;
use mimosa_memory::pressure::PressureTracker;
use mimosa_protocol::Timestamp;

use crate::bounded_connections::BoundedConnections;

/// Follows the pressure and logs its changes.
#[derive(Debug, Default)]
pub struct PressureLog(PressureTracker);

impl PressureLog {
    /// Evaluates the pressure and logs a change of it. `size` is that of the part of the account for holders of any
    /// size.
    pub fn update(
        &mut self,
        now: Timestamp,
        usage: &Usage,
        size: u64,
        connections: &BoundedConnections,
    ) -> Pressure {
        let closed = connections.closed_for_room();
        if let Some(change) = self.0.update(now, usage, size, closed) {
            let level = match change.to {
                Pressure::Full => Level::Warn,
                Pressure::Low | Pressure::High => Level::Info,
            };
            log!(
                level,
                "event=memory_pressure from={} to={} general={} reserved={} holders={} evicted={} \
                 stalled={} refused={} connections={} connections_closed={}",
                change.from,
                change.to,
                usage.general,
                usage.reserved,
                usage.holders,
                change.evicted,
                change.stalled,
                change.refused,
                connections.open(),
                change.closed
            );
        }
        self.0.pressure()
    }
}
