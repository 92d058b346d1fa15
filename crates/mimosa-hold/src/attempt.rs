//! Matches response chunks to the attempts that requested them.
//!
//! A run is one execution of a request by an incarnation of an endpoint. A chunk is delivered only
//! if it arrives on the stream of the current attempt of its request, from the same incarnation of
//! the endpoint. Once a byte has been delivered to the caller, only the run that produced it may
//! continue, from where it stopped.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;
use mimosa_protocol::quantity;

/// How long the stream of an abandoned attempt is not reused: chunks that still arrive on it could
/// not be distinguished from those of a new attempt.
pub const STREAM_LINGER: Duration = Duration::from_secs(60);

quantity! {
    /// Sequence number of the attempts of one request, from 1.
    AttemptNumber(u32);
    /// An endpoint's number for a stream; it may be reused later or in another incarnation.
    StreamNumber(u64);
    /// Offset in a response, in the unit of the endpoint: bytes or tokens.
    Offset(u64);
}

data! {
    /// A stream on which an endpoint sends the response to one attempt at a time.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Stream {
        /// The endpoint that sends on the stream.
        pub endpoint: EndpointId,
        /// The endpoint's incarnation: streams of different incarnations never match.
        pub incarnation: Incarnation,
        /// The endpoint's number for the stream.
        pub number: StreamNumber,
    }

    /// A part of a response.
    pub struct Chunk {
        /// The stream that it arrived on.
        pub stream: Stream,
        /// The request and attempt that the endpoint echoes, if it does.
        pub echo: Option<(RequestId, AttemptNumber)>,
        /// Where it begins in the response.
        pub offset: Offset,
        /// Its length, in the same unit as the offset.
        pub length: Offset,
        /// Whether it is the last one of the response.
        pub last: bool,
    }

    /// What to do with a chunk.
    #[derive(Copy)]
    pub enum Delivery {
        /// Send it to the caller, without its first `skip` units.
        Deliver {
            /// The request that it answers.
            request: RequestId,
            /// Units that were delivered before.
            skip: Offset,
            /// Whether the response is complete with it.
            complete: bool,
        },
        /// A part before it is missing: end the response as incomplete.
        Gap {
            /// The request that it answers.
            request: RequestId,
        },
        /// It belongs to an abandoned attempt: drop it and cancel the stream.
        Late {
            /// The request of that attempt.
            request: RequestId,
        },
        /// Its stream is unknown, or it echoes another attempt than that of its stream: drop it.
        Stray,
    }

    /// Why an attempt cannot begin.
    #[derive(Copy)]
    pub enum BeginError {
        /// A part of the response was delivered from another run.
        Committed,
        /// The stream belongs to another attempt, or may still carry chunks of an abandoned one.
        StreamInUse,
        /// The request has ended.
        Ended,
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Response {
    attempt: AttemptNumber,
    stream: Option<Stream>,
    delivered: Offset,
    /// The endpoint and incarnation whose run was delivered to the caller.
    run: Option<(EndpointId, Incarnation)>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum StreamState {
    Current(RequestId, AttemptNumber),
    Abandoned(RequestId, Timestamp),
}

/// The attempts and streams of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptTable {
    responses: BTreeMap<RequestId, Response>,
    streams: BTreeMap<Stream, StreamState>,
}

impl AttemptTable {
    /// Creates a table without requests and streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request, for which attempts can then begin. A known request keeps its state.
    pub fn add(&mut self, request: RequestId) {
        self.responses.entry(request).or_insert(Response {
            attempt: AttemptNumber::ZERO,
            stream: None,
            delivered: Offset::ZERO,
            run: None,
        });
    }

    /// Begins an attempt with a new run on a stream and abandons the attempt before.
    ///
    /// # Errors
    ///
    /// If a part of the response was already delivered, the stream is in use, or the request has
    /// ended.
    pub fn begin(
        &mut self,
        now: Timestamp,
        request: RequestId,
        stream: Stream,
    ) -> Result<AttemptNumber, BeginError> {
        let response = self.responses.get(&request).ok_or(BeginError::Ended)?;
        if response.run.is_some() {
            return Err(BeginError::Committed);
        }
        self.bind(now, request, stream)
    }

    /// Resumes the run that was delivered to the caller, on a new stream from the same incarnation
    /// of its endpoint. The endpoint sends from [`Self::delivered`] on, or repeats earlier parts.
    ///
    /// # Errors
    ///
    /// If the delivered part came from another endpoint or incarnation, the stream is in use, or
    /// the request has ended.
    pub fn resume(
        &mut self,
        now: Timestamp,
        request: RequestId,
        stream: Stream,
    ) -> Result<AttemptNumber, BeginError> {
        let response = self.responses.get(&request).ok_or(BeginError::Ended)?;
        let run = (stream.endpoint.clone(), stream.incarnation);
        if response.run.as_ref().is_some_and(|known| *known != run) {
            return Err(BeginError::Committed);
        }
        self.bind(now, request, stream)
    }

    fn bind(
        &mut self,
        now: Timestamp,
        request: RequestId,
        stream: Stream,
    ) -> Result<AttemptNumber, BeginError> {
        if self.is_in_use(now, &stream) {
            return Err(BeginError::StreamInUse);
        }
        self.abandon(now, request);
        let response = self.responses.get_mut(&request).ok_or(BeginError::Ended)?;
        response.attempt = response.attempt.next();
        response.stream = Some(stream.clone());
        let current = StreamState::Current(request, response.attempt);
        self.streams.insert(stream, current);
        Ok(response.attempt)
    }

    /// Abandons the current attempt: nothing that it still sends is delivered.
    pub fn abandon(&mut self, now: Timestamp, request: RequestId) {
        let response = self.responses.get_mut(&request);
        if let Some(stream) = response.and_then(|response| response.stream.take()) {
            self.streams
                .insert(stream, StreamState::Abandoned(request, now + STREAM_LINGER));
        }
    }

    /// Removes a request. Its stream may be reused at once if the response was complete.
    pub fn remove(&mut self, now: Timestamp, request: RequestId) {
        self.abandon(now, request);
        self.responses.remove(&request);
    }

    /// Decides what to do with a chunk. A part to deliver counts as delivered from then on.
    pub fn receive(&mut self, chunk: &Chunk) -> Delivery {
        let (request, attempt) = match self.streams.get(&chunk.stream) {
            Some(StreamState::Current(request, attempt)) => (*request, *attempt),
            Some(StreamState::Abandoned(request, _)) => {
                return Delivery::Late { request: *request };
            }
            None => return Delivery::Stray,
        };
        if chunk.echo.is_some_and(|echo| echo != (request, attempt)) {
            return Delivery::Stray;
        }
        self.responses
            .get_mut(&request)
            .map_or(Delivery::Stray, |response| response.accept(request, chunk))
            .and_remove_stream(&mut self.streams, &chunk.stream)
    }

    /// Drops the streams of earlier incarnations of an endpoint, which carry nothing more. Returns
    /// the requests whose current attempt ended with them.
    pub fn endpoint_restarted(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Vec<RequestId> {
        let old =
            |stream: &Stream| stream.endpoint == *endpoint && stream.incarnation < incarnation;
        let lost = self
            .responses
            .iter_mut()
            .filter(|(_, response)| response.stream.as_ref().is_some_and(old))
            .map(|(request, response)| {
                response.stream = None;
                *request
            })
            .collect();
        self.streams.retain(|stream, _| !old(stream));
        lost
    }

    /// How much of the response was delivered to the caller; a resumed run continues from there.
    /// Zero for an unknown request.
    pub fn delivered(&self, request: RequestId) -> Offset {
        self.responses
            .get(&request)
            .map_or(Offset::ZERO, |response| response.delivered)
    }

    /// Drops abandoned streams whose [`STREAM_LINGER`] has passed.
    pub fn expire(&mut self, now: Timestamp) {
        self.streams
            .retain(|_, state| !matches!(state, StreamState::Abandoned(_, until) if *until <= now));
    }

    /// Number of requests plus streams in the table, including abandoned streams.
    pub fn len(&self) -> usize {
        self.responses.len() + self.streams.len()
    }

    /// Whether the table has neither requests nor streams.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn is_in_use(&self, now: Timestamp, stream: &Stream) -> bool {
        match self.streams.get(stream) {
            Some(StreamState::Current(..)) => true,
            Some(StreamState::Abandoned(_, until)) => *until > now,
            None => false,
        }
    }
}

impl Response {
    fn accept(&mut self, request: RequestId, chunk: &Chunk) -> Delivery {
        if chunk.offset > self.delivered {
            return Delivery::Gap { request };
        }
        let end = chunk.offset.saturating_add(chunk.length);
        let skip = self
            .delivered
            .saturating_sub(chunk.offset)
            .min(chunk.length);
        self.delivered = self.delivered.max(end);
        self.run = Some((chunk.stream.endpoint.clone(), chunk.stream.incarnation));
        if chunk.last {
            self.stream = None;
        }
        Delivery::Deliver {
            request,
            skip,
            complete: chunk.last,
        }
    }
}

impl Delivery {
    /// Removes the stream of a complete response.
    fn and_remove_stream(
        self,
        streams: &mut BTreeMap<Stream, StreamState>,
        stream: &Stream,
    ) -> Self {
        if matches!(self, Self::Deliver { complete: true, .. }) {
            streams.remove(stream);
        }
        self
    }
}
