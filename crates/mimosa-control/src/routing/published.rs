//! The endpoint list in the form sent to gateways, encoded once for all of them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use log::warn;
use mimosa_route::EndpointList;
use mimosa_route::message::ControlMessage;
use mimosa_route::sync::BUCKET_COUNT;
use mimosa_route::sync::ListChange;
use mimosa_transport::frame;
use tokio::time::Instant;

/// How long an encoded full list is reused. Bounded because it contains the remaining cold time of
/// endpoints, which decreases meanwhile.
const FULL_LIST_CACHE_TTL: Duration = Duration::from_millis(250);

/// An encoded message, shared by many gateway connections.
pub type Frame = Arc<[u8]>;

/// An endpoint list that this instance read as leader.
#[derive(Default)]
pub struct PublishedList {
    /// The list; its term is 0 before the first read.
    pub list: EndpointList,
    read_at: Option<Instant>,
    change: Option<Frame>,
    full_list: Mutex<Option<(Instant, Frame)>>,
}

impl PublishedList {
    /// The successor of this list, or `None` if `read` does not differ from it.
    pub fn updated(&self, now: Instant, read: EndpointList) -> Option<Self> {
        let change = self.list.change_to(&read, self.age(now));
        let is_first = self.list.term != read.term;
        if change.is_empty() && !is_first {
            return None;
        }
        Some(Self {
            change: (!is_first).then(|| encode_change(change)).flatten(),
            list: read,
            read_at: Some(now),
            full_list: Mutex::default(),
        })
    }

    /// Time since the list was read; zero before the first read.
    pub fn age(&self, now: Instant) -> Duration {
        self.read_at
            .map(|at| now.duration_since(at))
            .unwrap_or_default()
    }

    /// The message that updates a gateway from the earlier list to this one: a change, or a digest
    /// if the lists are of different terms. `None` before the first read.
    pub fn update_from(&self, earlier: &Self, now: Instant) -> Option<Frame> {
        if self.list.term == 0 {
            return None;
        }
        if earlier.list.term != self.list.term {
            return encode(&ControlMessage::EndpointDigest(
                self.list.digest(self.age(now)),
            ));
        }
        if earlier.list.sequence + 1 == self.list.sequence {
            return self.change.clone();
        }
        let elapsed = earlier.age(now).saturating_sub(self.age(now));
        encode_change(earlier.list.change_to(&self.list, elapsed))
    }

    /// Encodes the buckets that a gateway requested.
    pub fn encode_buckets(&self, buckets: &[u16], now: Instant) -> Option<Frame> {
        let encoded = || {
            let parts = self.list.parts(buckets, self.age(now));
            encode(&ControlMessage::EndpointParts(parts))
        };
        if buckets.len() < usize::from(BUCKET_COUNT) {
            return encoded();
        }
        let mut cached = self
            .full_list
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let known = cached.as_ref();
        if let Some((_, frame)) =
            known.filter(|(at, _)| now.duration_since(*at) < FULL_LIST_CACHE_TTL)
        {
            return Some(Arc::clone(frame));
        }
        let frame = encoded()?;
        *cached = Some((now, Arc::clone(&frame)));
        Some(frame)
    }
}

fn encode_change(change: ListChange) -> Option<Frame> {
    encode(&ControlMessage::EndpointChange(change))
}

fn encode(message: &ControlMessage) -> Option<Frame> {
    frame::encode(message)
        .inspect_err(|e| warn!("cannot encode the endpoint list, so gateways are not sent it: {e}"))
        .ok()
        .map(Into::into)
}
