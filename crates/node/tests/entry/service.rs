//! Guards against failures of requests to plain services: a keyed request that is sent to another upstream than its
//! owner, a wrong `not_run`, a caller that waits for an owner that is down, and retries that multiply the load.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use crate::support::{TestFleet, agent::AgentAction};
use base::{Outcome, RefusalReason};

const OFFICE: &str = "/v1/services/office/assignments";

#[tokio::test(flavor = "multi_thread")]
async fn refusal_is_retried_elsewhere() {
    let fleet = TestFleet::start(&["o0", "o1"]).await;
    fleet.agents[0].set_action(|_| AgentAction::Refuse(Outcome::NotRun, RefusalReason::Overloaded));
    fleet.agents[1].set_action(|_| AgentAction::Respond("assigned"));
    for _ in 0..10 {
        let response = fleet.send_request("GET", OFFICE, &[], "").await;
        assert_eq!((response.status, response.body.as_str()), (200, "assigned"), "{response:?}");
    }
    assert!(fleet.agents[0].forward_count() > 0, "the refusing upstream was never tried");
    let paths = fleet.agents[1].forwards.lock().unwrap();
    assert!(paths.iter().all(|forward| forward.path == "/assignments"));
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_budget_limits_retries() {
    let fleet = TestFleet::start(&["o0", "o1", "o2"]).await;
    for agent in &fleet.agents {
        agent.set_action(|_| AgentAction::Refuse(Outcome::NotRun, RefusalReason::Overloaded));
    }
    for _ in 0..200 {
        let response = fleet.send_request("GET", OFFICE, &[], "").await;
        assert_eq!((response.status, response.outcome.as_str()), (503, "not_run"), "{response:?}");
        assert!(response.retry_after.is_some(), "the refusal has no retry delay");
    }
    let retries = fleet.forward_total() - 200;
    assert_eq!(retries, 16, "retries differ from the initial budget of one team");
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_request_goes_only_to_its_owner() {
    let fleet = TestFleet::start(&["b0", "b1"]).await;
    fleet.agents[0].set_action(|_| AgentAction::Refuse(Outcome::NotRun, RefusalReason::Overloaded));
    fleet.agents[1].set_action(|_| AgentAction::Respond("booked"));
    for key in fleet.request_keys(8).await {
        let response = fleet.send_booking(&key).await;
        if key.contains("~b0~") {
            assert_eq!(
                (response.status, response.outcome.as_str()),
                (503, "not_run"),
                "{response:?}"
            );
        } else {
            assert_eq!((response.status, response.body.as_str()), (200, "booked"), "{response:?}");
        }
    }
    for agent in &fleet.agents {
        let forwards = agent.forwards.lock().unwrap();
        assert_eq!(forwards.len(), 4, "keys are not spread over the owners in turn");
        let own = format!("~{}~", agent.upstream);
        assert!(forwards.iter().all(|forward| forward.key.contains(&own)));
    }
    let response = fleet.send_request("POST", "/v1/services/booking/visits", &[], "visit").await;
    assert!(response.status == 400 && response.body.contains("key_required"), "{response:?}");
    let response = fleet.send_booking("k1~booking~b0~7~1~1~00").await;
    assert!(response.status == 400 && response.outcome == "unknown", "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_to_a_dead_owner_are_unknown_at_once_and_new_keys_have_other_owners() {
    let fleet = TestFleet::start(&["b0", "b1"]).await;
    fleet.agents.iter().for_each(|agent| agent.set_action(|_| AgentAction::Respond("booked")));
    let keys = fleet.request_keys(2).await;
    let key = keys.iter().find(|key| key.contains("~b0~")).expect("owners take turns");
    fleet.agents[0].kill();
    let started = Instant::now();
    let response = fleet.send_booking(key).await;
    assert_eq!((response.status, response.outcome.as_str()), (504, "unknown"), "{response:?}");
    assert!(response.body.contains("owner_unreachable") && response.retry_after.is_some());
    assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
    let keys = fleet.request_keys(4).await;
    assert!(keys.iter().all(|key| key.contains("~b1~")), "{keys:?}");
    assert_eq!(fleet.send_booking(&keys[0]).await.body, "booked");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_to_an_unresponsive_owner_are_unknown_long_before_the_deadline() {
    let fleet = TestFleet::start(&["b0"]).await;
    let key = fleet.request_keys(1).await.remove(0);
    fleet.agents[0].responsive.store(false, Ordering::Relaxed);
    let started = Instant::now();
    let response = fleet.send_booking(&key).await;
    assert_eq!((response.status, response.outcome.as_str()), (504, "unknown"), "{response:?}");
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_connection_is_retried_only_for_idempotent_requests() {
    let fleet = TestFleet::start(&["o0", "o1", "b0", "b1"]).await;
    let unknown = |_: &_| AgentAction::Refuse(Outcome::Unknown, RefusalReason::ConnectionLost);
    fleet.agents[0].set_action(unknown);
    fleet.agents[1].set_action(|_| AgentAction::Respond("assigned"));
    fleet.agents[2].set_action(unknown);
    fleet.agents[3].set_action(unknown);
    for _ in 0..6 {
        assert_eq!(fleet.send_request("GET", OFFICE, &[], "").await.body, "assigned");
    }
    let key = fleet.request_keys(1).await.remove(0);
    assert_eq!(fleet.send_booking(&key).await.outcome, "unknown");
    assert_eq!(fleet.agents[2].forward_count() + fleet.agents[3].forward_count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_entry_refreshes_before_it_forwards_requests() {
    let fleet = TestFleet::start(&["o0", "b0"]).await;
    fleet.agents.iter().for_each(|agent| agent.set_action(|_| AgentAction::Respond("done")));
    let key = fleet.request_keys(1).await.remove(0);
    fleet.clock.jump(Duration::from_secs(5));
    let response = fleet.send_request("GET", OFFICE, &[], "").await;
    assert_eq!((response.status, response.outcome.as_str()), (503, "not_run"), "{response:?}");
    assert!(response.body.contains("refreshing"), "{response:?}");
    assert_eq!(
        fleet.send_booking(&key).await.outcome,
        "unknown",
        "the request was not sent to the owner"
    );
    assert_eq!(fleet.forward_total(), 0);
    fleet.wait_until_ready().await;
    assert_eq!(fleet.send_request("GET", OFFICE, &[], "").await.status, 200);
}
