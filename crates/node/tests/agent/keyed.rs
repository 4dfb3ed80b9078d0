//! Guards against keyed requests that run twice, and against wrong outcomes of keyed requests.

use std::time::Duration;

use base::{Outcome, RefusalReason};
use once::RecordOptions;
use wire::Payload;

use crate::{
    fixture::{AgentFixture, ForwardResult, exchange, refused, service_request},
    upstream::Fault,
};

fn response_to(body: &str) -> ForwardResult {
    let body = format!("response to {body}");
    ForwardResult::Response { status: 201, body, complete: true, crashed: false }
}

async fn start() -> AgentFixture {
    AgentFixture::start("booking", 2, RecordOptions::default()).await
}

/// Guards against a duplicate that runs at the same time as the first attempt or after it.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_and_late_duplicates_get_the_same_response() {
    let fixture = start().await;
    *fixture.upstream.response_time.lock().unwrap() = Duration::from_millis(200);
    let key = fixture.issue_key().await;
    let (first, second) = tokio::join!(
        fixture.send(service_request("visit 1", &key)),
        fixture.send(service_request("visit 1", &key))
    );
    let late = fixture.send(service_request("visit 1", &key)).await;
    assert_eq!([first, second, late], [(); 3].map(|()| response_to("visit 1")));
    assert_eq!(fixture.upstream.run_count(), 1);
}

/// Guards against a second booking when the entry loses its connection before the response and sends the request again.
#[tokio::test(flavor = "multi_thread")]
async fn request_continues_after_the_entry_disconnects() {
    let fixture = start().await;
    *fixture.upstream.response_time.lock().unwrap() = Duration::from_millis(200);
    let key = fixture.issue_key().await;
    let mut channel = fixture.connect().await;
    channel.sender.send(Payload::Forward(service_request("visit 1", &key))).await.unwrap();
    while fixture.upstream.run_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(channel);
    assert_eq!(fixture.send(service_request("visit 1", &key)).await, response_to("visit 1"));
    assert_eq!(fixture.upstream.run_count(), 1);
}

/// Guards against a retry when the upstream ran the request and its response was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_response_is_unknown_and_the_request_is_not_sent_again() {
    let fixture = start().await;
    *fixture.upstream.fault.lock().unwrap() = Fault::LoseResponse;
    let key = fixture.issue_key().await;
    let unknown = refused(Outcome::Unknown, RefusalReason::ConnectionLost);
    assert_eq!(fixture.send(service_request("visit 1", &key)).await, unknown);
    *fixture.upstream.fault.lock().unwrap() = Fault::None;
    assert_eq!(fixture.send(service_request("visit 1", &key)).await, unknown);
    assert_eq!(fixture.upstream.run_count(), 1);
}

/// Guards against a truncated response that is recorded as complete.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_unknown() {
    let fixture = start().await;
    *fixture.upstream.fault.lock().unwrap() = Fault::CutBody;
    let key = fixture.issue_key().await;
    let unknown = refused(Outcome::Unknown, RefusalReason::ConnectionLost);
    assert_eq!(fixture.send(service_request("visit 1", &key)).await, unknown);
    assert_eq!(fixture.send(service_request("visit 1", &key)).await, unknown);
    assert_eq!(fixture.upstream.run_count(), 1);
}

/// Guards against a restarted agent that accepts keys of its previous incarnation, whose records it does not have.
#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_restarted_agent_is_unknown() {
    let mut fixture = start().await;
    let key = fixture.issue_key().await;
    let unused = fixture.issue_key().await;
    assert_eq!(fixture.send(service_request("visit 1", &key)).await, response_to("visit 1"));
    fixture.restart_agent().await;
    let unknown = refused(Outcome::Unknown, RefusalReason::OwnerGone);
    assert_eq!(fixture.send(service_request("visit 1", &key)).await, unknown);
    assert_eq!(fixture.send(service_request("visit 2", &unused)).await, unknown);
    assert_eq!(fixture.upstream.run_count(), 1);
}

