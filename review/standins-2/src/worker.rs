//! Workers: they read requests, check that they are meant, and answer as a handler says.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Result;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Head;
use crate::record::Record;

/// The process of a worker. Dropping it kills it.
pub struct WorkerProcess(Child);

impl WorkerProcess {
    /// Starts a program beside the running one. Its output goes to the record.
    pub fn start(record: &Record, program: &str, args: &[&str]) -> Result<Self> {
        let program = std::env::current_exe()?.with_file_name(program);
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take();
        let (record, id) = (
            record.clone(),
            args.first().copied().unwrap_or("").to_owned(),
        );
        thread::spawn(move || {
            let Some(output) = output else { return };
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&format!("[{id}] {line}"));
            }
        });
        Ok(Self(child))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A request that reached a worker.
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Answers a request. Returns whether the connection stays open.
pub type Handler = dyn Fn(&Request, &mut TcpStream) -> Result<bool> + Send + Sync;

/// Serves a worker with an id. Requests for another worker get 421.
pub fn serve(listener: TcpListener, id: &str, handler: Arc<Handler>) {
    let id: Arc<str> = id.into();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, handler) = (Arc::clone(&id), Arc::clone(&handler));
            thread::spawn(move || serve_connection(stream, &id, handler.as_ref()).ok());
        }
    });
}

fn serve_connection(stream: TcpStream, id: &str, handler: &Handler) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(head) = Head::read(&mut reader)? {
        let body = http::read_request_body(&mut reader, &head)?;
        let request = Request { head, body };
        let expected = request.head.field("x-expected-instance");
        let stays = match expected.is_empty() || expected == id {
            true => handler(&request, &mut writer)?,
            false => respond(
                &request,
                &mut writer,
                "421 Misdirected Request",
                "X-Not-Executed: 1\r\n",
                "",
            )?,
        };
        if !stays {
            break;
        }
    }
    Ok(())
}

/// Sends a response with a length and keeps the connection.
pub fn respond(
    request: &Request,
    writer: &mut TcpStream,
    status: &str,
    fields: &str,
    body: &str,
) -> Result<bool> {
    let attempt = request.head.field("x-attempt-id");
    let echo = match attempt {
        "" => String::new(),
        attempt => format!("X-Attempt-Id: {attempt}\r\n"),
    };
    let length = body.len();
    writer.write_all(
        format!("HTTP/1.1 {status}\r\n{echo}{fields}Content-Length: {length}\r\n\r\n{body}")
            .as_bytes(),
    )?;
    Ok(true)
}

/// A model worker that streams events.
pub struct ModelWorker {
    pub id: String,
    pub stage: &'static str,
    pub slots: usize,
    /// Events of each stream, and the pause between two of them.
    pub events: usize,
    pub gap: Duration,
    /// Bytes that are added to each event.
    pub padding: usize,
    /// Time that a prefill takes.
    pub prefill_time: Duration,
    pub record: Record,
    running: AtomicUsize,
    handles: Mutex<u64>,
}

impl ModelWorker {
    pub fn new(id: &str, stage: &'static str, slots: usize, record: Record) -> Self {
        Self {
            id: id.to_owned(),
            stage,
            slots,
            events: 20,
            gap: Duration::from_millis(50),
            padding: 0,
            prefill_time: Duration::from_millis(40),
            record,
            running: AtomicUsize::new(0),
            handles: Mutex::new(0),
        }
    }

    /// Answers a request.
    pub fn handle(&self, request: &Request, writer: &mut TcpStream) -> Result<bool> {
        let (method, path) = request.head.request_line();
        let json = "Content-Type: application/json\r\n";
        if path == "/healthz" {
            let fields = format!("X-Instance-Id: {}\r\n", self.id);
            return respond(request, writer, "200 OK", &fields, "");
        }
        if path == "/api/report" {
            let running = self.running.load(Ordering::Relaxed);
            let report = format!(
                "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":0,\"waiting\":0,\"in_flight\":{running},\"kv_used\":0,\
                 \"kv_total\":100000,\"kv_handles\":0}}",
                self.stage
            );
            return respond(request, writer, "200 OK", json, &report);
        }
        if path == "/api/order" {
            self.record
                .line(&format!("worker {} is given an order", self.id));
            return respond(request, writer, "409 Conflict", json, "{}");
        }
        if method == "DELETE" && path.starts_with("/api/") {
            return respond(request, writer, "200 OK", json, "{}");
        }
        let attempt = request.head.field("x-attempt-id").to_owned();
        let asked_prefill = request.head.field("x-inference-stage") == "prefill";
        if asked_prefill != (self.stage == "prefill") {
            let fields = "X-Not-Executed: 1\r\n";
            return respond(request, writer, "421 Misdirected Request", fields, "");
        }
        if asked_prefill {
            let handle = {
                let mut handles = self.handles.lock().unwrap();
                *handles += 1;
                format!("{}-{}", self.id, *handles)
            };
            thread::sleep(self.prefill_time);
            let body = format!("{{\"kv_handle\":\"{handle}\",\"tokens\":1000,\"version\":1}}");
            return respond(request, writer, "200 OK", json, &body);
        }
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.slots {
            self.running.fetch_sub(1, Ordering::Relaxed);
            self.record
                .line(&format!("worker {} is full for {attempt}", self.id));
            let fields = "X-Not-Executed: 1\r\n";
            return respond(request, writer, "503 Service Unavailable", fields, "");
        }
        self.record
            .line(&format!("worker {} runs {attempt}", self.id));
        let streamed = self.stream(request, writer);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let end = match &streamed {
            Ok(_) => "to its end".to_owned(),
            Err(e) => format!("until the connection ended: {e}"),
        };
        self.record
            .line(&format!("worker {} ran {attempt} {end}", self.id));
        streamed
    }

    /// Short requests have three events.
    fn events_of(&self, attempt: &str) -> usize {
        if attempt.starts_with("short-") {
            3
        } else {
            self.events
        }
    }

    fn stream(&self, request: &Request, writer: &mut TcpStream) -> Result<bool> {
        let attempt = request.head.field("x-attempt-id");
        writer.write_all(
            format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s.{attempt}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        )?;
        let after = request.head.field("last-event-id").parse().unwrap_or(0);
        for number in after + 1..=self.events_of(attempt) {
            let padding = "z".repeat(self.padding);
            let event = format!("id: {number}\ndata: event {number} of {attempt} {padding}\n\n");
            let size = event.len();
            writer.write_all(format!("{size:x}\r\n{event}\r\n").as_bytes())?;
            thread::sleep(self.gap);
        }
        writer.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}
