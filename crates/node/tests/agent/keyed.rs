//! Guards against requests that run twice and against untruthful outcomes of keyed requests.

use std::time::Duration;

use base::{Outcome, RefusalReason};
use once::RecordOptions;
use wire::Payload;

use crate::{
    bench::{Bench, Reply, call, exchange, refused},
    upstream::Fault,
};

fn answer_to(body: &str) -> Reply {
    let body = format!("answer to {body}");
    Reply::Answer { status: 201, body, complete: true, crashed: false }
}

async fn start() -> Bench {
    Bench::start("booking", 2, RecordOptions::default()).await
}

/// Guards against a duplicate that runs beside or after the first attempt.
#[tokio::test(flavor = "multi_thread")]
async fn duplicates_at_once_and_late_get_the_same_answer() {
    let bench = start().await;
    *bench.upstream.call_time.lock().unwrap() = Duration::from_millis(200);
    let key = bench.draw_key().await;
    let (first, second) =
        tokio::join!(bench.send(call("visit 1", &key)), bench.send(call("visit 1", &key)));
    let late = bench.send(call("visit 1", &key)).await;
    assert_eq!([first, second, late], [(); 3].map(|()| answer_to("visit 1")));
    assert_eq!(bench.upstream.run_count(), 1);
}

/// Guards against a second booking after the entry lost its connection before the answer.
#[tokio::test(flavor = "multi_thread")]
async fn request_runs_on_after_the_entry_is_gone() {
    let bench = start().await;
    *bench.upstream.call_time.lock().unwrap() = Duration::from_millis(200);
    let key = bench.draw_key().await;
    let mut channel = bench.connect().await;
    channel.sender.send(Payload::Forward(call("visit 1", &key))).await.unwrap();
    while bench.upstream.run_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(channel);
    assert_eq!(bench.send(call("visit 1", &key)).await, answer_to("visit 1"));
    assert_eq!(bench.upstream.run_count(), 1);
}

/// Guards against a retry towards an upstream that ran the request and lost the answer.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_unknown_and_never_sent_again() {
    let bench = start().await;
    *bench.upstream.fault.lock().unwrap() = Fault::LoseAnswer;
    let key = bench.draw_key().await;
    let unknown = refused(Outcome::Unknown, RefusalReason::ConnectionLost);
    assert_eq!(bench.send(call("visit 1", &key)).await, unknown);
    *bench.upstream.fault.lock().unwrap() = Fault::None;
    assert_eq!(bench.send(call("visit 1", &key)).await, unknown);
    assert_eq!(bench.upstream.run_count(), 1);
}

/// Guards against an answer cut in the middle that is recorded as whole.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_is_unknown() {
    let bench = start().await;
    *bench.upstream.fault.lock().unwrap() = Fault::CutBody;
    let key = bench.draw_key().await;
    let unknown = refused(Outcome::Unknown, RefusalReason::ConnectionLost);
    assert_eq!(bench.send(call("visit 1", &key)).await, unknown);
    assert_eq!(bench.send(call("visit 1", &key)).await, unknown);
    assert_eq!(bench.upstream.run_count(), 1);
}

/// Guards against a key that another incarnation takes over.
#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_restarted_agent_is_unknown() {
    let mut bench = start().await;
    let key = bench.draw_key().await;
    let unused = bench.draw_key().await;
    assert_eq!(bench.send(call("visit 1", &key)).await, answer_to("visit 1"));
    bench.restart_agent().await;
    let unknown = refused(Outcome::Unknown, RefusalReason::OwnerGone);
    assert_eq!(bench.send(call("visit 1", &key)).await, unknown);
    assert_eq!(bench.send(call("visit 2", &unused)).await, unknown);
    assert_eq!(bench.upstream.run_count(), 1);
}

/// Guards against a key that runs after its record may have been dropped.
#[tokio::test(flavor = "multi_thread")]
async fn expired_key_is_unknown() {
    let validity = Duration::from_millis(400);
    let options = RecordOptions { validity, ..RecordOptions::default() };
    let bench = Bench::start("booking", 2, options).await;
    let (used, unused) = (bench.draw_key().await, bench.draw_key().await);
    assert_eq!(bench.send(call("visit 1", &used)).await, answer_to("visit 1"));
    tokio::time::sleep(validity).await;
    let expired = refused(Outcome::Unknown, RefusalReason::KeyExpired);
    assert_eq!(bench.send(call("visit 1", &used)).await, expired);
    assert_eq!(bench.send(call("visit 2", &unused)).await, expired);
    assert_eq!(bench.upstream.run_count(), 1);
}

/// Guards against a request that runs after its caller was told that it did not.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_in_the_queue_is_not_run_for_good() {
    let bench = Bench::start("booking", 1, RecordOptions::default()).await;
    *bench.upstream.call_time.lock().unwrap() = Duration::from_millis(600);
    let (first, second) = (bench.draw_key().await, bench.draw_key().await);
    let late = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut forward = call("visit 2", &second);
        forward.remaining_ms = 150;
        bench.send(forward).await
    };
    let (first, late) = tokio::join!(bench.send(call("visit 1", &first)), late);
    let not_run = refused(Outcome::NotRun, RefusalReason::DeadlineExceeded);
    assert_eq!((first, late), (answer_to("visit 1"), not_run.clone()));
    assert_eq!(bench.send(call("visit 2", &second)).await, not_run);
    assert_eq!(bench.upstream.run_count(), 1);
}

/// Guards against one caller's answer for another caller's request.
#[tokio::test(flavor = "multi_thread")]
async fn key_with_other_content_is_the_callers_fault() {
    let bench = start().await;
    let key = bench.draw_key().await;
    assert_eq!(bench.send(call("visit 1", &key)).await, answer_to("visit 1"));
    let reply = bench.send(call("visit 2", &key)).await;
    assert!(matches!(reply, Reply::Answer { status: 422, .. }), "{reply:?}");
    assert_eq!(bench.upstream.run_count(), 1);
}

/// Guards against a call of a service that is not idempotent without the protection of a key.
#[tokio::test(flavor = "multi_thread")]
async fn call_without_a_key_is_not_run() {
    let bench = start().await;
    let not_run = refused(Outcome::NotRun, RefusalReason::Refreshing);
    assert_eq!(bench.send(call("visit 1", "")).await, not_run);
    assert_eq!(bench.upstream.run_count(), 0);
}

/// Guards against a planned stop that loses the answer of a booking or takes new ones.
#[tokio::test(flavor = "multi_thread")]
async fn drain_answers_resent_keys_and_refuses_new_ones() {
    let bench = start().await;
    *bench.upstream.call_time.lock().unwrap() = Duration::from_millis(1_500);
    let (key, new) = (bench.draw_key().await, bench.draw_key().await);
    let address = bench.address;
    let mut channel = bench.connect().await;
    channel.sender.send(Payload::Forward(call("visit 1", &key))).await.unwrap();
    while bench.upstream.run_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(channel);
    let upstream = bench.upstream.clone();
    let stop = tokio::spawn(bench.agent.drain());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut channel = crate::bench::connect(address).await;
    let not_run = refused(Outcome::NotRun, RefusalReason::Draining);
    assert_eq!(exchange(&mut channel, call("visit 2", &new)).await, not_run);
    assert_eq!(exchange(&mut channel, call("visit 2", &new)).await, not_run);
    assert_eq!(exchange(&mut channel, call("visit 1", &key)).await, answer_to("visit 1"));
    stop.await.expect("the stop ends");
    assert_eq!(upstream.run_count(), 1);
}
