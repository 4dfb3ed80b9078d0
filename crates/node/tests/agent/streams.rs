//! Guards against cut, overloaded and late work on model engines.

use std::{
    sync::{Arc, atomic::Ordering::SeqCst},
    time::{Duration, Instant},
};

use base::{ContentDigest, Outcome, RefusalReason};
use once::RecordOptions;
use wire::{CrashNotice, Forward, Payload};

use crate::{
    bench::{Bench, Reply, exchange, host_list, prompt, refused},
    upstream::Fault,
};

async fn start(cold_limit: u32) -> Bench {
    Bench::start("", cold_limit, RecordOptions::default()).await
}

fn assert_whole(reply: &Reply, tokens: u64) {
    let Reply::Answer { status: 200, body, complete: true, crashed: false } = reply else {
        panic!("expected a whole answer, got {reply:?}");
    };
    let last = body.lines().last().unwrap_or_default();
    assert_eq!(body.lines().count() as u64, tokens + 1, "{body}");
    assert!(last.contains("\"done\":true"), "{last}");
}

/// Guards against an answer that lacks tokens and is called complete.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answers_are_never_complete() {
    let bench = start(2).await;
    assert_whole(&bench.send(prompt("p", 6)).await, 6);
    for fault in [Fault::CutBody, Fault::SkipToken, Fault::OmitLastLine] {
        *bench.upstream.fault.lock().unwrap() = fault;
        let reply = bench.send(prompt("p", 6)).await;
        let Reply::Answer { body, complete: false, crashed: false, .. } = reply else {
            panic!("{fault:?}: {reply:?}");
        };
        let lines = body.lines().count();
        let expected = if fault == Fault::OmitLastLine { 6 } else { 3 };
        assert_eq!(lines, expected, "{fault:?}: {body}");
    }
}

/// Guards against a resumed answer with doubled or missing tokens.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_answer_starts_at_the_offset() {
    let bench = start(2).await;
    let mut forward = prompt("p", 6);
    forward.resume_offset = 4;
    assert_whole(&bench.send(forward).await, 2);
}

/// Guards against weights of another version and against services that the upstream does not run.
#[tokio::test(flavor = "multi_thread")]
async fn other_manifest_is_not_run() {
    let bench = start(2).await;
    let mut forward = prompt("p", 6);
    forward.manifest = ContentDigest::of(b"other").as_bytes().to_vec().into();
    let not_run = refused(Outcome::NotRun, RefusalReason::NotReady);
    assert_eq!(bench.send(forward).await, not_run);
    assert_eq!(bench.send(crate::bench::call("visit", "")).await, not_run);
    assert_eq!(bench.upstream.run_count(), 0);
}

/// Guards against a planned stop that cuts a stream.
#[tokio::test(flavor = "multi_thread")]
async fn drain_finishes_the_stream_in_progress() {
    let bench = start(2).await;
    *bench.upstream.call_time.lock().unwrap() = Duration::from_millis(50);
    let (address, upstream) = (bench.address, bench.upstream.clone());
    let mut channel = bench.connect().await;
    let stream = tokio::spawn(async move { exchange(&mut channel, prompt("p", 40)).await });
    while upstream.run_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let stop = tokio::spawn(bench.agent.drain());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut other = crate::bench::connect(address).await;
    let draining = refused(Outcome::NotRun, RefusalReason::Draining);
    assert_eq!(exchange(&mut other, prompt("q", 1)).await, draining);
    assert_whole(&stream.await.expect("the stream ends"), 40);
    stop.await.expect("the stop ends");
    assert_eq!(upstream.run_count(), 1);
}

