//! An HTTP client for requests to the system.

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// A request, the key to send with it, and a label for the transcript.
#[derive(Clone)]
pub struct Call {
    method: Method,
    path: String,
    body: String,
    headers: Vec<(&'static str, String)>,
    key: CallerKey,
    label: Option<&'static str>,
}

#[derive(Clone)]
enum CallerKey {
    /// The key that the system under test issued to the caller.
    Own,
    Other(String),
    Absent,
}

/// A completely received response.
pub struct FullResponse {
    pub status: u16,
    pub content_type: String,
    pub body: String,
}

impl Call {
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path, "")
    }

    pub fn post(path: &str, body: &str) -> Self {
        Self::new(Method::POST, path, body)
    }

    pub fn new(method: Method, path: &str, body: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            body: body.to_owned(),
            headers: Vec::new(),
            key: CallerKey::Own,
            label: None,
        }
    }

    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    pub fn body(self, body: &str) -> Self {
        Self {
            body: body.to_owned(),
            ..self
        }
    }

    pub fn key(self, key: &str) -> Self {
        Self {
            key: CallerKey::Other(key.to_owned()),
            ..self
        }
    }

    pub fn without_key(self) -> Self {
        Self {
            key: CallerKey::Absent,
            ..self
        }
    }

    /// A label for the transcript.
    pub fn label(self, label: &'static str) -> Self {
        Self {
            label: Some(label),
            ..self
        }
    }

    /// The request in the format of the transcript.
    pub fn title(&self) -> String {
        let key = match &self.key {
            CallerKey::Own => "",
            CallerKey::Other(_) => " (unknown key)",
            CallerKey::Absent => " (no key)",
        };
        let label = self
            .label
            .map(|label| format!(" ({label})"))
            .unwrap_or_default();
        let headers: String = self
            .headers
            .iter()
            .map(|(name, value)| format!("\n> {name}: {value}"))
            .collect();
        format!(
            "{} {}{key}{label}{headers}\n> {}",
            self.method, self.path, self.body
        )
    }

    /// Sends the request and returns when the response headers are received.
    pub async fn open(&self, address: &str, caller_key: &str) -> Response<Incoming> {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let mut req = Request::builder()
            .method(&self.method)
            .uri(format!("http://{address}{}", self.path));
        for (name, value) in &self.headers {
            req = req.header(*name, value);
        }
        req = match &self.key {
            CallerKey::Own => req.header("authorization", format!("Bearer {caller_key}")),
            CallerKey::Other(key) => req.header("authorization", format!("Bearer {key}")),
            CallerKey::Absent => req,
        };
        let req = req.body(Full::new(Bytes::from(self.body.clone())));
        client
            .request(req.expect("the request is valid"))
            .await
            .expect("the server responds")
    }

    /// Sends the request and reads the whole response.
    pub async fn send(&self, address: &str, caller_key: &str) -> FullResponse {
        let (parts, body) = self.open(address, caller_key).await.into_parts();
        let content_type = parts.headers.get("content-type");
        let body = body
            .collect()
            .await
            .expect("the body is complete")
            .to_bytes();
        FullResponse {
            status: parts.status.as_u16(),
            content_type: content_type
                .map(|value| value.to_str().unwrap_or_default().to_owned())
                .unwrap_or_default(),
            body: String::from_utf8_lossy(&body).into_owned(),
        }
    }
}
