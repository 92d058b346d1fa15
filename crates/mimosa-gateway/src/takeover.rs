//! Finds out whether another process has taken the address of an endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use log::info;
use tokio::time::timeout;

use crate::connection::Connection;
use crate::dialect::OutgoingCall;
use crate::dialect::Step;
use crate::directory::EndpointEntry;
use crate::shared::Shared;

/// Time for which the end of a response without a length waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// Whether a process that is not the endpoint answers on a connection to its address. False if that is not known.
/// The connection is kept for requests if it can be.
pub(crate) async fn is_other_process(
    shared: Arc<Shared>,
    endpoint: Arc<EndpointEntry>,
    connection: Connection,
) -> bool {
    let is_other = timeout(CALL_TIMEOUT, ask(&shared, &endpoint, connection)).await;
    let is_other = is_other.ok().flatten().unwrap_or(false);
    if is_other {
        info!("endpoint={} state=replaced", endpoint.listed.id);
    }
    is_other
}

/// Sends a health check that names the endpoint, which another process refuses as misdirected.
async fn ask(
    shared: &Shared,
    endpoint: &EndpointEntry,
    mut connection: Connection,
) -> Option<bool> {
    let table = shared.directory.table()?;
    let service = table.service(&endpoint.listed.service)?;
    let mut check = Request::new(Full::new(Bytes::new()));
    *check.uri_mut() = service.health_path.parse().ok()?;
    let host = HeaderValue::from_str(&endpoint.listed.address.to_string()).ok()?;
    check.headers_mut().insert(header::HOST, host);
    let call = OutgoingCall {
        account: None,
        time_left: CALL_TIMEOUT,
        endpoint: &endpoint.listed.id,
        step: Step::Full,
    };
    shared.dialect.rewrite_headers(check.headers_mut(), &call);
    let response = connection.send(check).await.ok()?;
    let is_other = response.status() == StatusCode::MISDIRECTED_REQUEST;
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    if body.collect().await.is_ok() && !is_other {
        endpoint.pool.put(shared.now(), connection);
    }
    Some(is_other)
}
