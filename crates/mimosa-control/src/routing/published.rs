//! The list of endpoints as it goes to gateways: encoded once for all of them.

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

/// How long a whole encoded list may be handed out: the time that endpoints stay cold goes on
/// meanwhile.
const WHOLE_LIFE: Duration = Duration::from_millis(250);

/// One message for many gateways.
pub type Frame = Arc<[u8]>;

/// A list that this instance read while it led.
#[derive(Default)]
pub struct Published {
    /// The list; of term 0 before the first one.
    pub list: EndpointList,
    read_at: Option<Instant>,
    change: Option<Frame>,
    whole: Mutex<Option<(Instant, Frame)>>,
}

impl Published {
    /// The list that follows this one, if what was read differs.
    pub fn next(&self, now: Instant, read: EndpointList) -> Option<Self> {
        let change = self.list.change_to(&read, self.age(now));
        let is_first = self.list.term != read.term;
        if change.is_empty() && !is_first {
            return None;
        }
        Some(Self {
            change: (!is_first).then(|| encode_change(change)).flatten(),
            list: read,
            read_at: Some(now),
            whole: Mutex::default(),
        })
    }

    /// How long ago it was read.
    pub fn age(&self, now: Instant) -> Duration {
        self.read_at
            .map(|at| now.duration_since(at))
            .unwrap_or_default()
    }

    /// What brings a gateway that has the earlier list up to this one.
    pub fn change_from(&self, earlier: &Self, now: Instant) -> Option<Frame> {
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

    /// Buckets that a gateway asked for.
    pub fn parts(&self, buckets: &[u16], now: Instant) -> Option<Frame> {
        let encoded = || {
            let parts = self.list.parts(buckets, self.age(now));
            encode(&ControlMessage::EndpointParts(parts))
        };
        if buckets.len() < usize::from(BUCKET_COUNT) {
            return encoded();
        }
        let mut whole = self.whole.lock().unwrap_or_else(PoisonError::into_inner);
        let known = whole.as_ref();
        if let Some((_, frame)) = known.filter(|(at, _)| now.duration_since(*at) < WHOLE_LIFE) {
            return Some(Arc::clone(frame));
        }
        let frame = encoded()?;
        *whole = Some((now, Arc::clone(&frame)));
        Some(frame)
    }
}

fn encode_change(change: ListChange) -> Option<Frame> {
    encode(&ControlMessage::EndpointChange(change))
}

fn encode(message: &ControlMessage) -> Option<Frame> {
    frame::encode(message)
        .inspect_err(|e| warn!("the list of endpoints cannot be sent: {e}"))
        .ok()
        .map(Into::into)
}
