//! Resolution of the route, account and service of a request.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::header;
use mimosa_protocol::AccountId;
use mimosa_protocol::ByteSize;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_route::Route;
use mimosa_route::RouteTable;

use crate::dialect::RequestMetadata;
use crate::response::Failure;
use crate::shared::Shared;

/// A request with its resolved route, account and service.
#[derive(Clone)]
pub(crate) struct IdentifiedRequest {
    pub(crate) metadata: RequestMetadata,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: Route,
    pub(crate) account: Option<AccountId>,
    pub(crate) service: ServiceId,
    pub(crate) arrived: Timestamp,
    /// Start of the wait for an endpoint: the arrival, or the failure of the stream being resumed.
    pub(crate) waiting_since: Timestamp,
    /// Earlier of the client's and the route's deadline.
    pub(crate) deadline: Timestamp,
    /// Whether an endpoint may have executed the request.
    pub(crate) may_have_run: Arc<AtomicBool>,
    /// Size of the body, once it was read.
    pub(crate) body_bytes: Arc<AtomicU64>,
}

impl IdentifiedRequest {
    /// Size of the body, once it was read.
    pub(crate) fn body_size(&self) -> ByteSize {
        ByteSize(self.body_bytes.load(Ordering::Relaxed))
    }

    pub(crate) fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }
}

/// Resolves the route, account, service and deadline of a request from its head.
pub(crate) fn identify<B>(
    shared: &Shared,
    now: Timestamp,
    request: &Request<B>,
) -> Result<IdentifiedRequest, Failure> {
    let metadata = shared.dialect.read_request(request.headers());
    let table = shared.directory.table().ok_or(Failure::NoConfiguration)?;
    if head_size(request) > table.configuration().limits.max_head.0 {
        return Err(Failure::HeadTooLarge);
    }
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default();
    let route = table.route(host, request.uri().path());
    let route = route.ok_or(Failure::NoRoute)?.clone();
    let account = match &metadata.api_key {
        _ if route.allows_anonymous || !table.requires_keys() => None,
        Some(key) => {
            let account = table.account_by_key(key).ok_or(Failure::NoKey)?;
            Some(account.id.clone())
        }
        None => return Err(Failure::NoKey),
    };
    let service = route
        .select_service(shared.random())
        .ok_or(Failure::NoRoute)?
        .clone();
    let timeout = metadata
        .client_timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    Ok(IdentifiedRequest {
        metadata,
        table,
        route,
        account,
        service,
        arrived: now,
        waiting_since: now,
        deadline: now + timeout,
        may_have_run: Arc::default(),
        body_bytes: Arc::default(),
    })
}

/// Size of a request head in bytes in its usual serialisation, without optional whitespace.
fn head_size<B>(request: &Request<B>) -> u64 {
    /// `: ` and the line ending.
    const FIELD_OVERHEAD: usize = 4;
    /// Two spaces, `HTTP/1.1`, the line ending and the empty line.
    const REQUEST_LINE_OVERHEAD: usize = 14;
    let target = request.uri().path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    let fields: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD)
        .sum();
    (request.method().as_str().len() + target + REQUEST_LINE_OVERHEAD + fields) as u64
}