/// Guards against a key that runs again after its record may have been removed.
#[tokio::test(flavor = "multi_thread")]
async fn expired_key_is_unknown() {
    let validity = Duration::from_millis(400);
    let options = RecordOptions { validity, ..RecordOptions::default() };
    let fixture = AgentFixture::start("booking", 2, options).await;
    let (used, unused) = (fixture.issue_key().await, fixture.issue_key().await);
    assert_eq!(fixture.send(service_request("visit 1", &used)).await, response_to("visit 1"));
    tokio::time::sleep(validity).await;
    let expired = refused(Outcome::Unknown, RefusalReason::KeyExpired);
    assert_eq!(fixture.send(service_request("visit 1", &used)).await, expired);
    assert_eq!(fixture.send(service_request("visit 2", &unused)).await, expired);
    assert_eq!(fixture.upstream.run_count(), 1);
}

/// Guards against a request that runs after its caller was told that it had not run.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_expires_in_the_queue_never_runs() {
    let fixture = AgentFixture::start("booking", 1, RecordOptions::default()).await;
    *fixture.upstream.response_time.lock().unwrap() = Duration::from_millis(600);
    let (first, second) = (fixture.issue_key().await, fixture.issue_key().await);
    let late = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut forward = service_request("visit 2", &second);
        forward.remaining_ms = 150;
        fixture.send(forward).await
    };
    let (first, late) = tokio::join!(fixture.send(service_request("visit 1", &first)), late);
    let not_run = refused(Outcome::NotRun, RefusalReason::DeadlineExceeded);
    assert_eq!((first, late), (response_to("visit 1"), not_run.clone()));
    assert_eq!(fixture.send(service_request("visit 2", &second)).await, not_run);
    assert_eq!(fixture.upstream.run_count(), 1);
}

/// Guards against a request that gets the response of another request with the same key.
#[tokio::test(flavor = "multi_thread")]
async fn key_reused_with_other_content_is_rejected() {
    let fixture = start().await;
    let key = fixture.issue_key().await;
    assert_eq!(fixture.send(service_request("visit 1", &key)).await, response_to("visit 1"));
    let result = fixture.send(service_request("visit 2", &key)).await;
    assert!(matches!(result, ForwardResult::Response { status: 422, .. }), "{result:?}");
    assert_eq!(fixture.upstream.run_count(), 1);
}

/// Guards against a request without a key to a service that is not idempotent.
#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_key_is_not_run() {
    let fixture = start().await;
    let not_run = refused(Outcome::NotRun, RefusalReason::Refreshing);
    assert_eq!(fixture.send(service_request("visit 1", "")).await, not_run);
    assert_eq!(fixture.upstream.run_count(), 0);
}

/// Guards against a planned stop that loses the response to a booking or accepts new bookings.
#[tokio::test(flavor = "multi_thread")]
async fn drain_serves_recorded_keys_and_refuses_new_ones() {
    let fixture = start().await;
    *fixture.upstream.response_time.lock().unwrap() = Duration::from_millis(1_500);
    let (key, new) = (fixture.issue_key().await, fixture.issue_key().await);
    let address = fixture.address;
    let mut channel = fixture.connect().await;
    channel.sender.send(Payload::Forward(service_request("visit 1", &key))).await.unwrap();
    while fixture.upstream.run_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(channel);
    let upstream = fixture.upstream.clone();
    let stop = tokio::spawn(fixture.agent.drain());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut channel = crate::fixture::connect(address).await;
    let not_run = refused(Outcome::NotRun, RefusalReason::Draining);
    assert_eq!(exchange(&mut channel, service_request("visit 2", &new)).await, not_run);
    assert_eq!(exchange(&mut channel, service_request("visit 2", &new)).await, not_run);
    assert_eq!(
        exchange(&mut channel, service_request("visit 1", &key)).await,
        response_to("visit 1")
    );
    stop.await.expect("the stop ends");
    assert_eq!(upstream.run_count(), 1);
}
