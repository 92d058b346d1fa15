//! The TCP port for entries: configuration updates, freshness proofs and ledger calls.

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
use mimosa_transport::frame::MAX_FRAME_BYTES;
use mimosa_transport::frame::MAX_HELLO_BYTES;
use mimosa_transport::reserved_buffer::ProcessMemory;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::clock;
use crate::connection_order::ConnectionNumber;
use crate::connection_order::ConnectionOrder;
use crate::entry_registry::EntryRegistry;
use crate::entry_registry::EntryReport;
use crate::freshness::FreshnessProof;
use crate::replicator::Replicator;
use crate::shared::SharedState;

use self::entry_list::EntryList;
use self::probes::Probes;

mod entry_list;
mod ledger;
mod probes;

/// How long a new connection may take to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of writing one message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Capacity of the queue of ledger answers of one connection.
const MAX_QUEUED_ANSWERS: usize = 1_024;

/// State shared by all connections.
#[derive(Clone)]
pub struct EntryPort {
    /// The replicated log, to which ledger calls are proposed.
    pub replicator: Arc<dyn Replicator>,
    /// The applied state, from which the configuration is sent.
    pub shared: Arc<SharedState>,
    /// Receives the addresses and revisions that the entries report.
    pub entry_registry: Arc<EntryRegistry>,
    /// The latest freshness proof; `None` before the first one.
    pub proofs: watch::Receiver<Option<FreshnessProof>>,
    /// Proofs older than this are not sent.
    pub max_proof_age: Duration,
    /// The connections of the entries.
    pub connections: Arc<ConnectionOrder>,
    /// Memory in which frames are accounted while they arrive.
    pub memory: ProcessMemory,
}

/// The entry at the other end of a connection.
struct ConnectedEntry {
    instance: InstanceId,
    incarnation: Incarnation,
    number: ConnectionNumber,
    probes: Probes,
}

impl EntryPort {
    /// Accepts connections until the task is aborted, which also ends the connections.
    pub async fn serve(self, listener: TcpListener) {
        accept::run(listener, "entries", |stream| {
            self.clone()
                .handle_connection(stream, self.connections.next())
        })
        .await;
    }

    async fn handle_connection(self, stream: TcpStream, number: ConnectionNumber) {
        let address = stream.peer_addr().map(|address| address.to_string());
        let address = address.unwrap_or_else(|_| "an entry".to_owned());
        if let Err(e) = self.run_session(stream, number).await {
            warn!("connection from {address} failed: {e}");
        }
    }

