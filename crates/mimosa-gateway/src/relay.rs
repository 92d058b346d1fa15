//! Passes an endpoint's answer on to the caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header;
use log::info;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_schedule::fleet::RunEnd;

use crate::answer;
use crate::answer::Body;
use crate::answer::BodyError;
use crate::connection::Connection;
use crate::directory::EndpointEntry;
use crate::directory::InHand;
use crate::dispatch::Run;
use crate::shared::Shared;
use crate::upstream;
use crate::upstream::CallFailure;
use crate::upstream::Opened;

/// Largest answer that is taken in whole before it is passed on, in bytes. Such an answer is known
/// to be complete, and a failed one can still be replaced.
const MAX_BUFFERED: u64 = 64 << 10;

/// An answer that was taken in whole, or whose length is too large or unknown.
pub(crate) async fn take_in(
    shared: &Arc<Shared>,
    opened: Opened,
) -> Result<Response<Body>, CallFailure> {
    let length = opened.response.body().size_hint().exact();
    if length.is_none_or(|length| length > MAX_BUFFERED) {
        return Ok(stream(shared, opened, StreamInfo::default()));
    }
    let Opened {
        response,
        connection,
        endpoint,
        in_hand,
        sent,
    } = opened;
    let (mut head, body) = response.into_parts();
    let collected = body.collect().await;
    let now = shared.now();
    drop(in_hand);
    match collected {
        Ok(body) => {
            note(&endpoint, now, sent, head.status.is_server_error());
            endpoint.pool.put(now, connection);
            upstream::drop_hop_by_hop(&mut head.headers);
            Ok(Response::from_parts(head, answer::full(body.to_bytes())))
        }
        Err(_) => {
            endpoint.health().record_unreachable(now);
            Err(CallFailure::Unknown("the answer was cut off"))
        }
    }
}

fn note(endpoint: &EndpointEntry, now: Timestamp, sent: Timestamp, failed: bool) {
    let mut health = endpoint.health();
    if failed {
        health.record_failure(now);
    } else {
        health.record_answer(now, now.since(sent));
    }
}

/// An answer that is passed on as it arrives.
pub(crate) fn stream(shared: &Arc<Shared>, opened: Opened, info: StreamInfo) -> Response<Body> {
    let (mut head, body) = opened.response.into_parts();
    upstream::drop_hop_by_hop(&mut head.headers);
    if body.size_hint().exact().is_none() {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    let relay = Relay {
        shared: Arc::clone(shared),
        body,
        connection: Some(opened.connection),
        endpoint: opened.endpoint,
        _in_hand: opened.in_hand,
        sent: opened.sent,
        info,
        events: EventCount::default(),
        pace: StreamPace::default(),
        bytes: 0,
    };
    Response::from_parts(head, relay.boxed_unsync())
}

/// What is known of a stream besides its bytes.
#[derive(Default)]
pub(crate) struct StreamInfo {
    /// The request's name in the log; empty if its end is not logged.
    pub(crate) request: String,
    /// When the request arrived.
    pub(crate) arrived: Timestamp,
    /// The run that the leader placed.
    pub(crate) run: Option<Run>,
    /// Output tokens in one event.
    pub(crate) tokens_per_event: Tokens,
}

/// Counts the events of a stream: each ends with an empty line.
#[derive(Default)]
struct EventCount {
    count: u64,
    after_newline: bool,
}

impl EventCount {
    fn add(&mut self, data: &[u8]) {
        for byte in data {
            match byte {
                b'\n' if self.after_newline => {
                    self.count += 1;
                    self.after_newline = false;
                }
                b'\n' => self.after_newline = true,
                b'\r' => {}
                _ => self.after_newline = false,
            }
        }
    }
}

/// When the parts of a stream came.
#[derive(Default)]
struct StreamPace {
    first: Option<Timestamp>,
    last: Timestamp,
    longest_pause: Duration,
}

impl StreamPace {
    fn add(&mut self, now: Timestamp) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.longest_pause = self.longest_pause.max(now.since(self.last));
        }
        self.last = now;
    }
}

/// The body of an answer on its way. Dropped before its end, it closes the endpoint's connection.
struct Relay {
    shared: Arc<Shared>,
    body: Incoming,
    connection: Option<Connection>,
    endpoint: Arc<EndpointEntry>,
    _in_hand: InHand,
    sent: Timestamp,
    info: StreamInfo,
    events: EventCount,
    pace: StreamPace,
    bytes: u64,
}

impl Relay {
    fn take(&mut self, data: &Bytes) {
        let is_first = self.bytes == 0;
        self.bytes += data.len() as u64;
        self.pace.add(self.shared.now());
        if let Some(run) = &self.info.run {
            if is_first && !data.is_empty() {
                run.started(self.shared.now());
            }
            self.events.add(data);
        }
    }

    fn end(&mut self, outcome: &str) {
        let now = self.shared.now();
        if let Some(connection) = self.connection.take() {
            match outcome {
                "complete" => {
                    note(&self.endpoint, now, self.sent, false);
                    self.endpoint.pool.put(now, connection);
                }
                "cut" => self.endpoint.health().record_unreachable(now),
                _ => {}
            }
            if let Some(run) = self.info.run.take() {
                let output = Tokens(self.events.count * self.info.tokens_per_event.0);
                run.end(match outcome {
                    "complete" => RunEnd::Complete(output),
                    "cut" => RunEnd::EndpointLost(self.endpoint.listed.id.clone()),
                    _ => RunEnd::Aborted,
                });
            }
            if !self.info.request.is_empty() {
                info!(
                    "request={} step=stream outcome={outcome} endpoint={} events={} bytes={} \
                     first_ms={} longest_pause_ms={} took_ms={}",
                    self.info.request,
                    self.endpoint.listed.id,
                    self.events.count,
                    self.bytes,
                    self.pace
                        .first
                        .unwrap_or(now)
                        .since(self.info.arrived)
                        .as_millis(),
                    self.pace.longest_pause.as_millis(),
                    now.since(self.info.arrived).as_millis()
                );
            }
        }
    }
}

impl hyper::body::Body for Relay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.end("complete"),
            Poll::Ready(Some(Err(_))) => self.end("cut"),
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref().cloned() {
                    self.take(&data);
                }
                if self.body.is_end_stream() {
                    self.end("complete");
                }
            }
            Poll::Pending => {}
        }
        polled.map_err(BodyError::from)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.end("left");
    }
}
