//! Answers that the gateway makes itself.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;

use crate::dialect::Dialect;

/// The body of every answer to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why an answer ends before it is complete.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The endpoint's answer was cut off.
    #[error("the endpoint's answer was cut off: {0}")]
    Cut(#[from] hyper::Error),
    /// The stream could not go on at another endpoint.
    #[error("the stream did not go on: {0}")]
    NotResumed(&'static str),
}

/// Why the gateway answers by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route fits.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The request cannot be read.
    BadRequest,
    /// Nothing ran and nothing will: come back after a while.
    NotRun {
        /// Why.
        reason: &'static str,
        /// When to come back.
        retry_after: Duration,
    },
    /// The account has used up its quota for now.
    OverQuota(Duration),
    /// The request costs more than the account may ever use at once.
    OverBurst,
    /// The request may have run; its answer is lost.
    Lost(&'static str),
    /// The time is over and the request may have run.
    TimedOut,
}

impl Failure {
    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::NoConfiguration | Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
            // No caller sends it again as it is.
            Self::OverBurst => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::Lost(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    pub(crate) const fn reason(&self) -> &'static str {
        match self {
            Self::NoConfiguration => "no configuration is known yet",
            Self::NoRoute => "no route",
            Self::NoKey => "the key is missing or unknown",
            Self::HeadTooLarge => "the head is too large",
            Self::BodyTooLarge => "the body is too large",
            Self::BodyTooSlow => "the body did not arrive in time",
            Self::BadRequest => "the request cannot be read",
            Self::NotRun { reason, .. } | Self::Lost(reason) => reason,
            Self::OverQuota(_) => "the quota is used up for now",
            Self::OverBurst => "the request is larger than the account's burst",
            Self::TimedOut => "timeout",
        }
    }

    /// When the caller should come back, if that helps.
    fn retry_after(&self) -> Option<Duration> {
        /// A new instance learns its configuration within this time.
        const START_TIME: Duration = Duration::from_millis(500);
        match self {
            Self::NoConfiguration => Some(START_TIME),
            Self::NotRun { retry_after, .. } | Self::OverQuota(retry_after) => Some(*retry_after),
            _ => None,
        }
    }

    pub(crate) fn response(&self, dialect: &dyn Dialect) -> Response<Body> {
        let status = self.status();
        let mut response = Response::new(full(dialect.problem_body(status, self.reason())));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(time) = self.retry_after() {
            let seconds = format!("{:.2}", time.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
