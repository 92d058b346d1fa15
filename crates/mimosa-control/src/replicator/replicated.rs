//! The replicated log over several control instances, or over one alone.
//!
//! A thread of its own drives the pure replica and its disk ([`core`]); tasks carry messages to
//! and from the other instances ([`crate::peer`]). Any instance takes a command: one that does
//! not lead passes it on to the leader. Every command can be passed on twice without harm, since
//! orders and ledger calls are known by their names.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mimosa_consensus::LogIndex;
use mimosa_protocol::InstanceId;
use mimosa_state::CommandResult;
use mimosa_state::Operation;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::peer::PeerMessage;
use crate::peer::ProposeAnswer;
use crate::peer::outbound::Outbound;
use crate::replicator::BoxFuture;
use crate::replicator::NotCurrent;
use crate::replicator::ProposeError;
use crate::replicator::ReplicaStatus;
use crate::replicator::Replicator;

pub mod calls;
pub mod core;
pub mod disk;
pub mod input;
pub mod waiters;

use crate::replicator::replicated::calls::Calls;
use crate::replicator::replicated::core::CoreHandle;
use crate::replicator::replicated::input::Input;
use crate::replicator::replicated::input::ProposeFailure;

/// Time before a command is tried again while no leader is known.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// The replicated log of one instance.
pub struct ReplicatedLog {
    instance: InstanceId,
    core: CoreHandle,
    outbound: Arc<Outbound>,
    calls: Arc<Calls>,
    propose_timeout: Duration,
    next_call: AtomicU64,
}

/// What one attempt led to.
enum Attempt {
    Done(Box<CommandResult>),
    /// The command is certainly not in the log.
    NotTaken,
    /// It may be.
    Unclear,
}

impl ReplicatedLog {
    /// Joins the parts.
    pub fn new(
        instance: InstanceId,
        core: CoreHandle,
        outbound: Arc<Outbound>,
        calls: Arc<Calls>,
        propose_timeout: Duration,
    ) -> Self {
        Self {
            instance,
            core,
            outbound,
            calls,
            propose_timeout,
            next_call: AtomicU64::new(1),
        }
    }

    async fn propose_until(
        &self,
        operation: Operation,
        deadline: Instant,
    ) -> Result<CommandResult, ProposeError> {
        let mut failure = ProposeError::NoQuorum;
        while Instant::now() < deadline {
            match self.attempt(operation.clone(), deadline).await {
                Attempt::Done(result) => return Ok(*result),
                Attempt::NotTaken => {}
                Attempt::Unclear => failure = ProposeError::Unclear,
            }
            sleep(RETRY_PAUSE).await;
        }
        Err(failure)
    }

    async fn attempt(&self, operation: Operation, deadline: Instant) -> Attempt {
        let (reply, answer) = oneshot::channel();
        let sent = self.core.send(Input::Propose {
            operation: operation.clone(),
            reply,
        });
        if !sent {
            return Attempt::NotTaken;
        }
        match timeout_at(deadline, answer).await {
            Ok(Ok(Ok(result))) => Attempt::Done(Box::new(result)),
            Ok(Ok(Err(ProposeFailure::NotLeader(Some(leader))))) if leader != self.instance => {
                self.pass_on(&leader, operation, deadline).await
            }
            Ok(Ok(Err(ProposeFailure::NotLeader(_) | ProposeFailure::NotTaken))) => {
                Attempt::NotTaken
            }
            Ok(Ok(Err(ProposeFailure::Unclear)) | Err(_)) | Err(_) => Attempt::Unclear,
        }
    }

    async fn pass_on(
        &self,
        leader: &InstanceId,
        operation: Operation,
        deadline: Instant,
    ) -> Attempt {
        let call = self.next_call();
        let answer = self.calls.propose(call);
        let message = PeerMessage::Propose { call, operation };
        if !self.outbound.send(leader, message) {
            self.calls.forget(call);
            return Attempt::NotTaken;
        }
        // The answer may be lost with the connection: ask again in time for a second try.
        let patience = Instant::now() + self.propose_timeout / 3;
        let answer = timeout_at(deadline.min(patience), answer).await;
        self.calls.forget(call);
        match answer {
            Ok(Ok(ProposeAnswer::Done(result))) => Attempt::Done(result),
            Ok(Ok(ProposeAnswer::NotTaken)) => Attempt::NotTaken,
            Ok(Ok(ProposeAnswer::Unclear) | Err(_)) | Err(_) => Attempt::Unclear,
        }
    }

    /// Waits until the applied state holds all that was committed when this was called.
    async fn barrier_until(&self, deadline: Instant) -> Result<(), NotCurrent> {
        while Instant::now() < deadline {
            if let Some(index) = self.read_index(deadline).await {
                return self.wait_applied(index, deadline).await;
            }
            sleep(RETRY_PAUSE).await;
        }
        Err(NotCurrent)
    }

    async fn read_index(&self, deadline: Instant) -> Option<LogIndex> {
        let (reply, answer) = oneshot::channel();
        if !self.core.send(Input::Read { reply }) {
            return None;
        }
        match timeout_at(deadline, answer).await.ok()?.ok()? {
            Ok(index) => Some(index),
            Err(leader) => {
                let leader = leader.filter(|leader| *leader != self.instance)?;
                self.ask_read_index(&leader, deadline).await
            }
        }
    }

    async fn ask_read_index(&self, leader: &InstanceId, deadline: Instant) -> Option<LogIndex> {
        let call = self.next_call();
        let answer = self.calls.read(call);
        let sent = self.outbound.send(leader, PeerMessage::Read { call });
        let patience = Instant::now() + self.propose_timeout / 3;
        let index = if sent {
            timeout_at(deadline.min(patience), answer).await
        } else {
            Ok(Ok(None))
        };
        self.calls.forget(call);
        index.ok()?.ok()?
    }

    async fn wait_applied(&self, index: LogIndex, deadline: Instant) -> Result<(), NotCurrent> {
        let (reply, applied) = oneshot::channel();
        self.core.send(Input::WaitApplied { index, reply });
        match timeout_at(deadline, applied).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(NotCurrent),
        }
    }

    fn next_call(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.propose_timeout
    }
}

impl Replicator for ReplicatedLog {
    fn propose(&self, operation: Operation) -> BoxFuture<'_, Result<CommandResult, ProposeError>> {
        Box::pin(self.propose_until(operation, self.deadline()))
    }

    fn read_barrier(&self) -> BoxFuture<'_, Result<(), NotCurrent>> {
        Box::pin(self.barrier_until(self.deadline()))
    }

    fn status(&self) -> ReplicaStatus {
        self.core.status()
    }

    fn shutdown(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.core.stop())
    }

    fn kill(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.core.kill())
    }
}