/// Guards against an upstream that receives more than it bears after a restart under load.
#[tokio::test(flavor = "multi_thread")]
async fn cold_restart_under_load_is_never_overloaded() {
    let bench = Arc::new(start(2).await);
    let end = Instant::now() + Duration::from_secs(5);
    let callers: Vec<_> = (0..24)
        .map(|caller| {
            let bench = bench.clone();
            tokio::spawn(async move {
                let mut answered = 0;
                while Instant::now() < end {
                    let text = format!("caller {caller} request {answered}");
                    match bench.send(prompt(&text, 3)).await {
                        Reply::Answer { complete: true, .. } => answered += 1,
                        _ => tokio::time::sleep(Duration::from_millis(20)).await,
                    }
                }
                answered
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let warm = bench.status().await.load.limit;
    assert!(warm > 4, "limit {warm} has not grown");
    assert_eq!(bench.upstream.overloads.load(SeqCst), 0, "overloaded while it warmed up");
    bench.upstream.restart(2, Duration::from_millis(400)).await;
    bench.wait_until(|status| status.upstream_up && status.load.limit < warm).await;
    let before = bench.upstream.run_count();
    let mut answered = Vec::new();
    for caller in callers {
        answered.push(caller.await.expect("a caller fails"));
    }
    assert_eq!(bench.upstream.overloads.load(SeqCst), 0, "overloaded after the restart");
    assert!(bench.upstream.run_count() > before + 20, "work resumes after the restart");
    assert!(answered.iter().all(|count| *count > 0), "a caller got nothing: {answered:?}");
}

/// Guards against a crash that is taken for a broken connection, and against suspects that run beside others.
#[tokio::test(flavor = "multi_thread")]
async fn crash_is_reported_and_suspects_run_alone() {
    let bench = start(2).await;
    *bench.upstream.call_time.lock().unwrap() = Duration::from_millis(30);
    let crash = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        bench.upstream.restart(2, Duration::from_millis(300)).await;
    };
    let (left, right, ()) =
        tokio::join!(bench.send(prompt("a", 50)), bench.send(prompt("b", 50)), crash);
    for reply in [left, right] {
        let crashed = matches!(reply, Reply::Answer { complete: false, crashed: true, .. });
        assert!(crashed, "{reply:?}");
    }
    bench.wait_until(|status| status.upstream_up).await;
    let runs = bench.upstream.run_count();
    let started = Instant::now();
    let (left, right) = tokio::join!(bench.send(prompt("a", 5)), bench.send(prompt("b", 5)));
    assert_whole(&left, 5);
    assert_whole(&right, 5);
    assert_eq!(bench.upstream.run_count(), runs + 2);
    assert!(started.elapsed() >= Duration::from_millis(300), "the suspects ran side by side");
}

/// Guards against blaming a crash on a request that waited for its turn and was not in flight.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_waited_behind_a_crash_is_not_blamed() {
    let bench = start(4).await;
    // Leaves an idle connection to the upstream, on which a request could still be sent after the crash.
    assert_whole(&bench.send(prompt("p", 1)).await, 1);
    *bench.upstream.call_time.lock().unwrap() = Duration::from_millis(30);
    let isolated = |text| Forward { isolated: true, ..prompt(text, 50) };
    let waiting = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        bench.send(isolated("b")).await
    };
    let crash = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        bench.upstream.restart(4, Duration::from_millis(500)).await;
    };
    let (running, waiting, ()) = tokio::join!(bench.send(isolated("a")), waiting, crash);
    assert!(matches!(running, Reply::Answer { crashed: true, .. }), "{running:?}");
    assert_eq!(waiting, refused(Outcome::NotRun, RefusalReason::NotReady));
}

/// Guards against streams that go on for callers who have left, and against their slots being used before the upstream
/// has noticed.
#[tokio::test(flavor = "multi_thread")]
async fn closed_connection_cancels_the_stream() {
    let bench = start(1).await;
    *bench.upstream.call_time.lock().unwrap() = Duration::from_millis(10);
    let mut next = bench.connect().await;
    let mut channel = bench.connect().await;
    channel.sender.send(Payload::Forward(prompt("p", 400))).await.unwrap();
    for _ in 0..3 {
        channel.receiver.receive().await.expect("the stream starts");
    }
    drop(channel);
    assert_whole(&exchange(&mut next, prompt("q", 2)).await, 2);
    assert_eq!(bench.upstream.cancelled.load(SeqCst), 1);
    assert_eq!(bench.upstream.overloads.load(SeqCst), 0, "the slot was used too early");
}

