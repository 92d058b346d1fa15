//! Finds the route, the account and the service of a request.

use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::header;
use mimosa_protocol::AccountId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_route::Route;
use mimosa_route::RouteTable;

use crate::answer::Failure;
use crate::dialect::RequestMetadata;
use crate::shared::Shared;

/// A request whose route and account are known.
#[derive(Clone)]
pub(crate) struct Identified {
    pub(crate) facts: RequestMetadata,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: Route,
    pub(crate) account: Option<AccountId>,
    pub(crate) service: ServiceId,
    pub(crate) arrived: Timestamp,
    /// Since when it waits for an endpoint: its arrival, or the break of its stream.
    pub(crate) waiting_since: Timestamp,
    /// When the caller or the route gives it up.
    pub(crate) deadline: Timestamp,
}

impl Identified {
    pub(crate) fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }
}

/// Identifies a request from its head.
pub(crate) fn identify<B>(
    shared: &Shared,
    now: Timestamp,
    request: &Request<B>,
) -> Result<Identified, Failure> {
    let facts = shared.dialect.read_request(request.headers());
    let table = shared.directory.table().ok_or(Failure::NoConfiguration)?;
    if size(request) > table.configuration().limits.max_head.0 {
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
    let account = match &facts.api_key {
        _ if route.allows_anonymous || !table.needs_keys() => None,
        Some(key) => {
            let holder = table.holder(key).ok_or(Failure::NoKey)?;
            Some(holder.id.clone())
        }
        None => return Err(Failure::NoKey),
    };
    let service = route.pick(shared.random()).ok_or(Failure::NoRoute)?.clone();
    let patience = facts
        .client_timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    Ok(Identified {
        facts,
        table,
        route,
        account,
        service,
        arrived: now,
        waiting_since: now,
        deadline: now + patience,
    })
}

/// The bytes of a head as it is usually written, without spaces around the values.
fn size<B>(request: &Request<B>) -> u64 {
    /// `: ` and the end of the line.
    const FIELD: usize = 4;
    /// Two spaces, ` HTTP/1.1` without its own, the end of the line and the empty line.
    const LINE: usize = 14;
    let target = request.uri().path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    let fields: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + FIELD)
        .sum();
    (request.method().as_str().len() + target + LINE + fields) as u64
}
