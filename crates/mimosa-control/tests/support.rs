//! HTTP calls of operators with transcripts for snapshots, and the entry side of the TCP protocol.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mimosa_control::ControlServer;
use mimosa_control::Running;
use mimosa_control::Settings;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Revision;
use mimosa_protocol::message::ControlMessage;
use mimosa_protocol::message::EntryMessage;
use mimosa_protocol::secret::Secret;
use mimosa_transport::frame;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::net::TcpStream;

/// Key of the operator `ada`.
pub const ADA: &str = "mso-ada";
/// Key of the operator `bo`.
pub const BO: &str = "mso-bo";

/// Settings of a single-instance cluster with two operators.
pub fn settings(folder: impl Into<PathBuf>) -> Settings {
    let operators = [("ada", ADA), ("bo", BO)];
    Settings {
        data_folder: folder.into(),
        operators: operators
            .into_iter()
            .map(|(name, key)| (name.parse().unwrap(), Secret::new(key).digest()))
            .collect(),
        heartbeat: Duration::from_millis(20),
        confirm_wait: Duration::from_millis(50),
        ..Settings::default()
    }
}

/// One control instance and the transcript of the operator requests to it.
pub struct Session {
    /// The instance.
    pub control: Running,
    /// Its data folder.
    pub folder: TempDir,
    transcript: String,
    secrets: Vec<String>,
}

impl Session {
    /// Starts a control instance on an empty folder.
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let control = ControlServer::start(settings(folder.path())).await.unwrap();
        Self {
            control,
            folder,
            transcript: String::new(),
            secrets: Vec::new(),
        }
    }

    /// Adds a comment line to the transcript.
    pub fn note(&mut self, text: &str) {
        self.transcript.push_str(&format!("# {text}\n"));
    }

    /// Sends a request; adds the request and the response to the transcript.
    pub async fn call(&mut self, key: &str, line: &str, body: Value) -> Value {
        let (status, answer) = call(self.control.admin_address(), key, line, &body).await;
        if let Some(secret) = answer["secret"].as_str() {
            self.secrets.push(secret.to_owned());
        }
        let who = key.trim_start_matches("mso-");
        let body = if body.is_null() {
            String::new()
        } else {
            format!(" {body}")
        };
        let shown = masked(answer.clone());
        self.transcript
            .push_str(&format!("{who}> {line}{body}\n{status} {shown:#}\n\n"));
        answer
    }

    /// Plans an intent and returns the plan.
    pub async fn plan(&mut self, key: &str, number: u64, intent: Value) -> Value {
        let body = json!({ "number": number, "intent": intent });
        self.call(key, "POST /v1/plans", body).await
    }

    /// Confirms a plan.
    pub async fn confirm(&mut self, key: &str, number: u64, plan: &Value) -> Value {
        let line = format!("POST /v1/plans/{}/confirm", plan["plan"]);
        self.call(key, &line, json!({ "number": number })).await
    }

    /// Plans and confirms intents without adding them to the transcript.
    pub async fn apply_intents(&self, intents: impl IntoIterator<Item = Value>) {
        apply_intents(self.control.admin_address(), 1_000, intents).await;
    }

    /// The transcript. Fails if it contains the secret of a key.
    pub fn transcript(&self) -> &str {
        let is_leaked = |secret: &&String| self.transcript.contains(secret.as_str());
        assert_eq!(self.secrets.iter().find(is_leaked), None);
        &self.transcript
    }
}

/// Limits the attempts of a polling loop, so that a test fails instead of hanging.
pub struct Attempts {
    left: u32,
}

impl Default for Attempts {
    fn default() -> Self {
        Self { left: 3_000 }
    }
}

