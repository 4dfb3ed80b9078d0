//! Guards against truncated responses, overload and stale state on model engines.

use std::{
    sync::{Arc, atomic::Ordering::SeqCst},
    time::{Duration, Instant},
};

use base::{ContentDigest, Outcome, RefusalReason};
use once::RecordOptions;
use wire::{CrashNotice, Forward, Payload};

use crate::{
    fixture::{AgentFixture, ForwardResult, exchange, host_list, model_request, refused},
    upstream::Fault,
};

async fn start(cold_limit: u32) -> AgentFixture {
    AgentFixture::start("", cold_limit, RecordOptions::default()).await
}

fn assert_complete(result: &ForwardResult, tokens: u64) {
    let ForwardResult::Response { status: 200, body, complete: true, crashed: false } = result
    else {
        panic!("expected a complete response, got {result:?}");
    };
    let last = body.lines().last().unwrap_or_default();
    assert_eq!(body.lines().count() as u64, tokens + 1, "{body}");
    assert!(last.contains("\"done\":true"), "{last}");
}

/// Guards against a response with missing tokens that is marked as complete.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_responses_are_never_complete() {
    let fixture = start(2).await;
    assert_complete(&fixture.send(model_request("p", 6)).await, 6);
    for fault in [Fault::CutBody, Fault::SkipToken, Fault::OmitLastLine] {
        *fixture.upstream.fault.lock().unwrap() = fault;
        let result = fixture.send(model_request("p", 6)).await;
        let ForwardResult::Response { body, complete: false, crashed: false, .. } = result else {
            panic!("{fault:?}: {result:?}");
        };
        let lines = body.lines().count();
        let expected = if fault == Fault::OmitLastLine { 6 } else { 3 };
        assert_eq!(lines, expected, "{fault:?}: {body}");
    }
}

/// Guards against a resumed response with duplicate or missing tokens.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_response_starts_at_the_offset() {
    let fixture = start(2).await;
    let mut forward = model_request("p", 6);
    forward.resume_offset = 4;
    assert_complete(&fixture.send(forward).await, 2);
}

/// Guards against a request that runs with weights of another version, or on an upstream of another service.
#[tokio::test(flavor = "multi_thread")]
async fn other_manifest_is_not_run() {
    let fixture = start(2).await;
    let mut forward = model_request("p", 6);
    forward.manifest = ContentDigest::of(b"other").as_bytes().to_vec().into();
    let not_run = refused(Outcome::NotRun, RefusalReason::NotReady);
    assert_eq!(fixture.send(forward).await, not_run);
    assert_eq!(fixture.send(crate::fixture::service_request("visit", "")).await, not_run);
    assert_eq!(fixture.upstream.run_count(), 0);
}

/// Guards against a planned stop that truncates a stream.
#[tokio::test(flavor = "multi_thread")]
async fn drain_finishes_the_stream_in_progress() {
    let fixture = start(2).await;
    *fixture.upstream.response_time.lock().unwrap() = Duration::from_millis(50);
    let (address, upstream) = (fixture.address, fixture.upstream.clone());
    let mut channel = fixture.connect().await;
    let stream = tokio::spawn(async move { exchange(&mut channel, model_request("p", 40)).await });
    while upstream.run_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let stop = tokio::spawn(fixture.agent.drain());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut other = crate::fixture::connect(address).await;
    let draining = refused(Outcome::NotRun, RefusalReason::Draining);
    assert_eq!(exchange(&mut other, model_request("q", 1)).await, draining);
    assert_complete(&stream.await.expect("the stream ends"), 40);
    stop.await.expect("the stop ends");
    assert_eq!(upstream.run_count(), 1);
}

