//! Makes the secret of a new caller's key. Only its digest goes on.

use axum::http::StatusCode;
use mimosa_protocol::Change;
use mimosa_protocol::hash::Sha256Digest;
use mimosa_protocol::secret::CALLER_KEY_PREFIX;
use mimosa_protocol::secret::Secret;
use mimosa_state::Intent;
use mimosa_state::Plan;

use crate::admin::problem::Problem;

/// Fills in the digest of a `create_key` intent that came without one, and returns the secret.
///
/// # Errors
///
/// If the operating system gives no random bytes.
pub fn fill_in(intent: &mut Intent) -> Result<Option<Secret>, Problem> {
    let Intent::CreateKey(spec) = intent else {
        return Ok(None);
    };
    if spec.digest.is_some() {
        return Ok(None);
    }
    let mut random = [0; 24];
    getrandom::fill(&mut random).map_err(|e| {
        Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_random",
            format!("the system gives no random bytes: {e}"),
        )
    })?;
    let secret = Secret::from_random(CALLER_KEY_PREFIX, &random);
    spec.digest = Some(secret.digest().to_string());
    Ok(Some(secret))
}

/// Whether a plan is about this very secret. A resend gets the first plan, made with another one.
pub fn belongs_to(secret: &Secret, plan: &Plan) -> bool {
    let digest = secret.digest();
    let same = |known: &Sha256Digest| known.constant_time_eq(&digest);
    plan.changes
        .iter()
        .any(|change| matches!(change, Change::PutKey(key) if same(&key.digest)))
}
