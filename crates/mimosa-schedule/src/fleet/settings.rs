//! Endpoints and settings of the fleet scheduler.

use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_rollout::RolloutView;

use crate::cold::Pacing;
use crate::fair_share::Weights;

/// Endpoints of a model service and their common properties.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// KV cache memory of each decode endpoint, in tokens.
    pub memory: Tokens,
    /// Maximum number of concurrent requests at a decode endpoint.
    pub slots: u32,
    /// Rate limit for requests to a cold endpoint.
    pub cold_pacing: Pacing,
    /// Longest pause in an output that callers accept; `None` if there is no limit.
    pub max_pause: Option<Duration>,
    /// All endpoints that may get requests.
    pub endpoints: Vec<ViewEndpoint>,
    /// The latest rollout of the service; without one, versions are ignored.
    pub rollout: Option<RolloutView>,
    /// Weights of the accounts, which enable fair shares; `None` disables them.
    pub weights: Option<Arc<Weights>>,
}

/// An endpoint that may get requests.
#[derive(Clone, Debug)]
pub struct ViewEndpoint {
    /// Unique among all data centres.
    pub id: EndpointId,
    /// Data centre in which it runs; transfers to endpoints in others cost more.
    pub data_centre: DataCentreId,
    /// Whether the endpoint runs prefill or decode.
    pub role: EndpointRole,
    /// End of the cold start, before which the request rate is limited.
    pub cold_until: Timestamp,
    /// Version of the service that it runs, if known.
    pub version: Option<ServiceVersion>,
}

/// Settings of the fleet scheduler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum forecast memory use, in thousandths of the memory. The rest is reserved for outputs
    /// that become longer than estimated: single estimates are often off by half, their sum over 20
    /// requests by about a tenth.
    pub max_fill_permille: u64,
    /// How long before a prefill endpoint becomes idle the next prompt is sent to it. Covers the
    /// network latency from the scheduler to the gateway and from there to the endpoint.
    pub prefill_lookahead: Duration,
    /// Time from the end of a prefill to the first output.
    pub first_output_time: Duration,
    /// Maximum queue time of a request that missed its target, in thousandths of the time until the
    /// client gives up.
    pub late_wait_permille: u32,
    /// Number of queued requests to try in one decision, so that a request that fits nowhere does
    /// not block the others.
    pub lookahead: usize,
    /// Time after which requests that found no capacity are tried again although none was freed,
    /// because the forecast changes with time.
    pub rescan_interval: Duration,
    /// Maximum number of decode endpoints to forecast for one request, starting with the lowest
    /// current memory use. The cost of a forecast is quadratic in the number of requests at the
    /// endpoint, and among hundreds of endpoints a better one beyond the first few dozen is
    /// unlikely.
    pub max_forecasts: usize,
    /// Assumed prefill rate before the first measurement, in prompt tokens per second.
    pub initial_prefill_rate: u64,
    /// Assumed time per output token before the first measurement.
    pub initial_token_time: Duration,
    /// Time in which a decode endpoint processes a prompt, as a multiple of the time at a prefill
    /// endpoint. The protocol of the engines states half the speed.
    pub decode_prefill_factor: u32,
    /// Maximum time for which a decode endpoint processes a prompt, in thousandths of the longest
    /// pause that callers accept, because the outputs there pause in the meantime.
    pub prompt_pause_permille: u32,
    /// Whether the speed of each endpoint is learned and used at once.
    pub endpoint_speeds: bool,
    /// Whether the speed of each endpoint is learned, and used as soon as endpoints are found to differ.
    pub uneven_speeds: bool,
    /// Backoff after an endpoint reported that it had no capacity.
    pub no_capacity_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_fill_permille: 930,
            prefill_lookahead: Duration::from_millis(10),
            first_output_time: Duration::from_millis(60),
            late_wait_permille: 600,
            lookahead: 16,
            rescan_interval: Duration::from_millis(20),
            max_forecasts: 32,
            initial_prefill_rate: 40_000,
            initial_token_time: Duration::from_micros(700),
            decode_prefill_factor: 2,
            prompt_pause_permille: 650,
            endpoint_speeds: false,
            uneven_speeds: false,
            no_capacity_backoff: Duration::from_millis(300),
        }
    }
}