/// Guards against an upstream that gets more concurrent requests than it can serve when it restarts under load.
#[tokio::test(flavor = "multi_thread")]
async fn cold_restart_under_load_is_never_overloaded() {
    let fixture = Arc::new(start(2).await);
    let end = Instant::now() + Duration::from_secs(5);
    let callers: Vec<_> = (0..24)
        .map(|caller| {
            let fixture = fixture.clone();
            tokio::spawn(async move {
                let mut answered = 0;
                while Instant::now() < end {
                    let text = format!("caller {caller} request {answered}");
                    match fixture.send(model_request(&text, 3)).await {
                        ForwardResult::Response { complete: true, .. } => answered += 1,
                        _ => tokio::time::sleep(Duration::from_millis(20)).await,
                    }
                }
                answered
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let warm = fixture.status().await.load.limit;
    assert!(warm > 4, "limit {warm} has not grown");
    assert_eq!(fixture.upstream.overloads.load(SeqCst), 0, "overloaded while warming up");
    fixture.upstream.restart(2, Duration::from_millis(400)).await;
    fixture.wait_until(|status| status.upstream_up && status.load.limit < warm).await;
    let before = fixture.upstream.run_count();
    let mut answered = Vec::new();
    for caller in callers {
        answered.push(caller.await.expect("the caller task succeeds"));
    }
    assert_eq!(fixture.upstream.overloads.load(SeqCst), 0, "overloaded after the restart");
    assert!(fixture.upstream.run_count() > before + 20, "no requests ran after the restart");
    assert!(answered.iter().all(|count| *count > 0), "a caller got no response: {answered:?}");
}

/// Guards against a crash that is reported as a broken connection, and against suspects that run concurrently with
/// other requests.
#[tokio::test(flavor = "multi_thread")]
async fn crash_is_reported_and_suspects_run_alone() {
    let fixture = start(2).await;
    *fixture.upstream.response_time.lock().unwrap() = Duration::from_millis(30);
    let crash = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fixture.upstream.restart(2, Duration::from_millis(300)).await;
    };
    let (left, right, ()) = tokio::join!(
        fixture.send(model_request("a", 50)),
        fixture.send(model_request("b", 50)),
        crash
    );
    for result in [left, right] {
        let crashed =
            matches!(result, ForwardResult::Response { complete: false, crashed: true, .. });
        assert!(crashed, "{result:?}");
    }
    fixture.wait_until(|status| status.upstream_up).await;
    let runs = fixture.upstream.run_count();
    let started = Instant::now();
    let (left, right) =
        tokio::join!(fixture.send(model_request("a", 5)), fixture.send(model_request("b", 5)));
    assert_complete(&left, 5);
    assert_complete(&right, 5);
    assert_eq!(fixture.upstream.run_count(), runs + 2);
    assert!(started.elapsed() >= Duration::from_millis(300), "the suspects ran concurrently");
}

/// Guards against suspecting a request of a crash that happened while it was still queued.
#[tokio::test(flavor = "multi_thread")]
async fn queued_request_is_not_suspected_after_a_crash() {
    let fixture = start(4).await;
    // Leaves an idle connection to the upstream, on which the agent could still send a request after the crash.
    assert_complete(&fixture.send(model_request("p", 1)).await, 1);
    *fixture.upstream.response_time.lock().unwrap() = Duration::from_millis(30);
    let isolated = |text| Forward { isolated: true, ..model_request(text, 50) };
    let waiting = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        fixture.send(isolated("b")).await
    };
    let crash = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fixture.upstream.restart(4, Duration::from_millis(500)).await;
    };
    let (running, waiting, ()) = tokio::join!(fixture.send(isolated("a")), waiting, crash);
    assert!(matches!(running, ForwardResult::Response { crashed: true, .. }), "{running:?}");
    assert_eq!(waiting, refused(Outcome::NotRun, RefusalReason::NotReady));
}

/// Guards against an upstream that gets no requests until its next restart, because a connection to it broke while its
/// status was not read in time. Without a response, it counts as crashed although it goes on with the same incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_responds_again_gets_requests_without_a_restart() {
    let fixture = start(2).await;
    *fixture.upstream.fault.lock().unwrap() = Fault::CutBody;
    *fixture.upstream.status_time.lock().unwrap() = Duration::from_secs(2);
    let result = fixture.send(model_request("a", 6)).await;
    assert!(matches!(result, ForwardResult::Response { crashed: true, .. }), "{result:?}");
    let not_ready = refused(Outcome::NotRun, RefusalReason::NotReady);
    assert_eq!(fixture.send(model_request("b", 6)).await, not_ready);
    *fixture.upstream.fault.lock().unwrap() = Fault::None;
    *fixture.upstream.status_time.lock().unwrap() = Duration::ZERO;
    let resumed = Instant::now();
    let result = loop {
        let result = fixture.send(model_request("b", 6)).await;
        if result != not_ready || resumed.elapsed() > Duration::from_secs(3) {
            break result;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_complete(&result, 6);
}

/// Guards against streams that continue after the caller has disconnected, and against slots that are reused before the
/// upstream has noticed the cancellation.
#[tokio::test(flavor = "multi_thread")]
async fn closed_connection_cancels_the_stream() {
    let fixture = start(1).await;
    *fixture.upstream.response_time.lock().unwrap() = Duration::from_millis(10);
    let mut next = fixture.connect().await;
    let mut channel = fixture.connect().await;
    channel.sender.send(Payload::Forward(model_request("p", 400))).await.unwrap();
    for _ in 0..3 {
        channel.receiver.receive().await.expect("the stream starts");
    }
    drop(channel);
    assert_complete(&exchange(&mut next, model_request("q", 2)).await, 2);
    assert_eq!(fixture.upstream.cancelled.load(SeqCst), 1);
    assert_eq!(fixture.upstream.overloads.load(SeqCst), 0, "the slot was reused too early");
}

/// Guards against load reports that an entry cannot put in order, so that it keeps an older one.
#[tokio::test(flavor = "multi_thread")]
async fn load_reports_are_numbered_in_order() {
    let fixture = start(2).await;
    let mut last = 0;
    for _ in 0..3 {
        let sequence = fixture.status().await.load.sequence;
        assert!(sequence > last, "{sequence} after {last}");
        last = sequence;
    }
}

/// Guards against running a request that is known to have crashed another upstream.
#[tokio::test(flavor = "multi_thread")]
async fn notice_of_an_isolated_crash_refuses_the_request() {
    let fixture = start(2).await;
    let forward = model_request("poison", 2);
    let notice = CrashNotice {
        fingerprint: forward.fingerprint.clone(),
        crashes: 1,
        isolated: true,
        upstream: "u-9".to_owned(),
        ..CrashNotice::default()
    };
    let mut channel = fixture.connect().await;
    let result = channel.call(Payload::CrashNotice(notice)).await.expect("an acknowledgement");
    assert!(matches!(result, Payload::Ack(_)));
    let suspect = refused(Outcome::NotRun, RefusalReason::CrashSuspect);
    assert_eq!(exchange(&mut channel, forward).await, suspect);
    assert_complete(&exchange(&mut channel, model_request("other", 2)).await, 2);
    assert_eq!(fixture.upstream.run_count(), 1);
}

/// Guards against a planned stop that never ends because of a stuck request.
#[tokio::test(flavor = "multi_thread")]
async fn drain_ends_at_its_timeout() {
    let fixture = start(2).await;
    *fixture.upstream.response_time.lock().unwrap() = Duration::from_secs(60);
    let mut channel = fixture.connect().await;
    channel.sender.send(Payload::Forward(model_request("stuck", 2))).await.unwrap();
    while fixture.upstream.run_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let started = Instant::now();
    fixture.agent.drain().await;
    let took = started.elapsed();
    assert!((Duration::from_secs(3)..Duration::from_secs(5)).contains(&took), "{took:?}");
}

/// Guards against new requests in a data centre that is out of service and on a host that is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn agent_out_of_service_or_leaving_refuses_requests_within_3_s() {
    let fixture = start(2).await;
    let draining = refused(Outcome::NotRun, RefusalReason::Draining);
    let publish = |revision: u64, out: bool| {
        let mut config = fixture.platform.config.lock().unwrap();
        config["revision"] = revision.into();
        config["data_centres"][0]["out"] = out.into();
    };
    let started = Instant::now();
    publish(2, true);
    fixture.wait_until(|status| status.draining).await;
    assert!(started.elapsed() < Duration::from_secs(3));
    assert_eq!(fixture.send(model_request("p", 1)).await, draining);
    publish(3, false);
    fixture.wait_until(|status| !status.draining).await;
    assert_complete(&fixture.send(model_request("p", 1)).await, 1);
    let started = Instant::now();
    *fixture.platform.hosts.lock().unwrap() = host_list(2, fixture.address, "leaving");
    fixture.wait_until(|status| status.draining).await;
    assert!(started.elapsed() < Duration::from_secs(3));
    assert_eq!(fixture.send(model_request("p", 1)).await, draining);
}

/// Guards against requests that run on state from before a pause of the process.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_after_a_pause_until_the_state_is_refreshed() {
    let fixture = start(2).await;
    let mut channel = fixture.connect().await;
    fixture.clock.jump(Duration::from_secs(10));
    let refreshing = refused(Outcome::NotRun, RefusalReason::Refreshing);
    assert_eq!(exchange(&mut channel, model_request("p", 1)).await, refreshing);
    assert_eq!(fixture.upstream.run_count(), 0);
    // The control module reads the configuration itself, after a delay with jitter, because no peer responds.
    let started = Instant::now();
    let result = loop {
        let result = exchange(&mut channel, model_request("p", 1)).await;
        if result != refreshing {
            break result;
        }
        assert!(started.elapsed() < Duration::from_secs(10), "the refresh did not end within 10 s");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert_complete(&result, 1);
    assert!(started.elapsed() > Duration::from_millis(400), "a request ran before the refresh");
    assert_eq!(fixture.upstream.run_count(), 1);
}
