//! Failures of calls to plain services: a keyed call that reaches another than its owner, a false "not run", a caller
//! that waits for a dead owner, and retries that multiply the load.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use crate::support::{TestFleet, agent::Act};
use base::{Outcome, RefusalReason};

const OFFICE: &str = "/v1/services/office/assignments";

#[tokio::test(flavor = "multi_thread")]
async fn refusal_is_retried_elsewhere() {
    let fleet = TestFleet::start(&["o0", "o1"]).await;
    fleet.agents[0].play(|_| Act::Refuse(Outcome::NotRun, RefusalReason::Overloaded));
    fleet.agents[1].play(|_| Act::Answer("assigned"));
    for _ in 0..10 {
        let reply = fleet.call("GET", OFFICE, &[], "").await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "assigned"), "{reply:?}");
    }
    assert!(fleet.agents[0].forward_count() > 0, "the refusing upstream was tried");
    let paths = fleet.agents[1].forwards.lock().unwrap();
    assert!(paths.iter().all(|forward| forward.path == "/assignments"));
}

#[tokio::test(flavor = "multi_thread")]
async fn budget_stops_a_storm_of_retries() {
    let fleet = TestFleet::start(&["o0", "o1", "o2"]).await;
    for agent in &fleet.agents {
        agent.play(|_| Act::Refuse(Outcome::NotRun, RefusalReason::Overloaded));
    }
    for _ in 0..200 {
        let reply = fleet.call("GET", OFFICE, &[], "").await;
        assert_eq!((reply.status, reply.outcome.as_str()), (503, "not_run"), "{reply:?}");
        assert!(reply.retry_after.is_some(), "a final answer names a retry delay");
    }
    let retries = fleet.forward_total() - 200;
    assert_eq!(retries, 16, "the reserve of one team");
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_call_goes_only_to_its_owner() {
    let fleet = TestFleet::start(&["b0", "b1"]).await;
    fleet.agents[0].play(|_| Act::Refuse(Outcome::NotRun, RefusalReason::Overloaded));
    fleet.agents[1].play(|_| Act::Answer("booked"));
    for key in fleet.draw_keys(8).await {
        let reply = fleet.book(&key).await;
        if key.contains("~b0~") {
            assert_eq!((reply.status, reply.outcome.as_str()), (503, "not_run"), "{reply:?}");
        } else {
            assert_eq!((reply.status, reply.body.as_str()), (200, "booked"), "{reply:?}");
        }
    }
    for agent in &fleet.agents {
        let forwards = agent.forwards.lock().unwrap();
        assert_eq!(forwards.len(), 4, "owners take turns");
        let own = format!("~{}~", agent.upstream);
        assert!(forwards.iter().all(|forward| forward.key.contains(&own)));
    }
    let reply = fleet.call("POST", "/v1/services/booking/visits", &[], "visit").await;
    assert!(reply.status == 400 && reply.body.contains("key_required"), "{reply:?}");
    let reply = fleet.book("k1~booking~b0~7~1~1~00").await;
    assert!(reply.status == 400 && reply.outcome == "unknown", "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_owner_is_unknown_at_once_and_new_keys_name_others() {
    let fleet = TestFleet::start(&["b0", "b1"]).await;
    fleet.agents.iter().for_each(|agent| agent.play(|_| Act::Answer("booked")));
    let keys = fleet.draw_keys(2).await;
    let key = keys.iter().find(|key| key.contains("~b0~")).expect("owners take turns");
    fleet.agents[0].kill();
    let started = Instant::now();
    let reply = fleet.book(key).await;
    assert_eq!((reply.status, reply.outcome.as_str()), (504, "unknown"), "{reply:?}");
    assert!(reply.body.contains("owner_unreachable") && reply.retry_after.is_some());
    assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
    let keys = fleet.draw_keys(4).await;
    assert!(keys.iter().all(|key| key.contains("~b1~")), "{keys:?}");
    assert_eq!(fleet.book(&keys[0]).await.body, "booked");
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_that_no_longer_answers_is_unknown_long_before_the_deadline() {
    let fleet = TestFleet::start(&["b0"]).await;
    let key = fleet.draw_keys(1).await.remove(0);
    fleet.agents[0].responsive.store(false, Ordering::Relaxed);
    let started = Instant::now();
    let reply = fleet.book(&key).await;
    assert_eq!((reply.status, reply.outcome.as_str()), (504, "unknown"), "{reply:?}");
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_connection_is_retried_only_for_idempotent_calls() {
    let fleet = TestFleet::start(&["o0", "o1", "b0", "b1"]).await;
    let unknown = |_: &_| Act::Refuse(Outcome::Unknown, RefusalReason::ConnectionLost);
    fleet.agents[0].play(unknown);
    fleet.agents[1].play(|_| Act::Answer("assigned"));
    fleet.agents[2].play(unknown);
    fleet.agents[3].play(unknown);
    for _ in 0..6 {
        assert_eq!(fleet.call("GET", OFFICE, &[], "").await.body, "assigned");
    }
    let key = fleet.draw_keys(1).await.remove(0);
    assert_eq!(fleet.book(&key).await.outcome, "unknown");
    assert_eq!(fleet.agents[2].forward_count() + fleet.agents[3].forward_count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_entry_refreshes_before_it_hands_out_work() {
    let fleet = TestFleet::start(&["o0", "b0"]).await;
    fleet.agents.iter().for_each(|agent| agent.play(|_| Act::Answer("done")));
    let key = fleet.draw_keys(1).await.remove(0);
    fleet.clock.jump(Duration::from_secs(5));
    let reply = fleet.call("GET", OFFICE, &[], "").await;
    assert_eq!((reply.status, reply.outcome.as_str()), (503, "not_run"), "{reply:?}");
    assert!(reply.body.contains("refreshing"), "{reply:?}");
    assert_eq!(fleet.book(&key).await.outcome, "unknown", "the owner was not asked");
    assert_eq!(fleet.forward_total(), 0);
    fleet.wait_until_ready().await;
    assert_eq!(fleet.call("GET", OFFICE, &[], "").await.status, 200);
}