/// Guards against a request that crashed an upstream elsewhere and runs here.
#[tokio::test(flavor = "multi_thread")]
async fn notice_of_an_isolated_crash_refuses_the_request() {
    let bench = start(2).await;
    let forward = prompt("poison", 2);
    let notice = CrashNotice {
        fingerprint: forward.fingerprint.clone(),
        crashes: 1,
        isolated: true,
        upstream: "u-9".to_owned(),
        ..CrashNotice::default()
    };
    let mut channel = bench.connect().await;
    let reply = channel.call(Payload::CrashNotice(notice)).await.expect("an acknowledgement");
    assert!(matches!(reply, Payload::Ack(_)));
    let suspect = refused(Outcome::NotRun, RefusalReason::CrashSuspect);
    assert_eq!(exchange(&mut channel, forward).await, suspect);
    assert_whole(&exchange(&mut channel, prompt("other", 2)).await, 2);
    assert_eq!(bench.upstream.run_count(), 1);
}

/// Guards against a planned stop that a stuck request holds up for ever.
#[tokio::test(flavor = "multi_thread")]
async fn drain_ends_at_its_bound() {
    let bench = start(2).await;
    *bench.upstream.call_time.lock().unwrap() = Duration::from_secs(60);
    let mut channel = bench.connect().await;
    channel.sender.send(Payload::Forward(prompt("stuck", 2))).await.unwrap();
    while bench.upstream.run_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let started = Instant::now();
    bench.agent.drain().await;
    let took = started.elapsed();
    assert!((Duration::from_secs(3)..Duration::from_secs(5)).contains(&took), "{took:?}");
}

/// Guards against new work in a data centre that is out and on a host that leaves.
#[tokio::test(flavor = "multi_thread")]
async fn out_and_leaving_take_no_new_work_within_3_s() {
    let bench = start(2).await;
    let draining = refused(Outcome::NotRun, RefusalReason::Draining);
    let publish = |revision: u64, out: bool| {
        let mut config = bench.platform.config.lock().unwrap();
        config["revision"] = revision.into();
        config["data_centres"][0]["out"] = out.into();
    };
    let started = Instant::now();
    publish(2, true);
    bench.wait_until(|status| status.draining).await;
    assert!(started.elapsed() < Duration::from_secs(3));
    assert_eq!(bench.send(prompt("p", 1)).await, draining);
    publish(3, false);
    bench.wait_until(|status| !status.draining).await;
    assert_whole(&bench.send(prompt("p", 1)).await, 1);
    let started = Instant::now();
    *bench.platform.hosts.lock().unwrap() = host_list(2, bench.address, "leaving");
    bench.wait_until(|status| status.draining).await;
    assert!(started.elapsed() < Duration::from_secs(3));
    assert_eq!(bench.send(prompt("p", 1)).await, draining);
}

/// Guards against work on knowledge from before a pause.
#[tokio::test(flavor = "multi_thread")]
async fn pause_refuses_work_until_knowledge_is_refreshed() {
    let bench = start(2).await;
    let mut channel = bench.connect().await;
    bench.clock.jump(Duration::from_secs(10));
    let refreshing = refused(Outcome::NotRun, RefusalReason::Refreshing);
    assert_eq!(exchange(&mut channel, prompt("p", 1)).await, refreshing);
    assert_eq!(bench.upstream.run_count(), 0);
    // The control part reads the configuration anew, after a delay with jitter, because no peer answers.
    let started = Instant::now();
    let reply = loop {
        let reply = exchange(&mut channel, prompt("p", 1)).await;
        if reply != refreshing {
            break reply;
        }
        assert!(started.elapsed() < Duration::from_secs(10), "no end of the refresh");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert_whole(&reply, 1);
    assert!(started.elapsed() > Duration::from_millis(400), "work before the refresh");
    assert_eq!(bench.upstream.run_count(), 1);
}
