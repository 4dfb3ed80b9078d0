//! Guards against a request that runs twice, and against one that is reported as not run although it may have run.

use std::{collections::HashMap, time::Duration};

use base::{ContentDigest, RefusalReason};
use bytes::Bytes;
use once::{
    BeginVerdict, KeyOwner, KeyState, RecordError, RecordOptions, RecordedResult, RequestKey,
    RequestTable, RetainedResponse,
};
use proptest::prelude::*;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const VALIDITY: Duration = Duration::from_secs(600);

fn owner() -> KeyOwner {
    KeyOwner::new("u-1", 42)
}

fn key_at(issued_s: u64, seed: u64) -> RequestKey {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    RequestKey::new("booking", owner(), Duration::from_secs(issued_s), &mut random)
}

fn response(size: usize) -> RetainedResponse {
    let body = Bytes::from(vec![b'a'; size]);
    RetainedResponse { status: 201, content_type: "t".into(), body }
}

fn content() -> ContentDigest {
    ContentDigest::of(b"POST /book")
}

fn new_table(max_records: usize, max_bytes: usize) -> RequestTable {
    let options = RecordOptions {
        max_records,
        max_bytes,
        max_response_bytes: 64,
        ..RecordOptions::default()
    };
    RequestTable::new(owner(), options)
}

fn run_request(table: &mut RequestTable, key: &RequestKey, size: usize) {
    assert_eq!(table.begin(key, content(), 0, key.issued()), BeginVerdict::Run);
    table.mark_sent(key).expect("the key is queued");
    table.settle_answered(key, response(size)).expect("the key was sent");
}

/// Guards against a retry after a lost response that runs the request a second time.
#[test]
fn retry_gets_the_recorded_response() {
    let mut table = new_table(8, 1 << 10);
    let key = key_at(1, 1);
    run_request(&mut table, &key, 10);
    let verdict = table.begin(&key, content(), 1, Duration::from_secs(500));
    assert_eq!(verdict, BeginVerdict::Settled(RecordedResult::Answered(response(10))));
}

/// Guards against a duplicate that runs while another attempt is in progress.
#[test]
fn duplicate_in_progress_waits_for_the_same_result() {
    let mut table = new_table(8, 1 << 10);
    let key = key_at(1, 1);
    assert_eq!(table.begin(&key, content(), 1, key.issued()), BeginVerdict::Run);
    assert_eq!(table.begin(&key, content(), 2, key.issued()), BeginVerdict::Wait);
    table.mark_sent(&key).expect("the key is queued");
    assert_eq!(table.begin(&key, content(), 3, key.issued()), BeginVerdict::Wait);
    table.remove_waiting(&key, 2);
    let settled = table.settle_answered(&key, response(4)).expect("the key was sent");
    assert_eq!(settled.waiting, [3]);
    assert_eq!(settled.result, RecordedResult::Answered(response(4)));
}

/// Guards against reporting a request as not run that the upstream may have received.
#[test]
fn sent_request_is_never_refused_or_sent_again() {
    let mut table = new_table(8, 1 << 10);
    let key = key_at(1, 1);
    table.begin(&key, content(), 1, key.issued());
    table.mark_sent(&key).expect("the key is queued");
    assert_eq!(table.mark_sent(&key), Err(RecordError::AlreadySent));
    assert_eq!(table.settle_not_run(&key, RefusalReason::Draining), Err(RecordError::AlreadySent));
    table.settle_unknown(&key, RefusalReason::ConnectionLost).expect("the key was sent");
    let lost = RecordedResult::Unknown(RefusalReason::ConnectionLost);
    assert_eq!(table.begin(&key, content(), 2, key.issued()), BeginVerdict::Settled(lost));
}

/// Guards against a late duplicate that runs after the request was reported as not run.
#[test]
fn refused_key_stays_refused() {
    let mut table = new_table(8, 1 << 10);
    let key = key_at(1, 1);
    table.begin(&key, content(), 1, key.issued());
    table.settle_not_run(&key, RefusalReason::Overloaded).expect("the key is queued");
    assert_eq!(table.mark_sent(&key), Err(RecordError::NotInProgress));
    let refusal = RecordedResult::NotRun(RefusalReason::Overloaded);
    assert_eq!(table.begin(&key, content(), 2, key.issued()), BeginVerdict::Settled(refusal));
}

/// Guards against accepting a key of another owner or past its validity.
#[test]
fn foreign_and_expired_keys_are_unknown() {
    let mut table = new_table(8, 1 << 10);
    let mut random = ChaCha8Rng::seed_from_u64(9);
    let foreign = RequestKey::new("booking", KeyOwner::new("u-1", 41), Duration::ZERO, &mut random);
    let owner_gone = BeginVerdict::Unknown(RefusalReason::OwnerGone);
    assert_eq!(table.begin(&foreign, content(), 1, Duration::ZERO), owner_gone);
    let key = key_at(1, 1);
    run_request(&mut table, &key, 4);
    let late = key.issued() + VALIDITY + Duration::from_millis(1);
    let expired = BeginVerdict::Unknown(RefusalReason::KeyExpired);
    assert_eq!(table.begin(&key, content(), 1, late), expired);
    assert!(table.is_empty(), "the record of an expired key is removed");
}

/// Guards against returning the response of one request to another request with the same key.
#[test]
fn key_with_other_content_is_a_mismatch() {
    let mut table = new_table(8, 1 << 10);
    let key = key_at(1, 1);
    run_request(&mut table, &key, 4);
    let other = ContentDigest::of(b"POST /book other");
    assert_eq!(table.begin(&key, other, 1, key.issued()), BeginVerdict::ContentMismatch);
}

