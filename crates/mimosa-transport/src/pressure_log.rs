//! Log lines on changes of the pressure on the memory account of a process.

use std::time::Duration;

use log::Level;
use log::log;
use mimosa_memory::Pressure;
use mimosa_memory::Usage;
use mimosa_protocol::Timestamp;

use crate::bounded_connections::BoundedConnections;

/// Time after a refusal or an eviction in which the pressure stays full, so that a flood in waves causes few lines.
const REJECTION_MEMORY: Duration = Duration::from_secs(10);

/// The pressure, and the counters when it last changed.
#[derive(Debug, Default)]
pub struct PressureLog {
    pressure: Pressure,
    last_rejection: Option<Timestamp>,
    rejections: u64,
    logged: Usage,
    logged_closed: u64,
}

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
        let rejections = usage.evicted + usage.refused + closed;
        if rejections > self.rejections {
            self.last_rejection = Some(now);
        }
        self.rejections = rejections;
        let is_recent = |last| now.since(last) < REJECTION_MEMORY;
        let has_rejected = self.last_rejection.is_some_and(is_recent);
        let next = self.pressure.next(usage.general, size, has_rejected);
        if next != self.pressure {
            let level = match next {
                Pressure::Full => Level::Warn,
                Pressure::Low | Pressure::High => Level::Info,
            };
            log!(
                level,
                "event=memory_pressure from={} to={next} general={} reserved={} holders={} evicted={} \
                 stalled={} refused={} connections={} connections_closed={}",
                self.pressure,
                usage.general,
                usage.reserved,
                usage.holders,
                usage.evicted - self.logged.evicted,
                usage.stalled - self.logged.stalled,
                usage.refused - self.logged.refused,
                connections.open(),
                closed - self.logged_closed
            );
            self.pressure = next;
            self.logged = *usage;
            self.logged_closed = closed;
        }
        next
    }
}
