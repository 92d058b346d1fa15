//! Connections to the control instances, one to each. The directory applies an update from any of
//! them if it is newer than its own state.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_limit::leaderless::AbsenceReport;
use mimosa_protocol::InstanceId;
use mimosa_route::fetch::FetchAction;
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

/// Connect timeout; covers several round trips between regions. The kernel retransmits a lost SYN
/// only after 1 s, for example when both sides start at the same moment, so a new attempt is
/// faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum reconnect backoff; short, because without control instances a gateway gets no updates
/// and places requests without knowing the load of other gateways.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Connects to every control instance that becomes known, until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>) {
    let (members_tx, mut members_rx) = mpsc::unbounded_channel();
    let mut connected = BTreeSet::new();
    let mut tasks = JoinSet::new();
    tasks.spawn(fetch_documents(Arc::clone(&shared)));
    let seeds = || shared.reloadable().seeds.iter().cloned().collect();
    let mut members: Vec<InstanceId> = seeds();
    loop {
        for instance in members.drain(..) {
            if connected.insert(instance.clone()) {
                tasks.spawn(maintain_connection(
                    Arc::clone(&shared),
                    instance,
                    members_tx.clone(),
                ));
            }
        }
        tokio::select! {
            Some(update) = members_rx.recv() => members = update,
            () = shared.reloaded.notified() => members = seeds(),
        }
    }
}

/// Requests newer routing documents, until the task is aborted.
async fn fetch_documents(shared: Arc<Shared>) {
    let directory = &shared.directory;
    loop {
        let announced = directory.document_announced.notified();
        let now = shared.now();
        match directory.next_fetch(now) {
            FetchAction::Request(instance) => {
                info!("dependency=control instance={instance} request=document");
                shared
                    .placement
                    .send_to(&instance, GatewayMessage::RequestDocument);
            }
            FetchAction::WaitUntil(due) => {
                timeout(due.since(now), announced).await.ok();
            }
            FetchAction::Idle => announced.await,
        }
    }
}

async fn maintain_connection(
    shared: Arc<Shared>,
    instance: InstanceId,
    members_tx: mpsc::UnboundedSender<Vec<InstanceId>>,
) {
    let Ok(ip) = instance.as_str().parse::<IpAddr>() else {
        warn!(
            "the identifier of control instance '{instance}' is not an IP address; not connecting \
             to it"
        );
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
                    send_hello(&shared, &tx);
                    shared.placement.on_connected(&instance, tx.clone());
                    shared.placement.report_running(shared.now(), &instance);
                    if shared.directory.leader().as_ref() == Some(&instance) {
                        report_suspects(&shared);
                    }
                    outbox = Some(tx);
                }
                Event::Disconnected(reason) => {
                    if outbox.take().is_some() {
                        on_disconnected(&shared, &instance);
                        warn!(
                            "dependency=control instance={instance} state=lost reason=\"{reason}\""
                        );
                    }
                }
                Event::Message(message) => {
                    let Some(outbox) = &outbox else { continue };
                    handle_message(&shared, &instance, message, outbox, &members_tx);
                }
            }
        }
        if outbox.is_some() {
            on_disconnected(&shared, &instance);
            warn!("dependency=control instance={instance} state=lost reason=\"silence\"");
        }
    }
}

fn on_disconnected(shared: &Shared, instance: &InstanceId) {
    shared.placement.on_disconnected(instance);
    shared.directory.forget_document_of(instance);
    shared.set_gateways(instance, 0);
}

