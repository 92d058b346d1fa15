//! Scanning and buffering of server-sent events, so that a truncated stream is recognised and can
//! resume at another endpoint.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event; incomplete ones are buffered.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Finds the ends of server-sent events. An empty line ends an event; lines end with LF, CR or CRLF.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    count: u64,
    partial_bytes: u64,
    in_line: bool,
    after_cr: bool,
}

impl EventScanner {
    /// Scans the next bytes of the stream.
    pub fn scan(&mut self, data: &[u8]) {
        for byte in data {
            self.scan_byte(*byte);
        }
    }

    /// Number of complete events.
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Bytes of the event that is not complete yet, without line ends; 0 between events.
    pub const fn partial_bytes(&self) -> u64 {
        self.partial_bytes
    }

    /// Returns whether the byte ends an event. The LF of a CRLF that ends one follows it.
    const fn scan_byte(&mut self, byte: u8) -> bool {
        let ends_crlf = byte == b'\n' && self.after_cr;
        self.after_cr = byte == b'\r';
        if ends_crlf {
            return false;
        }
        if !matches!(byte, b'\r' | b'\n') {
            self.in_line = true;
            self.partial_bytes += 1;
            return false;
        }
        let is_empty_line = !self.in_line;
        self.in_line = false;
        let ends_event = is_empty_line && self.partial_bytes > 0;
        if ends_event {
            self.partial_bytes = 0;
            self.count += 1;
        }
        ends_event
    }
}

/// Forwards only complete events and tracks the identifier of the last one, from which the stream
/// can resume.
///
/// An endpoint may fail in the middle of an event, and the endpoint that resumes the stream may
/// repeat earlier events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    scanner: EventScanner,
    last_id: Option<String>,
    /// Whether the stream was resumed, so that events up to the last one are dropped.
    is_resumed: bool,
}

impl EventBuffer {
    /// A stream that starts after an event that the client already has.
    pub fn after(last_id: Option<String>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Identifier of the last forwarded event that had one, or of the event that the stream started
    /// after.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Appends received bytes and returns the events that are complete and new to the client.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        let mut scanned = self.partial.len();
        self.partial.extend_from_slice(data);
        let mut complete = BytesMut::new();
        while scanned < self.partial.len() {
            let ends_event = self.scanner.scan_byte(self.partial[scanned]);
            scanned += 1;
            if !ends_event {
                continue;
            }
            if self.partial[..scanned].ends_with(b"\r") && self.partial.get(scanned) == Some(&b'\n')
            {
                self.scanner.scan_byte(b'\n');
                scanned += 1;
            }
            let event = self.partial.split_to(scanned);
            scanned = 0;
            let id = event_id(&event);
            if self.is_resumed && !self.is_new(id) {
                continue;
            }
            if let Some(id) = id {
                self.last_id = Some(id.to_owned());
            }
            complete.extend_from_slice(&event);
        }
        complete.freeze()
    }

    /// Number of buffered bytes, which belong to an incomplete event.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// A buffer for the rest of the stream from another endpoint: the partial event is discarded, and so are
    /// events up to the last one.
    #[must_use]
    pub fn successor(&self) -> Self {
        Self {
            is_resumed: true,
            ..Self::after(self.last_id.clone())
        }
    }

    /// Takes the bytes after the last complete event, to forward them at the end of the stream.
    pub fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Whether an event is new. Numeric identifiers increase; events with other identifiers are
    /// always forwarded.
    fn is_new(&self, id: Option<&str>) -> bool {
        let number = |id: &str| id.parse::<u64>().ok();
        let new = id.and_then(number);
        let last = self.last_id.as_deref().and_then(number);
        new.zip(last).is_none_or(|(new, last)| new > last)
    }
}

fn event_id(event: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines()
        .find_map(|line| line.strip_prefix("id:"))
        .map(str::trim)
}
