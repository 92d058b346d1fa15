//! Reads request bodies within size and time limits.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use mimosa_protocol::ByteSize;
use tokio::time::timeout;

use crate::response::Failure;

/// Buffers the whole body, so that the request can be retried at another endpoint.
pub(crate) async fn read(
    body: Incoming,
    max_size: ByteSize,
    time_limit: Duration,
) -> Result<Bytes, Failure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let max_size = usize::try_from(max_size.0).unwrap_or(usize::MAX);
    if body.size_hint().lower() > max_size as u64 {
        return Err(Failure::BodyTooLarge);
    }
    let collected = timeout(time_limit, Limited::new(body, max_size).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Failure::BodyTooLarge),
        Ok(Err(_)) => Err(Failure::BadRequest),
        Err(_) => Err(Failure::BodyTooSlow),
    }
}
