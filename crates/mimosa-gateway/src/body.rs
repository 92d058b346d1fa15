//! Takes a caller's body in, within its limits.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use mimosa_protocol::ByteSize;
use tokio::time::timeout;

use crate::answer::Failure;

/// Reads the whole body, so that it can be sent again to another endpoint.
pub(crate) async fn read(
    body: Incoming,
    most: ByteSize,
    limit: Duration,
) -> Result<Bytes, Failure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let most = usize::try_from(most.0).unwrap_or(usize::MAX);
    if body.size_hint().lower() > most as u64 {
        return Err(Failure::BodyTooLarge);
    }
    let collected = timeout(limit, Limited::new(body, most).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Failure::BodyTooLarge),
        Ok(Err(_)) => Err(Failure::BadRequest),
        Err(_) => Err(Failure::BodyTooSlow),
    }
}
