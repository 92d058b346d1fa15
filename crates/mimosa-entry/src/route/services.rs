//! `/services/<name>/…` with any method

use std::sync::Arc;

use axum::Extension;
use axum::extract::Request;
use axum::extract::State;
use axum::response::Response;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::configuration::ServiceKind;

use crate::access::Caller;
use crate::access::authorise;
use crate::body;
use crate::connection::Connection;
use crate::filter::record::AssignedId;
use crate::plain;
use crate::plain::ServiceRequest;
use crate::plain::strip_hop_by_hop_headers;
use crate::problem;
use crate::shared::Shared;

const PATH_PREFIX: &str = "/services/";

pub(crate) async fn call(
    State(shared): State<Arc<Shared>>,
    Extension(caller): Extension<Caller>,
    Extension(assigned): Extension<AssignedId>,
    req: Request,
) -> Response {
    let result = async {
        let service_request = admit(shared, caller, assigned, req).await?;
        service_request.run().await
    };
    result
        .await
        .unwrap_or_else(|refusal| problem::response(&refusal))
}

/// Finds the service, authorises the caller and reads the body. The path is forwarded without the
/// prefix and the name of the service.
async fn admit(
    shared: Arc<Shared>,
    caller: Caller,
    assigned: AssignedId,
    req: Request,
) -> Result<ServiceRequest, Refusal> {
    const NOT_FOUND: Refusal = Refusal::not_run(RefusalReason::NotFound);
    let arrived = shared.now();
    let (mut parts, body) = req.into_parts();
    let path_and_query = parts.uri.path_and_query().ok_or(NOT_FOUND)?.as_str();
    let rest = path_and_query.strip_prefix(PATH_PREFIX).ok_or(NOT_FOUND)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    let id = name.parse().map_err(|_| NOT_FOUND)?;
    let service = shared
        .configuration
        .load()
        .service(&id)
        .filter(|service| service.kind == ServiceKind::Plain)
        .cloned()
        .ok_or(NOT_FOUND)?;
    let account = authorise(&shared, &caller, &service)?;
    let owner = account.as_ref().map(|account| account.id.clone());
    let body = body::read(&shared, owner, body).await?.into_bytes();
    let connection = Connection::of_request(&parts.extensions);
    strip_hop_by_hop_headers(&mut parts.headers);
    let content = plain::request_parts(account.as_ref(), &service.id, &path, &body);
    Ok(ServiceRequest {
        shared,
        connection,
        caller,
        request: assigned.0,
        arrived,
        service,
        account,
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        parts: Arc::new(content),
    })
}
