//! Links to other entries. A message to an entry that is not connected or reads too slowly is
//! dropped.

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

/// Age after which the list from the control instances no longer counts as current.
const MAX_LIST_AGE: Duration = Duration::from_secs(30);

/// The known entries and the links to them.
pub(crate) struct Network {
    own_id: InstanceId,
    incarnation: Incarnation,
    cluster: String,
    peers: ArcSwap<Peers>,
    links: Mutex<HashMap<InstanceId, Link>>,
}

/// The other entries.
#[derive(Default)]
struct Peers {
    by_id: BTreeMap<InstanceId, Peer>,
    /// When a control instance sent the list; `None` if it is from the settings.
    listed_at: Option<Timestamp>,
}

/// The sending side of the link to an entry.
struct Link {
    address: SocketAddr,
    slot: OutboxSlot,
}

/// The sending side of a connection; `None` while there is none.
type OutboxSlot = Arc<Mutex<Option<Outbox<PeerMessage>>>>;

impl Network {
    /// Starts with the entries listed in the settings.
    pub(crate) fn new(
        own_id: InstanceId,
        incarnation: Incarnation,
        cluster: String,
        peers: &[Peer],
    ) -> Self {
        let others = peers.iter().filter(|peer| peer.id != own_id);
        let peers = Peers {
            by_id: others.map(|peer| (peer.id.clone(), peer.clone())).collect(),
            listed_at: None,
        };
        Self {
            peers: ArcSwap::from_pointee(peers),
            links: Mutex::default(),
            own_id,
            incarnation,
            cluster,
        }
    }

    /// Replaces the entries by the list from the control instances.
    pub(crate) fn set_peers(&self, now: Timestamp, entries: Vec<ListedEntry>) {
        let others = entries
            .into_iter()
            .filter(|entry| entry.instance != self.own_id);
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

    /// Whether the control instances sent the list within [`MAX_LIST_AGE`], or the settings list
    /// any other entries and no control instance has sent a list yet.
    pub(crate) fn has_recent_list(&self, now: Timestamp) -> bool {
        let peers = self.peers.load();
        match peers.listed_at {
            Some(at) => now.since(at) < MAX_LIST_AGE,
            None => !peers.by_id.is_empty(),
        }
    }

    pub(crate) fn own_id(&self) -> &InstanceId {
        &self.own_id
    }

    /// The other entries of a data centre with their addresses.
    pub(crate) fn peers_in(&self, data_centre: &DataCentreId) -> Vec<(InstanceId, SocketAddr)> {
        let peers = self.peers.load();
        let peers = peers
            .by_id
            .values()
            .filter(|peer| peer.data_centre == *data_centre);
        peers.map(|peer| (peer.id.clone(), peer.address)).collect()
    }

    /// The entry of another data centre that this entry sends messages for it to, preferably a
    /// connected one; `None` if no entry there is known. Entries differ in their choice, which
    /// spreads the load.
    pub(crate) fn relay_in(&self, data_centre: &DataCentreId) -> Option<InstanceId> {
        let known = self.peers_in(data_centre).into_iter().map(|(id, _)| id);
        known.max_by_key(|id| {
            let weight = rendezvous_weight(self.own_id.as_str(), id.as_str());
            (self.is_connected(id), weight)
        })
    }

    /// Sends a message, or drops it if the entry is unknown, not connected or reads too slowly.
    pub(crate) fn send(&self, to: &InstanceId, message: PeerMessage) {
        let Some(slot) = self.outbox_slot(to) else {
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

    /// Opens links to all entries of a data centre ahead of the first message.
    pub(crate) fn connect_to(&self, data_centre: &DataCentreId) {
        for (id, _) in self.peers_in(data_centre) {
            self.outbox_slot(&id);
        }
    }

    fn is_connected(&self, id: &InstanceId) -> bool {
        let links = lock(&self.links);
        links.get(id).is_some_and(|link| lock(&link.slot).is_some())
    }

    /// Returns the outbox of the link to an entry. The link is opened on first use and reopened
    /// when the entry's address changes.
    fn outbox_slot(&self, to: &InstanceId) -> Option<OutboxSlot> {
        let address = self.peers.load().by_id.get(to)?.address;
        let mut links = lock(&self.links);
        let known = links.get(to).filter(|link| link.address == address);
        if let Some(link) = known {
            return Some(Arc::clone(&link.slot));
        }
        let slot = OutboxSlot::default();
        let hello = PeerMessage::Hello {
            instance: self.own_id.clone(),
            incarnation: self.incarnation,
            cluster: self.cluster.clone(),
        };
        tokio::spawn(maintain_link(address, hello, Arc::clone(&slot)));
        let link = Link {
            address,
            slot: Arc::clone(&slot),
        };
        links.insert(to.clone(), link);
        Some(slot)
    }
}

/// Keeps a link open until its outbox slot is replaced.
async fn maintain_link(address: SocketAddr, hello: PeerMessage, slot: OutboxSlot) {
    let mut link: link::Link<PeerMessage, PeerMessage> =
        link::Link::open(address, link::Settings::default());
    while Arc::strong_count(&slot) > 1 {
        match link.next().await {
            Event::Connected(outbox) => {
                let _ = outbox.send(hello.clone());
                *lock(&slot) = Some(outbox);
            }
            Event::Disconnected(end) => {
                log::debug!("link to entry {address}: {end}");
                *lock(&slot) = None;
            }
            Event::Message(_) => {}
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}
