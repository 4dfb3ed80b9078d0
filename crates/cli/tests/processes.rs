//! End-to-end tests with entries and agents as separate processes: real binaries, real signals, stand-ins for the
//! platform.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use config::HostRole;
use fleet::{HttpResponse, ProcessFleet};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a request path that works only when all nodes share one process.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_from_end_to_end() {
    let fleet = ProcessFleet::start("end-to-end").await;
    let response = fleet.generate_until_complete(0, "route for ward 7", 20, RESPONSE_TIMEOUT).await;
    assert!(response.is_expected(&fleet.manifest(), "route for ward 7", 20), "{response:?}");
    let addresses = fleet.get(1, "/v1/addresses?team=survey-north").await;
    assert!(addresses.body.contains(&fleet.entry_address(0).to_string()), "{addresses:?}");
}

/// Guards against a graceful shutdown that breaks open streams: the entry that serves them and one of the two agents
/// receive SIGTERM.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_breaks_no_stream() {
    let mut fleet = ProcessFleet::start("planned-stop").await;
    fleet.generate_until_complete(0, "warm-up", 1, RESPONSE_TIMEOUT).await;
    let streams: Vec<_> = (0..2).map(|_| fleet.start_generate(0, "long briefing", 200)).collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.signal("engine-1", "TERM");
    fleet.signal("entry-0", "TERM");
    for stream in streams {
        let response = stream.await.unwrap();
        assert!(response.is_expected(&fleet.manifest(), "long briefing", 200), "{response:?}");
    }
    assert!(fleet.exits_successfully("entry-0").await);
    assert!(fleet.exits_successfully("engine-1").await);
    let response = fleet.generate_until_complete(1, "after the stop", 5, RESPONSE_TIMEOUT).await;
    assert!(response.is_expected(&fleet.manifest(), "after the stop", 5), "{response:?}");
}

/// Guards against requests that hang or fail because they are routed to a killed agent.
#[tokio::test(flavor = "multi_thread")]
async fn killed_agent_is_avoided() {
    let mut fleet = ProcessFleet::start("killed-agent").await;
    fleet.generate_until_complete(0, "warm-up", 1, RESPONSE_TIMEOUT).await;
    fleet.kill("engine-0");
    let started = Instant::now();
    for number in 0..10 {
        let prompt = format!("callback {number}");
        let response =
            fleet.generate_until_complete(number % 2, &prompt, 5, RESPONSE_TIMEOUT).await;
        assert!(response.is_expected(&fleet.manifest(), &prompt, 5), "{response:?}");
    }
    assert!(started.elapsed() < RESPONSE_TIMEOUT);
}

/// Guards against requests that wait forever for an agent paused by SIGSTOP, and against an agent that stays unused
/// after it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn paused_agent_is_avoided_and_used_again_after_it_resumes() {
    let fleet = ProcessFleet::start("paused-agent").await;
    fleet.generate_until_complete(0, "warm-up", 1, RESPONSE_TIMEOUT).await;
    fleet.signal("engine-0", "STOP");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let response = fleet.generate_until_complete(0, "while paused", 5, RESPONSE_TIMEOUT).await;
    assert!(response.is_expected(&fleet.manifest(), "while paused", 5), "{response:?}");
    fleet.signal("engine-0", "CONT");
    fleet.signal("engine-1", "STOP");
    let response = fleet.generate_until_complete(0, "after the pause", 5, RESPONSE_TIMEOUT).await;
    fleet.signal("engine-1", "CONT");
    assert!(response.is_expected(&fleet.manifest(), "after the pause", 5), "{response:?}");
}

/// Guards against running processes that cannot serve requests without the configuration service.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_configuration_service_is_down() {
    let fleet = ProcessFleet::start("service-down").await;
    fleet.generate_until_complete(0, "warm-up", 1, RESPONSE_TIMEOUT).await;
    fleet.platform.set_down(true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let response: HttpResponse =
        fleet.generate_until_complete(1, "without the service", 5, RESPONSE_TIMEOUT).await;
    assert!(response.is_expected(&fleet.manifest(), "without the service", 5), "{response:?}");
}

