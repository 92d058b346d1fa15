//! Follows the control instances. One connection to each: news come from whichever is ahead.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_protocol::InstanceId;
use mimosa_route::message::ControlMessage;
use mimosa_route::message::GatewayMessage;
use mimosa_transport::link;
use mimosa_transport::link::Event;
use mimosa_transport::link::Link;
use mimosa_transport::link::Outbox;
use mimosa_transport::link::SendOutcome;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::shared::Shared;

/// Time for a connection to a control instance to be made: some round trips between regions. The
/// kernel repeats a lost first packet after a second only, as when both start at the same moment.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait between two tries: without control a gateway serves little.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Follows every control instance that becomes known, until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>) {
    let (tx, mut heard) = mpsc::unbounded_channel();
    let mut followed = BTreeSet::new();
    let mut tasks = JoinSet::new();
    let seeds = || shared.reloadable().seeds.iter().cloned().collect();
    let mut news: Vec<InstanceId> = seeds();
    loop {
        for instance in news.drain(..) {
            if followed.insert(instance.clone()) {
                tasks.spawn(follow(Arc::clone(&shared), instance, tx.clone()));
            }
        }
        tokio::select! {
            Some(members) = heard.recv() => news = members,
            () = shared.reloaded.notified() => news = seeds(),
        }
    }
}

async fn follow(
    shared: Arc<Shared>,
    instance: InstanceId,
    heard: mpsc::UnboundedSender<Vec<InstanceId>>,
) {
    let Ok(ip) = instance.as_str().parse::<IpAddr>() else {
        warn!("control instance '{instance}' is not named by its IP address");
        return;
    };
    let address = SocketAddr::new(ip, shared.settings.control_port);
    let settings = link::Settings {
        seed: shared.random(),
        connect_timeout: CONNECT_TIMEOUT,
        max_backoff: MAX_BACKOFF,
        ..link::Settings::default()
    };
    loop {
        let mut link = Link::open(address, settings.clone());
        let mut outbox = None;
        let silence = shared.reloadable().control_silence;
        while let Ok(event) = timeout(silence, link.next()).await {
            match event {
                Event::Connected(tx) => {
                    info!("dependency=control instance={instance} state=connected");
                    hello(&shared, &tx);
                    shared.dispatch.connected(&instance, tx.clone());
                    shared.dispatch.tell_held(shared.now(), &instance);
                    outbox = Some(tx);
                }
                Event::Disconnected(why) => {
                    if outbox.take().is_some() {
                        shared.dispatch.disconnected(&instance);
                        warn!("dependency=control instance={instance} state=lost reason=\"{why}\"");
                    }
                }
                Event::Message(message) => {
                    let Some(outbox) = &outbox else { continue };
                    take_in(&shared, &instance, message, outbox, &heard);
                }
            }
        }
        if outbox.is_some() {
            shared.dispatch.disconnected(&instance);
            warn!("dependency=control instance={instance} state=lost reason=\"silence\"");
        }
    }
}

fn take_in(
    shared: &Shared,
    instance: &InstanceId,
    message: ControlMessage,
    outbox: &Outbox<GatewayMessage>,
    heard: &mpsc::UnboundedSender<Vec<InstanceId>>,
) {
    let directory = &shared.directory;
    match message {
        ControlMessage::State(state) => {
            let near = state.data_centre.as_ref() == Some(&shared.settings.data_centre);
            if directory.take_state(shared.now(), &state, near) {
                send(outbox, GatewayMessage::WantDocument);
            }
            if state.gateways > 0 {
                shared.gateways.store(state.gateways, Ordering::Relaxed);
            }
            if let Some(table) = directory.table()
                && state.gateways > 0
            {
                shared.purse.configure(shared.now(), &table, state.gateways);
            }
            let leader = directory.leader();
            shared.dispatch.leader_is(shared.now(), leader.as_ref());
            shared.dispatch.tell_holding(shared.now(), instance);
            heard.send(state.members).ok();
        }
        ControlMessage::Document { version, bytes } => directory.take_document(version, &bytes),
        ControlMessage::EndpointDigest(digest) => {
            want(outbox, directory.take_digest(shared.now(), &digest));
        }
        ControlMessage::EndpointChange(change) => {
            want(outbox, directory.take_change(shared.now(), &change));
        }
        ControlMessage::EndpointParts(parts) => directory.take_parts(shared.now(), &parts),
        ControlMessage::Lent { account, lent } => {
            shared.purse.lent(shared.now(), &account, lent);
        }
        ControlMessage::NotLending { account } => shared.purse.refused(&account),
        ControlMessage::Queued { number } => shared.dispatch.queued(number),
        ControlMessage::Placed { number, placement } => shared.dispatch.placed(number, placement),
        ControlMessage::Unplaced {
            number,
            why,
            retry_after,
        } => shared.dispatch.unplaced(number, why, retry_after),
        ControlMessage::NotLeading { number } => shared.dispatch.not_leading(number),
    }
}

fn hello(shared: &Shared, outbox: &Outbox<GatewayMessage>) {
    let hello = GatewayMessage::Hello {
        cluster: shared.settings.cluster.clone(),
        instance: shared.settings.instance.clone(),
        data_centre: shared.settings.data_centre.clone(),
    };
    send(outbox, hello);
}

/// Asks for the buckets of the list of endpoints that are not up to date.
fn want(outbox: &Outbox<GatewayMessage>, buckets: Vec<u16>) {
    if !buckets.is_empty() {
        send(outbox, GatewayMessage::WantEndpoints { buckets });
    }
}

fn send(outbox: &Outbox<GatewayMessage>, message: GatewayMessage) {
    match outbox.send(message) {
        SendOutcome::Queued => {}
        // The next state of the instance asks again.
        SendOutcome::Full | SendOutcome::Gone => info!("dependency=control message=dropped"),
    }
}
