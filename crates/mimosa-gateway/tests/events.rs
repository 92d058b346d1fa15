//! Events of streams that go on at another endpoint.

use googletest::prelude::*;
use mimosa_gateway::events::WholeEvents;

fn event(id: u32) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn text(bytes: impl AsRef<[u8]>) -> String {
    String::from_utf8(bytes.as_ref().to_vec()).unwrap()
}

#[gtest]
fn only_whole_events_are_passed_on() {
    let mut events = WholeEvents::default();
    let both = event(1) + &event(2);
    for cut in 0..=both.len() {
        let mut events = WholeEvents::default();
        let mut passed = text(events.add(&both.as_bytes()[..cut]));
        passed += &text(events.add(&both.as_bytes()[cut..]));
        expect_that!(passed, eq(&both), "cut at {cut}");
    }
    expect_that!(text(events.add(b"id: 1\nda")), eq(""));
    expect_that!(events.last(), none());
    expect_that!(text(events.rest()), eq("id: 1\nda"));
}

#[gtest]
fn a_stream_that_goes_on_repeats_nothing() {
    let mut events = WholeEvents::default();
    let begun = event(1) + &event(2) + "id: 3\nda";
    expect_that!(
        text(events.add(begun.as_bytes())),
        eq(&(event(1) + &event(2)))
    );
    expect_that!(events.last(), some(eq("2")));
    events.restart();
    let rest = event(2) + &event(3) + &event(4);
    expect_that!(
        text(events.add(rest.as_bytes())),
        eq(&(event(3) + &event(4)))
    );
    expect_that!(text(events.rest()), eq(""));
}

#[gtest]
fn ids_that_are_no_numbers_are_passed_on() {
    let mut events = WholeEvents::default();
    events.add(b"id: a\ndata: x\n\n");
    events.restart();
    let next = "id: b\ndata: y\n\n";
    expect_that!(text(events.add(next.as_bytes())), eq(next));
    let without = "data: z\r\n\r\n";
    expect_that!(text(events.add(without.as_bytes())), eq(without));
    expect_that!(events.last(), some(eq("b")));
}

#[gtest]
fn a_stream_that_a_caller_continues_starts_behind_what_it_has() {
    let mut events = WholeEvents::behind(Some("4".to_owned()));
    expect_that!(events.last(), some(eq("4")));
    expect_that!(text(events.add(event(5).as_bytes())), eq(&event(5)));
    expect_that!(events.last(), some(eq("5")));
}
