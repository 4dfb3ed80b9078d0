//! Tests of the observer and of the callers' response checks. A violation that they miss would be reported as a
//! success.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use serde_json::json;
use standin::{
    LoadGauge,
    caller::check_stream,
    ledger::{AttemptRecord, AttemptResult, RequestKind, RequestRecord},
    observer::{Observation, OutWindow, ServeTally, UpstreamWork},
    platform::{
        token::token_text,
        work::{WorkEnd, WorkRecord},
    },
};

const REFERENCE: &str = "booking-1";

/// Milliseconds after the start of the test.
fn at(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

fn attempt(attempt: &str, sent_at: Instant, result: AttemptResult) -> AttemptRecord {
    AttemptRecord { attempt: attempt.into(), sent_at, tokens: 0, result, reason: "".into() }
}

fn request(kind: RequestKind, attempts: Vec<AttemptRecord>) -> RequestRecord {
    RequestRecord {
        team: "team-01".into(),
        kind,
        reference: REFERENCE.into(),
        started_at: attempts[0].sent_at,
        duration: Duration::from_millis(100),
        attempts,
    }
}

fn run(attempt: &str, accepted_at: Instant, end: WorkEnd) -> WorkRecord {
    WorkRecord { reference: REFERENCE.into(), attempt: attempt.into(), accepted_at, end }
}

fn tally(request: RequestRecord, records: Vec<WorkRecord>) -> ServeTally {
    let work =
        UpstreamWork { data_centre: "bhuj-a".into(), records, over_limit_peak: 0, crashes: 0 };
    let observation = Observation {
        requests: vec![request],
        work: vec![work],
        windows: Vec::new(),
        in_time_limit: Duration::from_secs(1),
    };
    observation.tally()
}

#[test]
fn one_run_of_a_booking_breaks_no_promise() {
    let start = Instant::now();
    let booking =
        request(RequestKind::Booking, vec![attempt("k1", start, AttemptResult::Answered)]);
    let tally = tally(booking, vec![run("k1", at(start, 5), WorkEnd::Finished)]);
    assert_eq!((tally.answered, tally.in_time, tally.doubled, tally.lost), (1, 1, 0, 0));
    assert_eq!((tally.untrue_not_run, tally.cut, tally.wrong_answer), (0, 0, 0));
}

#[test]
fn booking_that_ran_twice_is_doubled() {
    let start = Instant::now();
    let booking =
        request(RequestKind::Booking, vec![attempt("k1", start, AttemptResult::Answered)]);
    let runs = [5, 9].map(|millis| run("k1", at(start, millis), WorkEnd::Finished));
    assert_eq!(tally(booking, runs.to_vec()).doubled, 1);
}

#[test]
fn confirmed_booking_that_never_ran_is_lost() {
    let booking =
        request(RequestKind::Booking, vec![attempt("k1", Instant::now(), AttemptResult::Answered)]);
    let tally = tally(booking, Vec::new());
    assert_eq!((tally.lost, tally.answered), (1, 0));
}

#[test]
fn request_without_any_response_is_lost() {
    for result in [AttemptResult::Silent, AttemptResult::NoAnswer] {
        let silent = request(RequestKind::Office, vec![attempt("", Instant::now(), result)]);
        assert_eq!(tally(silent, Vec::new()).lost, 1);
    }
}

#[test]
fn refused_booking_that_ran_later_counts_as_untrue_not_run() {
    let start = Instant::now();
    let attempts = vec![
        attempt("k1", start, AttemptResult::NotRun),
        attempt("k2", at(start, 50), AttemptResult::Answered),
    ];
    let runs = vec![
        run("k2", at(start, 60), WorkEnd::Finished),
        run("k1", at(start, 500), WorkEnd::Finished),
    ];
    let tally = tally(request(RequestKind::Booking, attempts), runs);
    assert_eq!((tally.untrue_not_run, tally.doubled), (1, 1));
}

#[test]
fn refused_model_request_that_ran_counts_as_untrue_not_run() {
    let start = Instant::now();
    let attempts = vec![
        attempt("", start, AttemptResult::NotRun),
        attempt("", at(start, 50), AttemptResult::Answered),
    ];
    let model = request(RequestKind::Model, attempts);
    let before = run("", at(start, 20), WorkEnd::Cancelled);
    let after = run("", at(start, 60), WorkEnd::Finished);
    assert_eq!(tally(model.clone(), vec![before, after.clone()]).untrue_not_run, 1);
    assert_eq!(
        tally(model, vec![after]).untrue_not_run,
        0,
        "the retry ran, not the refused attempt"
    );
}

#[test]
fn stream_without_last_line_is_cut_unless_the_upstream_crashed() {
    let start = Instant::now();
    let model = request(RequestKind::Model, vec![attempt("", start, AttemptResult::Broken)]);
    let cancelled = run("", at(start, 5), WorkEnd::Cancelled);
    assert_eq!(tally(model.clone(), vec![cancelled]).cut, 1);
    let crashed = run("", at(start, 5), WorkEnd::Crashed);
    assert_eq!(tally(model, vec![crashed]).cut, 0);
}

#[test]
fn request_of_unknown_outcome_is_cut_if_its_run_was_cancelled() {
    let start = Instant::now();
    for result in [AttemptResult::Unknown, AttemptResult::NoAnswer] {
        let office = request(RequestKind::Office, vec![attempt("", start, result)]);
        let cancelled = run("", at(start, 5), WorkEnd::Cancelled);
        assert_eq!(tally(office.clone(), vec![cancelled]).cut, 1);
        let crashed = run("", at(start, 5), WorkEnd::Crashed);
        assert_eq!(tally(office.clone(), vec![crashed]).cut, 0);
        assert_eq!(tally(office, Vec::new()).cut, 0, "the request never reached an upstream");
    }
}

#[test]
fn work_in_a_data_centre_that_is_out_is_timed_from_the_publication() {
    let start = Instant::now();
    let records = [500, 1_500, 4_000].map(|ms| run("", at(start, ms), WorkEnd::Finished)).to_vec();
    let work = |data_centre: &str, records: Vec<WorkRecord>| UpstreamWork {
        data_centre: data_centre.into(),
        records,
        over_limit_peak: 0,
        crashes: 0,
    };
    let late = vec![run("", at(start, 2_500), WorkEnd::Finished)];
    let observation = Observation {
        work: vec![work("bhuj-a", records), work("surat-a", late)],
        windows: vec![OutWindow {
            data_centre: "bhuj-a".into(),
            out_at: at(start, 1_000),
            back_at: at(start, 3_000),
        }],
        ..Observation::default()
    };
    assert_eq!(observation.tally().last_new_work_after_out_s, 0.5);
}

fn stream(lines: &[serde_json::Value]) -> String {
    lines.iter().map(|line| format!("{line}\n")).collect()
}

#[test]
fn wrong_token_is_a_wrong_response() {
    let token = |index| json!({"index": index, "token": token_text("p", "m", index)});
    let done = json!({"done": true, "count": 2, "manifest": "m"});
    let good = stream(&[token(0), token(1), done.clone()]);
    assert_eq!(check_stream("p", 2, &good).result, AttemptResult::Answered);
    let foreign = json!({"index": 1, "token": token_text("other", "m", 1)});
    let responses = [
        stream(&[token(0), foreign, done.clone()]),
        stream(&[token(0), done.clone()]),
        stream(&[token(0), token(0), done.clone()]),
        stream(&[token(0), token(1), json!({"done": true, "count": 2, "manifest": "n"})]),
        stream(&[token(0), token(1), done.clone(), done]),
    ];
    for response in responses {
        assert!(
            matches!(check_stream("p", 2, &response).result, AttemptResult::Wrong(_)),
            "{response}"
        );
    }
}

#[test]
fn stream_that_ends_early_is_broken_and_error_lines_are_read() {
    let token = json!({"index": 0, "token": token_text("p", "m", 0)});
    assert_eq!(
        check_stream("p", 2, &stream(std::slice::from_ref(&token))).result,
        AttemptResult::Broken
    );
    assert_eq!(check_stream("p", 2, "{\"done\": true").result, AttemptResult::Broken);
    let error = json!({"error": {"outcome": "unknown", "reason": "connection_lost"}});
    let check = check_stream("p", 2, &stream(&[token, error]));
    assert_eq!((check.result, check.tokens), (AttemptResult::Unknown, 1));
}

#[test]
fn work_above_the_limit_of_an_upstream_is_recorded_when_it_is_accepted() {
    let gauge = LoadGauge::new(4, 8);
    let accept = || gauge.accept("r".into(), "".into());
    let first: Vec<_> = (0..4).map(|_| accept().unwrap()).collect();
    assert_eq!(gauge.over_limit_peak(), 0);
    let excess = accept().unwrap();
    assert_eq!((gauge.over_limit_peak(), gauge.over_limit_count()), (1, 1));
    assert!(accept().is_err(), "a load of a quarter above the limit crashes the upstream");
    gauge.crash();
    drop((first, excess));
    assert_eq!(gauge.in_use(), 0);
    let ends: Vec<_> = gauge.log().records().iter().map(|record| record.end).collect();
    assert!(ends.iter().all(|end| *end == WorkEnd::Crashed), "{ends:?}");
}

#[tokio::test]
async fn callers_record_requests_when_no_entry_responds() {
    let closed: SocketAddr = (Ipv4Addr::LOCALHOST, 1).into();
    let callers = standin::caller::CallerFleet::start(standin::caller::CallerOptions {
        seed: 1,
        teams: standin::caller::team_loads(2, 50.0),
        entries: vec![closed],
        model: "draft".to_owned(),
        deadline: Duration::from_millis(200),
        office_share: 0.3,
        booking_share: 0.3,
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    callers.finish().await;
    let records = callers.ledger().records();
    assert!(!records.is_empty());
    assert!(records.iter().all(|record| record.verdict() == AttemptResult::NotRun));
}
