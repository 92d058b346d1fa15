//! Incoming connections of the other control instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Result;
use mimosa_state::Operation;
use mimosa_transport::accept;
use mimosa_transport::frame;
use mimosa_transport::frame::MAX_FRAME_BYTES;
use mimosa_transport::frame::MAX_HELLO_BYTES;
use mimosa_transport::reserved_buffer::ProcessMemory;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::connection_order::ConnectionNumber;
use crate::connection_order::ConnectionOrder;
use crate::entry_registry::EntryRegistry;
use crate::peer::PeerMessage;
use crate::peer::ProposeOutcome;
use crate::peer::outbound::Outbound;
use crate::replicator::replicated::calls::PendingCalls;
use crate::replicator::replicated::core::SharedStatus;
use crate::replicator::replicated::input::Input;
use crate::replicator::replicated::input::ProposeFailure;

/// How long a new connection may take to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of a forwarded command or read on the leader.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// State shared by all connections.
#[derive(Clone)]
pub struct Inbound {
    /// The name of the cluster; instances of another one are refused.
    pub cluster: String,
    /// The other instances that may connect. Ignored with peer discovery: then every instance of
    /// the cluster may.
    pub peers: Arc<BTreeMap<InstanceId, SocketAddr>>,
    /// Receives the names of connecting instances and of members they report; `None` without peer
    /// discovery.
    pub discovered_tx: Option<tokio::sync::mpsc::UnboundedSender<InstanceId>>,
    /// Sends inputs to the replica thread.
    pub inputs: mpsc::Sender<Input>,
    /// The status of this replica, from which queries of members are answered.
    pub status: SharedStatus,
    /// The connections that this instance opened, on which replies are sent.
    pub outbound: Arc<Outbound>,
    /// Calls of this instance that wait for replies.
    pub calls: Arc<PendingCalls>,
    /// Receives the entry reports of other instances.
    pub entry_registry: Arc<EntryRegistry>,
    /// The connections of the other instances.
    pub connections: Arc<ConnectionOrder>,
    /// Memory in which frames are accounted while they arrive.
    pub memory: ProcessMemory,
}

impl Inbound {
    /// Accepts connections until the task is aborted, which also ends the connections.
    pub async fn serve(self, listener: TcpListener) {
        accept::run(listener, "control instances", |stream| {
            self.clone()
                .handle_connection(stream, self.connections.next())
        })
        .await;
    }

    async fn handle_connection(self, mut stream: TcpStream, number: ConnectionNumber) {
        if let Err(e) = self.read_messages(&mut stream, number).await {
            warn!("connection from a control instance failed: {e}");
        }
    }

    async fn read_messages(
        &self,
        stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
        number: ConnectionNumber,
    ) -> Result<()> {
        let Ok(hello) = timeout(
            HELLO_TIMEOUT,
            frame::read_reserved(stream, MAX_HELLO_BYTES, &self.memory),
        )
        .await
        else {
            return Ok(());
        };
        let Some(PeerMessage::Hello { cluster, instance }) = hello? else {
            return Ok(());
        };
        let is_known = self.discovered_tx.is_some() || self.peers.contains_key(&instance);
        if cluster != self.cluster || !is_known {
            warn!("refused '{instance}' of cluster '{cluster}': not a configured control instance");
            return Ok(());
        }
        if let Some(discovered_tx) = &self.discovered_tx {
            discovered_tx.send(instance.clone()).ok();
        }
        self.connections.register(&instance, number);
        let mut calls = JoinSet::new();
        while let Some(message) =
            frame::read_reserved(stream, MAX_FRAME_BYTES, &self.memory).await?
        {
            if !self.connections.is_newest(&instance, number) {
                info!("closing a connection from control instance {instance}: it has a newer one");
                return Ok(());
            }
            while calls.try_join_next().is_some() {}
            match message {
                PeerMessage::Consensus(message) => {
                    self.inputs.send(Input::Message(message)).ok();
                }
                PeerMessage::Propose { call_id, operation } => {
                    let to = instance.clone();
                    calls.spawn(self.clone().handle_propose(to, call_id, operation));
                }
                PeerMessage::RequestReadIndex { call_id } => {
                    calls.spawn(self.clone().handle_read(instance.clone(), call_id));
                }
                PeerMessage::Proposed { call_id, answer } => {
                    self.calls.complete_proposal(call_id, answer)
                }
                PeerMessage::ReadIndex { call_id, index } => {
                    self.calls.complete_read(call_id, index)
                }
                PeerMessage::EntryReports(reports) => self.entry_registry.merge(reports),
                PeerMessage::QueryBootstrapped => {
                    let is_bootstrapped = !self.status.get().voters.is_empty();
                    frame::write(stream, &PeerMessage::Bootstrapped(is_bootstrapped)).await?;
                }
                PeerMessage::Ping => frame::write(stream, &PeerMessage::Pong).await?,
                PeerMessage::QueryMembers => {
                    let status = self.status.get();
                    let mut known = status.named;
                    known.extend(self.outbound.connected());
                    let members = known.into_iter().collect();
                    self.outbound.send(&instance, PeerMessage::Members(members));
                }
                PeerMessage::Members(members) => {
                    if let Some(discovered_tx) = &self.discovered_tx {
                        for member in members {
                            discovered_tx.send(member).ok();
                        }
                    }
                }
                PeerMessage::Hello { .. } | PeerMessage::Bootstrapped(_) | PeerMessage::Pong => {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    async fn handle_propose(self, to: InstanceId, call_id: u64, operation: Operation) {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(Input::Propose { operation, reply }).ok();
        let answer = match timeout(CALL_TIMEOUT, answer).await {
            Ok(Ok(Ok(result))) => ProposeOutcome::Applied(Box::new(result)),
            Ok(Ok(Err(ProposeFailure::NotLeader(_) | ProposeFailure::NotCommitted))) => {
                ProposeOutcome::NotCommitted
            }
            _ => ProposeOutcome::OutcomeUnknown,
        };
        let message = PeerMessage::Proposed { call_id, answer };
        self.outbound.send(&to, message);
    }

    async fn handle_read(self, to: InstanceId, call_id: u64) {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(Input::Read { reply }).ok();
        let index = match timeout(CALL_TIMEOUT, answer).await {
            Ok(Ok(Ok(index))) => Some(index),
            _ => None,
        };
        self.outbound
            .send(&to, PeerMessage::ReadIndex { call_id, index });
    }
}
