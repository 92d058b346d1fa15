//! Snapshot tests of whole sessions.

use mimosa_protocol::Incarnation;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::configuration::ServiceKind;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Settings;
use mimosa_schedule::Submission;
use mimosa_schedule::event::LoadReport;
use mimosa_schedule::settings::QueueSettings;

use crate::fixture::Session;
use crate::fixture::endpoint;
use crate::fixture::endpoint_id;
use crate::fixture::load;
use crate::fixture::model;
use crate::fixture::submission;
use crate::fixture::warm_settings;

fn assert_record(name: &str, session: &Session) {
    insta::with_settings!({
        snapshot_path => "../snapshots",
        prepend_module_to_snapshot => false,
        omit_expression => true,
    }, {
        insta::assert_snapshot!(name, session.record);
    });
}

#[googletest::test]
fn memory_is_reserved_before_prefill_and_freed_at_the_end() {
    let mut session = Session::new(warm_settings(), model(1, 1));
    for request in 1..=5 {
        session.submit(request, "a");
        session.wait(5);
    }
    for request in 1..=3 {
        session.wait(200);
        session.run_to_first_token(request);
    }
    session.progress(1, 300);
    session.end(1, AttemptEnd::Complete);
    session.send(Event::Cancel {
        request: RequestId(2),
    });
    session.end(2, AttemptEnd::Cancelled);
    session.wait(3_000);
    assert_record("memory", &session);
}

#[googletest::test]
fn an_output_above_its_maximum_grows_its_reservation_within_the_memory() {
    let mut session = Session::new(warm_settings(), model(1, 1));
    for request in 1..=4 {
        let submission = Submission {
            prompt: Tokens(7_000),
            max_output: Tokens(1_000),
            ..submission(request, "a", session.now)
        };
        session.send(Event::Submit(submission));
        session.wait(400);
        if request < 4 {
            session.run_to_first_token(request);
        }
    }
    session.progress(1, 900);
    session.progress(1, 1_080);
    session.end(4, AttemptEnd::Cancelled);
    session.progress(1, 1_100);
    session.progress(2, 1_100);
    session.progress(3, 1_100);
    session.progress(3, 1_192);
    session.end(3, AttemptEnd::Cancelled);
    session.progress(2, 1_150);
    assert_record("growth", &session);
}

#[googletest::test]
fn late_requests_are_shed_with_the_reason_and_a_retry_hint() {
    let settings = Settings {
        queue: QueueSettings {
            max_queued: 3,
            ..QueueSettings::default()
        },
        ..warm_settings()
    };
    let mut session = Session::new(settings, model(1, 1));
    let too_large = Submission {
        prompt: Tokens(40_000),
        ..submission(1, "a", session.now)
    };
    session.send(Event::Submit(too_large));
    for request in 2..=5 {
        session.submit(request, "a");
        session.wait(210);
    }
    for request in 6..=8 {
        session.submit(request, "a");
    }
    session.submit(9, "b");
    session.submit(10, "b");
    session.wait(3_000);
    (2..=5).for_each(|request| {
        session.end(request, AttemptEnd::Failed);
    });
    assert_record("shedding", &session);
}

#[googletest::test]
fn an_endpoint_that_was_down_is_ramped_up_again() {
    let settings = Settings {
        queue: QueueSettings {
            shed_late: false,
            shed_early: false,
            ..QueueSettings::default()
        },
        ..Settings::default()
    };
    let mut session = Session::new(settings, model(1, 1));
    session.send(Event::EndpointUp {
        endpoint: endpoint_id("decode-0"),
        incarnation: Incarnation(1),
    });
    for request in 1..=8 {
        session.submit(request, "a");
    }
    session.wait(250);
    session.run_to_first_token(1);
    session.wait(250);
    session.run_to_first_token(2);
    session.wait(600);
    session.send(Event::EndpointDown {
        endpoint: endpoint_id("decode-0"),
    });
    for request in 1..=4 {
        session.end(request, AttemptEnd::Failed);
    }
    session.wait(1_000);
    session.send(Event::EndpointUp {
        endpoint: endpoint_id("decode-0"),
        incarnation: Incarnation(2),
    });
    session.wait(300);
    session.run_to_first_token(5);
    session.wait(300);
    session.run_to_first_token(6);
    session.wait(1_000);
    assert_record("cold_start", &session);
}

#[googletest::test]
fn draining_endpoints_and_data_centres_finish_attempts_and_get_no_new_ones() {
    let mut view = model(1, 2);
    let mut session = Session::new(warm_settings(), view.clone());
    session.submit(1, "a");
    session.wait(250);
    session.run_to_first_token(1);
    view.endpoints[2].state = EndpointState::Draining;
    session.send(Event::Configure(Box::new(view.clone())));
    for request in 2..=3 {
        session.submit(request, "a");
        session.wait(250);
    }
    view.data_centre.state = DataCentreState::Out;
    session.submit(4, "a");
    session.send(Event::Configure(Box::new(view.clone())));
    session.submit(5, "a");
    session.end(1, AttemptEnd::Complete);
    view.data_centre.state = DataCentreState::In;
    session.send(Event::Configure(Box::new(view)));
    session.submit(6, "a");
    assert_record("leaving", &session);
}

#[googletest::test]
fn a_plain_service_is_bounded_by_its_concurrency() {
    let mut view = model(0, 0);
    view.service.kind = ServiceKind::Plain;
    view.endpoints = (0..2).map(|i| endpoint(EndpointRole::Plain, i)).collect();
    view.endpoints
        .iter_mut()
        .for_each(|each| each.capacity.concurrency = 2);
    let mut session = Session::new(warm_settings(), view);
    for request in 1..=5 {
        session.submit(request, "a");
    }
    session.end(2, AttemptEnd::Complete);
    assert_record("plain", &session);
}

#[googletest::test]
fn late_load_reports_are_compared_with_earlier_reservations() {
    let mut session = Session::new(warm_settings(), model(1, 1));
    session.now = Timestamp::from_secs(1);
    session.submit(1, "a");
    session.wait(300);
    let measured = session.now;
    session.wait(100);
    session.submit(2, "a");
    session.wait(300);
    // Measured before request 2: 3 blocks are in foreign use, 2 are used by request 1.
    let report = LoadReport {
        used_blocks: KvBlocks(5),
        running: 1,
        ..load("decode-0", measured)
    };
    session.send(Event::Load(report));
    session.submit(3, "a");
    session.wait(300);
    session.send(Event::Load(load("decode-0", session.now)));
    assert_record("load_reports", &session);
}