impl Attempts {
    /// Waits before the next attempt. Fails if none is left.
    pub async fn pause(&mut self) {
        assert_ne!(self.left, 0, "the awaited condition never became true");
        self.left -= 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Plans and confirms intents as `ada`, with order numbers from `first_number`.
pub async fn apply_intents(
    admin: SocketAddr,
    first_number: u64,
    intents: impl IntoIterator<Item = Value>,
) {
    let mut number = first_number;
    for intent in intents {
        let body = json!({ "number": number, "intent": intent });
        let (status, plan) = call(admin, ADA, "POST /v1/plans", &body).await;
        assert_eq!(status, 200, "{plan}");
        let line = format!("POST /v1/plans/{}/confirm", plan["plan"]);
        let body = json!({ "number": number + 1 });
        let (status, answer) = call(admin, ADA, &line, &body).await;
        assert_eq!(status, 200, "{answer}");
        number += 2;
    }
}

/// Sends an HTTP request; returns the status and the JSON body.
pub async fn call(admin: SocketAddr, key: &str, line: &str, body: &Value) -> (u16, Value) {
    try_call(admin, key, line, body).await.unwrap()
}

/// Sends `GET /v1/configuration` as `ada`.
pub async fn read_configuration(admin: SocketAddr) -> (u16, Value) {
    call(admin, ADA, "GET /v1/configuration", &Value::Null).await
}

/// Sends an HTTP request; `None` if no response arrives.
pub async fn try_call(
    admin: SocketAddr,
    key: &str,
    line: &str,
    body: &Value,
) -> Option<(u16, Value)> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let (method, path) = line.split_once(' ').unwrap();
    let text = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{admin}{path}"))
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(text)))
        .unwrap();
    let response = client.request(req).await.ok()?;
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    let answer = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Some((status, answer))
}

/// Replaces the values that differ between runs.
fn masked(mut value: Value) -> Value {
    mask(&mut value);
    value
}

fn mask(value: &mut Value) {
    match value {
        Value::Object(fields) => fields.iter_mut().for_each(|(name, field)| {
            let hidden = ["at", "everywhere_by", "withdrawn", "secret", "heard_ms_ago"];
            if hidden.contains(&name.as_str()) && (field.is_number() || field.is_string()) {
                *field = Value::from(format!("[{name}]"));
            } else {
                mask(field);
            }
        }),
        Value::Array(list) => list.iter_mut().for_each(mask),
        _ => {}
    }
}

/// The entry side of a connection to a control instance.
pub struct Entry {
    stream: TcpStream,
    revision: Revision,
    probe: u64,
}

impl Entry {
    /// Connects and reports a revision as the one in force.
    pub async fn connect(
        address: SocketAddr,
        name: &str,
        data_centre: &str,
        revision: u64,
    ) -> Self {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let data_centre: DataCentreId = data_centre.parse().unwrap();
        let hello = EntryMessage::Hello {
            instance: name.parse().unwrap(),
            incarnation: Incarnation(1),
            data_centre,
            revision: Revision(revision),
        };
        frame::write(&mut stream, &hello).await.unwrap();
        Self {
            stream,
            revision: Revision(revision),
            probe: 0,
        }
    }

    /// Writes one frame to the control instance.
    pub async fn send(&mut self, message: EntryMessage) {
        frame::write(&mut self.stream, &message).await.unwrap();
    }

    /// Receives the next message; `None` at the end of the connection.
    pub async fn next(&mut self) -> Option<ControlMessage> {
        frame::read(&mut self.stream).await.ok().flatten()
    }

    /// Receives the next message other than freshness proofs and entry lists.
    pub async fn next_change(&mut self) -> Option<ControlMessage> {
        loop {
            match self.next().await {
                Some(ControlMessage::Current { .. } | ControlMessage::Entries(_)) => {}
                other => return other,
            }
        }
    }

    /// Reports the revision in force.
    pub async fn report(&mut self, revision: Revision) {
        self.revision = revision;
        self.probe += 1;
        let probe = self.probe;
        self.send(EntryMessage::InForce { revision, probe }).await;
    }

    /// Sends a probe, waits for the freshness proof that answers it and returns its revision.
    pub async fn proof(&mut self) -> Revision {
        self.report(self.revision).await;
        loop {
            match self.next().await.expect("the connection is open") {
                ControlMessage::Current { revision, probe } if probe == self.probe => {
                    return revision;
                }
                _ => {}
            }
        }
    }
}

/// Intents for two data centres, each with a model service with both pools and a plain service.
pub fn intents_for_two_data_centres() -> Vec<Value> {
    let mut intents = vec![
        json!({"put_data_centre": {"data_centre": "east"}}),
        json!({"put_data_centre": {"data_centre": "west"}}),
        json!({"put_service": {"service": "verse", "kind": "model"}}),
        json!({"put_service": {"service": "orders", "kind": "plain"}}),
    ];
    let mut port = 9_000;
    for data_centre in ["east", "west"] {
        for (role, service) in [
            ("prefill", "verse"),
            ("decode", "verse"),
            ("plain", "orders"),
        ] {
            port += 1;
            intents.push(json!({"put_endpoint": {
                "endpoint": format!("{role}-{data_centre}"),
                "service": service,
                "data_centre": data_centre,
                "address": format!("127.0.0.1:{port}"),
                "role": role,
            }}));
        }
    }
    intents
}
