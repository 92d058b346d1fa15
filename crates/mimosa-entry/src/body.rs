//! Reads request bodies, limited in size and time.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use mimosa_protocol::ByteSize;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;

/// Reads a whole request body.
///
/// # Errors
///
/// [`RefusalReason::TooLarge`] if the body exceeds the size, [`RefusalReason::SlowSender`] if it is
/// not complete within the timeout, [`RefusalReason::Malformed`] if it is cut off.
pub(crate) async fn read(
    body: Body,
    max_size: ByteSize,
    timeout: Duration,
) -> Result<Bytes, Refusal> {
    let max_size = usize::try_from(max_size.0).unwrap_or(usize::MAX);
    let collected = tokio::time::timeout(timeout, Limited::new(body, max_size).collect());
    match collected.await {
        Err(_) => Err(Refusal::not_run(RefusalReason::SlowSender)),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::not_run(RefusalReason::TooLarge)),
        Ok(Err(_)) => Err(Refusal::not_run(RefusalReason::Malformed)),
    }
}
