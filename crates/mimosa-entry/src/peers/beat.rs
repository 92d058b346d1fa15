//! Drives the membership of the data centre: heartbeats by UDP, and the roles that follow.

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

/// Time between two looks at the clock for the membership and for what depends on it.
pub(crate) const TICK: Duration = Duration::from_millis(25);
/// How long a role may be acted in after the last look at its lease. Shorter than the guard time that
/// a successor adds to the lease.
pub(crate) const ROLE_STEP: Duration = Duration::from_millis(100);
/// Ticks between two looks at the list of entries and at what this one reports of itself.
const LIST_TICKS: u32 = 10;
/// Ticks between two reports of what this entry has in hand. Half of the time after which a scheduler
/// takes an attempt that no report names as ended.
const REPORT_TICKS: u32 = 40;

/// Drives the membership until the task is aborted.
pub(crate) async fn run(socket: Socket, own: SocketAddr, shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut count: u32 = 0;
    loop {
        tokio::select! {
            arrived = socket.receive::<Message>() => if let Ok(Received::Message { from, message }) = arrived {
                let event = Event::Received { from, message };
                drive(&socket, &shared, event).await;
            },
            _ = ticks.tick() => {
                if count.is_multiple_of(LIST_TICKS) {
                    if let Some(list) = listed(&shared, own) {
                        drive(&socket, &shared, Event::PlatformList(list)).await;
                        shared.network.open_all(&shared.instance.data_centre);
                    }
                    drive(&socket, &shared, Event::Report(report(&shared))).await;
                }
                if count.is_multiple_of(REPORT_TICKS) {
                    shared.placers.report();
                }
                drive(&socket, &shared, Event::Tick).await;
                follow_roles(&shared);
                count = count.wrapping_add(1);
            }
        }
    }
}

async fn drive(socket: &Socket, shared: &Shared, event: Event) {
    let actions = shared.members().handle(shared.now(), event);
    for action in actions {
        carry_out(socket, shared, action).await;
    }
}

async fn carry_out(socket: &Socket, shared: &Shared, action: Action) {
    match action {
        Action::Send { to, message } => {
            if let Err(e) = socket.send(to, &message).await {
                log::debug!("cannot send a heartbeat to {to}: {e}");
            }
        }
        Action::PeerState { instance, state } => {
            log::info!("{instance} is {state:?}");
        }
        Action::ViewInstalled(view) => {
            let members: Vec<_> = view.members.keys().map(InstanceId::as_str).collect();
            log::info!("view {} holds: {}", view.epoch, members.join(", "));
        }
        Action::ClockJump { gap } => {
            log::warn!("this process did not run for {gap:?}: no role is held")
        }
        Action::Superseded { by } => {
            log::error!("life {by} of this instance runs: this one takes no new work");
            shared.drain();
        }
        Action::DuplicateInstance { instance, address } => {
            log::error!("a second process speaks as {instance} from {address}");
        }
        Action::DuplicateAddress { address, instances } => {
            let [first, second] = instances;
            log::error!("{first} and {second} both speak from {address}");
        }
    }
}

/// The entries of this data centre as the control instances or the settings list them, this one
/// included; nothing without a recent list.
fn listed(shared: &Shared, own: SocketAddr) -> Option<PlatformList> {
    if !shared.network.is_listed_recently(shared.now()) {
        return None;
    }
    let leaving = false;
    let peers = shared.network.peers_in(&shared.instance.data_centre);
    let mut list: BTreeMap<_, _> = peers
        .into_iter()
        .map(|(id, address)| (id, ListedInstance { address, leaving }))
        .collect();
    let me = ListedInstance {
        address: own,
        leaving: shared.is_draining(),
    };
    list.insert(shared.instance.id.clone(), me);
    Some(list)
}

fn report(shared: &Shared) -> Report {
    Report {
        draining: shared.is_draining(),
        revision: shared.table.load().revision(),
        digest: 0,
        load: 0,
    }
}

/// Tells every part that has a role whether it still has it.
fn follow_roles(shared: &Shared) {
    let now = shared.now();
    shared.placers.follow(now, &shared.members());
    shared.limits.tick(shared);
    shared.holds.tick(shared);
    shared.suspects.tick(shared);
}
