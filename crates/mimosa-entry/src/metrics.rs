//! Prometheus metrics of an entry, and the log line of each request.

use std::sync::Arc;

use mimosa_protocol::AccountId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::ExecutionStatus;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::Service;
use mimosa_transport::clock::Clock;
use prometheus::Encoder;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::metrics::memory::MemoryMetrics;

pub(crate) mod memory;

/// Maximum number of accounts with their own label, which bounds the number of time series. The
/// first accounts that are served get one; all others share [`OTHER_ACCOUNTS`].
const MAX_ACCOUNT_LABELS: usize = 100;
/// Label shared by the accounts beyond the maximum.
const OTHER_ACCOUNTS: &str = "other";
/// Upper bounds of the age classes of running requests. Each class includes the younger ones.
const AGE_BOUNDS_SECS: [u64; 5] = [1, 10, 60, 300, 3600];

/// Metrics of an entry.
pub(crate) struct Metrics {
    registry: Registry,
    refusals: IntCounterVec,
    answers: IntCounterVec,
    goodput: IntCounterVec,
    prefill_tokens: IntCounterVec,
    wasted_prefill_tokens: IntCounterVec,
    account_tokens: IntCounterVec,
    account_labels: std::sync::Mutex<std::collections::BTreeSet<AccountId>>,
    retries: IntCounterVec,
    running_requests: IntGaugeVec,
    revision: IntGauge,
    keys_honoured: IntGauge,
    pub(crate) memory: MemoryMetrics,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("fixed names and labels are valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("each name is registered once");
            counter
        };
        let running_requests = IntGaugeVec::new(
            Opts::new("mimosa_holds", "Requests in hand by age."),
            &["up_to_seconds"],
        )
        .expect("fixed names and labels are valid");
        let revision = IntGauge::new("mimosa_revision", "Configuration revision in force.")
            .expect("a fixed name is valid");
        let keys_honoured = IntGauge::new("mimosa_keys_honoured", "Whether keys are honoured.")
            .expect("a fixed name is valid");
        registry
            .register(Box::new(keys_honoured.clone()))
            .expect("each name is registered once");
        registry
            .register(Box::new(running_requests.clone()))
            .expect("each name is registered once");
        registry
            .register(Box::new(revision.clone()))
            .expect("each name is registered once");
        Self {
            refusals: counter(
                "mimosa_refusals_total",
                "Requests without a whole answer.",
                &["reason", "ran", "inside_rate"],
            ),
            answers: counter("mimosa_answers_total", "Whole answers.", &["service"]),
            goodput: counter(
                "mimosa_goodput_total",
                "Whole answers within both latency targets.",
                &["service"],
            ),
            prefill_tokens: counter(
                "mimosa_prefill_tokens_total",
                "Prompt tokens sent to prefill.",
                &["service"],
            ),
            wasted_prefill_tokens: counter(
                "mimosa_wasted_prefill_tokens_total",
                "Prompt tokens prefilled without an answer.",
                &["service"],
            ),
            account_tokens: counter(
                "mimosa_account_tokens_total",
                "Tokens served by account; accounts past the first hundred are 'other'.",
                &["account"],
            ),
            retries: counter(
                "mimosa_retries_total",
                "Attempts after the first.",
                &["service"],
            ),
            account_labels: std::sync::Mutex::default(),
            memory: MemoryMetrics::new(&registry),
            running_requests,
            revision,
            keys_honoured,
            registry,
        }
    }

    /// Counts a request that ended without a complete response.
    pub(crate) fn count_refusal(&self, reason: RefusalReason, ran: ExecutionStatus) {
        let inside_rate = match reason {
            RefusalReason::OverRate | RefusalReason::OverBurst => "no",
            RefusalReason::Unauthenticated
            | RefusalReason::Forbidden
            | RefusalReason::NotFound
            | RefusalReason::Malformed
            | RefusalReason::TooLarge
            | RefusalReason::SlowSender
            | RefusalReason::Cancelled => "not_asked",
            _ => "yes",
        };
        let labels = [reason.as_str(), &ran.to_string(), inside_rate];
        self.refusals.with_label_values(&labels).inc();
    }

    pub(crate) fn count_retry(&self, service: &ServiceId) {
        self.retries.with_label_values(&[service.as_str()]).inc();
    }

    pub(crate) fn count_prefill(&self, service: &ServiceId, prompt: Tokens) {
        let counter = self.prefill_tokens.with_label_values(&[service.as_str()]);
        counter.inc_by(prompt.0);
    }

    pub(crate) fn count_wasted_prefill(&self, service: &ServiceId, prompt: Tokens) {
        let counter = self
            .wasted_prefill_tokens
            .with_label_values(&[service.as_str()]);
        counter.inc_by(prompt.0);
    }

    pub(crate) fn set_revision(&self, revision: mimosa_protocol::Revision) {
        self.revision
            .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
    }

    pub(crate) fn set_keys_honoured(&self, honoured: bool) {
        self.keys_honoured.set(i64::from(honoured));
    }

    fn count_account_tokens(&self, account: Option<&AccountId>, tokens: Tokens) {
        let Some(account) = account else {
            return;
        };
        let mut labels = self
            .account_labels
            .lock()
            .expect("no holder of this lock panics");
        let own = labels.contains(account)
            || (labels.len() < MAX_ACCOUNT_LABELS && labels.insert(account.clone()));
        drop(labels);
        let label = if own {
            account.as_str()
        } else {
            OTHER_ACCOUNTS
        };
        self.account_tokens
            .with_label_values(&[label])
            .inc_by(tokens.0);
    }

    /// Encodes all metrics in the Prometheus text format, with the durations of the requests that
    /// are running now.
    pub(crate) fn render(
        &self,
        running_durations: impl IntoIterator<Item = std::time::Duration>,
    ) -> Vec<u8> {
        let ages: Vec<u64> = running_durations
            .into_iter()
            .map(|age| age.as_secs())
            .collect();
        for up_to in AGE_BOUNDS_SECS {
            let count = ages.iter().filter(|age| **age < up_to).count();
            let gauge = self
                .running_requests
                .with_label_values(&[&up_to.to_string()]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        let all = self.running_requests.with_label_values(&["any"]);
        all.set(i64::try_from(ages.len()).unwrap_or(i64::MAX));
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .expect("a Vec takes every byte");
        buf
    }
}

/// Timing and outcome of one request. Dropping it before an outcome is recorded counts the request
/// as cancelled by its caller.
pub(crate) struct RequestRecord {
    pub(crate) metrics: Arc<dyn HasMetrics>,
    pub(crate) clock: Clock,
    pub(crate) request: RequestId,
    pub(crate) account: Option<AccountId>,
    pub(crate) service: Service,
    pub(crate) endpoint: EndpointId,
    pub(crate) arrived: Timestamp,
    pub(crate) first_output_at: Option<Timestamp>,
    pub(crate) output: Tokens,
    /// Whether the outcome was counted, or must not be because the attempt failed before the caller
    /// received anything.
    pub(crate) is_recorded: bool,
}

/// Owner of the metrics that a [`RequestRecord`] updates.
pub(crate) trait HasMetrics: Send + Sync {
    fn metrics(&self) -> &Metrics;
}

impl RequestRecord {
    /// Records the total number of output tokens so far.
    pub(crate) fn record_output(&mut self, output: Tokens) {
        if output > Tokens::ZERO {
            self.first_output_at.get_or_insert(self.clock.now());
        }
        self.output = output;
    }

    /// Records a complete response.
    pub(crate) fn complete(&mut self) {
        self.is_recorded = true;
        let now = self.clock.now();
        let metrics = self.metrics.metrics();
        let service = [self.service.id.as_str()];
        metrics.answers.with_label_values(&service).inc();
        if self.met_targets(now) {
            metrics.goodput.with_label_values(&service).inc();
        }
        metrics.count_account_tokens(self.account.as_ref(), self.output);
        self.log(now, "complete");
    }

    /// Records a response that ended early.
    pub(crate) fn incomplete(&mut self, reason: RefusalReason) {
        self.is_recorded = true;
        let metrics = self.metrics.metrics();
        metrics.count_refusal(reason, ExecutionStatus::Failed);
        metrics.count_account_tokens(self.account.as_ref(), self.output);
        self.log(self.clock.now(), reason.as_str());
    }

    /// Whether the first token and the mean gap between tokens met the service's targets. From the
    /// first token to the end of the response, one gap per output token is allowed.
    fn met_targets(&self, now: Timestamp) -> bool {
        let first_output_at = self.first_output_at.unwrap_or(now);
        let gaps = u32::try_from(self.output.0.saturating_sub(1)).unwrap_or(u32::MAX);
        let allowed = self.service.token_gap_target.saturating_mul(gaps);
        let first_token_in_time =
            first_output_at.since(self.arrived) <= self.service.first_token_target;
        first_token_in_time && now.since(first_output_at) <= allowed + self.service.token_gap_target
    }

    fn log(&self, now: Timestamp, outcome: &str) {
        let first_token_latency = self.first_output_at.unwrap_or(now).since(self.arrived);
        log::info!(
            "request={} account={} service={} endpoint={} outcome={outcome} output={} first_ms={} total_ms={}",
            self.request,
            self.account.as_ref().map_or("-", AccountId::as_str),
            self.service.id,
            self.endpoint,
            self.output,
            first_token_latency.as_millis(),
            now.since(self.arrived).as_millis(),
        );
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if !self.is_recorded {
            self.incomplete(RefusalReason::Cancelled);
        }
    }
}
