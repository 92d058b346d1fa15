//! Model workers: a prefill worker, and decode workers whose memory is counted in tokens.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;

/// Time that the prefill worker takes for a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(60);
/// Time between two events of a stream.
pub const EVENT_GAP: Duration = Duration::from_millis(150);
/// Output tokens of an event.
pub const STRIDE: u64 = 40;

/// A model worker.
pub struct Engine {
    record: Record,
    id: String,
    stage: &'static str,
    slots: usize,
    /// Memory in tokens.
    capacity: u64,
    runs: Mutex<Vec<Run>>,
    next_number: AtomicU64,
    /// Output tokens of a request, by its attempt id.
    outputs: Arc<Mutex<HashMap<String, u64>>>,
}

struct Run {
    number: u64,
    prompt: u64,
    output: u64,
    /// Whether it waits until memory is free, in the middle of its stream.
    is_preempted: bool,
}

impl Engine {
    pub fn start(
        record: &Record,
        id: &str,
        stage: &'static str,
        address: SocketAddr,
        (slots, capacity): (usize, u64),
        outputs: &Arc<Mutex<HashMap<String, u64>>>,
    ) -> io::Result<()> {
        let engine = Arc::new(Self {
            record: record.clone(),
            id: id.to_owned(),
            stage,
            slots,
            capacity,
            runs: Mutex::default(),
            next_number: AtomicU64::new(1),
            outputs: Arc::clone(outputs),
        });
        http::serve(
            address,
            Arc::new(move |head, _, connection| engine.handle(head, connection)),
        )
    }

    fn handle(&self, head: &Head, connection: &mut Connection) -> io::Result<bool> {
        let json = [("content-type", "application/json")];
        let (_, target) = head.request_line();
        if target == "/api/report" {
            let (used, running) = self.load();
            let body = format!(
                "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":0,\"waiting\":0,\"in_flight\":{running},\
                 \"kv_used\":{used},\"kv_total\":{},\"kv_handles\":0,\"born\":1790000000000}}",
                self.stage, self.capacity
            );
            connection.send("HTTP/1.1 200 OK", &json, body.as_bytes())?;
            return Ok(true);
        }
        if target.starts_with("/api/kv-handle/") {
            connection.send("HTTP/1.1 200 OK", &[], b"")?;
            return Ok(true);
        }
        if target == "/healthz" {
            let headers = [("x-instance-id", self.id.as_str())];
            connection.send("HTTP/1.1 200 OK", &headers, b"")?;
            return Ok(true);
        }
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        let is_prefill = head.get("x-inference-stage") == Some("prefill");
        let is_expected = head
            .get("x-expected-instance")
            .is_none_or(|id| id == self.id);
        if !is_expected || is_prefill != (self.stage == "prefill") {
            let headers = [("x-attempt-id", attempt), ("x-instance-id", &self.id)];
            connection.send("HTTP/1.1 421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        if is_prefill {
            thread::sleep(PREFILL_TIME);
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            let body = format!("{{\"kv_handle\":\"h{number}\",\"tokens\":1,\"version\":1}}");
            let headers = [json[0], ("x-attempt-id", attempt)];
            connection.send("HTTP/1.1 200 OK", &headers, body.as_bytes())?;
            return Ok(true);
        }
        self.decode(head, attempt, connection)
    }

    /// Runs a request. It holds a slot and memory until its stream ends or its connection closes.
    fn decode(&self, head: &Head, attempt: &str, connection: &mut Connection) -> io::Result<bool> {
        let prompt = head.get("x-token-count").unwrap_or_default();
        let prompt = prompt.split(',').next().and_then(|text| text.parse().ok());
        let prompt = prompt.unwrap_or(0);
        let first = head.get("last-event-id").and_then(|id| id.parse().ok());
        let first: u64 = first.unwrap_or(0);
        let outputs = self.outputs.lock().expect("no holder panics");
        let total = outputs.get(attempt).copied().unwrap_or(STRIDE);
        drop(outputs);
        let Some(number) = self.admit(prompt + first * STRIDE) else {
            self.record
                .line(&format!("{} turns {attempt} away: full", self.id));
            let headers = [("x-attempt-id", attempt), ("x-not-executed", "1")];
            connection.send("HTTP/1.1 503 Service Unavailable", &headers, b"")?;
            return Ok(true);
        };
        self.record
            .line(&format!("{} runs {attempt} after event {first}", self.id));
        let result = self.stream(attempt, connection, number, first, total.div_ceil(STRIDE));
        self.runs().retain(|run| run.number != number);
        let outcome = match &result {
            Ok(()) => "complete",
            Err(_) => "its connection was closed by the sender",
        };
        self.record
            .line(&format!("{} ends {attempt}: {outcome}", self.id));
        result.map(|()| true)
    }

    fn stream(
        &self,
        attempt: &str,
        connection: &mut Connection,
        number: u64,
        first: u64,
        last: u64,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-signature: {}.{attempt}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        connection.write(head.as_bytes())?;
        for event in first + 1..=last {
            thread::sleep(EVENT_GAP);
            let mut was_preempted = false;
            while !self.grow(number, attempt, &mut was_preempted) {
                thread::sleep(Duration::from_millis(10));
                if connection.is_closed() {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
            if connection.is_closed() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let text = format!("id: {event}\ndata: {attempt} {event} of {last}\n\n");
            connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")
    }

    /// Takes a slot and memory; `None` if the worker is full.
    fn admit(&self, memory: u64) -> Option<u64> {
        let mut runs = self.runs();
        let used: u64 = used(&runs);
        if runs.len() >= self.slots || used + memory > self.capacity {
            return None;
        }
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        runs.push(Run {
            number,
            prompt: memory,
            output: 0,
            is_preempted: false,
        });
        Some(number)
    }

    /// Adds the tokens of an event to a run. If memory runs out, the newest run is preempted; returns
    /// false while that is this one.
    fn grow(&self, number: u64, attempt: &str, was_preempted: &mut bool) -> bool {
        let mut runs = self.runs();
        loop {
            let used = used(&runs);
            let Some(at) = runs.iter().position(|run| run.number == number) else {
                return true;
            };
            let own = runs[at].prompt + runs[at].output;
            if runs[at].is_preempted {
                if !*was_preempted {
                    *was_preempted = true;
                    let text = format!("{} has preempted {attempt}: memory ran out", self.id);
                    self.record.line(&text);
                }
                if used + own + STRIDE > self.capacity {
                    return false;
                }
                runs[at].is_preempted = false;
                self.record
                    .line(&format!("{} goes on with {attempt}", self.id));
                continue;
            }
            if used + STRIDE <= self.capacity {
                runs[at].output += STRIDE;
                return true;
            }
            let running = runs.iter_mut().filter(|run| !run.is_preempted);
            let newest = running.max_by_key(|run| run.number);
            if let Some(newest) = newest {
                newest.is_preempted = true;
            }
        }
    }

    /// Used memory and number of runs.
    fn load(&self) -> (u64, usize) {
        let runs = self.runs();
        (used(&runs), runs.len())
    }

    fn runs(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().expect("no holder panics")
    }
}

fn used(runs: &[Run]) -> u64 {
    let running = runs.iter().filter(|run| !run.is_preempted);
    running.map(|run| run.prompt + run.output).sum()
}
