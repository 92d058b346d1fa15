//! The orders of operators: plan and confirm.

use axum::Extension;
use axum::Json;
use axum::extract::Path;
use axum::extract::State;
use axum::extract::rejection::JsonRejection;
use axum::http::StatusCode;
use mimosa_protocol::OrderNumber;
use mimosa_state::CommandResult;
use mimosa_state::Intent;
use mimosa_state::Operation;
use mimosa_state::PlanId;
use mimosa_state::command::confirm_digest;
use mimosa_state::command::plan_digest;
use mimosa_state::orders::OrderId;
use serde::Deserialize;

use crate::admin::Admin;
use crate::admin::auth::Operator;
use crate::admin::problem::Problem;
use crate::admin::secret;
use crate::admin::view::ConfirmView;
use crate::admin::view::PlanView;
use crate::clock;

/// The body of `POST /v1/plans`. Unknown fields are refused.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanOrder {
    number: OrderNumber,
    intent: Intent,
}

/// The body of `POST /v1/plans/{id}/confirm`. Unknown fields are refused.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmOrder {
    number: OrderNumber,
}

/// Plans an intent. The response has the secret of a key generated for it, on the first request
/// only.
///
/// # Errors
///
/// A [`Problem`] if the intent is refused or no quorum commits it.
pub async fn plan(
    State(admin): State<Admin>,
    Extension(operator): Extension<Operator>,
    body: Result<Json<PlanOrder>, JsonRejection>,
) -> Result<Json<PlanView>, Problem> {
    let Json(PlanOrder { number, mut intent }) = body.map_err(malformed)?;
    let order = OrderId {
        operator: operator.0,
        number,
        content: plan_digest(&intent),
    };
    let generated = secret::generate_if_needed(&mut intent)?;
    let operation = Operation::Plan {
        order,
        intent,
        unreachable: admin.entry_registry.unreachable(clock::now()),
    };
    let CommandResult::Planned(answer) = admin.replicator.propose(operation).await? else {
        return Err(unexpected_result());
    };
    let plan = answer?;
    let secret = generated.filter(|secret| secret::is_for_plan(secret, &plan));
    Ok(Json(PlanView::new(&plan, secret.as_ref())))
}

/// Confirms a plan, then waits up to `confirm_wait` until its revision is in force at the entries.
///
/// # Errors
///
/// A [`Problem`] if the plan cannot take effect or no quorum commits the confirm.
pub async fn confirm(
    State(admin): State<Admin>,
    Extension(operator): Extension<Operator>,
    Path(plan): Path<u64>,
    body: Result<Json<ConfirmOrder>, JsonRejection>,
) -> Result<Json<ConfirmView>, Problem> {
    let Json(ConfirmOrder { number }) = body.map_err(malformed)?;
    let plan = PlanId(plan);
    let order = OrderId {
        operator: operator.0,
        number,
        content: confirm_digest(plan),
    };
    let operation = Operation::Confirm { order, plan };
    let CommandResult::Confirmed(answer) = admin.replicator.propose(operation).await? else {
        return Err(unexpected_result());
    };
    let confirmation = answer?;
    let wait = admin.settings.confirm_wait;
    admin
        .entry_registry
        .wait_until_in_force(confirmation.revision, wait)
        .await;
    let reports = admin.entry_registry.reports(clock::now());
    let max_propagation_time = admin.settings.max_propagation_time();
    Ok(Json(ConfirmView::new(
        &confirmation,
        &reports,
        max_propagation_time,
    )))
}

fn malformed(e: JsonRejection) -> Problem {
    Problem::not_run(e.status(), "malformed", e.body_text())
}

fn unexpected_result() -> Problem {
    Problem::not_run(
        StatusCode::INTERNAL_SERVER_ERROR,
        "internal",
        "the log gave the result of another kind of command",
    )
}
