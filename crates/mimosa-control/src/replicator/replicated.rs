//! The log replicated over several control instances, or stored by a single one.
//!
//! A dedicated thread drives the replica state machine and its disk ([`core`]); tasks exchange
//! messages with the other instances ([`crate::peer`]). Every instance accepts commands; followers
//! forward them to the leader. A forwarded command can arrive twice, and long after its sender gave
//! up. That changes nothing, as every command tells what it follows: orders are identified by
//! operator and number, routing documents by their version, the return and removal of data centres by
//! the log index at which they were received, and ledger calls by their idempotency key.

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
use crate::peer::ProposeOutcome;
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

use crate::replicator::replicated::calls::PendingCalls;
use crate::replicator::replicated::core::ReplicaHandle;
use crate::replicator::replicated::input::Input;
use crate::replicator::replicated::input::ProposeFailure;

/// Delay before the next attempt, in which a leader may be elected.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// The replicated log of one instance.
pub struct ReplicatedLog {
    instance: InstanceId,
    replica: ReplicaHandle,
    outbound: Arc<Outbound>,
    calls: Arc<PendingCalls>,
    propose_timeout: Duration,
    next_call_id: AtomicU64,
}

/// The outcome of one attempt to commit a command.
enum Attempt {
    Applied(Box<CommandResult>),
    /// The command is not in the log and never will be.
    NotCommitted,
    /// The command may be in the log.
    OutcomeUnknown,
}

impl ReplicatedLog {
    /// Creates the log of `instance` from a running replica and its connections.
    pub fn new(
        instance: InstanceId,
        replica: ReplicaHandle,
        outbound: Arc<Outbound>,
        calls: Arc<PendingCalls>,
        propose_timeout: Duration,
    ) -> Self {
        Self {
            instance,
            replica,
            outbound,
            calls,
            propose_timeout,
            next_call_id: AtomicU64::new(1),
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
                Attempt::Applied(result) => return Ok(*result),
                Attempt::NotCommitted => {}
                Attempt::OutcomeUnknown => failure = ProposeError::OutcomeUnknown,
            }
            sleep(RETRY_DELAY).await;
        }
        Err(failure)
    }

    async fn attempt(&self, operation: Operation, deadline: Instant) -> Attempt {
        let (reply, answer) = oneshot::channel();
        let sent = self.replica.send(Input::Propose {
            operation: operation.clone(),
            reply,
        });
        if !sent {
            return Attempt::NotCommitted;
        }
        match timeout_at(deadline, answer).await {
            Ok(Ok(Ok(result))) => Attempt::Applied(Box::new(result)),
            Ok(Ok(Err(ProposeFailure::NotLeader(Some(leader))))) if leader != self.instance => {
                self.forward(&leader, operation, deadline).await
            }
            Ok(Ok(Err(ProposeFailure::NotLeader(_) | ProposeFailure::NotCommitted))) => {
                Attempt::NotCommitted
            }
            Ok(Ok(Err(ProposeFailure::OutcomeUnknown)) | Err(_)) | Err(_) => {
                Attempt::OutcomeUnknown
            }
        }
    }

    async fn forward(
        &self,
        leader: &InstanceId,
        operation: Operation,
        deadline: Instant,
    ) -> Attempt {
        let call_id = self.next_call_id();
        let answer = self.calls.register_proposal(call_id);
        let message = PeerMessage::Propose { call_id, operation };
        if !self.outbound.send(leader, message) {
            self.calls.cancel(call_id);
            return Attempt::NotCommitted;
        }
        // The reply can be lost with the connection: leave time for another attempt.
        let attempt_deadline = Instant::now() + self.propose_timeout / 3;
        let answer = timeout_at(deadline.min(attempt_deadline), answer).await;
        self.calls.cancel(call_id);
        match answer {
            Ok(Ok(ProposeOutcome::Applied(result))) => Attempt::Applied(result),
            Ok(Ok(ProposeOutcome::NotCommitted)) => Attempt::NotCommitted,
            Ok(Ok(ProposeOutcome::OutcomeUnknown) | Err(_)) | Err(_) => Attempt::OutcomeUnknown,
        }
    }

    async fn barrier_until(&self, deadline: Instant) -> Result<LogIndex, NotCurrent> {
        while Instant::now() < deadline {
            if let Some(index) = self.read_index(deadline).await {
                self.wait_applied(index, deadline).await?;
                return Ok(index);
            }
            sleep(RETRY_DELAY).await;
        }
        Err(NotCurrent)
    }

    async fn read_index(&self, deadline: Instant) -> Option<LogIndex> {
        let (reply, answer) = oneshot::channel();
        if !self.replica.send(Input::Read { reply }) {
            return None;
        }
        match timeout_at(deadline, answer).await.ok()?.ok()? {
            Ok(index) => Some(index),
            Err(leader) => {
                let leader = leader.filter(|leader| *leader != self.instance)?;
                self.request_read_index(&leader, deadline).await
            }
        }
    }

    async fn request_read_index(&self, leader: &InstanceId, deadline: Instant) -> Option<LogIndex> {
        let call_id = self.next_call_id();
        let answer = self.calls.register_read(call_id);
        let sent = self
            .outbound
            .send(leader, PeerMessage::RequestReadIndex { call_id });
        let attempt_deadline = Instant::now() + self.propose_timeout / 3;
        let index = if sent {
            timeout_at(deadline.min(attempt_deadline), answer).await
        } else {
            Ok(Ok(None))
        };
        self.calls.cancel(call_id);
        index.ok()?.ok()?
    }

    async fn wait_applied(&self, index: LogIndex, deadline: Instant) -> Result<(), NotCurrent> {
        let (reply, applied) = oneshot::channel();
        self.replica.send(Input::WaitApplied { index, reply });
        match timeout_at(deadline, applied).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(NotCurrent),
        }
    }

    fn next_call_id(&self) -> u64 {
        self.next_call_id.fetch_add(1, Ordering::Relaxed)
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.propose_timeout
    }
}

impl Replicator for ReplicatedLog {
    fn propose(&self, operation: Operation) -> BoxFuture<'_, Result<CommandResult, ProposeError>> {
        Box::pin(self.propose_until(operation, self.deadline()))
    }

    fn read_barrier(&self) -> BoxFuture<'_, Result<LogIndex, NotCurrent>> {
        Box::pin(self.barrier_until(self.deadline()))
    }

    fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    fn shutdown(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.replica.stop())
    }

    fn kill(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.replica.kill())
    }
}
