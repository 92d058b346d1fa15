//! The store on a disk with injected faults. Each run is determined by its seed.

use googletest::prelude::*;

use mimosa_protocol::ByteSize;
use mimosa_protocol::Error;
use mimosa_storage::FileStore;
use mimosa_storage::LogStore;
use mimosa_storage::Record;
use mimosa_storage::RecordIndex;
use mimosa_storage::Settings;
use mimosa_storage::Snapshot;
use mimosa_storage::Tail;
use mimosa_storage::fault::FaultyDisk;
use mimosa_storage::fault::Random;

const EVERYTHING: ByteSize = ByteSize(u64::MAX);
const LOG: &str = "log-0000000000-00000000000000000001";

fn settings() -> Settings {
    Settings {
        segment_size: ByteSize(300),
        ..Settings::default()
    }
}

fn record(index: u64, mark: u64) -> Record {
    let zeros = usize::try_from(index % 5).unwrap();
    Record {
        index: RecordIndex(index),
        bytes: [format!("{index} {mark}").into_bytes(), vec![0; zeros]].concat(),
    }
}

/// The expected content of the store: the records written so far, of which the first `synced` ones
/// must survive a crash and the others may.
#[derive(Default)]
struct Model {
    written: Vec<Record>,
    synced: usize,
    state: Vec<u8>,
    snapshot: u64,
}

impl Model {
    /// Executes one random operation and updates the model; returns the error of the store.
    fn step(&mut self, store: &mut FileStore, random: &mut Random) -> mimosa_protocol::Result<()> {
        let next = store.last_index().0 + 1;
        match random.below(8) {
            0..=3 => {
                let count = 1 + random.below(4) as u64;
                let mark = random.next_u64() % 1_000;
                let batch: Vec<Record> = (next..next + count).map(|i| record(i, mark)).collect();
                self.written.extend(batch.iter().cloned());
                store.append(&batch)
            }
            4 | 5 => {
                store.sync()?;
                self.synced = self.written.len();
                Ok(())
            }
            6 => {
                let state = random.next_u64().to_le_bytes().to_vec();
                store.save_state(&state)?;
                self.state = state;
                Ok(())
            }
            _ => self.snapshot(store, next, random),
        }
    }

    fn snapshot(
        &mut self,
        store: &mut FileStore,
        next: u64,
        random: &mut Random,
    ) -> mimosa_protocol::Result<()> {
        let from =
            self.snapshot + random.below(usize::try_from(next - self.snapshot).unwrap()) as u64;
        let snapshot = Snapshot {
            index: RecordIndex(from),
            bytes: from.to_le_bytes().to_vec(),
        };
        store.save_snapshot(&snapshot, Tail::Keep)?;
        self.synced = self.written.len();
        self.snapshot = from;
        store.drop_prefix(RecordIndex(from + 1))
    }

    /// Compares a store that was opened after a crash with the model, then continues from its
    /// records.
    fn check(&mut self, store: &FileStore) -> std::result::Result<(), String> {
        let found = store
            .read(RecordIndex(self.snapshot + 1), EVERYTHING)
            .map_err(|e| e.to_string())?;
        let last = usize::try_from(store.last_index().0).unwrap();
        if last < self.synced || last > self.written.len() {
            return Err(format!("found {last} records, {} were synced", self.synced));
        }
        if found != self.written[usize::try_from(self.snapshot).unwrap()..last] {
            return Err("the records differ from those written".to_owned());
        }
        if store.state() != self.state {
            return Err("the state record differs from the one saved".to_owned());
        }
        self.written.truncate(last);
        self.synced = last;
        Ok(())
    }
}

