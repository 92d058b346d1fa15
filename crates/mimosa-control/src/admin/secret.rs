//! Generates the secrets of new API keys. Only the digest of a secret is stored.

use axum::http::StatusCode;
use mimosa_protocol::Change;
use mimosa_protocol::hash::Sha256Digest;
use mimosa_protocol::secret::CLIENT_KEY_PREFIX;
use mimosa_protocol::secret::Secret;
use mimosa_state::Intent;
use mimosa_state::Plan;

use crate::admin::problem::Problem;

/// For a `create_key` intent without a digest, generates a secret, sets its digest and returns the
/// secret. Other intents stay unchanged.
///
/// # Errors
///
/// A [`Problem`] if the operating system provides no random bytes.
pub fn generate_if_needed(intent: &mut Intent) -> Result<Option<Secret>, Problem> {
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
    let secret = Secret::from_random(CLIENT_KEY_PREFIX, &random);
    spec.digest = Some(secret.digest().to_string());
    Ok(Some(secret))
}

/// Whether a plan creates a key with this secret. False for a resent order: it gets the first plan,
/// made with the secret of the first request.
pub fn is_for_plan(secret: &Secret, plan: &Plan) -> bool {
    let digest = secret.digest();
    let is_same = |known: &Sha256Digest| known.constant_time_eq(&digest);
    plan.changes
        .iter()
        .any(|change| matches!(change, Change::PutKey(key) if is_same(&key.digest)))
}
