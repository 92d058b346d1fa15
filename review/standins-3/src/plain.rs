//! Plain workers, whose answers a case decides.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;

/// What a worker does with a request.
pub struct Reply {
    /// Time before the answer.
    pub delay: Duration,
    /// How long the worker wants no request from the sender. The request is turned away then, and has
    /// not run.
    pub retry_after_s: Option<u32>,
}

/// Decides on a request from its attempt id.
pub type Behaviour = Arc<dyn Fn(&str) -> Reply + Send + Sync>;

/// Starts a worker at an address that records each request.
pub fn start(
    record: &Record,
    id: &str,
    address: SocketAddr,
    behaviour: Behaviour,
) -> io::Result<()> {
    start_with(Some(record.clone()), id, address, behaviour)
}

/// Starts a worker at an address that records nothing.
pub fn start_quiet(id: &str, address: SocketAddr, behaviour: Behaviour) -> io::Result<()> {
    start_with(None, id, address, behaviour)
}

fn start_with(
    record: Option<Record>,
    id: &str,
    address: SocketAddr,
    behaviour: Behaviour,
) -> io::Result<()> {
    let id = id.to_owned();
    let handler = move |head: &Head, _: &[u8], connection: &mut Connection| {
        handle(record.as_ref(), &id, &behaviour, head, connection)
    };
    http::serve(address, Arc::new(handler))
}

fn handle(
    record: Option<&Record>,
    id: &str,
    behaviour: &Behaviour,
    head: &Head,
    connection: &mut Connection,
) -> io::Result<bool> {
    let (_, target) = head.request_line();
    if target == "/healthz" {
        connection.send("HTTP/1.1 200 OK", &[("x-instance-id", id)], b"")?;
        return Ok(true);
    }
    let attempt = head.get("x-attempt-id").unwrap_or_default();
    if head
        .get("x-expected-instance")
        .is_some_and(|other| other != id)
    {
        let headers = [("x-attempt-id", attempt), ("x-instance-id", id)];
        connection.send("HTTP/1.1 421 Misdirected Request", &headers, b"")?;
        return Ok(true);
    }
    let line = |text: &str| {
        if let Some(record) = record {
            record.line(text);
        }
    };
    line(&format!("{id} gets {attempt}"));
    let reply = behaviour(attempt);
    thread::sleep(reply.delay);
    match reply.retry_after_s {
        Some(seconds) => {
            line(&format!(
                "{id} turns {attempt} away for {seconds} s, not executed"
            ));
            let seconds = seconds.to_string();
            let headers = [
                ("x-attempt-id", attempt),
                ("x-not-executed", "1"),
                ("retry-after", &seconds),
            ];
            connection.send("HTTP/1.1 503 Service Unavailable", &headers, b"")?;
        }
        None => {
            let signature = format!("{id}.{attempt}");
            let headers = [
                ("x-attempt-id", attempt),
                ("x-server-signature", &signature),
            ];
            connection.send("HTTP/1.1 200 OK", &headers, b"done")?;
        }
    }
    Ok(true)
}
