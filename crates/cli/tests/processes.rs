//! The whole path as separate processes: real binaries, real signals, stand-ins for the platform.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use config::HostRole;
use fleet::{ProcessFleet, Reply};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a path that works only inside one process.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_from_end_to_end() {
    let fleet = ProcessFleet::start("end-to-end").await;
    let reply = fleet.answered(0, "route for ward 7", 20, ANSWER_TIMEOUT).await;
    assert!(reply.is_whole(&fleet.manifest(), "route for ward 7", 20), "{reply:?}");
    let addresses = fleet.get(1, "/v1/addresses?team=survey-north").await;
    assert!(addresses.body.contains(&fleet.entry_address(0).to_string()), "{addresses:?}");
}

/// Guards against a planned stop that cuts a stream (SIGTERM of the entry and of the agent that serve it).
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_no_stream() {
    let mut fleet = ProcessFleet::start("planned-stop").await;
    fleet.answered(0, "warm-up", 1, ANSWER_TIMEOUT).await;
    let streams: Vec<_> = (0..2).map(|_| fleet.start_generate(0, "long briefing", 200)).collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.signal("engine-1", "TERM");
    fleet.signal("entry-0", "TERM");
    for stream in streams {
        let reply = stream.await.unwrap();
        assert!(reply.is_whole(&fleet.manifest(), "long briefing", 200), "{reply:?}");
    }
    assert!(fleet.exited_with_success("entry-0").await);
    assert!(fleet.exited_with_success("engine-1").await);
    let reply = fleet.answered(1, "after the stop", 5, ANSWER_TIMEOUT).await;
    assert!(reply.is_whole(&fleet.manifest(), "after the stop", 5), "{reply:?}");
}

/// Guards against requests that hang on or are lost with an agent that was killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_agent_is_avoided() {
    let mut fleet = ProcessFleet::start("killed-agent").await;
    fleet.answered(0, "warm-up", 1, ANSWER_TIMEOUT).await;
    fleet.kill("engine-0");
    let started = Instant::now();
    for number in 0..10 {
        let prompt = format!("callback {number}");
        let reply = fleet.answered(number % 2, &prompt, 5, ANSWER_TIMEOUT).await;
        assert!(reply.is_whole(&fleet.manifest(), &prompt, 5), "{reply:?}");
    }
    assert!(started.elapsed() < ANSWER_TIMEOUT);
}

/// Guards against an agent that a pause (SIGSTOP) leaves useless, and against requests that wait for it for ever.
#[tokio::test(flavor = "multi_thread")]
async fn paused_agent_is_avoided_and_returns() {
    let fleet = ProcessFleet::start("paused-agent").await;
    fleet.answered(0, "warm-up", 1, ANSWER_TIMEOUT).await;
    fleet.signal("engine-0", "STOP");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let reply = fleet.answered(0, "while paused", 5, ANSWER_TIMEOUT).await;
    assert!(reply.is_whole(&fleet.manifest(), "while paused", 5), "{reply:?}");
    fleet.signal("engine-0", "CONT");
    fleet.signal("engine-1", "STOP");
    let reply = fleet.answered(0, "after the pause", 5, ANSWER_TIMEOUT).await;
    fleet.signal("engine-1", "CONT");
    assert!(reply.is_whole(&fleet.manifest(), "after the pause", 5), "{reply:?}");
}

/// Guards against a started process that depends on the configuration service alone.
#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_while_the_configuration_service_is_down() {
    let fleet = ProcessFleet::start("service-down").await;
    fleet.answered(0, "warm-up", 1, ANSWER_TIMEOUT).await;
    fleet.platform.set_down(true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let reply: Reply = fleet.answered(1, "without the service", 5, ANSWER_TIMEOUT).await;
    assert!(reply.is_whole(&fleet.manifest(), "without the service", 5), "{reply:?}");
}

/// Guards against a booking that runs twice when its caller sends it again through another entry, at once and late.
#[tokio::test(flavor = "multi_thread")]
async fn resent_booking_runs_once() {
    let fleet = ProcessFleet::start("resent-booking").await;
    // Both entries must be ready, or the second answers "unknown" while it starts.
    fleet.draw_key(1).await;
    let key = fleet.draw_key(0).await;
    let (first, second) =
        tokio::join!(fleet.book(0, &key, "visit-1"), fleet.book(1, &key, "visit-1"));
    assert_eq!((first.status, second.status), (200, 200), "{first:?} {second:?}");
    assert_eq!(first.body, second.body);
    let late = fleet.book(1, &key, "visit-1").await;
    assert_eq!((late.status, late.body), (200, first.body));
    assert_eq!(fleet.runs_of("visit-1"), 1);
}

/// Guards against an agent that runs a booking again because its restart lost the record.
#[tokio::test(flavor = "multi_thread")]
async fn booking_is_unknown_after_its_owner_restarted() {
    let mut fleet = ProcessFleet::start("restarted-owner").await;
    let key = fleet.draw_key(0).await;
    assert_eq!(fleet.book(0, &key, "visit-2").await.status, 200);
    fleet.kill("booking-0");
    let gone = fleet.book(0, &key, "visit-2").await;
    assert_eq!(gone.status, 504, "{gone:?}");
    fleet.spawn("booking-0", HostRole::Agent);
    let fresh = loop {
        let fresh = fleet.draw_key(1).await;
        if fleet.book(1, &fresh, "visit-3").await.status == 200 {
            break fresh;
        }
    };
    let old = fleet.book(1, &key, "visit-2").await;
    assert!(old.status == 504 && old.body.contains("owner_gone"), "{old:?}");
    assert_eq!((fleet.runs_of("visit-2"), fleet.runs_of("visit-3")), (1, 1));
    assert_ne!(fresh, key);
}

/// Guards against a second run when the answer of the first is lost between service and agent.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_unknown_and_not_run_again() {
    let fleet = ProcessFleet::start("lost-answer").await;
    let key = fleet.draw_key(0).await;
    fleet.booking.lose_answers(1);
    let lost = fleet.book(0, &key, "visit-4").await;
    assert_eq!(lost.status, 504, "{lost:?}");
    let again = fleet.book(1, &key, "visit-4").await;
    assert_eq!(again.status, 504, "{again:?}");
    assert_eq!(fleet.runs_of("visit-4"), 1);
}

/// Guards against an entry that wakes up after a pause and forwards a booking that its caller has settled elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn paused_entry_does_not_double_a_booking() {
    let fleet = ProcessFleet::start("paused-entry").await;
    fleet.draw_key(1).await;
    let key = fleet.draw_key(0).await;
    fleet.signal("entry-0", "STOP");
    let (paused, other) = tokio::join!(
        async {
            let reply = fleet.book(0, &key, "visit-5");
            tokio::time::timeout(Duration::from_secs(8), reply).await
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
    assert!(paused.is_ok_and(|reply| reply.status == 200 || reply.status == 504));
    assert_eq!(fleet.runs_of("visit-5"), 1);
}
