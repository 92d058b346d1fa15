//! The link to a control instance: configuration updates, freshness confirmations and ledger calls.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::Incarnation;
use mimosa_protocol::RequestId;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::message::ControlMessage;
use mimosa_protocol::message::EntryMessage;
use mimosa_protocol::message::LedgerAnswer;
use mimosa_protocol::message::LedgerBegin;
use mimosa_protocol::message::LedgerFinish;
use mimosa_transport::link;
use mimosa_transport::link::Event;
use mimosa_transport::link::Link;
use mimosa_transport::link::Outbox;
use mimosa_transport::link::SendOutcome;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::shared::Shared;

/// Interval between probes, which ask the control instance to confirm that the configuration is
/// current.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a message after which the next control instance is tried; six probe intervals.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);
/// Timeout for recording the intent of a call, across reconnections.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of probes whose sending time is kept; confirmations of older ones are ignored.
const MAX_PROBES: usize = 64;

/// A ledger operation, sent to the task that owns the control link.
pub(crate) enum LedgerRequest {
    Begin(LedgerBegin, oneshot::Sender<LedgerAnswer>),
    Finish(LedgerFinish),
}

/// Handle to the task that owns the link to the control instances.
pub(crate) struct ControlLink(mpsc::UnboundedSender<LedgerRequest>);

impl ControlLink {
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<LedgerRequest>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self(tx), rx)
    }

    /// Records the intent of a non-idempotent call. Without an answer within [`BEGIN_TIMEOUT`] the
    /// result is [`LedgerAnswer::NoQuorum`], and the call must not run. The ledger ignores
    /// repetitions under the same request id.
    pub(crate) async fn begin(&self, begin: LedgerBegin) -> LedgerAnswer {
        let (tx, rx) = oneshot::channel();
        if self.0.send(LedgerRequest::Begin(begin, tx)).is_err() {
            return LedgerAnswer::NoQuorum;
        }
        let answer = tokio::time::timeout(BEGIN_TIMEOUT, rx).await;
        answer
            .ok()
            .and_then(Result::ok)
            .unwrap_or(LedgerAnswer::NoQuorum)
    }

    /// Records how a call ended. The record is sent again on each new connection until it is
    /// acknowledged.
    pub(crate) fn finish(&self, finish: LedgerFinish) {
        let _ = self.0.send(LedgerRequest::Finish(finish));
    }
}

/// Connects to one control instance after another until the entry stops.
pub(crate) async fn run(
    shared: Arc<Shared>,
    ledger_requests: mpsc::UnboundedReceiver<LedgerRequest>,
) {
    let mut client = ControlClient {
        shared,
        ledger_requests,
        outbox: None,
        last_message_at: Timestamp::ZERO,
        last_probe: 0,
        sent_probes: VecDeque::new(),
        pending_begins: BTreeMap::new(),
        pending_finishes: BTreeMap::new(),
    };
    let controls = client.shared.settings.control.clone();
    for address in controls.iter().cycle() {
        if client.run_session(*address).await.is_break() {
            return;
        }
    }
}

/// Client of the control instances, connected to one of them at a time.
struct ControlClient {
    shared: Arc<Shared>,
    ledger_requests: mpsc::UnboundedReceiver<LedgerRequest>,
    outbox: Option<Outbox<EntryMessage>>,
    last_message_at: Timestamp,
    last_probe: u64,
    /// Numbers of the latest probes and when they were sent, oldest first.
    sent_probes: VecDeque<(u64, Timestamp)>,
    pending_begins: BTreeMap<RequestId, (LedgerBegin, oneshot::Sender<LedgerAnswer>)>,
    pending_finishes: BTreeMap<RequestId, LedgerFinish>,
}

type Flow = std::ops::ControlFlow<()>;

impl ControlClient {
    /// Communicates with one control instance until it disconnects or stops sending. Breaks if the
    /// entry stops.
    async fn run_session(&mut self, address: SocketAddr) -> Flow {
        let mut link: Link<ControlMessage, EntryMessage> =
            Link::open(address, link::Settings::default());
        let mut probe_interval = tokio::time::interval(PROBE_INTERVAL);
        self.last_message_at = self.shared.now();
        loop {
            tokio::select! {
                event = link.next() => match event {
                    Event::Connected(outbox) => self.on_connected(outbox),
                    Event::Message(message) => self.on_message(message),
                    Event::Disconnected(end) => {
                        log::warn!("control instance {address}: {end}; trying the next");
                        self.outbox = None;
                        return Flow::Continue(());
                    }
                },
                request = self.ledger_requests.recv() => match request {
                    Some(request) => self.on_ledger_request(request),
                    None => return Flow::Break(()),
                },
                _ = probe_interval.tick() => self.send_probe(),
            }
            if self.shared.now().since(self.last_message_at) > MAX_SILENCE {
                log::warn!(
                    "control instance {address} sent nothing for {MAX_SILENCE:?}; trying the next"
                );
                self.outbox = None;
                return Flow::Continue(());
            }
        }
    }

