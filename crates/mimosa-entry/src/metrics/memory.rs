//! Metrics of the memory account.

use mimosa_memory::Pressure;
use mimosa_memory::Usage;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// Gauges and counters of the memory account.
pub(crate) struct MemoryMetrics {
    general: IntGauge,
    reserved: IntGauge,
    holders: IntGauge,
    pressure: IntGauge,
    connections: IntGauge,
    rejections: IntCounterVec,
}

impl MemoryMetrics {
    pub(crate) fn new(registry: &Registry) -> Self {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("a fixed name is valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("each name is registered once");
            gauge
        };
        let rejections = IntCounterVec::new(
            Opts::new(
                "mimosa_memory_rejections_total",
                "Holders evicted, closed as stalled, or refused memory, by reason.",
            ),
            &["reason"],
        )
        .expect("fixed names and labels are valid");
        registry
            .register(Box::new(rejections.clone()))
            .expect("each name is registered once");
        Self {
            general: gauge(
                "mimosa_memory_general_bytes",
                "Bytes held for clients and endpoints in the part for any size.",
            ),
            reserved: gauge(
                "mimosa_memory_reserved_bytes",
                "Bytes held in the part reserved for small requests.",
            ),
            holders: gauge(
                "mimosa_memory_holders",
                "Bodies and answers that hold memory.",
            ),
            pressure: gauge(
                "mimosa_memory_pressure",
                "Memory pressure: 0 low, 1 high, 2 full.",
            ),
            connections: gauge("mimosa_client_connections", "Open connections of clients."),
            rejections,
        }
    }

    /// Sets the gauges.
    pub(crate) fn set(&self, usage: &Usage, pressure: Pressure, connections: usize) {
        let number = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.general.set(number(usage.general));
        self.reserved.set(number(usage.reserved));
        self.holders.set(number(usage.holders as u64));
        self.pressure.set(pressure.as_number());
        self.connections.set(number(connections as u64));
    }

    /// Counts holders that were evicted, closed as stalled, or refused memory.
    pub(crate) fn add_rejections(&self, reason: &str, count: u64) {
        let counter = self.rejections.with_label_values(&[reason]);
        counter.inc_by(count);
    }
}
