//! The store on a real directory: synced data is found again, and a directory belongs to one
//! process and one replica.

use std::fs;

use googletest::prelude::*;

use mimosa_protocol::ByteSize;
use mimosa_protocol::Incarnation;
use mimosa_storage::FileStore;
use mimosa_storage::LogStore;
use mimosa_storage::Record;
use mimosa_storage::RecordIndex;
use mimosa_storage::Settings;
use mimosa_storage::Snapshot;
use mimosa_storage::Tail;

const EVERYTHING: ByteSize = ByteSize(u64::MAX);

fn record(index: u64) -> Record {
    Record {
        index: RecordIndex(index),
        bytes: format!("record {index}").into_bytes(),
    }
}

fn records(range: std::ops::RangeInclusive<u64>) -> Vec<Record> {
    range.map(record).collect()
}

fn small_segments() -> Settings {
    Settings {
        segment_size: ByteSize(200),
        ..Settings::default()
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        index: RecordIndex(index),
        bytes: format!("state at {index}").into_bytes(),
    }
}

#[googletest::test]
fn synced_data_is_found_after_reopening() {
    let directory = tempfile::tempdir().unwrap();
    let mut store = FileStore::open(directory.path(), small_segments()).unwrap();
    expect_true!(store.is_new());
    store.append(&records(1..=30)).unwrap();
    store.append(&records(31..=40)).unwrap();
    store.sync().unwrap();
    store.save_state(b"term 3").unwrap();
    store.save_snapshot(&snapshot(25), Tail::Keep).unwrap();
    store.drop_prefix(RecordIndex(26)).unwrap();
    store.truncate_suffix(RecordIndex(38)).unwrap();
    store.append(&records(38..=39)).unwrap();
    store.sync().unwrap();
    drop(store);

    let store = FileStore::open(directory.path(), small_segments()).unwrap();
    expect_false!(store.is_new());
    expect_that!(store.state(), eq(b"term 3"));
    expect_that!(store.snapshot().unwrap(), some(eq(&snapshot(25))));
    expect_that!(store.first_index(), le(RecordIndex(26)));
    expect_that!(store.last_index(), eq(RecordIndex(39)));
    let found = store.read(RecordIndex(26), EVERYTHING).unwrap();
    expect_that!(found, eq(&records(26..=39)));
    let one = store.read(RecordIndex(30), ByteSize(1)).unwrap();
    expect_that!(one, eq(&records(30..=30)));
}

#[googletest::test]
fn a_discarding_snapshot_is_followed_by_an_empty_log() {
    let directory = tempfile::tempdir().unwrap();
    let mut store = FileStore::open(directory.path(), small_segments()).unwrap();
    store.append(&records(1..=20)).unwrap();
    store.sync().unwrap();
    store.save_snapshot(&snapshot(10), Tail::Discard).unwrap();
    expect_that!(store.last_index(), eq(RecordIndex(10)));
    store.save_snapshot(&snapshot(50), Tail::Keep).unwrap();
    store.append(&records(51..=52)).unwrap();
    store.sync().unwrap();
    drop(store);
    let store = FileStore::open(directory.path(), small_segments()).unwrap();
    let found = store.read(RecordIndex(1), EVERYTHING).unwrap();
    expect_that!(found, eq(&records(51..=52)));
}

#[googletest::test]
fn invalid_arguments_are_refused_without_poisoning_the_store() {
    let directory = tempfile::tempdir().unwrap();
    let mut store = FileStore::open(directory.path(), small_segments()).unwrap();
    expect_that!(store.append(&records(2..=3)), err(anything()));
    store.append(&records(1..=5)).unwrap();
    store.save_snapshot(&snapshot(4), Tail::Keep).unwrap();
    expect_that!(store.truncate_suffix(RecordIndex(4)), err(anything()));
    expect_that!(
        store.save_snapshot(&snapshot(3), Tail::Keep),
        err(anything())
    );
    expect_that!(store.poisoned(), none());
    store.append(&records(6..=6)).unwrap();
}

#[googletest::test]
fn opening_a_directory_fails_while_another_store_has_it_open() {
    let directory = tempfile::tempdir().unwrap();
    let store = FileStore::open(directory.path(), Settings::default()).unwrap();
    let second = FileStore::open(directory.path(), Settings::default());
    expect_that!(
        second.err(),
        some(displays_as(contains_substring(
            "another process holds its lock"
        )))
    );
    drop(store);
    expect_true!(FileStore::open(directory.path(), Settings::default()).is_ok());
}

#[googletest::test]
fn a_directory_keeps_its_identity_until_it_is_emptied() {
    let directory = tempfile::tempdir().unwrap();
    let settings = |incarnation| Settings {
        new_incarnation: Incarnation(incarnation),
        ..Settings::default()
    };
    let open = |settings| FileStore::open(directory.path(), settings);
    drop(open(settings(7)).unwrap());
    let again = open(settings(8)).unwrap();
    expect_that!(again.identity().incarnation, eq(Incarnation(7)));
    drop(again);

    let other = Settings {
        instance: "control-2".parse().unwrap(),
        ..settings(8)
    };
    expect_that!(
        open(other).err(),
        some(displays_as(contains_substring("belongs to control-1")))
    );

    fs::read_dir(directory.path())
        .unwrap()
        .for_each(|entry| fs::remove_file(entry.unwrap().path()).unwrap());
    let emptied = open(settings(8)).unwrap();
    expect_true!(emptied.is_new());
    expect_that!(emptied.identity().incarnation, eq(Incarnation(8)));
}

#[googletest::test]
fn a_missing_file_is_refused_with_repair_instructions() {
    for name in ["identity", "state", "log-0000000000-00000000000000000001"] {
        let directory = tempfile::tempdir().unwrap();
        let mut store = FileStore::open(directory.path(), small_segments()).unwrap();
        (1..=30).for_each(|index| store.append(&[record(index)]).unwrap());
        store.save_snapshot(&snapshot(4), Tail::Keep).unwrap();
        drop(store);
        fs::remove_file(directory.path().join(name)).unwrap();
        let e = FileStore::open(directory.path(), small_segments()).err();
        let help = e.as_ref().and_then(miette::Diagnostic::help);
        expect_that!(
            help.map(|help| help.to_string()),
            some(contains_substring("start again with an empty folder")),
            "{name}: {e:?}"
        );
    }
}

#[googletest::test]
fn disk_usage_stays_bounded_over_100_000_records() {
    let directory = tempfile::tempdir().unwrap();
    let settings = Settings {
        segment_size: ByteSize(16 * 1024),
        ..Settings::default()
    };
    let mut store = FileStore::open(directory.path(), settings).unwrap();
    let mut largest = ByteSize::ZERO;
    for batch in 0..100 {
        let last = (batch + 1) * 1_000;
        store.append(&records(batch * 1_000 + 1..=last)).unwrap();
        store.sync().unwrap();
        store.save_snapshot(&snapshot(last), Tail::Keep).unwrap();
        store.drop_prefix(RecordIndex(last + 1)).unwrap();
        largest = largest.max(store.disk_size().unwrap());
    }
    expect_that!(largest, lt(ByteSize(128 * 1024)));
}
