//! Log lines on changes of the pressure on the memory account of a process.

use log::Level;
use log::log;
use mimosa_memory::Pressure;
use mimosa_memory::Usage;
use mimosa_memory::pressure::PressureTracker;
use mimosa_protocol::Timestamp;

/// Follows the pressure and logs its changes.
#[derive(Debug, Default)]
pub struct PressureLog(PressureTracker);

impl PressureLog {
    /// Evaluates the pressure and logs a change of it. `size` is that of the part of the account for holders of any
    /// size, `open` the number of connections, and `closed` the number of those closed for others so far.
    pub fn update(
        &mut self,
        now: Timestamp,
        usage: &Usage,
        size: u64,
        open: usize,
        closed: u64,
    ) -> Pressure {
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
                open,
                change.closed
            );
        }
        self.0.pressure()
    }
}
