//! Drives the membership of the data centre: sends and receives heartbeats over UDP, and updates
//! the roles that depend on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mimosa_membership::Action;
use mimosa_membership::Event;
use mimosa_membership::message::Message;
use mimosa_membership::message::Report;
use mimosa_membership::peers::ListedInstance;
use mimosa_membership::peers::PlatformList;
use mimosa_protocol::InstanceId;
use mimosa_transport::datagram::Received;
use mimosa_transport::datagram::Socket;

use crate::shared::Shared;

/// Interval at which the membership and the roles are updated.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// How long a role remains valid after the last check of its lease. Shorter than the guard time
/// that a successor adds to the lease, so that two holders never act at once.
pub(crate) const ROLE_VALIDITY: Duration = Duration::from_millis(100);
/// Ticks between updates of the list of entries and of this entry's own report: 250 ms.
const TICKS_PER_LIST: u32 = 10;
/// Ticks between reports of this entry's requests to the schedulers: 1 s, half of the time after
/// which a scheduler considers an attempt ended that no report mentions.
const TICKS_PER_REPORT: u32 = 40;

/// Runs the membership until the task is aborted.
pub(crate) async fn run(socket: Socket, own_address: SocketAddr, shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut tick_count: u32 = 0;
    loop {
        tokio::select! {
            received = socket.receive::<Message>() => if let Ok(Received::Message { from, message }) = received {
                let event = Event::Received { from, message };
                handle_event(&socket, &shared, event).await;
            },
            _ = ticks.tick() => {
                if tick_count.is_multiple_of(TICKS_PER_LIST) {
                    if let Some(list) = platform_list(&shared, own_address) {
                        handle_event(&socket, &shared, Event::PlatformList(list)).await;
                        shared.network.connect_to(&shared.instance.data_centre);
                    }
                    handle_event(&socket, &shared, Event::Report(own_report(&shared))).await;
                }
                if tick_count.is_multiple_of(TICKS_PER_REPORT) {
                    shared.queues.report();
                }
                handle_event(&socket, &shared, Event::Tick).await;
                update_roles(&shared);
                tick_count = tick_count.wrapping_add(1);
            }
        }
    }
}

async fn handle_event(socket: &Socket, shared: &Shared, event: Event) {
    let actions = shared.members().handle(shared.now(), event);
    for action in actions {
        apply(socket, shared, action).await;
    }
}

async fn apply(socket: &Socket, shared: &Shared, action: Action) {
    match action {
        Action::Send { to, message } => {
            if let Err(e) = socket.send(to, &message).await {
                log::debug!("cannot send a membership message to {to}: {e}");
            }
        }
        Action::PeerState { instance, state } => {
            log::info!("membership: peer {instance} is now {state:?}");
        }
        Action::ViewInstalled(view) => {
            let members: Vec<_> = view.members.keys().map(InstanceId::as_str).collect();
            log::info!(
                "membership: installed view {} with members {}",
                view.epoch,
                members.join(", ")
            );
        }
        Action::ClockJump { gap } => {
            log::warn!(
                "paused for {gap:?}, or the clock was set back; this entry's roles are released"
            )
        }
        Action::Superseded { by } => {
            log::error!(
                "a later incarnation of this instance is running ({by}); draining this one"
            );
            shared.drain();
        }
        Action::DuplicateInstance { instance, address } => {
            log::error!(
                "another process at {address} runs as {instance}; each instance needs its own name"
            );
        }
        Action::DuplicateAddress { address, instances } => {
            let [first, second] = instances;
            log::error!(
                "{first} and {second} both send from {address}; each needs its own address"
            );
        }
    }
}

/// The entries of this data centre as listed by the control instances or the settings, including
/// this one; `None` without a recent list.
fn platform_list(shared: &Shared, own_address: SocketAddr) -> Option<PlatformList> {
    if !shared.network.has_recent_list(shared.now()) {
        return None;
    }
    let leaving = false;
    let peers = shared.network.peers_in(&shared.instance.data_centre);
    let mut list: BTreeMap<_, _> = peers
        .into_iter()
        .map(|(id, address)| (id, ListedInstance { address, leaving }))
        .collect();
    let own_entry = ListedInstance {
        address: own_address,
        leaving: shared.is_draining(),
    };
    list.insert(shared.instance.id.clone(), own_entry);
    Some(list)
}

fn own_report(shared: &Shared) -> Report {
    Report {
        draining: shared.is_draining(),
        revision: shared.configuration.load().revision(),
        digest: 0,
        load: 0,
    }
}

/// Updates every component whose role depends on the membership.
fn update_roles(shared: &Shared) {
    let now = shared.now();
    shared.queues.update_schedulers(now, &shared.members());
    shared.rate_limits.tick(shared);
    shared.holds.tick(shared);
    shared.quarantine.tick(shared);
}
