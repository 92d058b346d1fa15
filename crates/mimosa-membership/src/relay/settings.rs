//! Settings of the distribution of the configuration.

use std::time::Duration;

/// Timing and limits of the distribution of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two polls of the relay, and between two probes of a control instance.
    pub poll_interval: Duration,
    /// Silence of the relay after which an entry opens its own control link.
    pub relay_silence: Duration,
    /// How long a probe may stay unanswered before the follower switches to another control
    /// instance.
    pub control_silence: Duration,
    /// Silence of a follower after which the relay stops forwarding deltas to it.
    pub follower_silence: Duration,
    /// Deltas kept for followers that lag behind; one that lags further gets a snapshot.
    pub max_recent_deltas: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(1),
            relay_silence: Duration::from_millis(2_500),
            control_silence: Duration::from_secs(3),
            follower_silence: Duration::from_secs(10),
            max_recent_deltas: 256,
        }
    }
}
