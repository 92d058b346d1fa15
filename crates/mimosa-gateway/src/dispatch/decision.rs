//! The wait for the leader's decision on a request.

use std::time::Duration;

use mimosa_schedule::fleet::Placement;
use mimosa_schedule::fleet::PlacementRefusal;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Time for the leader to place or at least queue a request; covers several round trips within a
/// region.
pub(super) const LEADER_TIMEOUT: Duration = Duration::from_millis(150);

/// What a leader decided on a request, or that another one must decide.
pub(super) enum Decision {
    Placed(Placement),
    Rejected(PlacementRefusal, Duration),
    /// The leader does not have the request, or no longer leads.
    LeaderChanged {
        /// Whether a leader had queued the request.
        was_queued: bool,
    },
}

/// How the wait for a decision ended.
pub(super) enum WaitEnd {
    Decided(Decision),
    /// The leader neither queued nor decided the request within [`LEADER_TIMEOUT`].
    Silent,
    /// The leader queued the request, but did not decide it in time.
    TimeOver,
}

/// Waits for the decision, once the request was queued for at most `time_limit`.
pub(super) async fn wait_for_decision(
    queued: oneshot::Receiver<()>,
    mut decision: oneshot::Receiver<Decision>,
    time_limit: Duration,
) -> WaitEnd {
    let first = timeout(LEADER_TIMEOUT, async {
        tokio::select! {
            biased;
            decision = &mut decision => decision.ok(),
            _ = queued => None,
        }
    });
    match first.await {
        Ok(Some(decision)) => return WaitEnd::Decided(decision),
        Ok(None) => {}
        Err(_) => return WaitEnd::Silent,
    }
    match timeout(time_limit, decision).await {
        Ok(Ok(decision)) => WaitEnd::Decided(decision),
        Ok(Err(_)) => WaitEnd::Silent,
        Err(_) => WaitEnd::TimeOver,
    }
}