    fn on_connected(&mut self, outbox: Outbox<EntryMessage>) {
        self.outbox = Some(outbox);
        self.send(EntryMessage::Hello {
            instance: self.shared.instance.id.clone(),
            incarnation: Incarnation(self.shared.started_at.as_micros()),
            data_centre: self.shared.instance.data_centre.clone(),
            revision: self.shared.configuration.load().revision(),
        });
        self.send(EntryMessage::Listens {
            address: self.shared.peer_address,
        });
        self.send_probe();
        let pending_begins: Vec<_> = self
            .pending_begins
            .values()
            .map(|(begin, _)| begin.clone())
            .collect();
        for begin in pending_begins {
            self.send(EntryMessage::LedgerBegin(begin));
        }
        let pending_finishes: Vec<_> = self.pending_finishes.values().cloned().collect();
        for finish in pending_finishes {
            self.send(EntryMessage::LedgerFinish(finish));
        }
    }

    fn send(&mut self, message: EntryMessage) {
        let Some(outbox) = &self.outbox else {
            return;
        };
        if outbox.send(message) != SendOutcome::Queued {
            self.outbox = None;
        }
    }

    fn send_probe(&mut self) {
        self.last_probe += 1;
        self.sent_probes
            .push_back((self.last_probe, self.shared.now()));
        if self.sent_probes.len() > MAX_PROBES {
            self.sent_probes.pop_front();
        }
        let revision = self.shared.configuration.load().revision();
        self.send(EntryMessage::InForce {
            revision,
            probe: self.last_probe,
        });
    }

    fn on_ledger_request(&mut self, request: LedgerRequest) {
        match request {
            LedgerRequest::Begin(begin, tx) => {
                self.pending_begins.retain(|_, (_, tx)| !tx.is_closed());
                self.pending_begins
                    .insert(begin.request, (begin.clone(), tx));
                self.send(EntryMessage::LedgerBegin(begin));
            }
            LedgerRequest::Finish(finish) => {
                self.pending_finishes.insert(finish.request, finish.clone());
                self.send(EntryMessage::LedgerFinish(finish));
            }
        }
    }

    fn on_message(&mut self, message: ControlMessage) {
        self.last_message_at = self.shared.now();
        match message {
            ControlMessage::Snapshot(configuration) => {
                if self.shared.configuration.replace(*configuration) {
                    self.apply_configuration();
                }
            }
            ControlMessage::Delta(delta) => {
                if self.shared.configuration.apply(&delta) {
                    self.apply_configuration();
                }
            }
            ControlMessage::Entries(entries) => {
                self.shared.network.set_peers(self.shared.now(), entries);
            }
            ControlMessage::Current { revision, probe } => self.on_current(revision, probe),
            ControlMessage::LedgerBegun { request, answer } => {
                if let Some((_, tx)) = self.pending_begins.remove(&request) {
                    let _ = tx.send(answer);
                }
            }
            ControlMessage::LedgerFinished { request } => {
                self.pending_finishes.remove(&request);
            }
        }
    }

    /// Records that `revision` was the newest one when the probe was sent. A confirmation of an
    /// unknown probe is ignored.
    fn on_current(&mut self, revision: Revision, probe: u64) {
        let sent = self.sent_probes.iter().find(|(number, _)| *number == probe);
        if let Some((_, at)) = sent {
            self.shared.freshness().revision_confirmed(*at, revision);
        }
    }

    /// Passes a new configuration to all parts of the entry that depend on it.
    fn apply_configuration(&mut self) {
        let now = self.shared.now();
        let current = self.shared.configuration.load();
        let revision = current.revision();
        self.shared
            .rate_limits
            .configure(now, &current.configuration);
        self.shared.queues.configure(&current.configuration);
        self.shared.freshness().revision_applied(revision);
        self.shared.metrics.set_revision(revision);
        log::info!("applied configuration revision {revision}");
        self.send_probe();
    }
}
