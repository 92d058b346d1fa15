//! The gateways' TCP: the routing document, the data centres that are out, the endpoints.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Result;
use mimosa_route::message::ControlMessage;
use mimosa_route::message::ControlState;
use mimosa_route::message::GatewayMessage;
use mimosa_transport::accept;
use mimosa_transport::frame;
use mimosa_transport::socket;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::replicator::Replicator;
use crate::routing::dispatch::Dispatcher;
use crate::routing::published::Frame;
use crate::routing::published::Published;
use crate::shared::Shared;

/// How long a gateway may take to say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// How long one message may take to leave.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Messages that wait to be written to one gateway.
const QUEUED_MESSAGES: usize = 1_024;

/// What every connection of a gateway needs.
#[derive(Clone)]
pub struct GatewayPort {
    /// The name of the system.
    pub cluster: String,
    /// Where this instance stands.
    pub data_centre: Option<DataCentreId>,
    /// The replicated log.
    pub replicator: Arc<dyn Replicator>,
    /// The applied state.
    pub shared: Arc<Shared>,
    /// The schedulers.
    pub dispatcher: Arc<Dispatcher>,
    /// The endpoints.
    pub endpoints: watch::Receiver<Arc<Published>>,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
}

impl GatewayPort {
    /// Accepts connections until the task is aborted; its connections end with it.
    pub async fn serve(self, listener: TcpListener) {
        accept::run(listener, "gateways", |stream| {
            self.clone().connection(stream)
        })
        .await;
    }

    async fn connection(self, stream: TcpStream) {
        if let Err(e) = self.talk(stream).await {
            info!("the connection of a gateway ended: {e}");
        }
    }

    async fn talk(self, mut stream: TcpStream) -> Result<()> {
        socket::configure(&stream);
        let Ok(hello) = timeout(HELLO_TIMEOUT, frame::read(&mut stream)).await else {
            return Ok(());
        };
        let Some(GatewayMessage::Hello {
            cluster, instance, ..
        }) = hello?
        else {
            return Ok(());
        };
        if cluster != self.cluster {
            warn!("gateway '{instance}' belongs to system '{cluster}'");
            return Ok(());
        }
        info!("gateway={instance} state=connected");
        let (mut reader, writer) = stream.into_split();
        let (tx, messages) = mpsc::channel(QUEUED_MESSAGES);
        let dispatcher = Arc::clone(&self.dispatcher);
        let connection = dispatcher.connected(&instance, tx.clone());
        let (buckets_tx, wanted) = mpsc::channel(1);
        let reading = async {
            while let Some(message) = frame::read(&mut reader).await? {
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
                    message => dispatcher.take_in(&instance, message),
                }
            }
            Ok(())
        };
        let ended = tokio::select! {
            ended = reading => ended,
            ended = self.clone().write(writer, messages, wanted) => ended,
        };
        dispatcher.disconnected(&instance, connection);
        info!("gateway={instance} state=disconnected");
        ended
    }

    async fn write(
        mut self,
        mut writer: OwnedWriteHalf,
        mut messages: mpsc::Receiver<ControlMessage>,
        mut wanted: mpsc::Receiver<Vec<u16>>,
    ) -> Result<()> {
        let mut routing = self.shared.routing_changes();
        let mut ticks = interval(self.heartbeat);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.endpoints.mark_changed();
        let mut told = Arc::new(Published::default());
        loop {
            let frame = tokio::select! {
                _ = ticks.tick() => Some(self.state()?),
                Ok(()) = routing.changed() => Some(self.state()?),
                Ok(()) = self.endpoints.changed() => {
                    let published = Arc::clone(&self.endpoints.borrow_and_update());
                    let frame = published.change_from(&told, Instant::now());
                    told = published;
                    frame
                }
                Some(buckets) = wanted.recv() => told.parts(&buckets, Instant::now()),
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

    fn state(&self) -> Result<Frame> {
        let status = self.replicator.status();
        let members = status.voters.iter().chain(&status.learners);
        let (version, out, changed) = self.shared.read(|machine| {
            let routing = machine.routing();
            let version = routing.document().map(|document| document.version);
            let out = routing.data_centres_out().iter().cloned().collect();
            (version, out, routing.last_changed())
        });
        let state = ControlState {
            data_centre: self.data_centre.clone(),
            term: status.term,
            leader: status.leader.and_then(|leader| leader.parse().ok()),
            members: members.filter_map(|name| name.parse().ok()).collect(),
            version,
            gateways: self.dispatcher.gateways(),
            data_centres_out: out,
            routing_index: changed,
        };
        Ok(frame::encode(&ControlMessage::State(state))?.into())
    }
}
