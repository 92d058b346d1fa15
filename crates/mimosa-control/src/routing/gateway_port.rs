//! The TCP port for gateways: the routing document, control state, endpoint list and placement.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Result;
use mimosa_route::message::ControlMessage;
use mimosa_route::message::ControlState;
use mimosa_route::message::GatewayMessage;
use mimosa_route::message::MAX_SPEEDS;
use mimosa_transport::accept;
use mimosa_transport::frame;
use mimosa_transport::frame::MAX_FRAME_BYTES;
use mimosa_transport::frame::MAX_HELLO_BYTES;
use mimosa_transport::reserved_buffer::ProcessMemory;
use mimosa_transport::socket;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::connection_order::ConnectionNumber;
use crate::connection_order::ConnectionOrder;
use crate::replicator::Replicator;
use crate::routing::dispatch::Dispatcher;
use crate::routing::published::Frame;
use crate::routing::published::PublishedList;
use crate::shared::SharedState;

/// How long a new connection may take to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of writing one message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum interval of messages with the suspects, which after the loss of many endpoints change with
/// the report of each gateway.
const SUSPECTS_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval of messages with the speeds of plain endpoints.
const SPEEDS_INTERVAL: Duration = Duration::from_secs(1);
/// Capacity of the outgoing queue of one connection.
const MAX_QUEUED_MESSAGES: usize = 1_024;

/// State shared by all gateway connections.
#[derive(Clone)]
pub struct GatewayPort {
    /// The name of the cluster; gateways of another one are refused.
    pub cluster: String,
    /// The data centre of this instance, sent to the gateways.
    pub data_centre: Option<DataCentreId>,
    /// The replicated log, whose status names the leader and the members.
    pub replicator: Arc<dyn Replicator>,
    /// The applied state, from which the routing document is sent.
    pub shared: Arc<SharedState>,
    /// The schedulers, which handle all messages but requests for the document and the endpoints.
    pub dispatcher: Arc<Dispatcher>,
    /// The latest endpoint list that this instance read as leader.
    pub endpoints: watch::Receiver<Arc<PublishedList>>,
    /// Interval of the control state messages; a routing change is sent at once.
    pub heartbeat: Duration,
    /// The connections of the gateways.
    pub connections: Arc<ConnectionOrder>,
    /// Memory in which frames are accounted while they arrive.
    pub memory: ProcessMemory,
}

impl GatewayPort {
    /// Accepts connections until the task is aborted, which also ends the connections.
    pub async fn serve(self, listener: TcpListener) {
        accept::run(listener, "gateways", |stream| {
            self.clone()
                .handle_connection(stream, self.connections.next())
        })
        .await;
    }

    async fn handle_connection(self, stream: TcpStream, number: ConnectionNumber) {
        if let Err(e) = self.run_session(stream, number).await {
            info!("connection from a gateway failed: {e}");
        }
    }

