//! The endpoints of a fleet, and how it decides.

use std::time::Duration;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;

use crate::cold::Pacing;

/// The endpoints of the service.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Memory of each decode endpoint.
    pub memory: Tokens,
    /// Requests that an endpoint runs at once.
    pub slots: u32,
    /// When a cold endpoint gets requests.
    pub cold_pacing: Pacing,
    /// The endpoints that take work.
    pub endpoints: Vec<ViewEndpoint>,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct ViewEndpoint {
    /// Its name.
    pub id: EndpointId,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// What it does.
    pub role: EndpointRole,
    /// Until when it bears few requests.
    pub cold_until: Timestamp,
}

/// How a fleet decides.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Part of the memory, in thousandths, that a forecast may fill. The rest is for outputs that
    /// get longer than estimated: the estimates are often off by half, their sum over a score of
    /// requests by about a tenth.
    pub fill_permille: u64,
    /// How long before a prefill endpoint becomes free the next prompt is sent to it: the way from
    /// here to the gateway and on.
    pub prefill_lookahead: Duration,
    /// Time from the end of a prefill to the first output.
    pub first_output_time: Duration,
    /// Part of the caller's patience, in thousandths, for which a request that missed its target may
    /// go on waiting.
    pub late_permille: u32,
    /// Waiting requests that are weighed in one decision, so that one that fits nowhere does not
    /// stop the others.
    pub lookahead: usize,
    /// Decode endpoints whose memory is forecast for one request: those that hold the least now. A
    /// forecast costs the square of what an endpoint runs; with hundreds of endpoints there is
    /// hardly a better one beyond the first few dozen.
    pub max_forecasts: usize,
    /// Prompt tokens a second assumed before the first prefill was measured.
    pub first_prefill_rate: u64,
    /// Time for one output token assumed before the first was measured.
    pub first_token_time: Duration,
    /// How long an endpoint that had no room gets nothing.
    pub no_room_pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fill_permille: 900,
            prefill_lookahead: Duration::from_millis(10),
            first_output_time: Duration::from_millis(60),
            late_permille: 600,
            lookahead: 16,
            max_forecasts: 32,
            first_prefill_rate: 40_000,
            first_token_time: Duration::from_micros(700),
            no_room_pause: Duration::from_millis(300),
        }
    }
}
