//! Guards against failures of model streams: lost, duplicate or mixed tokens when a stream breaks, requests that
//! continue after the caller has disconnected, and a request that crashes one upstream after another.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use crate::support::{
    CallerResponse, MODEL, TestFleet,
    agent::{AgentAction, FakeAgent, StreamBreak},
};
use base::{Outcome, RefusalReason};
use http_body_util::BodyExt;

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_resumes_at_the_exact_offset() {
    let fleet = TestFleet::start(&["m0", "m1"]).await;
    for agent in &fleet.agents {
        agent.set_action(|forward| match forward.resume_offset {
            0 => AgentAction::broken(5, StreamBreak::Close),
            // Repeats two tokens that were already delivered; the caller must not get them twice.
            _ => AgentAction::Tokens {
                count: 12,
                overlap: 2,
                break_at: None,
                token_interval: Duration::ZERO,
            },
        });
    }
    let response = fleet.generate("visit route for ward 7").await;
    assert!(response.has_all_tokens(12), "{response:?}");
    let forwards: Vec<_> =
        fleet.agents.iter().flat_map(|agent| agent.forwards.lock().unwrap().clone()).collect();
    let mut offsets: Vec<_> = forwards.iter().map(|forward| forward.resume_offset).collect();
    offsets.sort_unstable();
    assert_eq!(offsets, [0, 5]);
    assert!(
        fleet.agents.iter().all(|agent| agent.forward_count() == 1),
        "the stream was resumed on the same upstream"
    );
    assert_eq!(forwards[0].manifest, forwards[1].manifest);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_continued_with_other_weights() {
    let fleet = TestFleet::with_versions(&[("m0", "new"), ("m1", "old")]).await;
    fleet.agents[0].set_action(|_| AgentAction::broken(5, StreamBreak::Close));
    fleet.agents[1].set_action(|_| AgentAction::tokens(12));
    let response = fleet.generate("hazard notes").await;
    let lines = response.lines();
    assert_eq!(lines.len(), 6, "expected five tokens and the error line: {response:?}");
    assert_eq!(lines[5]["error"]["outcome"], "unknown");
    assert!(lines[5]["error"]["retry_after_ms"].is_u64(), "{response:?}");
    assert_eq!(fleet.agents[1].forward_count(), 0);
    let report = fleet.admin("/admin/v1/report").await;
    assert_eq!(report["rows"][0]["windows"][0]["counts"]["unknown"], 1, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_cancels_the_request() {
    let fleet = TestFleet::start(&["m0"]).await;
    let agent = &fleet.agents[0];
    let path = format!("/v1/models/{MODEL}/generate");
    // The next token is 60 s away, so the entry can only notice the closed connection of the caller.
    let token_interval = Duration::from_secs(60);
    agent.set_action(move |_| AgentAction::Tokens {
        count: 10_000,
        overlap: 0,
        break_at: None,
        token_interval,
    });
    let mut response = fleet.open("POST", &path, &[], r#"{"prompt": "long"}"#).await;
    assert!(response.body_mut().frame().await.is_some());
    drop(response);
    wait_for(|| agent.cancelled.load(Ordering::Relaxed) == 1).await;
    // The caller may also disconnect before the response starts.
    agent.set_action(|_| AgentAction::Hang);
    let early = fleet.open("POST", &path, &[], r#"{"prompt": "long"}"#);
    assert!(tokio::time::timeout(Duration::from_millis(300), early).await.is_err());
    wait_for(|| agent.cancelled.load(Ordering::Relaxed) == 2).await;
}

/// Guards against a stream that stalls without a break, so that its caller never gets a final line.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_stream_ends_at_the_deadline() {
    let fleet = TestFleet::start(&["m0"]).await;
    let token_interval = Duration::from_secs(60);
    fleet.agents[0].set_action(move |_| AgentAction::Tokens {
        count: 99,
        overlap: 0,
        break_at: None,
        token_interval,
    });
    let path = format!("/v1/models/{MODEL}/generate");
    let body = r#"{"prompt": "stalls", "max_tokens": 99}"#;
    let started = Instant::now();
    let response = fleet.send_request("POST", &path, &[("x-deadline-ms", "600")], body).await;
    let last = response.lines().pop().expect("an error line");
    assert_eq!(last["error"]["outcome"], "unknown", "{response:?}");
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}

/// A stream of two tokens, each followed by a silence after which entries seek another upstream.
fn slow_tokens() -> AgentAction {
    let token_interval = Duration::from_millis(2_500);
    AgentAction::Tokens { count: 2, overlap: 0, break_at: None, token_interval }
}

/// Sends a request to an entry whose first attempt gets `first` and all others `later`.
async fn generate_with(
    upstreams: &[&str],
    first: AgentAction,
    later: AgentAction,
) -> (TestFleet, CallerResponse) {
    let fleet = TestFleet::start(upstreams).await;
    let has_begun = Arc::new(AtomicBool::new(false));
    for agent in &fleet.agents {
        let (has_begun, first, later) = (has_begun.clone(), first.clone(), later.clone());
        agent.set_action(move |_| {
            let is_first = !has_begun.swap(true, Ordering::Relaxed);
            if is_first { first.clone() } else { later.clone() }
        });
    }
    let path = format!("/v1/models/{MODEL}/generate");
    let body = r#"{"prompt": "pauses", "max_tokens": 12}"#;
    let response = fleet.send_request("POST", &path, &[("x-deadline-ms", "9000")], body).await;
    (fleet, response)
}

/// Guards against a stream that is lost because its silent upstream is given up for one that refuses the stream.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_silent_upstream_is_lost_to_one_that_refuses_it() {
    let refusal = AgentAction::Refuse(Outcome::NotRun, RefusalReason::Overloaded);
    let (_, response) = generate_with(&["m0", "m1"], slow_tokens(), refusal).await;
    assert!(response.has_all_tokens(2), "{response:?}");
}

/// Guards against a stream that is lost because its silent upstream is given up for one that has no token either.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_silent_upstream_is_lost_to_one_that_hangs() {
    let (fleet, response) = generate_with(&["m0", "m1"], slow_tokens(), AgentAction::Hang).await;
    assert!(response.has_all_tokens(2), "{response:?}");
    let is_backup = |agent: &&Arc<FakeAgent>| agent.forwards.lock().unwrap()[0].resume_offset == 1;
    let backup = fleet.agents.iter().find(is_backup).expect("there was a backup");
    wait_for(|| backup.cancelled.load(Ordering::Relaxed) == 1).await;
}

/// Guards against a stream that stays with a silent upstream although another one has its next token.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_silent_upstream_is_not_taken_over() {
    let token_interval = Duration::from_secs(60);
    let first = AgentAction::Tokens { count: 12, overlap: 0, break_at: None, token_interval };
    let started = Instant::now();
    let (fleet, response) = generate_with(&["m0", "m1"], first, AgentAction::tokens(12)).await;
    assert!(response.has_all_tokens(12), "{response:?}");
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
    assert_eq!(fleet.forward_total(), 2);
}

/// Guards against backups beyond the maximum number of attempts of a request, which is three.
#[tokio::test(flavor = "multi_thread")]
async fn silent_upstream_is_backed_up_more_often_than_attempts_are_allowed() {
    let upstreams = ["m0", "m1", "m2", "m3", "m4"];
    let lost = AgentAction::Refuse(Outcome::Unknown, RefusalReason::ConnectionLost);
    let (fleet, response) = generate_with(&upstreams, slow_tokens(), lost).await;
    assert!(response.has_all_tokens(2), "{response:?}");
    assert_eq!(fleet.forward_total(), 3);
}

/// Guards against a backup that did not run and leaves no attempt for a stream that breaks afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn refused_backups_use_up_the_attempts_of_a_stream() {
    let fleet = TestFleet::start(&["m0", "m1", "m2", "m3"]).await;
    let forwards = Arc::new(AtomicU32::new(0));
    for agent in &fleet.agents {
        let forwards = forwards.clone();
        agent.set_action(move |_| match forwards.fetch_add(1, Ordering::Relaxed) {
            0 => AgentAction::Tokens {
                count: 12,
                overlap: 0,
                break_at: Some((1, StreamBreak::Close)),
                token_interval: Duration::from_millis(3_000),
            },
            1 | 2 => AgentAction::Refuse(Outcome::NotRun, RefusalReason::Overloaded),
            _ => AgentAction::tokens(12),
        });
    }
    let response = fleet.generate("breaks after a pause").await;
    assert!(response.has_all_tokens(12), "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_reaches_at_most_two_upstreams_and_others_are_served() {
    let fleet = TestFleet::start(&["m0", "m1", "m2"]).await;
    for agent in &fleet.agents {
        agent.set_action(|forward| {
            let poison = String::from_utf8_lossy(&forward.body).contains("poison");
            if poison {
                AgentAction::broken(1, StreamBreak::Crash)
            } else {
                AgentAction::tokens(12)
            }
        });
    }
    let response = fleet.generate("poison").await;
    assert!(response.body.contains("crash_suspect"), "{response:?}");
    assert_eq!(fleet.forward_total(), 2);
    let isolated: Vec<_> = fleet
        .agents
        .iter()
        .flat_map(|agent| agent.forwards.lock().unwrap().clone())
        .filter(|forward| forward.isolated)
        .collect();
    assert_eq!(isolated.len(), 1, "only the second attempt runs in isolation");
    for agent in &fleet.agents {
        let notices = agent.notices.lock().unwrap();
        assert!(
            notices.iter().any(|notice| notice.isolated),
            "an agent had no notice when the caller got its response"
        );
    }
    fleet.wait_until_ready().await;
    let again = fleet.generate("poison").await;
    assert_eq!((again.status, again.outcome.as_str()), (503, "not_run"), "{again:?}");
    assert!(again.retry_after.is_some());
    assert_eq!(fleet.forward_total(), 2);
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert!(fleet.generate("neighbour").await.has_all_tokens(12));
}

#[tokio::test(flavor = "multi_thread")]
async fn notice_of_another_entry_is_honoured() {
    let fleet = TestFleet::start(&["m0", "m1"]).await;
    fleet.agents.iter().for_each(|agent| agent.set_action(|_| AgentAction::tokens(12)));
    assert!(fleet.generate("poison").await.has_all_tokens(12));
    let seen = fleet.agents.iter().flat_map(|agent| agent.forwards.lock().unwrap().clone());
    let notice = wire::CrashNotice {
        fingerprint: seen.last().expect("the request was forwarded").fingerprint,
        crashes: 1,
        isolated: true,
        age_ms: 5,
        cleared: false,
        hops: 0,
        upstream: "m7".to_owned(),
    };
    let stream = tokio::net::TcpStream::connect(fleet.peer).await.unwrap();
    let key = wire::FleetKey::new(crate::support::FLEET_KEY);
    let limits = wire::ChannelLimits::default();
    let mut channel = wire::connect(stream, &key, "other", limits).await.unwrap();
    let response = channel.call(wire::Payload::CrashNotice(notice)).await.unwrap();
    assert!(matches!(response, wire::Payload::Ack(_)));
    let response = fleet.generate("poison").await;
    assert!(response.status == 503 && response.body.contains("crash_suspect"), "{response:?}");
    assert_eq!(fleet.forward_total(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_out_of_service_gets_no_requests_and_its_entry_forwards_elsewhere() {
    let fleet = TestFleet::start(&["m0", "m1"]).await;
    fleet.agents.iter().for_each(|agent| agent.set_action(|_| AgentAction::tokens(12)));
    fleet.take_out("a");
    wait_for_async(async || fleet.admin("/admin/v1/status").await["revision"] == 2).await;
    let before = fleet.agents[0].forward_count();
    for number in 0..20 {
        assert!(fleet.generate(&format!("draft {number}")).await.has_all_tokens(12));
    }
    assert_eq!(fleet.agents[0].forward_count(), before);
    let addresses = fleet.send_request("GET", "/v1/addresses?team=survey", &[], "").await;
    assert!(addresses.body.contains("127.0.0.1:9"), "{addresses:?}");
    assert!(!addresses.body.contains(&fleet.http.to_string()), "{addresses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_serves_callers_until_their_addresses_expire() {
    let fleet = TestFleet::start(&["m0", "m1"]).await;
    let token_interval = Duration::from_millis(150);
    for agent in &fleet.agents {
        agent.set_action(move |_| AgentAction::Tokens {
            count: 12,
            overlap: 0,
            break_at: None,
            token_interval,
        });
    }
    let path = format!("/v1/models/{MODEL}/generate");
    let response = fleet.open("POST", &path, &[], r#"{"prompt": "p"}"#).await;
    let (http, started) = (fleet.http, Instant::now());
    let stopping = tokio::spawn(fleet.entry.drain());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http::<http_body_util::Empty<bytes::Bytes>>();
    let uri = format!("http://{http}/v1/addresses?team=survey").parse().unwrap();
    let addresses = client.get(uri).await.expect("a new connection is served");
    let addresses = addresses.into_body().collect().await.unwrap().to_bytes();
    assert!(!String::from_utf8_lossy(&addresses).contains(&http.to_string()));
    let body = response.into_body().collect().await.unwrap().to_bytes();
    assert!(String::from_utf8_lossy(&body).contains("\"done\""), "the stream was not finished");
    stopping.await.unwrap();
    assert!(started.elapsed() >= Duration::from_millis(400));
    assert!(tokio::net::TcpStream::connect(http).await.is_err(), "the entry still listens");
}

async fn wait_for(condition: impl Fn() -> bool) {
    wait_for_async(async || condition()).await;
}

async fn wait_for_async(condition: impl AsyncFn() -> bool) {
    for _ in 0..60 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("condition not met within 3 s");
}
