//! Reports of gateways about a rollout, and the leader's permits.
//!
//! All counters of a report are cumulative, so that a lost report loses nothing and a duplicate adds
//! nothing. Times are relative, as the clocks of machines differ.

use std::time::Duration;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::data;

use crate::rollout::RolloutNumber;
use crate::rollout::RolloutPhase;

/// Number of buckets of a [`DurationHistogram`]. The last one starts at 2^20 ms, above any deadline.
pub const DURATION_BUCKETS: usize = 41;

data! {
    /// Report of one gateway about one running rollout; at most every 250 ms. Counters start at 0 when
    /// the gateway's process learns of the rollout.
    pub struct RolloutReport {
        /// The service of the rollout.
        pub service: ServiceId,
        /// The rollout.
        pub number: RolloutNumber,
        /// Number of this report; rises with each report of the gateway's process, so that the leader
        /// answers each at most once.
        pub sequence: u64,
        /// The phase that the gateway applies to new requests.
        pub phase: RolloutPhase,
        /// All requests of clients for the service.
        pub requests: u64,
        /// Term of the leader that granted the permits below; 0 before the first grant. The counters
        /// of permits restart at 0 with a grant of a higher term.
        pub term: u64,
        /// Permits of this term that were used.
        pub used: u64,
        /// Permits of this term that were received and expired unused; they can no longer be used.
        pub expired: u64,
        /// Requests in flight at endpoints of the new version.
        pub in_flight_new: u32,
        /// Requests in flight at endpoints of other versions.
        pub in_flight_old: u32,
        /// Outcomes at endpoints of each kind. Only those that changed since the previous report, but
        /// all of them in the first report on a connection and every few seconds.
        pub outcomes: Vec<OutcomeCounts>,
    }

    /// Outcomes of the requests to one version on one route in one data centre.
    pub struct OutcomeCounts {
        /// Whether the endpoints are of the new version; otherwise of any other one.
        pub is_new: bool,
        /// The route of the requests, by host and path; equal on all gateways.
        pub route: String,
        /// The data centre of the endpoints.
        pub data_centre: DataCentreId,
        /// Requests with a complete response.
        pub complete: u64,
        /// Requests that failed: a status of 500 or above that is no refusal, a response that is cut
        /// or invalid, a time-out, or no connection.
        pub failed: u64,
        /// Requests that the endpoint refused for lack of capacity.
        pub refused: u64,
        /// Durations of the complete responses of requests that were sent to an endpoint after its
        /// warm-up. For models the time per 100 tokens, because their responses differ in length and
        /// the time of one token is below the resolution. Prefills are counted under a route of their
        /// own, with the time per 100 tokens of the prompt.
        pub durations: DurationHistogram,
    }

    /// Permits for requests to the new version; the leader's answer to a [`RolloutReport`].
    pub struct PermitGrant {
        /// The service of the rollout.
        pub service: ServiceId,
        /// The rollout.
        pub number: RolloutNumber,
        /// Term of the leader.
        pub term: u64,
        /// [`RolloutReport::sequence`] of the report that is answered. A gateway ignores a grant that
        /// is not newer than the last one, by term and sequence.
        pub sequence: u64,
        /// Number of permits; each allows one attempt at an endpoint of the new version.
        pub permits: u32,
        /// How long the permits may be used, from the time at which the gateway sent the report. A
        /// delayed grant is therefore never valid for longer than the leader assumes.
        pub lease: Duration,
        /// Number of endpoints of the new version on which to spend the permits, the first in the order
        /// of their identifiers, so that they see the same load as those of the old version.
        pub endpoints: u32,
    }

    /// Counts of durations in buckets whose bounds are powers of the square root of two, in
    /// milliseconds.
    #[derive(Default)]
    pub struct DurationHistogram {
        /// Count of each bucket; trailing zeros are left out. Bucket 0 holds durations under 1 ms.
        pub counts: Vec<u32>,
    }
}

impl DurationHistogram {
    /// Index of the bucket of a duration, below [`DURATION_BUCKETS`]. Bucket `n` above 0 starts at
    /// the square root of two to the power of `n - 1`, in milliseconds.
    pub fn bucket_of(duration: Duration) -> usize {
        // The square of the duration is compared with powers of two, which needs no floating point.
        let micros = duration.as_micros().min(u128::from(u64::MAX));
        let square = micros * micros / 1_000_000;
        let bits = 128 - square.leading_zeros();
        usize::try_from(bits).map_or(DURATION_BUCKETS - 1, |bits| bits.min(DURATION_BUCKETS - 1))
    }

    /// Lower bound of a bucket.
    pub fn lower_bound(bucket: usize) -> Duration {
        let Some(exponent) = bucket.checked_sub(1) else {
            return Duration::ZERO;
        };
        let exponent = i32::try_from(exponent).unwrap_or(i32::MAX);
        Duration::from_secs_f64(2_f64.powf(f64::from(exponent) / 2.0) / 1_000.0)
    }

    /// Adds one duration.
    pub fn record(&mut self, duration: Duration) {
        let bucket = Self::bucket_of(duration);
        if self.counts.len() <= bucket {
            self.counts.resize(bucket + 1, 0);
        }
        self.counts[bucket] = self.counts[bucket].saturating_add(1);
    }

    /// Number of durations.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|count| u64::from(*count)).sum()
    }
}