/// Guards against a request that runs again after its record was evicted.
#[test]
fn keys_at_or_below_the_floor_are_unknown() {
    let mut table = new_table(2, 1 << 10);
    let keys = [key_at(10, 1), key_at(20, 2), key_at(30, 3)];
    keys.iter().for_each(|key| run_request(&mut table, key, 4));
    assert_eq!(table.floor(), Some(Duration::from_secs(10)));
    let now = Duration::from_secs(31);
    let unknown = BeginVerdict::Unknown(RefusalReason::KeyExpired);
    assert_eq!(table.begin(&keys[0], content(), 1, now), unknown);
    assert_eq!(table.begin(&key_at(10, 4), content(), 1, now), unknown);
    assert_eq!(table.begin(&key_at(11, 5), content(), 1, now), BeginVerdict::Run);
}

/// Guards against a request that waits forever, or runs later, after it was refused because no record could be evicted.
#[test]
fn key_refused_because_records_are_full_never_runs() {
    let mut table = new_table(1, 1 << 10);
    let first = key_at(1, 1);
    assert_eq!(table.begin(&first, content(), 1, first.issued()), BeginVerdict::Run);
    let second = key_at(2, 2);
    let refusal = RecordedResult::NotRun(RefusalReason::Overloaded);
    assert_eq!(table.begin(&second, content(), 2, second.issued()), BeginVerdict::Settled(refusal));
    table.settle_not_run(&first, RefusalReason::Draining).expect("the key is queued");
    let unknown = BeginVerdict::Unknown(RefusalReason::KeyExpired);
    assert_eq!(table.begin(&second, content(), 3, second.issued()), unknown);
}

/// Guards against reporting a request as not run whose response was too large to retain.
#[test]
fn oversized_response_is_not_retained_and_outcome_is_unknown() {
    let mut table = new_table(8, 1 << 10);
    let key = key_at(1, 1);
    run_request(&mut table, &key, 65);
    let result = RecordedResult::Unknown(RefusalReason::AnswerNotRetained);
    assert_eq!(table.lookup(&key, key.issued()), KeyState::Settled(result));
}

/// Guards against an issue time ahead of the owner's uptime that raises the floor and so blocks later keys.
#[test]
fn key_with_issue_time_in_the_future_is_unknown() {
    let mut table = new_table(8, 1 << 10);
    let unknown = BeginVerdict::Unknown(RefusalReason::Refreshing);
    assert_eq!(table.begin(&key_at(60, 1), content(), 1, Duration::from_secs(1)), unknown);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Begin(usize),
    MarkSent(usize),
    Finish(usize, usize),
    Lose(usize),
    Refuse(usize),
    RefuseUndelivered(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let key = 0usize..12;
    prop_oneof![
        5 => key.clone().prop_map(Step::Begin),
        3 => key.clone().prop_map(Step::MarkSent),
        2 => (key.clone(), 0usize..80).prop_map(|(key, size)| Step::Finish(key, size)),
        1 => key.clone().prop_map(Step::Lose),
        2 => key.clone().prop_map(Step::Refuse),
        1 => key.prop_map(Step::RefuseUndelivered),
        1 => (1u64..200).prop_map(Step::Advance),
    ]
}

/// Results and deliveries seen so far for one key.
#[derive(Clone, Copy, Debug, Default)]
struct KeyHistory {
    times_sent: u32,
    delivered: bool,
    not_run: bool,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against a request that runs twice, one that is reported as not run although it ran or runs later, and
    /// unbounded memory, under any order of events.
    #[test]
    fn invariants_hold_under_any_order_of_events(steps in prop::collection::vec(step(), 1..200)) {
        let mut table = new_table(4, 128);
        let keys: Vec<_> = (0..12).map(|index| key_at(index * 7 % 40, index)).collect();
        let mut histories: HashMap<usize, KeyHistory> = HashMap::new();
        let mut uptime = Duration::from_secs(40);
        for step in steps {
            match step {
                Step::Begin(index) => {
                    let verdict = table.begin(&keys[index], content(), 0, uptime);
                    let history = histories.entry(index).or_default();
                    if let BeginVerdict::Settled(RecordedResult::NotRun(_)) = verdict {
                        prop_assert!(!history.delivered, "key {} ran and was reported as not run", index);
                        history.not_run = true;
                    }
                }
                Step::MarkSent(index) => if table.mark_sent(&keys[index]).is_ok() {
                    let history = histories.entry(index).or_default();
                    history.times_sent += 1;
                    history.delivered = true;
                    prop_assert_eq!(history.times_sent, 1, "key {} ran twice", index);
                    prop_assert!(!history.not_run, "key {} ran after it was reported as not run", index);
                },
                Step::Finish(index, size) => { table.settle_answered(&keys[index], response(size)).ok(); }
                Step::Lose(index) => {
                    table.settle_unknown(&keys[index], RefusalReason::ConnectionLost).ok();
                }
                Step::Refuse(index) => {
                    if table.settle_not_run(&keys[index], RefusalReason::Overloaded).is_ok() {
                        let history = histories.entry(index).or_default();
                        prop_assert!(!history.delivered, "key {} ran and was refused", index);
                        history.not_run = true;
                    }
                }
                Step::RefuseUndelivered(index) => {
                    // The caller is certain that the upstream did not receive the request, so it counts as not run.
                    if table.settle_undelivered(&keys[index], RefusalReason::NotReady).is_ok() {
                        let history = histories.entry(index).or_default();
                        history.delivered = false;
                        history.not_run = true;
                    }
                }
                Step::Advance(seconds) => uptime += Duration::from_secs(seconds),
            }
            prop_assert!(table.len() <= 4);
            prop_assert!(table.bytes() <= 128);
        }
    }
}
