//! The read routes for operators, and the probes for the platform.

use axum::Json;
use axum::extract::Query;
use axum::extract::State;
use axum::extract::rejection::QueryRejection;
use axum::http::StatusCode;
use mimosa_state::audit::AuditRecord;
use serde::Deserialize;
use serde::Serialize;

use crate::admin::Admin;
use crate::admin::problem::Problem;
use crate::admin::view::ConfigurationView;
use crate::admin::view::PlanView;
use crate::admin::view::RolloutStatusView;
use crate::admin::view::StatusView;
use crate::clock;

const DEFAULT_AUDIT_LIMIT: usize = 100;
const MAX_AUDIT_LIMIT: usize = 1_000;

/// The query of `GET /v1/audit`: records after sequence number `after`, at most `limit` of them.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditQuery {
    #[serde(default)]
    after: u64,
    limit: Option<usize>,
}

/// A section of the audit trail. Records below `oldest` are evicted.
#[derive(Debug, Serialize)]
pub struct AuditView {
    /// The oldest sequence number still stored.
    oldest: u64,
    /// The newest sequence number.
    last: u64,
    records: Vec<AuditRecord>,
}

/// Lists the unconfirmed plans, oldest first.
///
/// # Errors
///
/// A [`Problem`] if this instance cannot prove that it is current.
pub async fn plans(State(admin): State<Admin>) -> Result<Json<Vec<PlanView>>, Problem> {
    admin.replicator.read_barrier().await?;
    let plans = admin.shared.read(|machine| {
        machine
            .plans()
            .map(|plan| PlanView::new(plan, None))
            .collect()
    });
    Ok(Json(plans))
}

/// Returns the configuration in force, without the digests of keys.
///
/// # Errors
///
/// A [`Problem`] if this instance cannot prove that it is current.
pub async fn configuration(State(admin): State<Admin>) -> Result<Json<ConfigurationView>, Problem> {
    admin.replicator.read_barrier().await?;
    let view = admin
        .shared
        .read(|machine| ConfigurationView::from(machine.configuration()));
    Ok(Json(view))
}

/// Returns a section of the audit trail, oldest first: 100 records if the query sets no limit, at
/// most 1,000.
///
/// # Errors
///
/// A [`Problem`] if the query is malformed or this instance cannot prove that it is current.
pub async fn audit(
    State(admin): State<Admin>,
    query: Result<Query<AuditQuery>, QueryRejection>,
) -> Result<Json<AuditView>, Problem> {
    let Query(query) =
        query.map_err(|e| Problem::not_run(e.status(), "malformed", e.body_text()))?;
    admin.replicator.read_barrier().await?;
    let limit = query
        .limit
        .unwrap_or(DEFAULT_AUDIT_LIMIT)
        .min(MAX_AUDIT_LIMIT);
    let view = admin.shared.read(|machine| AuditView {
        oldest: machine.audit().oldest(),
        last: machine.audit().last(),
        records: machine
            .audit()
            .after(query.after)
            .take(limit)
            .cloned()
            .collect(),
    });
    Ok(Json(view))
}

/// Lists the latest rollout of each service.
///
/// # Errors
///
/// A [`Problem`] if this instance cannot prove that it is current.
pub async fn rollouts(State(admin): State<Admin>) -> Result<Json<Vec<RolloutStatusView>>, Problem> {
    admin.replicator.read_barrier().await?;
    let views = admin.shared.read(|machine| {
        let rollouts = machine.rollouts().iter();
        rollouts
            .map(|(service, rollout)| RolloutStatusView::new(service, rollout))
            .collect()
    });
    Ok(Json(views))
}

/// Returns the status. An instance that cannot prove that it is current answers too, with `current`
/// false.
pub async fn status(State(admin): State<Admin>) -> Json<StatusView> {
    let current = admin.replicator.read_barrier().await.is_ok();
    Json(StatusView::new(&admin, current, clock::now()))
}

/// The liveness probe: succeeds while the process serves HTTP, also without a quorum.
pub async fn healthz() -> &'static str {
    "ok\n"
}

/// The readiness probe: succeeds while this instance can prove that it is current.
///
/// # Errors
///
/// [`StatusCode::SERVICE_UNAVAILABLE`] while it cannot.
pub async fn readyz(State(admin): State<Admin>) -> Result<&'static str, StatusCode> {
    match admin.replicator.read_barrier().await {
        Ok(_) => Ok("ready\n"),
        Err(_) => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}
