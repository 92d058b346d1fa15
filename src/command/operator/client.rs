//! HTTP client of the admin API. It tries the control instances in turn until one responds.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mimosa_protocol::Error;
use mimosa_protocol::Result;
use mimosa_protocol::secret::Secret;
use serde_json::Value;

use crate::command::operator::options::Options;

/// Time limit for the response of one control instance.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the admin API, with the URLs of the control instances in the order to try.
pub struct AdminClient {
    client: Client<HttpConnector, Full<Bytes>>,
    urls: Vec<String>,
    key: Secret,
}

/// Result of a call to one control instance.
enum CallOutcome {
    /// It answered with status 200 and this JSON body.
    Done(Value),
    /// It is unreachable or answered with status 503; the next control instance is tried.
    TryNext(Error),
}

impl AdminClient {
    /// A client with the URLs and the key from the options.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if they are missing, [`Error::File`] if the key file cannot be read.
    pub fn new(command: &str, options: &Options) -> Result<Self> {
        Ok(Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            urls: options.admin_urls(command)?,
            key: options.key(command)?,
        })
    }

    /// A client for the given URLs, of which there must be at least one, and operator key.
    pub fn with_urls(urls: impl IntoIterator<Item = String>, key: Secret) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            urls: urls.into_iter().collect(),
            key,
        }
    }

    /// Sends a GET request and returns the JSON body of the response.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if a control instance rejects the request or none of them serves it.
    pub async fn get(&self, path: &str) -> Result<Value> {
        self.call(Method::GET, path, None).await
    }

    /// Posts an order and returns the JSON body of the response. The order number makes it safe to
    /// send the order to several control instances in turn.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if a control instance rejects the order or none of them serves it.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value> {
        self.call(Method::POST, path, Some(body)).await
    }

    async fn call(&self, method: Method, path: &str, body: Option<&Value>) -> Result<Value> {
        let mut last_error = None;
        for url in &self.urls {
            match self.call_one(url, &method, path, body).await? {
                CallOutcome::Done(value) => return Ok(value),
                CallOutcome::TryNext(e) => last_error = Some(e),
            }
        }
        Err(last_error.expect("at least one URL is configured"))
    }

    async fn call_one(
        &self,
        url: &str,
        method: &Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<CallOutcome> {
        let body = body.map(Value::to_string).unwrap_or_default();
        let req = Request::builder()
            .method(method)
            .uri(format!("{url}{path}"))
            .header(
                "authorization",
                format!("Bearer {}", self.key.expose_secret()),
            )
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| refused_error(path, format!("invalid URL {url}: {e}"), None))?;
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, self.send(req)).await;
        let (status, bytes) = match response {
            Ok(Ok(response)) => response,
            Ok(Err(reason)) => {
                return Ok(CallOutcome::TryNext(unreachable_error(url, &reason)));
            }
            Err(_) => {
                return Ok(CallOutcome::TryNext(unreachable_error(
                    url,
                    "no response within 15 s",
                )));
            }
        };
        let value: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        match status {
            200 => Ok(CallOutcome::Done(value)),
            503 => Ok(CallOutcome::TryNext(problem_error(path, status, &value))),
            _ => Err(problem_error(path, status, &value)),
        }
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Result<(u16, Bytes), String> {
        let response = self.client.request(req).await.map_err(|e| e.to_string())?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|e| e.to_string())?;
        Ok((status, body.to_bytes()))
    }
}

/// The error for a response with a problem document, or with only a status.
fn problem_error(path: &str, status: u16, value: &Value) -> Error {
    let field = |name: &str| value.get(name).and_then(Value::as_str);
    let reason = field("detail").map_or_else(|| format!("HTTP status {status}"), str::to_owned);
    let help = match field("ran") {
        Some("no") => Some("the configuration was not changed".to_owned()),
        Some(_) => Some(
            "repeat the command with the same --number to learn whether it was executed".to_owned(),
        ),
        None => None,
    };
    refused_error(path, reason, help)
}

fn refused_error(path: &str, reason: String, help: Option<String>) -> Error {
    Error::Refused {
        what: path.to_owned(),
        reason,
        help,
    }
}

fn unreachable_error(url: &str, reason: &str) -> Error {
    refused_error(
        url,
        reason.to_owned(),
        Some(
            "check that a control instance listens at this address, then repeat the command with the same --number"
                .to_owned(),
        ),
    )
}