    async fn run_session(self, stream: TcpStream, number: ConnectionNumber) -> Result<()> {
        stream.set_nodelay(true).ok();
        let (mut rx, mut tx) = stream.into_split();
        let Ok(hello) = timeout(
            HELLO_TIMEOUT,
            frame::read_reserved(&mut rx, MAX_HELLO_BYTES, &self.memory),
        )
        .await
        else {
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
        if !self.connections.register(&instance, number) {
            info!("refused a connection from {instance}: it has a newer one");
            return Ok(());
        }
        if !self.entry_registry.register(&instance, report) {
            warn!("refused {instance} with incarnation {incarnation}: a later one is known");
            return Ok(());
        }
        info!("{instance} connected at revision {revision}");
        let entry = Arc::new(ConnectedEntry {
            instance,
            incarnation,
            number,
            probes: Probes::default(),
        });
        let (answers_tx, answers) = mpsc::channel(MAX_QUEUED_ANSWERS);
        let ended = tokio::select! {
            ended = self.clone().read_messages(&mut rx, &entry, answers_tx) => ended,
            ended = self.clone().write_messages(&mut tx, &entry, revision, answers) => ended,
        };
        if self.connections.is_newest(&entry.instance, entry.number) {
            self.entry_registry
                .mark_disconnected(&entry.instance, entry.incarnation);
        }
        ended
    }

    async fn read_messages(
        self,
        rx: &mut OwnedReadHalf,
        entry: &ConnectedEntry,
        answers: mpsc::Sender<ControlMessage>,
    ) -> Result<()> {
        let mut calls = JoinSet::new();
        while let Some(message) = frame::read_reserved(rx, MAX_FRAME_BYTES, &self.memory).await? {
            if !self.connections.is_newest(&entry.instance, entry.number) {
                info!(
                    "closing a connection from {}: it has a newer one",
                    entry.instance
                );
                return Ok(());
            }
            while calls.try_join_next().is_some() {}
            match message {
                EntryMessage::InForce { revision, probe } => {
                    entry.probes.record(probe);
                    let reported = (clock::now(), revision);
                    self.entry_registry.record_revision(
                        &entry.instance,
                        entry.incarnation,
                        reported,
                    );
                }
                EntryMessage::Listens { address } => {
                    self.entry_registry
                        .set_address(&entry.instance, entry.incarnation, address);
                }
                EntryMessage::LedgerBegin(begin) => {
                    let replicator = Arc::clone(&self.replicator);
                    calls.spawn(ledger::begin(replicator, begin, answers.clone()));
                }
                EntryMessage::LedgerFinish(finish) => {
                    let replicator = Arc::clone(&self.replicator);
                    // Detached: the outcome is recorded even if the connection closes meanwhile.
                    tokio::spawn(ledger::finish(replicator, finish, answers.clone()));
                }
                EntryMessage::Hello { .. } => return Ok(()),
            }
        }
        Ok(())
    }

    async fn write_messages(
        mut self,
        tx: &mut (impl AsyncWrite + Unpin),
        entry: &ConnectedEntry,
        mut sent_revision: Revision,
        mut answers: mpsc::Receiver<ControlMessage>,
    ) -> Result<()> {
        let mut revisions = self.shared.revisions();
        let mut entry_list = EntryList::default();
        self.proofs.mark_changed();
        loop {
            sent_revision = self.send_updates(tx, sent_revision).await?;
            tokio::select! {
                Ok(()) = revisions.changed() => {}
                Ok(()) = self.proofs.changed() => {
                    let proof = *self.proofs.borrow_and_update();
                    sent_revision = self.send_updates(tx, sent_revision).await?;
                    self.send_proof(
                        tx,
                        entry,
                        proof.filter(|proof| sent_revision >= proof.revision),
                    ).await?;
                    if let Some(entries) = entry_list.due(&self.entry_registry) {
                        send(tx, &ControlMessage::Entries(entries)).await?;
                    }
                }
                Some(answer) = answers.recv() => send(tx, &answer).await?,
                else => return Ok(()),
            }
        }
    }

    /// Sends all updates after `sent_revision` and returns the revision they lead to.
    async fn send_updates(
        &self,
        tx: &mut (impl AsyncWrite + Unpin),
        sent_revision: Revision,
    ) -> Result<Revision> {
        let (messages, latest_revision) = self.updates_since(sent_revision);
        for message in messages {
            send(tx, &message).await?;
        }
        Ok(latest_revision)
    }

    /// The updates from a revision to the latest one, and the latest revision, read under one lock.
    /// A snapshot if the deltas are no longer stored.
    fn updates_since(&self, sent_revision: Revision) -> (Vec<ControlMessage>, Revision) {
        self.shared.read(|machine| {
            let configuration = machine.configuration();
            if configuration.revision <= sent_revision {
                return (Vec::new(), sent_revision);
            }
            let messages = match machine.deltas_after(sent_revision) {
                Some(deltas) => deltas.cloned().map(ControlMessage::Delta).collect(),
                None => vec![ControlMessage::Snapshot(Box::new(configuration.clone()))],
            };
            (messages, configuration.revision)
        })
    }

    async fn send_proof(
        &self,
        tx: &mut (impl AsyncWrite + Unpin),
        entry: &ConnectedEntry,
        proof: Option<FreshnessProof>,
    ) -> Result<()> {
        let fresh = proof.filter(|proof| proof.started_at.elapsed() <= self.max_proof_age);
        let Some(FreshnessProof {
            revision,
            started_at,
        }) = fresh
        else {
            return Ok(());
        };
        match entry.probes.latest_before(started_at) {
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