fn handle_message(
    shared: &Shared,
    instance: &InstanceId,
    message: ControlMessage,
    outbox: &Outbox<GatewayMessage>,
    members_tx: &mpsc::UnboundedSender<Vec<InstanceId>>,
) {
    let directory = &shared.directory;
    match message {
        ControlMessage::State(state) => {
            let is_local = state.data_centre.as_ref() == Some(&shared.settings.data_centre);
            directory.apply_state(shared.now(), instance, &state, is_local);
            shared.rollouts.apply(&state.rollouts);
            let gateways = shared.set_gateways(instance, state.gateways);
            if let Some(table) = directory.table() {
                shared.local_quota.configure(shared.now(), &table, gateways);
            }
            let leader = directory.leader();
            let leadership = directory.leadership();
            shared.placement.set_leader(shared.now(), leadership);
            if state.leader.as_ref() == Some(instance) {
                shared.placement.report_active(shared.now(), instance);
            } else {
                let now = shared.now();
                shared.placement.on_resigned(now, instance, state.term);
            }
            if leader.as_ref() == Some(instance) {
                if shared.suspects.is_new_term(state.term) {
                    report_suspects(shared);
                }
                let now = shared.now();
                for report in shared.speeds.on_leader_heard(now) {
                    send(outbox, report);
                }
                if let Some(report) = shared.local_quota.on_leader_heard(now, state.term) {
                    let AbsenceReport { absence, used } = report;
                    send(outbox, GatewayMessage::ReportQuotaUse { absence, used });
                }
            }
            members_tx.send(state.members).ok();
        }
        ControlMessage::Document { version, bytes } => directory.apply_document(version, &bytes),
        ControlMessage::EndpointDigest(digest) => {
            request_buckets(outbox, directory.apply_digest(shared.now(), &digest));
        }
        ControlMessage::EndpointChange(change) => {
            request_buckets(outbox, directory.apply_change(shared.now(), &change));
        }
        ControlMessage::EndpointParts(parts) => directory.apply_parts(shared.now(), &parts),
        // A former leader that was frozen answers requests that its successor has answered as well.
        ControlMessage::QuotaGranted { account, granted }
            if directory.leader().as_ref() != Some(instance) =>
        {
            info!(
                "account={account} granted={granted} instance={instance} outcome=ignored \
                 reason=\"the instance does not lead\""
            );
        }
        ControlMessage::QuotaGranted { account, granted } => {
            shared
                .local_quota
                .on_granted(shared.now(), &account, granted);
        }
        ControlMessage::OverloadedAccounts(accounts) => {
            if directory.leader().as_ref() == Some(instance) {
                shared.local_quota.set_overloaded(accounts);
            }
        }
        ControlMessage::EndpointSpeeds(speeds) => {
            if directory.leader().as_ref() == Some(instance) {
                shared.speeds.on_digest(speeds);
            }
        }
        ControlMessage::NotLeaderForQuota { account } => shared.local_quota.on_not_leader(&account),
        ControlMessage::Queued { number } => shared.placement.on_queued(number),
        ControlMessage::Placed { number, placement } => {
            shared.placement.on_placed(number, placement)
        }
        ControlMessage::Rejected {
            number,
            reason,
            retry_after,
        } => shared.placement.on_rejected(number, reason, retry_after),
        ControlMessage::NotLeader { number } => shared.placement.on_not_leader(number),
        // Grants of a former leader are covered by its reservation in the log.
        ControlMessage::GrantPermits(grant) => shared.rollouts.on_grant(shared.now(), &grant),
        ControlMessage::Suspects(suspects) => {
            if let Some(report) = shared.suspects.on_suspects(shared.now(), &suspects) {
                shared.placement.send_to_leader(report);
            }
        }
    }
}

fn send_hello(shared: &Shared, outbox: &Outbox<GatewayMessage>) {
    let hello = GatewayMessage::Hello {
        cluster: shared.settings.cluster.clone(),
        instance: shared.settings.instance.clone(),
        data_centre: shared.settings.data_centre.clone(),
        incarnation: shared.incarnation,
    };
    send(outbox, hello);
}

/// Sends the lost runs and the known suspects to a new leader, which starts without any.
fn report_suspects(shared: &Shared) {
    for report in shared.suspects.reports(shared.now()) {
        shared.placement.send_to_leader(report);
    }
}

/// Requests these buckets of the endpoint list, if there are any.
fn request_buckets(outbox: &Outbox<GatewayMessage>, buckets: Vec<u16>) {
    if !buckets.is_empty() {
        send(outbox, GatewayMessage::RequestEndpoints { buckets });
    }
}

fn send(outbox: &Outbox<GatewayMessage>, message: GatewayMessage) {
    match outbox.send(message) {
        SendOutcome::Queued => {}
        // Requests are repeated: of buckets after the next digest, of documents after a timeout.
        SendOutcome::Full | SendOutcome::Gone => info!("dependency=control message=dropped"),
    }
}
