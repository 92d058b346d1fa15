//! Links to other entries. A message to an entry that cannot be reached now is dropped.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use arc_swap::ArcSwap;
use mimosa_config::Peer;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::hash::rendezvous_weight;
use mimosa_protocol::message::ListedEntry;
use mimosa_transport::link;
use mimosa_transport::link::Event;
use mimosa_transport::link::Outbox;
use mimosa_transport::link::SendOutcome;

use super::message::PeerMessage;

/// Age after which the list of the control instances is not used to see who is there.
const MAX_LIST_AGE: Duration = Duration::from_secs(30);

/// The way to the other entries.
pub(crate) struct Network {
    me: InstanceId,
    incarnation: Incarnation,
    cluster: String,
    peers: ArcSwap<Peers>,
    links: Mutex<HashMap<InstanceId, Link>>,
}

/// The entries by name, this one not among them.
#[derive(Default)]
struct Peers {
    by_id: BTreeMap<InstanceId, Peer>,
    listed_at: Option<Timestamp>,
}

/// The sending side of the link to an entry.
struct Link {
    address: SocketAddr,
    slot: Slot,
}

/// The sending side of one connection.
type Slot = Arc<Mutex<Option<Outbox<PeerMessage>>>>;

impl Network {
    /// Starts with the entries that the settings name.
    pub(crate) fn new(
        me: InstanceId,
        incarnation: Incarnation,
        cluster: String,
        peers: &[Peer],
    ) -> Self {
        let others = peers.iter().filter(|peer| peer.id != me);
        let peers = Peers {
            by_id: others.map(|peer| (peer.id.clone(), peer.clone())).collect(),
            listed_at: None,
        };
        Self {
            peers: ArcSwap::from_pointee(peers),
            links: Mutex::default(),
            me,
            incarnation,
            cluster,
        }
    }

    /// Takes the list of the control instances.
    pub(crate) fn listed(&self, now: Timestamp, entries: Vec<ListedEntry>) {
        let others = entries
            .into_iter()
            .filter(|entry| entry.instance != self.me);
        let by_id = others.map(|entry| {
            let peer = Peer {
                id: entry.instance.clone(),
                data_centre: entry.data_centre,
                address: entry.address,
            };
            (entry.instance, peer)
        });
        self.peers.store(Arc::new(Peers {
            by_id: by_id.collect(),
            listed_at: Some(now),
        }));
    }

    /// Whether the list is recent, or comes from the settings.
    pub(crate) fn is_listed_recently(&self, now: Timestamp) -> bool {
        let peers = self.peers.load();
        match peers.listed_at {
            Some(at) => now.since(at) < MAX_LIST_AGE,
            None => !peers.by_id.is_empty(),
        }
    }

    /// This entry.
    pub(crate) fn me(&self) -> &InstanceId {
        &self.me
    }

    /// Entries of a data centre with their addresses, this one not among them.
    pub(crate) fn peers_in(&self, data_centre: &DataCentreId) -> Vec<(InstanceId, SocketAddr)> {
        let peers = self.peers.load();
        let there = peers
            .by_id
            .values()
            .filter(|peer| peer.data_centre == *data_centre);
        there.map(|peer| (peer.id.clone(), peer.address)).collect()
    }

    /// An entry of another data centre that passes messages on, one that is connected if there is.
    pub(crate) fn door_of(&self, data_centre: &DataCentreId) -> Option<InstanceId> {
        let known = self.peers_in(data_centre).into_iter().map(|(id, _)| id);
        known.max_by_key(|id| {
            let weight = rendezvous_weight(self.me.as_str(), id.as_str());
            (self.is_connected(id), weight)
        })
    }

    /// Sends a message, or drops it.
    pub(crate) fn send(&self, to: &InstanceId, message: PeerMessage) {
        let Some(slot) = self.slot(to) else {
            return;
        };
        let mut outbox = lock(&slot);
        let gone = outbox
            .as_ref()
            .is_some_and(|outbox| outbox.send(message) == SendOutcome::Gone);
        if gone {
            *outbox = None;
        }
    }

    /// Opens the links to the entries of a data centre ahead of the first message.
    pub(crate) fn open_all(&self, data_centre: &DataCentreId) {
        for (id, _) in self.peers_in(data_centre) {
            self.slot(&id);
        }
    }

    fn is_connected(&self, id: &InstanceId) -> bool {
        let links = lock(&self.links);
        links.get(id).is_some_and(|link| lock(&link.slot).is_some())
    }

    /// The link to an entry; opened at its first use and when its address changed.
    fn slot(&self, to: &InstanceId) -> Option<Slot> {
        let address = self.peers.load().by_id.get(to)?.address;
        let mut links = lock(&self.links);
        let known = links.get(to).filter(|link| link.address == address);
        if let Some(link) = known {
            return Some(Arc::clone(&link.slot));
        }
        let slot = Slot::default();
        let hello = PeerMessage::Hello {
            instance: self.me.clone(),
            incarnation: self.incarnation,
            cluster: self.cluster.clone(),
        };
        tokio::spawn(keep_open(address, hello, Arc::clone(&slot)));
        let link = Link {
            address,
            slot: Arc::clone(&slot),
        };
        links.insert(to.clone(), link);
        Some(slot)
    }
}

/// Keeps a link open as long as somebody may send on it.
async fn keep_open(address: SocketAddr, hello: PeerMessage, slot: Slot) {
    let mut link: link::Link<PeerMessage, PeerMessage> =
        link::Link::open(address, link::Settings::default());
    while Arc::strong_count(&slot) > 1 {
        match link.next().await {
            Event::Connected(outbox) => {
                let _ = outbox.send(hello.clone());
                *lock(&slot) = Some(outbox);
            }
            Event::Disconnected(end) => {
                log::debug!("link to {address}: {end}");
                *lock(&slot) = None;
            }
            Event::Message(_) => {}
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}