/// Guards against a booking that runs twice when its caller resends it through another entry, concurrently or later.
#[tokio::test(flavor = "multi_thread")]
async fn resent_booking_runs_once() {
    let fleet = ProcessFleet::start("resent-booking").await;
    // Both entries must be ready: an entry that is still starting responds with "unknown".
    fleet.obtain_key(1).await;
    let key = fleet.obtain_key(0).await;
    let (first, second) =
        tokio::join!(fleet.book(0, &key, "visit-1"), fleet.book(1, &key, "visit-1"));
    assert_eq!((first.status, second.status), (200, 200), "{first:?} {second:?}");
    assert_eq!(first.body, second.body);
    let late = fleet.book(1, &key, "visit-1").await;
    assert_eq!((late.status, late.body), (200, first.body));
    assert_eq!(fleet.count_runs("visit-1"), 1);
}

/// Guards against an agent that runs a booking again because it lost the record of the first run in a restart.
#[tokio::test(flavor = "multi_thread")]
async fn booking_is_unknown_after_its_owner_restarted() {
    let mut fleet = ProcessFleet::start("restarted-owner").await;
    let key = fleet.obtain_key(0).await;
    assert_eq!(fleet.book(0, &key, "visit-2").await.status, 200);
    fleet.kill("booking-0");
    let gone = fleet.book(0, &key, "visit-2").await;
    assert_eq!(gone.status, 504, "{gone:?}");
    fleet.spawn("booking-0", HostRole::Agent);
    let fresh = loop {
        let fresh = fleet.obtain_key(1).await;
        if fleet.book(1, &fresh, "visit-3").await.status == 200 {
            break fresh;
        }
    };
    let old = fleet.book(1, &key, "visit-2").await;
    assert!(old.status == 504 && old.body.contains("owner_gone"), "{old:?}");
    assert_eq!((fleet.count_runs("visit-2"), fleet.count_runs("visit-3")), (1, 1));
    assert_ne!(fresh, key);
}

/// Guards against a second run of a booking whose first response was lost between service and agent.
#[tokio::test(flavor = "multi_thread")]
async fn booking_with_lost_response_is_unknown_and_not_run_again() {
    let fleet = ProcessFleet::start("lost-answer").await;
    let key = fleet.obtain_key(0).await;
    fleet.booking.drop_responses(1);
    let lost = fleet.book(0, &key, "visit-4").await;
    assert_eq!(lost.status, 504, "{lost:?}");
    let again = fleet.book(1, &key, "visit-4").await;
    assert_eq!(again.status, 504, "{again:?}");
    assert_eq!(fleet.count_runs("visit-4"), 1);
}

/// Guards against an entry that resumes after a pause and forwards a booking that its caller has meanwhile completed
/// through another entry.
#[tokio::test(flavor = "multi_thread")]
async fn paused_entry_does_not_run_a_booking_twice() {
    let fleet = ProcessFleet::start("paused-entry").await;
    fleet.obtain_key(1).await;
    let key = fleet.obtain_key(0).await;
    fleet.signal("entry-0", "STOP");
    let (paused, other) = tokio::join!(
        async {
            let response = fleet.book(0, &key, "visit-5");
            tokio::time::timeout(Duration::from_secs(8), response).await
        },
        async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let other = fleet.book(1, &key, "visit-5").await;
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            fleet.signal("entry-0", "CONT");
            other
        }
    );
    assert_eq!(other.status, 200, "{other:?}");
    assert!(paused.is_ok_and(|response| response.status == 200 || response.status == 504));
    assert_eq!(fleet.count_runs("visit-5"), 1);
}

/// Engines whose weights had been unloaded by an order of an earlier process refused all later load orders, and the weights
/// were not uploaded again.
#[tokio::test(flavor = "multi_thread")]
async fn unloaded_weights_are_not_uploaded_again() {
    let fleet = ProcessFleet::start("unloaded-weights").await;
    fleet.generate_until_complete(0, "warm-up", 1, RESPONSE_TIMEOUT).await;
    fleet.unload().await;
    let response = fleet.generate_until_complete(0, "after the unload", 5, RESPONSE_TIMEOUT).await;
    assert!(response.is_expected(&fleet.manifest(), "after the unload", 5), "{response:?}");
}
