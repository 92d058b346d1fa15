//! Connections from the other control instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use log::warn;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Result;
use mimosa_state::Operation;
use mimosa_transport::accept;
use mimosa_transport::frame;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::entry_registry::EntryRegistry;
use crate::peer::PeerMessage;
use crate::peer::ProposeAnswer;
use crate::peer::outbound::Outbound;
use crate::replicator::replicated::calls::Calls;
use crate::replicator::replicated::core::SharedStatus;
use crate::replicator::replicated::input::Input;
use crate::replicator::replicated::input::ProposeFailure;

/// How long a new connection may take to say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the leader works on a command or read that was passed on.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// What every connection needs.
#[derive(Clone)]
pub struct Inbound {
    /// The name of the system.
    pub cluster: String,
    /// The other instances that may connect; with none, every instance of the system may.
    pub peers: Arc<BTreeMap<InstanceId, SocketAddr>>,
    /// Takes the names of instances that connect and are not known yet.
    pub discovered: Option<tokio::sync::mpsc::UnboundedSender<InstanceId>>,
    /// The driving thread.
    pub core: mpsc::Sender<Input>,
    /// How this instance stands.
    pub status: SharedStatus,
    /// Where answers go.
    pub outbound: Arc<Outbound>,
    /// Calls that wait for answers.
    pub calls: Arc<Calls>,
    /// Where reports of entries go.
    pub in_force: Arc<EntryRegistry>,
}

impl Inbound {
    /// Accepts connections until the task is aborted; its connections end with it.
    pub async fn serve(self, listener: TcpListener) {
        accept::run(listener, "control instances", |stream| {
            self.clone().connection(stream)
        })
        .await;
    }

    async fn connection(self, mut stream: TcpStream) {
        if let Err(e) = self.listen(&mut stream).await {
            warn!("the connection of a control instance ended: {e}");
        }
    }

    async fn listen(&self, stream: &mut (impl AsyncRead + AsyncWrite + Unpin)) -> Result<()> {
        let Ok(hello) = timeout(HELLO_TIMEOUT, frame::read(stream)).await else {
            return Ok(());
        };
        let Some(PeerMessage::Hello { cluster, instance }) = hello? else {
            return Ok(());
        };
        let is_known = self.discovered.is_some() || self.peers.contains_key(&instance);
        if cluster != self.cluster || !is_known {
            warn!("'{instance}' of system '{cluster}' is no configured control instance");
            return Ok(());
        }
        if let Some(discovered) = &self.discovered {
            discovered.send(instance.clone()).ok();
        }
        let mut calls = JoinSet::new();
        while let Some(message) = frame::read(stream).await? {
            while calls.try_join_next().is_some() {}
            match message {
                PeerMessage::Consensus(message) => {
                    self.core.send(Input::Message(message)).ok();
                }
                PeerMessage::Propose { call, operation } => {
                    let to = instance.clone();
                    calls.spawn(self.clone().propose(to, call, operation));
                }
                PeerMessage::Read { call } => {
                    calls.spawn(self.clone().read(instance.clone(), call));
                }
                PeerMessage::Proposed { call, answer } => self.calls.proposed(call, answer),
                PeerMessage::ReadAt { call, index } => self.calls.read_at(call, index),
                PeerMessage::InForce(reports) => self.in_force.merge(reports),
                PeerMessage::AskFounded => {
                    let is_founded = !self.status.get().voters.is_empty();
                    frame::write(stream, &PeerMessage::Founded(is_founded)).await?;
                }
                PeerMessage::Ping => frame::write(stream, &PeerMessage::Pong).await?,
                PeerMessage::AskMembers => {
                    let status = self.status.get();
                    let members = status.voters.iter().chain(&status.learners);
                    let members = members.filter_map(|name| name.parse().ok()).collect();
                    self.outbound.send(&instance, PeerMessage::Members(members));
                }
                PeerMessage::Members(members) => {
                    if let Some(discovered) = &self.discovered {
                        for member in members {
                            discovered.send(member).ok();
                        }
                    }
                }
                PeerMessage::Hello { .. } | PeerMessage::Founded(_) | PeerMessage::Pong => {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    async fn propose(self, to: InstanceId, call: u64, operation: Operation) {
        let (reply, answer) = oneshot::channel();
        self.core.send(Input::Propose { operation, reply }).ok();
        let answer = match timeout(CALL_TIMEOUT, answer).await {
            Ok(Ok(Ok(result))) => ProposeAnswer::Done(Box::new(result)),
            Ok(Ok(Err(ProposeFailure::NotLeader(_) | ProposeFailure::NotTaken))) => {
                ProposeAnswer::NotTaken
            }
            _ => ProposeAnswer::Unclear,
        };
        let message = PeerMessage::Proposed { call, answer };
        self.outbound.send(&to, message);
    }

    async fn read(self, to: InstanceId, call: u64) {
        let (reply, answer) = oneshot::channel();
        self.core.send(Input::Read { reply }).ok();
        let index = match timeout(CALL_TIMEOUT, answer).await {
            Ok(Ok(Ok(index))) => Some(index),
            _ => None,
        };
        self.outbound.send(&to, PeerMessage::ReadAt { call, index });
    }
}
