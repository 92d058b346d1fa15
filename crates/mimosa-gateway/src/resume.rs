//! Streams that go on at another endpoint when theirs breaks or falls silent.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Frame;
use log::info;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::answer::Body;
use crate::answer::BodyError;
use crate::answer::Failure;
use crate::events::WholeEvents;
use crate::head::Identified;
use crate::model;
use crate::model::Tried;
use crate::shared::Shared;
use crate::upstream::Whole;

/// Shortest silence after which a stream goes on elsewhere.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// Promised pauses between two events after which a stream goes on elsewhere: callers leave after
/// eight.
const SILENCE_IN_GAPS: u32 = 4;

/// What a stream needs to go on.
pub(crate) struct Origin {
    pub(crate) shared: Arc<Shared>,
    pub(crate) request: Identified,
    pub(crate) whole: Whole,
    pub(crate) tried: Tried,
}

type GoingOn = Pin<Box<dyn Future<Output = (Box<Origin>, Result<Body, Failure>)> + Send>>;

enum Source {
    Open(Body, Box<Origin>),
    Resuming(GoingOn),
    /// Only while one of the others is replaced, and after the end.
    Ended,
}

/// The body of an answer whose endpoint may change.
struct Resumable {
    source: Source,
    events: WholeEvents,
    silence: Duration,
    silent: Pin<Box<Sleep>>,
}

/// Lets the stream of an answer go on elsewhere if it breaks.
pub(crate) fn resumable(response: Response<Body>, origin: Origin) -> Response<Body> {
    let gap = origin.request.route.event_gap_target.unwrap_or_default();
    let silence = MIN_SILENCE.max(gap * SILENCE_IN_GAPS);
    let last = origin.shared.dialect.last_event_id(&origin.whole.headers);
    response.map(|body| {
        let resumable = Resumable {
            source: Source::Open(body, Box::new(origin)),
            events: WholeEvents::behind(last),
            silence,
            silent: Box::pin(sleep(silence)),
        };
        resumable.boxed_unsync()
    })
}

impl Resumable {
    /// Closes what is open and looks for another endpoint, if the request may be sent to one more.
    /// Returns whether it does.
    fn resume(&mut self, why: &str) -> bool {
        let Source::Open(_, origin) = &self.source else {
            return false;
        };
        let attempt = &origin.request.facts.attempt_id;
        let may_resume = origin.may_run_again();
        info!(
            "request={attempt} step=resume cause=\"{why}\" outcome={} last_event={}",
            if may_resume { "tried" } else { "refused" },
            self.events.last().unwrap_or("none"),
        );
        if !may_resume {
            origin.shared.metrics.resumed("refused");
            return false;
        }
        self.events.restart();
        let last = self.events.last().map(str::to_owned);
        // The old answer is dropped here, which ends the work on it.
        if let Source::Open(_, origin) = std::mem::replace(&mut self.source, Source::Ended) {
            self.source = Source::Resuming(Box::pin(origin.go_on(last)));
        }
        true
    }

    fn heard(&mut self) {
        self.silent.as_mut().reset(Instant::now() + self.silence);
    }

    /// The next part of what is open; `None` if another endpoint is looked for instead.
    fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<Option<Next>> {
        let Source::Open(body, _) = &mut self.source else {
            return Poll::Ready(Some(None));
        };
        match Pin::new(body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.heard();
                let data = frame.into_data().unwrap_or_default();
                let whole = self.events.add(&data);
                Poll::Ready((!whole.is_empty()).then(|| Some(Ok(Frame::data(whole)))))
            }
            Poll::Ready(Some(Err(e))) => {
                let goes_on = self.resume("the answer was cut off");
                Poll::Ready((!goes_on).then_some(Some(Err(e))))
            }
            Poll::Ready(None) => {
                self.source = Source::Ended;
                let rest = self.events.rest();
                Poll::Ready(Some((!rest.is_empty()).then(|| Ok(Frame::data(rest)))))
            }
            Poll::Pending => {
                ready!(self.silent.as_mut().poll(cx));
                self.heard();
                // A stream that may not go on elsewhere is left as it is.
                self.resume("the endpoint is silent");
                Poll::Ready(None)
            }
        }
    }
}

impl Origin {
    fn may_run_again(&self) -> bool {
        let now = self.shared.now();
        self.tried.attempts_left > 0
            && now < self.request.deadline
            && self.shared.take_retry(now, &self.request.service)
    }

    /// Runs the rest of the stream.
    async fn go_on(
        mut self: Box<Self>,
        last: Option<String>,
    ) -> (Box<Self>, Result<Body, Failure>) {
        if let Some(last) = last {
            let headers = &mut self.whole.headers;
            self.shared.dialect.set_last_event_id(headers, &last);
        }
        self.request.waiting_since = self.shared.now();
        let Self {
            shared,
            request,
            whole,
            tried,
        } = self.as_mut();
        let attempt = &request.facts.attempt_id;
        let body = match model::run_anywhere(shared, request, whole, tried).await {
            Ok(response) if response.status().is_success() => {
                info!("request={attempt} step=resume outcome=started");
                shared.metrics.resumed("started");
                Ok(response.into_body())
            }
            Ok(response) => {
                let status = response.status().as_u16();
                info!("request={attempt} step=resume outcome=failed status={status}");
                shared.metrics.resumed("failed");
                Err(Failure::Lost("the stream does not go on"))
            }
            Err(failure) => {
                let reason = failure.reason();
                info!("request={attempt} step=resume outcome=failed reason=\"{reason}\"");
                shared.metrics.resumed("failed");
                Err(failure)
            }
        };
        (self, body)
    }
}

type Next = Option<Result<Frame<Bytes>, BodyError>>;

impl hyper::body::Body for Resumable {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Next> {
        loop {
            match &mut self.source {
                Source::Open(..) => {
                    if let Some(next) = ready!(self.poll_open(cx)) {
                        return Poll::Ready(next);
                    }
                }
                Source::Resuming(going_on) => {
                    let (origin, resumed) = ready!(going_on.as_mut().poll(cx));
                    self.heard();
                    match resumed {
                        Ok(body) => self.source = Source::Open(body, origin),
                        Err(failure) => {
                            self.source = Source::Ended;
                            let error = BodyError::NotResumed(failure.reason());
                            return Poll::Ready(Some(Err(error)));
                        }
                    }
                }
                Source::Ended => return Poll::Ready(None),
            }
        }
    }
}
