//! A configuration adds a streaming route to a plain service.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;
use crate::system::Entry;
use crate::system::System;

const REQUESTS: u32 = 25;
const GAP: Duration = Duration::from_millis(150);
const EVENTS: u32 = 5;
const TIMEOUT_MS: u64 = 5_000;
/// Time after which a configuration is in force everywhere.
const APPLY_TIME: Duration = Duration::from_secs(2);

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Verdict> {
    let system = System::start(record, folder, 1)?;
    let worker = system.worker(0);
    let handler = {
        let record = record.clone();
        move |head: &Head, _: &[u8], connection: &mut Connection| answer(&record, head, connection)
    };
    http::serve(worker, Arc::new(handler))?;
    system.list.set(vec![Entry::new("w-1", "desk", worker, 6)]);
    let kind = if has_trouble { "streaming" } else { "safe" };
    if !system.configure(&config(1, None)) {
        return Err(io::ErrorKind::TimedOut.into());
    }
    thread::sleep(Duration::from_secs(4));
    while system.put_config(0, &config(2, Some(kind))) != 200 {
        thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!(
        "configuration 2 acknowledged: it adds a {kind} route"
    ));
    thread::sleep(APPLY_TIME);
    let mut served = [0; 2];
    for number in 0..REQUESTS {
        for (route, served) in ["desk", "tape"].into_iter().zip(&mut served) {
            let attempt = format!("{route}-{number}");
            let result = send(&system, route, &attempt);
            let is_served = result.is_ok_and(|(status, events)| {
                record.line(&format!("client of {attempt}: {status}, {events} events"));
                status == 200 && (events == EVENTS || route == "desk" || !has_trouble)
            });
            *served += u32::from(is_served);
        }
        thread::sleep(GAP);
    }
    record.line(&format!(
        "served of {REQUESTS} requests each: {} on the first route, {} on the added one",
        served[0], served[1]
    ));
    Ok(match served[1] * 4 < served[0] {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn send(system: &System, route: &str, attempt: &str) -> io::Result<(u16, u32)> {
    let headers = [
        ("host", "cards.example"),
        ("x-attempt-id", attempt),
        ("x-deadline-ms", "4000"),
        ("x-api-key", "key-1"),
    ];
    let start = format!("GET /{route}/1 HTTP/1.1");
    let timeout = Duration::from_secs(6);
    let (head, body) = http::call(system.frontend(0), &start, &headers, b"", timeout)?;
    let events = String::from_utf8_lossy(&body).matches("id: ").count();
    Ok((head.status(), events as u32))
}

fn answer(record: &Record, head: &Head, connection: &mut Connection) -> io::Result<bool> {
    let (_, target) = head.request_line();
    let attempt = head.get("x-attempt-id").unwrap_or_default();
    record.line(&format!("w-1 gets {attempt}"));
    let signature = format!("w-1.{attempt}");
    let headers = [
        ("x-attempt-id", attempt),
        ("x-server-signature", &signature),
    ];
    if !target.starts_with("/tape/") {
        connection.send("HTTP/1.1 200 OK", &headers, b"done")?;
        return Ok(true);
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-signature: {signature}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    connection.write(head.as_bytes())?;
    for event in 1..=EVENTS {
        thread::sleep(Duration::from_millis(5));
        let text = format!("id: {event}\ndata: {event}\n\n");
        connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    connection.write(b"0\r\n\r\n")?;
    Ok(true)
}

fn config(version: u64, added: Option<&str>) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"cards.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{TIMEOUT_MS},\"target_latency_ms\":500,\
             \"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\"anonymous\":false,\
             \"sticky\":false,\"resumable\":false,\"gap_target_ms\":300}}"
        )
    };
    let mut routes = vec![route("desk", "safe")];
    routes.extend(added.map(|kind| route("tape", kind)));
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\
         \"health_path\":\"/healthz\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"orchid\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
