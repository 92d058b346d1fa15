//! Buffering of server-sent events and resumption of streams.

use googletest::prelude::*;
use mimosa_hold::events::EventBuffer;
use mimosa_hold::events::EventScanner;

fn event(id: u32) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn text(bytes: impl AsRef<[u8]>) -> String {
    String::from_utf8(bytes.as_ref().to_vec()).unwrap()
}

#[gtest]
fn partial_events_are_held_back_until_complete() {
    let mut events = EventBuffer::default();
    let both = event(1) + &event(2);
    for cut in 0..=both.len() {
        let mut events = EventBuffer::default();
        let mut passed = text(events.push(&both.as_bytes()[..cut]));
        passed += &text(events.push(&both.as_bytes()[cut..]));
        expect_that!(passed, eq(&both), "cut at {cut}");
    }
    expect_that!(text(events.push(b"id: 1\nda")), eq(""));
    expect_that!(events.last_id(), none());
    expect_that!(text(events.take_remainder()), eq("id: 1\nda"));
}

#[gtest]
fn resumed_stream_drops_events_already_forwarded() {
    let mut events = EventBuffer::default();
    let begun = event(1) + &event(2) + "id: 3\nda";
    expect_that!(
        text(events.push(begun.as_bytes())),
        eq(&(event(1) + &event(2)))
    );
    expect_that!(events.last_id(), some(eq("2")));
    let mut events = events.successor();
    let rest = event(2) + &event(3) + &event(4);
    expect_that!(
        text(events.push(rest.as_bytes())),
        eq(&(event(3) + &event(4)))
    );
    expect_that!(text(events.take_remainder()), eq(""));
}

#[gtest]
fn events_without_numeric_ids_are_always_forwarded() {
    let mut events = EventBuffer::default();
    events.push(b"id: a\ndata: x\n\n");
    let mut events = events.successor();
    let next = "id: b\ndata: y\n\n";
    expect_that!(text(events.push(next.as_bytes())), eq(next));
    let without = "data: z\r\n\r\n";
    expect_that!(text(events.push(without.as_bytes())), eq(without));
    expect_that!(events.last_id(), some(eq("b")));
}

#[gtest]
fn stream_resumed_by_the_client_starts_after_its_last_event() {
    let mut events = EventBuffer::after(Some("4".to_owned()));
    expect_that!(events.last_id(), some(eq("4")));
    expect_that!(text(events.push(event(5).as_bytes())), eq(&event(5)));
    expect_that!(events.last_id(), some(eq("5")));
}

#[gtest]
fn scanner_counts_events_and_the_bytes_of_an_unfinished_one_for_all_line_ends() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 7{line_end}data: x{line_end}{line_end}");
        let stream = event.repeat(2) + "data: y" + line_end;
        for cut in 0..stream.len() {
            let mut scanner = EventScanner::default();
            scanner.scan(&stream.as_bytes()[..cut]);
            scanner.scan(&stream.as_bytes()[cut..]);
            expect_that!(scanner.count(), eq(2), "{line_end:?} cut at {cut}");
            expect_that!(scanner.partial_bytes(), eq(7), "{line_end:?} cut at {cut}");
        }
    }
}

#[gtest]
fn scanner_takes_empty_lines_between_events_for_no_part_of_an_event() {
    let mut scanner = EventScanner::default();
    scanner.scan(b"\n\ndata: x\n\n\r\n\n");
    expect_that!(scanner.count(), eq(1));
    expect_that!(scanner.partial_bytes(), eq(0));
}

#[gtest]
fn buffered_events_keep_every_byte_for_all_line_ends() {
    for line_end in ["\n", "\r\n", "\r"] {
        let stream = format!("id: 1{line_end}data: x{line_end}{line_end}").repeat(3);
        for cut in 0..stream.len() {
            let mut events = EventBuffer::default();
            let mut passed = text(events.push(&stream.as_bytes()[..cut]));
            passed += &text(events.push(&stream.as_bytes()[cut..]));
            passed += &text(events.take_remainder());
            expect_that!(passed, eq(&stream), "{line_end:?} cut at {cut}");
        }
    }
}