    async fn run_session(self, mut stream: TcpStream, number: ConnectionNumber) -> Result<()> {
        socket::configure(&stream);
        let Ok(hello) = timeout(
            HELLO_TIMEOUT,
            frame::read_reserved(&mut stream, MAX_HELLO_BYTES, &self.memory),
        )
        .await
        else {
            return Ok(());
        };
        let Some(GatewayMessage::Hello {
            cluster,
            instance,
            incarnation,
            ..
        }) = hello?
        else {
            return Ok(());
        };
        if cluster != self.cluster {
            warn!("refused gateway '{instance}': it belongs to cluster '{cluster}'");
            return Ok(());
        }
        let (mut reader, writer) = stream.into_split();
        let (tx, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let dispatcher = Arc::clone(&self.dispatcher);
        if !dispatcher.register_gateway(&instance, incarnation, number, tx.clone()) {
            info!("gateway={instance} state=refused reason=\"it has a newer connection\"");
            return Ok(());
        }
        info!("gateway={instance} state=connected");
        let (buckets_tx, requested_buckets) = mpsc::channel(1);
        let read_messages = async {
            while let Some(message) =
                frame::read_reserved(&mut reader, MAX_FRAME_BYTES, &self.memory).await?
            {
                match message {
                    GatewayMessage::RequestDocument => {
                        if let Some(document) = self.document()
                            && tx.send(document).await.is_err()
                        {
                            break;
                        }
                    }
                    GatewayMessage::RequestEndpoints { buckets } => {
                        if buckets_tx.send(buckets).await.is_err() {
                            break;
                        }
                    }
                    message => {
                        if !dispatcher.handle_message(&instance, number, message) {
                            info!("gateway={instance} state=replaced");
                            break;
                        }
                    }
                }
            }
            Ok(())
        };
        let ended = tokio::select! {
            ended = read_messages => ended,
            ended = self.clone().write_messages(writer, messages, requested_buckets) => ended,
        };
        dispatcher.gateway_disconnected(&instance, number);
        info!("gateway={instance} state=disconnected");
        ended
    }

    async fn write_messages(
        mut self,
        mut writer: OwnedWriteHalf,
        mut messages: mpsc::Receiver<ControlMessage>,
        mut requested_buckets: mpsc::Receiver<Vec<u16>>,
    ) -> Result<()> {
        let mut routing = self.shared.routing_changes();
        let mut ticks = interval(self.heartbeat);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.endpoints.mark_changed();
        let mut sent_list = Arc::new(PublishedList::default());
        let mut overloaded = self.dispatcher.overloaded_accounts();
        overloaded.mark_changed();
        let mut suspects = self.dispatcher.suspect_changes();
        suspects.mark_changed();
        let mut suspects_due = Instant::now();
        let mut speed_changes = self.dispatcher.speed_changes();
        speed_changes.mark_changed();
        let mut speeds_due = Instant::now();
        let mut sent_speeds = 0;
        loop {
            let frame = tokio::select! {
                _ = ticks.tick() => Some(self.control_state()?),
                Ok(()) = overloaded.changed() => {
                    let accounts = overloaded.borrow_and_update().clone();
                    let message = ControlMessage::OverloadedAccounts(accounts);
                    Some(frame::encode(&message)?.into())
                }
                Ok(()) = changed_after(&mut suspects, suspects_due) => {
                    suspects_due = Instant::now() + SUSPECTS_INTERVAL;
                    let suspects = self.dispatcher.suspects();
                    match suspects.suspects.is_empty() {
                        true => None,
                        false => Some(frame::encode(&ControlMessage::Suspects(suspects))?.into()),
                    }
                }
                Ok(()) = changed_after(&mut speed_changes, speeds_due) => {
                    speeds_due = Instant::now() + SPEEDS_INTERVAL;
                    let (number, speeds) = self.dispatcher.speeds_after(sent_speeds);
                    sent_speeds = number;
                    if speeds.len() == MAX_SPEEDS {
                        // The rest follows with the next message.
                        speed_changes.mark_changed();
                    }
                    match speeds.is_empty() {
                        true => None,
                        false => Some(frame::encode(&ControlMessage::EndpointSpeeds(speeds))?.into()),
                    }
                }
                Ok(()) = routing.changed() => Some(self.control_state()?),
                Ok(()) = self.endpoints.changed() => {
                    let published = Arc::clone(&self.endpoints.borrow_and_update());
                    let frame = published.update_from(&sent_list, Instant::now());
                    sent_list = published;
                    frame
                }
                Some(buckets) = requested_buckets.recv() => {
                    sent_list.encode_buckets(&buckets, Instant::now())
                }
                message = messages.recv() => match message {
                    Some(message) => Some(frame::encode(&message)?.into()),
                    None => return Ok(()),
                },
            };
            let Some(frame) = frame else { continue };
            let sent = timeout(WRITE_TIMEOUT, frame::write_encoded(&mut writer, &frame)).await;
            match sent {
                Ok(result) => result?,
                Err(_) => return Ok(()),
            }
        }
    }

    fn document(&self) -> Option<ControlMessage> {
        self.shared.read(|machine| {
            let document = machine.routing().document()?;
            Some(ControlMessage::Document {
                version: document.version,
                bytes: Arc::clone(&document.bytes),
            })
        })
    }

    fn control_state(&self) -> Result<Frame> {
        let status = self.replicator.status();
        let members = status.voters.iter().chain(&status.learners);
        let (version, data_centres_out, routing_index, rollouts) = self.shared.read(|machine| {
            let routing = machine.routing();
            let version = routing.document().map(|document| document.version);
            let data_centres_out = routing.data_centres_out().iter().cloned().collect();
            let rollouts = machine.rollouts().iter();
            let rollouts = rollouts.map(|(service, rollout)| rollout.view(service));
            let routing_index = machine.gateway_state_index();
            (version, data_centres_out, routing_index, rollouts.collect())
        });
        let state = ControlState {
            data_centre: self.data_centre.clone(),
            term: status.term,
            leader: status.leader.and_then(|leader| leader.parse().ok()),
            members: members.filter_map(|name| name.parse().ok()).collect(),
            version,
            gateways: self.dispatcher.gateways(),
            data_centres_out,
            routing_index,
            rollouts,
        };
        Ok(frame::encode(&ControlMessage::State(state))?.into())
    }
}

/// Waits for a change, and until it may be sent.
async fn changed_after(
    changes: &mut watch::Receiver<u64>,
    due: Instant,
) -> std::result::Result<(), watch::error::RecvError> {
    sleep_until(due).await;
    changes.changed().await
}
