//! The way of a request through the gateway.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use log::info;

use crate::answer::Body;
use crate::answer::Failure;
use crate::body;
use crate::head;
use crate::head::Identified;
use crate::model;
use crate::plain;
use crate::quota;
use crate::shared::Shared;
use crate::upstream::Whole;

/// When callers come back that were refused by an instance that shuts down: another one serves them
/// at once.
const SHUTDOWN_RETRY: Duration = Duration::from_millis(20);

/// Answers one request of a caller.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let now = shared.now();
    let identified = match head::identify(&shared, now, &request) {
        Ok(identified) => identified,
        Err(failure) => {
            let facts = shared.dialect.read_request(request.headers());
            shared.metrics.refused(failure.reason());
            info!(
                "request={} step=identify outcome={} reason=\"{}\"",
                facts.attempt_id,
                failure.status().as_u16(),
                failure.reason()
            );
            return Ok(failure.response(shared.dialect.as_ref()));
        }
    };
    let mut unanswered = Unanswered {
        shared: &shared,
        request: &identified,
        is_answered: false,
    };
    let served = if shared.is_too_late_for(now, identified.route.retry_policy) {
        Err(Failure::NotRun {
            reason: "this instance shuts down",
            retry_after: SHUTDOWN_RETRY,
        })
    } else {
        serve(&shared, &identified, request).await
    };
    unanswered.is_answered = true;
    let mut response = served.unwrap_or_else(|failure| {
        info!(
            "request={} step=answer outcome={} reason=\"{}\" route={} took_ms={}",
            identified.facts.attempt_id,
            failure.status().as_u16(),
            failure.reason(),
            identified.route.name,
            shared.now().since(identified.arrived).as_millis()
        );
        shared.metrics.refused(failure.reason());
        failure.response(shared.dialect.as_ref())
    });
    let time = shared.now().since(identified.arrived);
    let status = response.status().as_u16();
    shared
        .metrics
        .answered(identified.service.as_str(), status, time);
    if shared.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn serve(
    shared: &Arc<Shared>,
    identified: &Identified,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let (head, body) = request.into_parts();
    let limits = identified.table.configuration().limits;
    let left = identified.time_left(shared.now());
    let whole = Whole {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body: body::read(body, limits.max_body, left).await?,
    };
    shared.count_request(shared.now(), &identified.service);
    if identified.route.retry_policy.is_stream() {
        model::serve(shared, identified, &whole).await
    } else {
        quota::admit(shared, identified).await?;
        plain::serve(shared, identified, &whole).await
    }
}

/// Logs a request whose caller left before there was an answer: its future is dropped then.
struct Unanswered<'a> {
    shared: &'a Shared,
    request: &'a Identified,
    is_answered: bool,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            info!(
                "request={} step=answer outcome=left took_ms={}",
                self.request.facts.attempt_id,
                self.shared.now().since(self.request.arrived).as_millis()
            );
        }
    }
}
