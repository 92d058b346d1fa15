//! Starts, crashes, lost disks, partitions and paused processes.

use std::time::Duration;

use mimosa_consensus::LogIndex;
use mimosa_consensus::Replica;
use mimosa_consensus::Settings;
use mimosa_protocol::ByteSize;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_storage::FileStore;
use mimosa_storage::fault::FaultyDisk;
use mimosa_storage::replica as replica_store;

use super::Cluster;
use super::Job;
use super::Node;
use super::SYNC_TIME;
use super::instance;
use super::process::Process;

impl Cluster {
    /// Adds an instance with an empty disk.
    pub fn add(&mut self, number: usize, seed: u64) {
        let node = Node {
            disk: FaultyDisk::new(seed * 31 + number as u64),
            incarnation: 1,
            process: None,
            generation: 0,
            paused_until: Timestamp::ZERO,
            disk_busy_until: Timestamp::ZERO,
            sync_time: SYNC_TIME,
            ignores_sync_failures: false,
            clock_speed_percent: 100,
        };
        self.nodes.insert(instance(number), node);
    }

    pub(super) fn bootstrap(&self, number: usize) {
        let id = instance(number);
        let mut store = self.open(&id).expect("a new disk opens");
        replica_store::bootstrap(&mut store, self.initial_members.clone())
            .expect("a new disk takes writes");
    }

    fn open(&self, id: &InstanceId) -> mimosa_protocol::Result<FileStore> {
        let node = &self.nodes[id];
        node.disk.open(mimosa_storage::Settings {
            instance: id.clone(),
            new_incarnation: Incarnation(node.incarnation),
            segment_size: ByteSize(4_096),
            ..mimosa_storage::Settings::default()
        })
    }

    pub fn start(&mut self, id: &InstanceId) {
        if self.nodes[id].process.is_some() {
            return;
        }
        let store = self.open(id).expect("the disk is not damaged");
        let durable = replica_store::load(&store).expect("the records are whole");
        let replica_id = replica_store::replica_id(&store);
        let mut settings = Settings {
            seed: self.random.next_u64(),
            ..self.settings.clone()
        };
        if let Some(contacts) = &mut self.contacts {
            settings.peers = contacts.start(id);
        }
        let (replica, actions) = Replica::start(self.clock(id), replica_id, durable, settings);
        let node = self.nodes.get_mut(id).expect("the instance exists");
        node.generation += 1;
        node.process = Some(Process {
            replica,
            store,
            applied: LogIndex::ZERO,
            digest: 0,
        });
        let generation = node.generation;
        self.carry_out(id, actions);
        if self.contacts.is_some() {
            self.schedule(self.now, id.clone(), Job::Discover(generation));
        }
    }

    /// Crashes the instance: unsynced data is lost. Up to two pending writes are made just before, but
    /// not synced.
    pub fn crash(&mut self, id: &InstanceId) {
        let written = self.random.below(3);
        let node = self.nodes.get_mut(id).expect("the instance exists");
        node.disk_busy_until = Timestamp::ZERO;
        if let Some(mut process) = node.process.take() {
            let writes = self.queue.values().filter_map(|(at, job)| match job {
                Job::Write(generation, persist) if at == id && *generation == node.generation => {
                    Some(persist)
                }
                _ => None,
            });
            for persist in writes.take(written) {
                replica_store::write(&mut process.store, persist).expect("the disk works");
            }
            node.disk.crash();
        }
    }

    /// Crashes the instance and empties its disk. It restarts as another replica, unless
    /// `reuses_incarnation` is set.
    pub fn lose_disk(&mut self, id: &InstanceId) {
        self.crash(id);
        let reuses_incarnation = self.reuses_incarnation;
        let node = self.nodes.get_mut(id).expect("the instance exists");
        node.disk.wipe();
        node.incarnation += u64::from(!reuses_incarnation);
        if reuses_incarnation {
            let mut store = self.open(id).expect("a new disk opens");
            replica_store::bootstrap(&mut store, self.initial_members.clone())
                .expect("a new disk takes writes");
        }
    }

    /// Blocks all links between a group of instances and the others.
    pub fn isolate(&mut self, group: &[InstanceId]) {
        let others: Vec<InstanceId> = self.nodes.keys().cloned().collect();
        for member in group {
            for other in others.iter().filter(|other| !group.contains(other)) {
                self.blocked_links.insert((member.clone(), other.clone()));
                self.blocked_links.insert((other.clone(), member.clone()));
            }
        }
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Pauses a process for a while; messages and timers wait for it.
    pub fn pause(&mut self, id: &InstanceId, time: Duration) {
        let until = self.now + time;
        self.nodes
            .get_mut(id)
            .expect("the instance exists")
            .paused_until = until;
    }

    /// Drops all messages in transit.
    pub fn drop_messages(&mut self) {
        self.queue
            .retain(|_, (_, job)| !matches!(job, Job::Deliver(_)));
    }
}