/// Runs random operations with crashes and kills between them. With `ignore_syncs`, syncs have no
/// effect.
fn run(seed: u64, ignore_syncs: bool) -> std::result::Result<(), String> {
    let disk = FaultyDisk::new(seed);
    let mut random = Random(seed);
    let mut model = Model::default();
    drop(disk.open(settings()).map_err(|e| e.to_string())?);
    disk.ignore_syncs(ignore_syncs);
    for _ in 0..12 {
        let mut store = disk.open(settings()).map_err(|e| e.to_string())?;
        model.check(&store)?;
        for _ in 0..random.below(30) {
            model
                .step(&mut store, &mut random)
                .map_err(|e| e.to_string())?;
        }
        if random.below(3) == 0 {
            disk.kill();
            drop(disk.open(settings()).map_err(|e| e.to_string())?);
            model.synced = model.written.len();
        }
        disk.crash();
    }
    Ok(())
}

#[googletest::test]
fn after_a_crash_synced_records_are_intact_and_no_other_records_appear() {
    for seed in 0..300 {
        expect_that!(run(seed, false), ok(eq(&())), "seed {seed}");
    }
}

#[googletest::test]
fn the_crash_check_detects_syncs_without_effect() {
    let failed = (0..20).filter(|seed| run(*seed, true).is_err()).count();
    expect_that!(failed, ge(19));
}

/// A disk with five synced records, a state record and a snapshot.
fn synced_disk(seed: u64) -> FaultyDisk {
    let disk = FaultyDisk::new(seed);
    let mut store = disk.open(Settings::default()).unwrap();
    let records: Vec<Record> = (1..=5).map(|index| record(index, 7)).collect();
    store.append(&records).unwrap();
    store.sync().unwrap();
    store.save_state(b"term 9").unwrap();
    let snapshot = Snapshot {
        index: RecordIndex(2),
        bytes: b"state".to_vec(),
    };
    store.save_snapshot(&snapshot, Tail::Keep).unwrap();
    drop(store);
    disk
}

#[googletest::test]
fn opening_fails_for_every_flipped_bit() {
    for (name, size) in synced_disk(1).files() {
        for bit in 0..usize::try_from(size.0).unwrap() * 8 {
            let disk = synced_disk(1);
            disk.flip_bit(&name, bit);
            let opened = disk.open(Settings::default());
            expect_true!(
                matches!(opened, Err(Error::Damaged { .. })),
                "bit {bit} of {name}"
            );
        }
    }
}

#[googletest::test]
fn a_torn_tail_of_any_length_is_truncated() {
    let (_, size) = synced_disk(1)
        .files()
        .into_iter()
        .find(|(name, _)| name == LOG)
        .unwrap();
    let size = usize::try_from(size.0).unwrap();
    let last = 20 + record(5, 7).bytes.len() + 1;
    for zeros in [0, 40] {
        for cut in size - last..size {
            let disk = synced_disk(1);
            disk.edit(LOG, |bytes| {
                bytes.truncate(cut);
                bytes.resize(cut + zeros, 0);
            });
            let store = disk.open(Settings::default()).unwrap();
            expect_that!(
                store.last_index(),
                eq(RecordIndex(4)),
                "cut {cut} zeros {zeros}"
            );
        }
    }
}

#[googletest::test]
fn an_unsupported_format_version_is_reported() {
    for name in [LOG, "state", "snapshot", "identity"] {
        let disk = synced_disk(1);
        disk.edit(name, |bytes| bytes[4] = 9);
        let e = disk.open(Settings::default()).err();
        expect_that!(
            e,
            some(displays_as(contains_substring("format version 9 is not 1"))),
            "{name}"
        );
    }
}

/// Runs until an error, then checks that the store refuses further writes even when the disk works
/// again, and that all synced records are found when the store is opened again.
fn check_poisoned(disk: &FaultyDisk, seed: u64) {
    let mut random = Random(seed);
    let mut model = Model::default();
    let mut store = disk.open(settings()).unwrap();
    let failure = (0..400).find_map(|_| model.step(&mut store, &mut random).err());
    expect_that!(failure, some(anything()), "seed {seed}");
    disk.limit(None);
    let next = store.last_index().next();
    let more = Record {
        index: next,
        bytes: Vec::new(),
    };
    let refusal = displays_as(contains_substring("an earlier write failed"));
    expect_that!(store.append(&[more]), err(&refusal), "seed {seed}");
    expect_that!(store.sync(), err(&refusal), "seed {seed}");
    expect_that!(store.save_state(b"x"), err(&refusal), "seed {seed}");
    expect_that!(store.poisoned(), some(anything()));
    disk.crash();
    let found = disk.open(settings()).unwrap();
    expect_that!(
        found.last_index(),
        ge(RecordIndex(model.synced as u64)),
        "seed {seed}"
    );
}

