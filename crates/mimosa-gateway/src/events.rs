//! The events of a stream that may go on at another endpoint.

use bytes::Bytes;
use bytes::BytesMut;

/// Passes whole events on and remembers the last one, so that the stream can go on behind it.
///
/// An endpoint may stop in the middle of an event, and the one that goes on may repeat some.
#[derive(Debug, Default)]
pub struct WholeEvents {
    partial: BytesMut,
    last: Option<String>,
    /// Whether events up to the last one are dropped: a stream that goes on has begun.
    goes_on: bool,
}

impl WholeEvents {
    /// A stream that begins behind an event that the caller has already.
    pub fn behind(last: Option<String>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// The id of the last event that was passed on.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Takes bytes in; returns the events that are whole.
    pub fn add(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let mut whole = BytesMut::new();
        while let Some(length) = first_event(&self.partial) {
            let event = self.partial.split_to(length);
            let id = id_of(&event);
            if self.goes_on && !self.is_behind_last(id) {
                continue;
            }
            if let Some(id) = id {
                self.last = Some(id.to_owned());
            }
            whole.extend_from_slice(&event);
        }
        whole.freeze()
    }

    /// The stream goes on at another endpoint: what was begun is dropped.
    pub fn restart(&mut self) {
        self.partial.clear();
        self.goes_on = true;
    }

    /// What follows the last whole event at the end of the stream.
    pub fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Ids are numbers that rise; others are passed on as they come.
    fn is_behind_last(&self, id: Option<&str>) -> bool {
        let number = |id: &str| id.parse::<u64>().ok();
        let new = id.and_then(number);
        let last = self.last.as_deref().and_then(number);
        new.zip(last).is_none_or(|(new, last)| new > last)
    }
}

/// The length of the first event, the empty line behind it included.
fn first_event(bytes: &[u8]) -> Option<usize> {
    let mut after_newline = false;
    for (place, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if after_newline => return Some(place + 1),
            b'\n' => after_newline = true,
            b'\r' => {}
            _ => after_newline = false,
        }
    }
    None
}

fn id_of(event: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines()
        .find_map(|line| line.strip_prefix("id:"))
        .map(str::trim)
}
