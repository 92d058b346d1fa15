//! Prometheus metrics of a gateway.

use std::time::Duration;

use mimosa_memory::Pressure;
use mimosa_memory::Usage;
use mimosa_metrics::LATENCY_BUCKETS_SECONDS;
use mimosa_protocol::configuration::EndpointRole;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// Counters and histograms of a gateway. Label cardinality is bounded: services come from the
/// configuration, all other values are constants.
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    calls: IntCounterVec,
    lost_calls: IntCounterVec,
    placements: IntCounterVec,
    quota_charges: IntCounterVec,
    retries: IntCounterVec,
    load_calls: IntCounterVec,
    resumes: IntCounterVec,
    stream_ends: IntCounterVec,
    version_calls: IntCounterVec,
    response_time: HistogramVec,
    queue_time: HistogramVec,
    memory: MemoryMetrics,
}

/// Gauges and counters of the memory account.
struct MemoryMetrics {
    general: IntGauge,
    reserved: IntGauge,
    holders: IntGauge,
    pressure: IntGauge,
    client_connections: IntGauge,
    rejections: IntCounterVec,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels);
            let counter = counter.expect("the name is valid");
            let added = registry.register(Box::new(counter.clone()));
            added.expect("each name is used once");
            counter
        };
        let histogram = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec());
            let histogram = HistogramVec::new(opts, &["service"]).expect("the name is valid");
            let added = registry.register(Box::new(histogram.clone()));
            added.expect("each name is used once");
            histogram
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            let added = registry.register(Box::new(gauge.clone()));
            added.expect("each name is used once");
            gauge
        };
        let memory = MemoryMetrics {
            general: gauge(
                "mimosa_gateway_memory_general_bytes",
                "Bytes held for clients and endpoints in the part for any size",
            ),
            reserved: gauge(
                "mimosa_gateway_memory_reserved_bytes",
                "Bytes held for small requests in the part reserved for them",
            ),
            holders: gauge(
                "mimosa_gateway_memory_holders",
                "Bodies and slow answers that hold memory",
            ),
            pressure: gauge(
                "mimosa_gateway_memory_pressure",
                "Memory pressure: 0 low, 1 high, 2 full",
            ),
            client_connections: gauge(
                "mimosa_gateway_client_connections",
                "Open connections of clients",
            ),
            rejections: counter(
                "mimosa_gateway_memory_rejections_total",
                "Holders that were evicted, closed as stalled, or refused memory, by reason",
                &["reason"],
            ),
        };
        Self {
            memory,
            requests: counter(
                "mimosa_gateway_requests_total",
                "Requests answered, by service and status",
                &["service", "status"],
            ),
            refusals: counter(
                "mimosa_gateway_refusals_total",
                "Requests that the gateway answered itself, by reason",
                &["reason"],
            ),
            calls: counter(
                "mimosa_gateway_calls_total",
                "Calls to endpoints, by service and outcome",
                &["service", "outcome"],
            ),
            lost_calls: counter(
                "mimosa_gateway_lost_calls_total",
                "Plain calls and prefills whose connection broke, by service, role and whether the endpoint ended",
                &["service", "role", "ended"],
            ),
            placements: counter(
                "mimosa_gateway_placements_total",
                "Requests of models, by who placed them",
                &["by"],
            ),
            quota_charges: counter(
                "mimosa_gateway_quota_total",
                "Requests counted against a quota, by how",
                &["how"],
            ),
            retries: counter(
                "mimosa_gateway_retries_total",
                "Requests that would be sent once more, by service and whether the budget let them",
                &["service", "allowed"],
            ),
            load_calls: counter(
                "mimosa_gateway_load_calls_total",
                "Calls that asked plain endpoints for their load, by outcome",
                &["outcome"],
            ),
            resumes: counter(
                "mimosa_gateway_resumed_streams_total",
                "Streams that broke and might go on elsewhere, by outcome",
                &["outcome"],
            ),
            stream_ends: counter(
                "mimosa_gateway_stream_ends_total",
                "Answers that were passed on as they came, by framing at the endpoint and outcome",
                &["framing", "outcome"],
            ),
            version_calls: counter(
                "mimosa_gateway_version_calls_total",
                "Calls to endpoints while a rollout runs, by service, version (new or old) and outcome",
                &["service", "version", "outcome"],
            ),
            response_time: histogram(
                "mimosa_gateway_answer_seconds",
                "Time from a request's head to the head of its answer",
            ),
            queue_time: histogram(
                "mimosa_gateway_queue_seconds",
                "Time from a request's head to its placement",
            ),
            registry,
        }
    }

    pub(crate) fn record_response(&self, service: &str, status: u16, time: Duration) {
        let status = status.to_string();
        self.requests
            .with_label_values(&[service, status.as_str()])
            .inc();
        let histogram = self.response_time.with_label_values(&[service]);
        histogram.observe(time.as_secs_f64());
    }

    pub(crate) fn record_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    pub(crate) fn record_call(&self, service: &str, outcome: &str) {
        self.calls.with_label_values(&[service, outcome]).inc();
    }

    /// Records a call whose connection an endpoint broke, and whether its process ended with it.
    pub(crate) fn record_lost_call(&self, service: &str, role: EndpointRole, has_ended: bool) {
        let role = match role {
            EndpointRole::Plain => "plain",
            EndpointRole::Prefill => "prefill",
            EndpointRole::Decode => "decode",
        };
        let ended = if has_ended { "yes" } else { "no" };
        self.lost_calls
            .with_label_values(&[service, role, ended])
            .inc();
    }

    /// Records a placed request. `by` is `leader` or `gateway`; `waited` is the time since arrival.
    pub(crate) fn record_placement(&self, service: &str, by: &str, waited: Duration) {
        self.placements.with_label_values(&[by]).inc();
        let histogram = self.queue_time.with_label_values(&[service]);
        histogram.observe(waited.as_secs_f64());
    }

    /// Records a retry that the budget allowed or not.
    pub(crate) fn record_retry(&self, service: &str, allowed: bool) {
        let allowed = if allowed { "yes" } else { "no" };
        self.retries.with_label_values(&[service, allowed]).inc();
    }

    /// Records a call that asked an endpoint for its load: `answered`, `late`, or `over_budget` if it was
    /// not made.
    pub(crate) fn record_load_call(&self, outcome: &str) {
        self.load_calls.with_label_values(&[outcome]).inc();
    }

    /// Records a step of the resumption of a stream: `refused`, `started`, `failed`, `switched` once the client
    /// gets the second stream, or `abandoned` if the first one goes on.
    pub(crate) fn record_resume(&self, outcome: &str) {
        self.resumes.with_label_values(&[outcome]).inc();
    }

    /// Records the end of a forwarded response. `framing` is `length`, `chunked` or `close`; `outcome`
    /// is `complete`, `cut`, `deadline` or `left`.
    pub(crate) fn record_stream_end(&self, framing: &str, outcome: &str) {
        self.stream_ends
            .with_label_values(&[framing, outcome])
            .inc();
    }

    /// Records a call to the `new` or an `old` version while a rollout runs: `complete`, `failed` or
    /// `refused`.
    pub(crate) fn record_version_call(&self, service: &str, version: &str, outcome: &str) {
        self.version_calls
            .with_label_values(&[service, version, outcome])
            .inc();
    }

    /// Sets the gauges of the memory account and of the client connections.
    pub(crate) fn set_memory(&self, usage: &Usage, pressure: Pressure, connections: usize) {
        let gauges = &self.memory;
        let number = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        gauges.general.set(number(usage.general));
        gauges.reserved.set(number(usage.reserved));
        gauges.holders.set(number(usage.holders as u64));
        gauges.pressure.set(pressure.as_number());
        gauges.client_connections.set(number(connections as u64));
    }

    /// Records holders that were evicted from the full account, closed because their client stalled,
    /// or refused memory.
    pub(crate) fn add_rejections(&self, evicted: u64, stalled: u64, refused: u64) {
        for (reason, count) in [
            ("evicted", evicted),
            ("stalled", stalled),
            ("refused", refused),
        ] {
            let counter = &self.memory.rejections;
            counter.with_label_values(&[reason]).inc_by(count);
        }
    }

    /// Records a request counted against a quota. `how` is `lent` for borrowed quota or `alone` for
    /// the even share.
    pub(crate) fn record_quota_charge(&self, how: &str) {
        self.quota_charges.with_label_values(&[how]).inc();
    }
}
