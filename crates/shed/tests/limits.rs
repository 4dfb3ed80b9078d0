//! Limits on the prediction with which requests are placed.

mod common;

use std::time::{Duration, Instant};

use shed::{ContentionTable, ShedControl, ShedRequest};

use common::{config, route};

fn request(rank: u8, target_ms: u64, is_on_time: bool) -> ShedRequest {
    let target = Duration::from_millis(target_ms);
    ShedRequest {
        service: "ranked".into(),
        rank,
        team: None,
        time_to_target: is_on_time.then_some(target),
        target,
    }
}

fn control(routes: Vec<fleet::RouteRecord>) -> ShedControl {
    let mut table = ContentionTable::new();
    table.set_config(&config(routes));
    let mut control = ShedControl::new();
    control.set_contention(&table, Instant::now());
    control
}

/// Guards against load shedding at services where it is not required.
#[test]
fn service_that_is_not_contended_has_no_limit() {
    let control = control(vec![route("ranked", 1, 400)]);
    assert_eq!(control.delay_limit(&request(1, 400, true), Instant::now()), None);
    assert_eq!(control.delay_limit(&request(1, 400, false), Instant::now()), None);
}

/// Guards against a delay-tolerant rank that fills the engines until urgent ranks are refused, and against late requests
/// that are admitted where on-time requests are not.
#[test]
fn limits_follow_the_order_of_ranks_and_late_requests_come_last() {
    let control =
        control(vec![route("ranked", 0, 400), route("ranked", 1, 400), route("ranked", 2, 1_000)]);
    let now = Instant::now();
    let limit = |rank, target, on_time| {
        control.delay_limit(&request(rank, target, on_time), now).unwrap().as_millis()
    };
    assert_eq!(limit(0, 400, true), 520);
    assert!(limit(1, 400, true) <= 520);
    assert!(limit(2, 1_000, true) <= limit(1, 400, true));
    // 1.5 times the prediction at an idle engine: a lower limit would refuse work at engines with room.
    assert!(limit(2, 1_000, true) >= 270);
    for (rank, target) in [(0, 400), (1, 400), (2, 1_000)] {
        assert!(limit(rank, target, false) < limit(2, 1_000, true));
    }
}

/// Guards against a limit beyond the time that the request itself has left.
#[test]
fn limit_follows_the_time_left() {
    let control = control(vec![route("ranked", 0, 400), route("ranked", 2, 1_000)]);
    let short =
        ShedRequest { time_to_target: Some(Duration::from_millis(100)), ..request(0, 400, true) };
    let limit = control.delay_limit(&short, Instant::now());
    assert_eq!(limit, Some(Duration::from_millis(130)));
}
