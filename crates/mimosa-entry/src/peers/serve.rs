//! Receives messages from other entries over TCP.

use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::InstanceId;
use mimosa_protocol::Result;
use mimosa_transport::accept;
use mimosa_transport::frame;
use mimosa_transport::frame::MAX_FRAME_BYTES;
use mimosa_transport::frame::MAX_HELLO_BYTES;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::message::PeerMessage;
use crate::shared::Shared;

/// How long a new connection may take to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections until the task is aborted, which also closes them.
pub(crate) async fn run(listener: TcpListener, shared: Arc<Shared>) {
    accept::run(listener, "entries", |stream| {
        serve_connection(stream, Arc::clone(&shared))
    })
    .await;
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    if let Err(e) = receive_messages(stream, &shared).await {
        log::debug!("connection from an entry failed: {e}");
    }
}

/// Handles the messages of a connection. The first one must be a hello of the same cluster.
async fn receive_messages(mut stream: TcpStream, shared: &Shared) -> Result<()> {
    let hello = frame::read_reserved(&mut stream, MAX_HELLO_BYTES, &shared.memory.process);
    let Ok(hello) = timeout(HELLO_TIMEOUT, hello).await else {
        return Ok(());
    };
    let Some(PeerMessage::Hello {
        instance, cluster, ..
    }) = hello?
    else {
        return Ok(());
    };
    if cluster != shared.instance.cluster {
        log::warn!(
            "closing the connection from entry {instance}: its cluster is '{cluster}', not '{}'",
            shared.instance.cluster
        );
        return Ok(());
    }
    while let Some(message) =
        frame::read_reserved(&mut stream, MAX_FRAME_BYTES, &shared.memory.process).await?
    {
        dispatch(shared, &instance, message);
    }
    Ok(())
}

fn dispatch(shared: &Shared, from: &InstanceId, message: PeerMessage) {
    match message {
        PeerMessage::Hello { .. } => {}
        PeerMessage::SchedulerRequest {
            queue,
            owner,
            forwarded,
            event,
        } => {
            shared
                .queues
                .on_scheduler_request(&queue, owner, forwarded, *event);
        }
        PeerMessage::SchedulerAnnouncement { queue, epoch } => {
            shared.queues.on_scheduler_announcement(&queue, epoch)
        }
        PeerMessage::SchedulerDecision { queue, action } => {
            shared.queues.on_decision(&queue, action)
        }
        PeerMessage::LimitReports { forwarded, reports } => {
            shared
                .rate_limits
                .handle_reports(shared, forwarded, reports);
        }
        PeerMessage::LimitAnswers { forwarded, answers } => {
            shared
                .rate_limits
                .handle_answers(shared, forwarded, answers);
        }
        PeerMessage::LimitSettled {
            forwarded,
            data_centre,
            revisions,
        } => {
            shared
                .rate_limits
                .handle_settled(shared, forwarded, &data_centre, &revisions);
        }
        PeerMessage::HoldReport(report) => shared.holds.on_report(shared, report),
        PeerMessage::HoldAck(ack) => shared.holds.on_ack(shared, ack),
        PeerMessage::QuarantineDelta(delta) => shared.quarantine.merge(shared.now(), from, &delta),
        PeerMessage::Suspects(suspects) => {
            shared
                .quarantine
                .merge_suspects(shared.now(), from, &suspects);
        }
    }
}
