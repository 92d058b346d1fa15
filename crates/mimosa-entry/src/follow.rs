//! Follows a control instance: configuration, proof of freshness, ledger calls.

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

/// Time between two probes of a control instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which the next control instance is tried.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);
/// Time that a call may wait for its intent to be recorded.
const BEGIN_TIME: Duration = Duration::from_secs(3);
/// Probes whose sending time is remembered.
const MAX_PROBES: usize = 64;

/// What requests ask of the control link.
pub(crate) enum Ask {
    Begin(LedgerBegin, oneshot::Sender<LedgerAnswer>),
    Finish(LedgerFinish),
}

/// The way to the control instances.
pub(crate) struct ControlLink(mpsc::UnboundedSender<Ask>);

impl ControlLink {
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<Ask>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self(tx), rx)
    }

    /// Records the intent of a non-idempotent call. Without an answer in time nothing may run; a
    /// resend under the same request id is harmless.
    pub(crate) async fn begin(&self, begin: LedgerBegin) -> LedgerAnswer {
        let (tx, rx) = oneshot::channel();
        if self.0.send(Ask::Begin(begin, tx)).is_err() {
            return LedgerAnswer::NoQuorum;
        }
        let answer = tokio::time::timeout(BEGIN_TIME, rx).await;
        answer
            .ok()
            .and_then(Result::ok)
            .unwrap_or(LedgerAnswer::NoQuorum)
    }

    /// Records how a call ended; resent until it is recorded.
    pub(crate) fn finish(&self, finish: LedgerFinish) {
        let _ = self.0.send(Ask::Finish(finish));
    }
}

/// Follows control instances until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>, asks: mpsc::UnboundedReceiver<Ask>) {
    let mut follower = Follower {
        shared,
        asks,
        outbox: None,
        heard: Timestamp::ZERO,
        probe: 0,
        probes: VecDeque::new(),
        begins: BTreeMap::new(),
        finishes: BTreeMap::new(),
    };
    let controls = follower.shared.settings.control.clone();
    for address in controls.iter().cycle() {
        if follower.follow(*address).await.is_break() {
            return;
        }
    }
}

struct Follower {
    shared: Arc<Shared>,
    asks: mpsc::UnboundedReceiver<Ask>,
    outbox: Option<Outbox<EntryMessage>>,
    heard: Timestamp,
    probe: u64,
    probes: VecDeque<(u64, Timestamp)>,
    begins: BTreeMap<RequestId, (LedgerBegin, oneshot::Sender<LedgerAnswer>)>,
    finishes: BTreeMap<RequestId, LedgerFinish>,
}

type Flow = std::ops::ControlFlow<()>;

impl Follower {
    /// Follows one control instance until it falls silent.
    async fn follow(&mut self, address: SocketAddr) -> Flow {
        let mut link: Link<ControlMessage, EntryMessage> =
            Link::open(address, link::Settings::default());
        let mut probing = tokio::time::interval(PROBE_INTERVAL);
        self.heard = self.shared.now();
        loop {
            tokio::select! {
                event = link.next() => match event {
                    Event::Connected(outbox) => self.greet(outbox),
                    Event::Message(message) => self.hear(message),
                    Event::Disconnected(end) => {
                        log::warn!("control instance {address}: {end}");
                        self.outbox = None;
                        return Flow::Continue(());
                    }
                },
                ask = self.asks.recv() => match ask {
                    Some(ask) => self.take(ask),
                    None => return Flow::Break(()),
                },
                _ = probing.tick() => self.probe(),
            }
            if self.shared.now().since(self.heard) > MAX_SILENCE {
                log::warn!("control instance {address} is silent");
                self.outbox = None;
                return Flow::Continue(());
            }
        }
    }

    fn greet(&mut self, outbox: Outbox<EntryMessage>) {
        self.outbox = Some(outbox);
        self.send(EntryMessage::Hello {
            instance: self.shared.instance.id.clone(),
            incarnation: Incarnation(self.shared.started.as_micros()),
            data_centre: self.shared.instance.data_centre.clone(),
            revision: self.shared.table.load().revision(),
        });
        self.send(EntryMessage::Listens {
            address: self.shared.peer_address,
        });
        self.probe();
        let begins: Vec<_> = self
            .begins
            .values()
            .map(|(begin, _)| begin.clone())
            .collect();
        for begin in begins {
            self.send(EntryMessage::LedgerBegin(begin));
        }
        let finishes: Vec<_> = self.finishes.values().cloned().collect();
        for finish in finishes {
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

    fn probe(&mut self) {
        self.probe += 1;
        self.probes.push_back((self.probe, self.shared.now()));
        if self.probes.len() > MAX_PROBES {
            self.probes.pop_front();
        }
        let revision = self.shared.table.load().revision();
        self.send(EntryMessage::InForce {
            revision,
            probe: self.probe,
        });
    }

    fn take(&mut self, ask: Ask) {
        match ask {
            Ask::Begin(begin, tx) => {
                self.begins.retain(|_, (_, tx)| !tx.is_closed());
                self.begins.insert(begin.request, (begin.clone(), tx));
                self.send(EntryMessage::LedgerBegin(begin));
            }
            Ask::Finish(finish) => {
                self.finishes.insert(finish.request, finish.clone());
                self.send(EntryMessage::LedgerFinish(finish));
            }
        }
    }

    fn hear(&mut self, message: ControlMessage) {
        self.heard = self.shared.now();
        match message {
            ControlMessage::Snapshot(configuration) => {
                if self.shared.table.replace(*configuration) {
                    self.configure();
                }
            }
            ControlMessage::Delta(delta) => {
                if self.shared.table.apply(&delta) {
                    self.configure();
                }
            }
            ControlMessage::Entries(entries) => {
                self.shared.network.listed(self.shared.now(), entries);
            }
            ControlMessage::Current { revision, probe } => self.confirm(revision, probe),
            ControlMessage::LedgerBegun { request, answer } => {
                if let Some((_, tx)) = self.begins.remove(&request) {
                    let _ = tx.send(answer);
                }
            }
            ControlMessage::LedgerFinished { request } => {
                self.finishes.remove(&request);
            }
        }
    }

    fn confirm(&mut self, revision: Revision, probe: u64) {
        let asked = self.probes.iter().find(|(number, _)| *number == probe);
        if let Some((_, at)) = asked {
            self.shared.freshness().revision_confirmed(*at, revision);
        }
    }

    /// Puts a new configuration in force.
    fn configure(&mut self) {
        let now = self.shared.now();
        let table = self.shared.table.load();
        let revision = table.revision();
        self.shared.limits.configure(now, &table.configuration);
        self.shared.placers.configure(&table.configuration);
        self.shared.freshness().revision_applied(revision);
        self.shared.metrics.revision(revision);
        log::info!("configuration revision {revision} is in force");
        self.probe();
    }
}
