//! Late, misdirected and repeated response chunks.

use std::collections::BTreeMap;

use googletest::prelude::*;
use mimosa_hold::attempt::AttemptTable;
use mimosa_hold::attempt::BeginError;
use mimosa_hold::attempt::Chunk;
use mimosa_hold::attempt::Delivery;
use mimosa_hold::attempt::Offset;
use mimosa_hold::attempt::STREAM_LINGER;
use mimosa_hold::attempt::Stream;
use mimosa_hold::attempt::StreamNumber;
use mimosa_protocol::Incarnation;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const A: RequestId = RequestId(1);
const B: RequestId = RequestId(2);
const NOW: Timestamp = Timestamp::from_secs(1);

fn stream(endpoint: u64, incarnation: u64, number: u64) -> Stream {
    Stream {
        endpoint: format!("decode-{endpoint}").parse().expect("a name"),
        incarnation: Incarnation(incarnation),
        number: StreamNumber(number),
    }
}

fn chunk(stream: Stream, offset: u64, length: u64) -> Chunk {
    Chunk {
        stream,
        echo: None,
        offset: Offset(offset),
        length: Offset(length),
        last: false,
    }
}

fn delivered(request: RequestId, skip: u64) -> Delivery {
    Delivery::Deliver {
        request,
        skip: Offset(skip),
        complete: false,
    }
}

fn table_with_requests() -> AttemptTable {
    let mut attempts = AttemptTable::new();
    attempts.add(A);
    attempts.add(B);
    attempts
}

#[googletest::test]
fn a_late_chunk_is_not_delivered_when_its_stream_number_is_reused() {
    let mut attempts = table_with_requests();
    expect_that!(attempts.begin(NOW, A, stream(1, 1, 7)), ok(anything()));
    expect_that!(attempts.begin(NOW, A, stream(2, 1, 7)), ok(anything()));
    let late = chunk(stream(1, 1, 7), 0, 5);
    expect_that!(attempts.receive(&late), eq(Delivery::Late { request: A }));

    let again = attempts.begin(NOW, B, stream(1, 1, 7));
    expect_that!(again, eq(Err(BeginError::StreamInUse)));
    expect_that!(attempts.begin(NOW, B, stream(1, 2, 7)), ok(anything()));
    expect_that!(attempts.receive(&late), eq(Delivery::Late { request: A }));
    let new_incarnation = chunk(stream(1, 2, 7), 0, 5);
    expect_that!(attempts.receive(&new_incarnation), eq(delivered(B, 0)));

    let later = NOW + STREAM_LINGER;
    attempts.remove(NOW, B);
    expect_that!(attempts.begin(later, A, stream(1, 1, 7)), ok(anything()));
}

#[googletest::test]
fn a_response_is_never_assembled_from_two_runs() {
    let mut attempts = table_with_requests();
    expect_that!(attempts.begin(NOW, A, stream(1, 1, 1)), ok(anything()));
    let first = chunk(stream(1, 1, 1), 0, 5);
    expect_that!(attempts.receive(&first), eq(delivered(A, 0)));
    let other = [stream(2, 1, 1), stream(1, 1, 2)];
    for stream in other {
        let begun = attempts.begin(NOW, A, stream);
        expect_that!(begun, eq(Err(BeginError::Committed)));
    }
    for stream in [stream(2, 1, 1), stream(1, 2, 1)] {
        let resumed = attempts.resume(NOW, A, stream);
        expect_that!(resumed, eq(Err(BeginError::Committed)));
    }
    expect_that!(attempts.resume(NOW, A, stream(1, 1, 2)), ok(anything()));
    let repeats = chunk(stream(1, 1, 2), 3, 4);
    expect_that!(attempts.receive(&repeats), eq(delivered(A, 2)));
    let gap = chunk(stream(1, 1, 2), 9, 1);
    expect_that!(attempts.receive(&gap), eq(Delivery::Gap { request: A }));
    let misdirected = Chunk {
        echo: Some((B, mimosa_hold::attempt::AttemptNumber(1))),
        ..chunk(stream(1, 1, 2), 7, 1)
    };
    expect_that!(attempts.receive(&misdirected), eq(Delivery::Stray));
    let lost = attempts.endpoint_restarted(&"decode-1".parse().expect("a name"), Incarnation(2));
    expect_that!(lost, elements_are![eq(&A)]);
}

/// Begins and abandons attempts at random on few streams. Every caller must have received a prefix
/// of the response of exactly one run.
#[googletest::test]
fn each_caller_receives_a_prefix_of_one_run_of_its_own_request() {
    let step = (0..6_u8, 0..3_u128, 0..2_u64, 0..3_u64, 0..3_u64);
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(300), rng);
    let verdict = runner.run(&vec(step, 1..200), |steps| {
        let mut attempts = AttemptTable::new();
        let mut incarnations = [1_u64; 2];
        let mut runs: BTreeMap<Stream, Vec<(RequestId, u64, u64)>> = BTreeMap::new();
        let mut received: BTreeMap<RequestId, Vec<u64>> = BTreeMap::new();
        let mut last_run = 0;
        for (i, (kind, request, endpoint, number, pick)) in steps.into_iter().enumerate() {
            let now = Timestamp::from_secs(i as u64 * 7);
            let request = RequestId(request);
            let to = stream(endpoint, incarnations[endpoint as usize], number);
            attempts.add(request);
            match kind {
                0 | 1 if attempts.begin(now, request, to.clone()).is_ok() => {
                    last_run += 1;
                    runs.entry(to).or_default().push((request, last_run, 0));
                }
                2 => incarnations[endpoint as usize] += pick / 2,
                3 => attempts.abandon(now, request),
                _ => {
                    // Any run, also an old one, may send its next chunk on its stream.
                    let old = stream(
                        endpoint,
                        incarnations[endpoint as usize].max(1 + pick) - pick,
                        number,
                    );
                    let from = runs.get_mut(&old).and_then(|runs| runs.last_mut());
                    let Some((owner, run, sent)) = from else {
                        continue;
                    };
                    let next_chunk = chunk(old, *sent, 1);
                    *sent += 1;
                    if let Delivery::Deliver { request, skip, .. } = attempts.receive(&next_chunk) {
                        prop_assert_eq!(request, *owner);
                        if skip == Offset::ZERO {
                            received.entry(request).or_default().push(*run);
                        }
                    }
                }
            }
        }
        for runs in received.values() {
            prop_assert!(
                runs.windows(2).all(|pair| pair[0] == pair[1]),
                "assembled from several runs: {runs:?}"
            );
        }
        Ok(())
    });
    expect_that!(verdict, ok(anything()));
}
