//! Rollouts over three control instances, with leaders that are killed and simulated gateways.

#[path = "rollouts/harness.rs"]
mod harness;
#[path = "support.rs"]
mod support;

use std::time::Duration;

use mimosa_rollout::RolloutPhase;
use mimosa_state::rollouts::Rollout;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use self::harness::Cluster;
use self::harness::IsBad;
use self::harness::OPERATOR_KEY;
use self::harness::shop;

const DURATION: Duration = Duration::from_secs(12);
/// Time after the end in which an instance that is busy with other tests may still store it.
const END_TOLERANCE: Duration = Duration::from_secs(3);

const GOOD: IsBad = |_, _, _| false;

const fn has_ended(phase: RolloutPhase) -> bool {
    !phase.is_running()
}

async fn run_to_end(cluster: &Cluster) -> Rollout {
    let started = Instant::now();
    let rollout = cluster.wait_for_phase(has_ended).await;
    let elapsed = started.elapsed();
    assert!(
        elapsed <= DURATION + END_TOLERANCE,
        "ended after {elapsed:?}"
    );
    rollout
}

async fn assert_rolled_back(is_bad: IsBad) {
    let cluster = Cluster::start(is_bad).await;
    cluster.order(DURATION).await;
    let rollout = run_to_end(&cluster).await;
    assert_eq!(rollout.phase, RolloutPhase::RolledBack, "{rollout:?}");
    // Requests that come too late break the bound.
    sleep(Duration::from_secs(2)).await;
    cluster.observed.assert_within_exposure();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_good_version_completes() {
    let cluster = Cluster::start(GOOD).await;
    cluster.order(DURATION).await;
    let rollout = run_to_end(&cluster).await;
    assert_eq!(rollout.phase, RolloutPhase::Completed, "{rollout:?}");
    assert_eq!(rollout.from, vec!["v1".parse().unwrap()]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_that_is_bad_immediately_is_rolled_back() {
    assert_rolled_back(|_, _, number| number.is_multiple_of(3)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_that_is_bad_later_is_rolled_back() {
    assert_rolled_back(|since, _, number| {
        since > Duration::from_secs(6) && number.is_multiple_of(2)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_that_is_bad_on_one_route_is_rolled_back() {
    assert_rolled_back(|_, route, _| route == 1).await;
}

/// The successor must neither forget the order nor grant what its predecessor may have granted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_good_version_completes_if_the_leader_is_killed_right_after_the_order() {
    let mut cluster = Cluster::start(GOOD).await;
    cluster.order(DURATION).await;
    cluster.kill_leader().await;
    let rollout = run_to_end(&cluster).await;
    assert_eq!(rollout.phase, RolloutPhase::Completed, "{rollout:?}");
}

/// Permits of the killed leader count, although it no longer reports their use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bad_version_stays_within_its_exposure_if_the_leader_is_killed_after_a_grant() {
    let mut cluster = Cluster::start(|_, _, number| number.is_multiple_of(3)).await;
    cluster.order(DURATION).await;
    while cluster.rollout().await.reserved == 0 {
        sleep(Duration::from_millis(20)).await;
    }
    cluster.kill_leader().await;
    let rollout = run_to_end(&cluster).await;
    assert_eq!(rollout.phase, RolloutPhase::RolledBack, "{rollout:?}");
    sleep(Duration::from_secs(2)).await;
    cluster.observed.assert_within_exposure();
}

/// A decision in the log must hold for the successor, also if the order arrives again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rollback_stays_if_the_leader_is_killed_right_after_it() {
    let mut cluster = Cluster::start(|_, _, number| number.is_multiple_of(2)).await;
    cluster.order(DURATION).await;
    let decided = cluster.wait_for_phase(has_ended).await;
    cluster.kill_leader().await;
    cluster.order(DURATION).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(cluster.rollout().await, decided);
    assert_eq!(decided.phase, RolloutPhase::RolledBack, "{decided:?}");
    cluster.observed.assert_within_exposure();
}

/// The successor must finish the move, whose old endpoints get no more requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_move_completes_if_the_leader_is_killed_right_after_its_start() {
    let mut cluster = Cluster::start(GOOD).await;
    cluster.order(DURATION).await;
    let is_moving = |phase| phase == RolloutPhase::Moving || has_ended(phase);
    let moving = cluster.wait_for_phase(is_moving).await;
    assert_eq!(moving.phase, RolloutPhase::Moving, "{moving:?}");
    cluster.kill_leader().await;
    let rollout = run_to_end(&cluster).await;
    assert_eq!(rollout.phase, RolloutPhase::Completed, "{rollout:?}");
}

/// A version may be bad only under the load of the move, of which the successor knows nothing yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_that_is_bad_in_the_move_is_rolled_back_if_the_leader_is_killed() {
    let mut cluster = Cluster::start(|since, _, number| {
        since > Duration::from_millis(10_900) && number.is_multiple_of(2)
    })
    .await;
    cluster.order(DURATION).await;
    cluster
        .wait_for_phase(|phase| phase == RolloutPhase::Moving || has_ended(phase))
        .await;
    cluster.kill_leader().await;
    let rollout = run_to_end(&cluster).await;
    assert_eq!(rollout.phase, RolloutPhase::RolledBack, "{rollout:?}");
}

/// Instances for gateways serve the project's own commands beside the platform's calls, to operators
/// with a key only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn commands_start_show_and_cancel_a_rollout_through_plan_and_confirm() {
    let cluster = Cluster::start(GOOD).await;
    let admin = cluster.any_admin();
    let nothing = serde_json::Value::Null;
    let (status, _) = support::call(admin, "mso-other", "GET /v1/rollouts", &nothing).await;
    assert_eq!(status, 401);
    let start = json!({"start_rollout": {"service": "shop", "to": "v2", "duration_ms": 60_000}});
    let cancel = json!({"cancel_rollout": {"service": "shop"}});
    for (number, intent, phase) in [(1, start, "testing"), (3, cancel, "rolled_back")] {
        let body = json!({"number": number, "intent": intent});
        let (status, plan) = support::call(admin, OPERATOR_KEY, "POST /v1/plans", &body).await;
        assert_eq!(status, 200, "{plan}");
        let line = format!("POST /v1/plans/{}/confirm", plan["plan"]);
        let body = json!({"number": number + 1});
        let (status, answer) = support::call(admin, OPERATOR_KEY, &line, &body).await;
        assert_eq!(status, 200, "{answer}");
        let (_, list) = support::call(admin, OPERATOR_KEY, "GET /v1/rollouts", &nothing).await;
        assert_eq!(list[0]["phase"], phase, "{list}");
    }
}

/// A document names the services that can be moved.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_service_is_rejected() {
    let cluster = Cluster::start(GOOD).await;
    let orders = cluster.any_orders();
    let unknown = "nowhere".parse().unwrap();
    let to = "v2".parse().unwrap();
    let ordered = orders.start_rollout(unknown, to, DURATION).await;
    assert!(ordered.is_err());
    assert_eq!(orders.rollout(&shop()).await, Ok(None));
}
