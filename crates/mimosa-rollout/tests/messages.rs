//! Buckets of durations, and which versions a view allows.

use std::time::Duration;

use mimosa_rollout::DurationHistogram;
use mimosa_rollout::RolloutNumber;
use mimosa_rollout::RolloutPhase;
use mimosa_rollout::RolloutView;
use mimosa_rollout::message::DURATION_BUCKETS;

/// Gateways and the leader must agree on the bounds.
#[test]
fn buckets_start_at_powers_of_the_square_root_of_two() {
    for bucket in 1..DURATION_BUCKETS {
        let start = DurationHistogram::lower_bound(bucket);
        let within = start + Duration::from_micros(3);
        assert_eq!(DurationHistogram::bucket_of(within), bucket);
        let below = start - Duration::from_micros(3);
        assert_eq!(DurationHistogram::bucket_of(below), bucket - 1);
    }
    assert_eq!(DurationHistogram::bucket_of(Duration::ZERO), 0);
    assert_eq!(
        DurationHistogram::bucket_of(Duration::MAX),
        DURATION_BUCKETS - 1
    );
}

/// A version that an earlier rollout withdrew must get no requests in a later one.
#[test]
fn view_allows_versions_by_phase() {
    let view = |phase| RolloutView {
        service: "shop".parse().unwrap(),
        number: RolloutNumber(4),
        to: "v3".parse().unwrap(),
        from: vec!["v1".parse().unwrap()],
        barred: vec!["v2".parse().unwrap()],
        phase,
    };
    let allowed = |phase| {
        let view = view(phase);
        ["v1", "v2", "v3"].map(|version| view.allows(Some(&version.parse().unwrap())))
    };
    assert_eq!(allowed(RolloutPhase::Testing), [true, false, false]);
    assert_eq!(allowed(RolloutPhase::Moving), [false, false, true]);
    assert_eq!(allowed(RolloutPhase::Completed), [false, false, true]);
    assert_eq!(allowed(RolloutPhase::RolledBack), [true, false, false]);
    assert!(view(RolloutPhase::Moving).allows(None));
}