#[googletest::test]
fn after_a_failed_sync_all_writes_are_refused() {
    for seed in 0..60 {
        let disk = FaultyDisk::new(seed);
        drop(disk.open(settings()).unwrap());
        disk.fail_sync_after(2 + seed % 30);
        check_poisoned(&disk, seed);
    }
}

#[googletest::test]
fn after_a_full_disk_all_writes_are_refused() {
    for seed in 0..60 {
        let disk = FaultyDisk::new(seed);
        drop(disk.open(settings()).unwrap());
        disk.limit(Some(ByteSize(200 + seed * 17)));
        check_poisoned(&disk, seed);
    }
}

#[googletest::test]
fn a_store_on_a_wiped_disk_opens_as_new() {
    let disk = synced_disk(1);
    disk.wipe();
    expect_true!(disk.open(Settings::default()).unwrap().is_new());
}

#[googletest::test]
fn a_crash_while_saving_a_discarding_snapshot_leaves_the_old_log_or_an_empty_one() {
    for seed in 0..80 {
        let disk = FaultyDisk::new(seed);
        let mut store = disk.open(settings()).unwrap();
        let records: Vec<Record> = (1..=40).map(|index| record(index, 7)).collect();
        records
            .iter()
            .for_each(|record| store.append(std::slice::from_ref(record)).unwrap());
        store.sync().unwrap();
        disk.fail_sync_after(seed % 4);
        let snapshot = Snapshot {
            index: RecordIndex(20),
            bytes: b"state".to_vec(),
        };
        let saved = store.save_snapshot(&snapshot, Tail::Discard);
        disk.crash();
        let store = disk.open(settings()).unwrap();
        let found = store.snapshot().unwrap();
        expect_true!(saved.is_err() || found.is_some(), "seed {seed}");
        let last = if found.is_some() { 20 } else { 40 };
        expect_that!(store.last_index(), eq(RecordIndex(last)), "seed {seed}");
    }
}

/// After a failed sync the kernel may have dropped the dirty pages of the file, and later syncs of
/// the file succeed without writing them. Records written again to that file would be lost in a
/// crash, so a reopened store has to write them to a new segment.
#[googletest::test]
fn a_store_reopened_after_a_failed_sync_loses_no_records_in_a_new_segment() {
    for seed in 0..40 {
        let disk = FaultyDisk::new(seed);
        let mut store = disk.open(settings()).unwrap();
        let first: Vec<Record> = (1..=5).map(small_record).collect();
        store.append(&first).unwrap();
        store.sync().unwrap();
        store.append(&[small_record(6)]).unwrap();
        disk.fail_sync_after(0);
        expect_true!(store.sync().is_err());
        drop(store);
        let mut store = disk.open(settings()).unwrap();
        store.truncate_suffix(RecordIndex(6)).unwrap();
        store.start_segment().unwrap();
        let second: Vec<Record> = (6..=9).map(small_record).collect();
        store.append(&second).unwrap();
        store.sync().unwrap();
        disk.crash();
        let store = disk.open(settings()).unwrap();
        expect_that!(store.last_index(), eq(RecordIndex(9)), "seed {seed}");
        let found = store.read(RecordIndex(1), ByteSize(u64::MAX)).unwrap();
        expect_that!(found, eq(&[first, second].concat()), "seed {seed}");
    }
}

fn small_record(index: u64) -> Record {
    Record {
        index: RecordIndex(index),
        bytes: format!("record {index}").into_bytes(),
    }
}
