//! The entries' TCP: configuration, freshness and the ledger.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Result;
use mimosa_protocol::Revision;
use mimosa_protocol::message::ControlMessage;
use mimosa_protocol::message::EntryMessage;
use mimosa_transport::accept;
use mimosa_transport::frame;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::clock;
use crate::entry_registry::EntryRegistry;
use crate::entry_registry::EntryReport;
use crate::freshness::Proof;
use crate::replicator::Replicator;
use crate::shared::Shared;

use self::entry_list::EntryList;
use self::probes::Probes;

mod entry_list;
mod ledger;
mod probes;

/// How long an entry may take to say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// How long one message may take to leave.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Answers that wait for the writer of one connection.
const QUEUED_ANSWERS: usize = 1_024;

/// What every connection needs.
#[derive(Clone)]
pub struct EntryPort {
    /// The replicated log.
    pub replicator: Arc<dyn Replicator>,
    /// The applied state.
    pub shared: Arc<Shared>,
    /// Where reports go.
    pub in_force: Arc<EntryRegistry>,
    /// Proofs of freshness.
    pub proofs: watch::Receiver<Option<Proof>>,
    /// A proof older than this is not sent on.
    pub max_proof_age: Duration,
}

/// The entry behind a connection.
struct Peer {
    instance: InstanceId,
    incarnation: Incarnation,
    probes: Probes,
}

impl EntryPort {
    /// Accepts connections until the task is aborted; its connections end with it.
    pub async fn serve(self, listener: TcpListener) {
        accept::run(listener, "entries", |stream| {
            self.clone().connection(stream)
        })
        .await;
    }

    async fn connection(self, stream: TcpStream) {
        let address = stream.peer_addr().map(|address| address.to_string());
        let address = address.unwrap_or_else(|_| "an entry".to_owned());
        if let Err(e) = self.talk(stream).await {
            warn!("the connection of {address} ended: {e}");
        }
    }

    async fn talk(self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true).ok();
        let (mut rx, mut tx) = stream.into_split();
        let Ok(hello) = timeout(HELLO_TIMEOUT, frame::read(&mut rx)).await else {
            return Ok(());
        };
        let Some(EntryMessage::Hello {
            instance,
            incarnation,
            data_centre,
            revision,
        }) = hello?
        else {
            return Ok(());
        };
        let report = EntryReport {
            incarnation,
            data_centre,
            revision,
            connected: true,
            last_heard_at: clock::now(),
            address: None,
        };
        if !self.in_force.register(&instance, report) {
            warn!("{instance} connected with incarnation {incarnation}, a newer one is known");
            return Ok(());
        }
        info!("{instance} connected at revision {revision}");
        let peer = Arc::new(Peer {
            instance,
            incarnation,
            probes: Probes::default(),
        });
        let (answers_tx, answers) = mpsc::channel(QUEUED_ANSWERS);
        let ended = tokio::select! {
            ended = self.clone().listen(&mut rx, &peer, answers_tx) => ended,
            ended = self.clone().tell(&mut tx, &peer, revision, answers) => ended,
        };
        self.in_force.disconnected(&peer.instance, peer.incarnation);
        ended
    }

    async fn listen(
        self,
        rx: &mut OwnedReadHalf,
        peer: &Peer,
        answers: mpsc::Sender<ControlMessage>,
    ) -> Result<()> {
        let mut calls = JoinSet::new();
        while let Some(message) = frame::read(rx).await? {
            while calls.try_join_next().is_some() {}
            match message {
                EntryMessage::InForce { revision, probe } => {
                    peer.probes.received(probe);
                    let at = (clock::now(), revision);
                    self.in_force.reported(&peer.instance, peer.incarnation, at);
                }
                EntryMessage::Listens { address } => {
                    self.in_force
                        .listens(&peer.instance, peer.incarnation, address);
                }
                EntryMessage::LedgerBegin(begin) => {
                    let replicator = Arc::clone(&self.replicator);
                    calls.spawn(ledger::begin(replicator, begin, answers.clone()));
                }
                EntryMessage::LedgerFinish(finish) => {
                    let replicator = Arc::clone(&self.replicator);
                    // An end is worth recording even if the connection goes meanwhile.
                    tokio::spawn(ledger::finish(replicator, finish, answers.clone()));
                }
                EntryMessage::Hello { .. } => return Ok(()),
            }
        }
        Ok(())
    }

    async fn tell(
        mut self,
        tx: &mut (impl AsyncWrite + Unpin),
        peer: &Peer,
        mut sent: Revision,
        mut answers: mpsc::Receiver<ControlMessage>,
    ) -> Result<()> {
        let mut revisions = self.shared.revisions();
        let mut list = EntryList::default();
        self.proofs.mark_changed();
        loop {
            sent = self.send_missing(tx, sent).await?;
            tokio::select! {
                Ok(()) = revisions.changed() => {}
                Ok(()) = self.proofs.changed() => {
                    let proof = *self.proofs.borrow_and_update();
                    sent = self.send_missing(tx, sent).await?;
                    self.send_proof(tx, peer, proof.filter(|proof| sent >= proof.revision)).await?;
                    if let Some(entries) = list.due(&self.in_force) {
                        send(tx, &ControlMessage::Entries(entries)).await?;
                    }
                }
                Some(answer) = answers.recv() => send(tx, &answer).await?,
                else => return Ok(()),
            }
        }
    }

    /// Sends what the entry lacks and returns the revision that it will then have.
    async fn send_missing(
        &self,
        tx: &mut (impl AsyncWrite + Unpin),
        sent: Revision,
    ) -> Result<Revision> {
        let (messages, reached) = self.missing(sent);
        for message in messages {
            send(tx, &message).await?;
        }
        Ok(reached)
    }

    /// What leads from a revision to the newest one, and which that is, out of one look.
    fn missing(&self, sent: Revision) -> (Vec<ControlMessage>, Revision) {
        self.shared.read(|machine| {
            let configuration = machine.configuration();
            if configuration.revision <= sent {
                return (Vec::new(), sent);
            }
            let messages = match machine.deltas_after(sent) {
                Some(deltas) => deltas.cloned().map(ControlMessage::Delta).collect(),
                None => vec![ControlMessage::Snapshot(Box::new(configuration.clone()))],
            };
            (messages, configuration.revision)
        })
    }

    async fn send_proof(
        &self,
        tx: &mut (impl AsyncWrite + Unpin),
        peer: &Peer,
        proof: Option<Proof>,
    ) -> Result<()> {
        let fresh = proof.filter(|proof| proof.started.elapsed() <= self.max_proof_age);
        let Some(Proof { revision, started }) = fresh else {
            return Ok(());
        };
        match peer.probes.last_before(started) {
            Some(probe) => send(tx, &ControlMessage::Current { revision, probe }).await,
            None => Ok(()),
        }
    }
}

async fn send(tx: &mut (impl AsyncWrite + Unpin), message: &ControlMessage) -> Result<()> {
    match timeout(WRITE_TIMEOUT, frame::write(tx, message)).await {
        Ok(written) => written,
        Err(_) => Err(mimosa_protocol::Error::Network {
            action: "write to",
            peer: "an entry".to_owned(),
            source: std::io::ErrorKind::TimedOut.into(),
        }),
    }
}
