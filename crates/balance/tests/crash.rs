//! Guards against a request that crashes one upstream after another, and against refusing harmless requests that were
//! running when an upstream crashed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use balance::{CrashDetector, LostRequest, fingerprint_of};
use fleet::{FleetView, UpstreamRecord};
use route::Fingerprint;

fn request(body: &str) -> Fingerprint {
    fingerprint_of("key", "/draft/1", body.as_bytes())
}

fn view(upstreams: &[(&str, u64)]) -> FleetView {
    let mut view = FleetView::default();
    let records = upstreams.iter().map(|(name, started_ms)| {
        let record = UpstreamRecord {
            upstream: (*name).into(),
            service: "llm".into(),
            address: "10.0.0.1:80".parse().expect("an address"),
            data_centre: "north".into(),
            slots: 4,
            draining: false,
            cold_for: Duration::ZERO,
            weights: Vec::new(),
            started_ms: *started_ms,
        };
        (Arc::new(record), None)
    });
    view.set_upstreams(records.collect());
    view
}

fn lost(fingerprint: Fingerprint, upstream: &str) -> LostRequest {
    LostRequest { fingerprint, upstream: upstream.into(), started_ms: 1, suspect_parts: Vec::new() }
}

/// Records a confirmed crash by the request. Each `round` uses a different upstream.
fn crash(
    detector: &mut CrashDetector,
    now: Instant,
    fingerprint: Fingerprint,
    round: u64,
) -> usize {
    let upstream = format!("u{round}");
    detector.record_connection_lost(now, lost(fingerprint, &upstream));
    detector.record_unreachable(now, &upstream)
}

#[test]
fn third_confirmed_crash_refuses_only_that_request() {
    let mut detector = CrashDetector::new();
    let now = Instant::now();
    for round in 0..3 {
        assert_eq!(detector.refusal_time(now, || request("bad")), None, "after {round} crashes");
        assert_eq!(crash(&mut detector, now, request("bad"), round), 1);
    }
    assert!(detector.refusal_time(now, || request("bad")).is_some());
    assert_eq!(detector.refusal_time(now, || request("good")), None);
    assert_eq!(detector.refusal_time(now, || fingerprint_of("other", "/draft/1", b"bad")), None);
    let later = now + Duration::from_secs(601);
    assert_eq!(detector.refusal_time(later, || request("bad")), None, "evidence expires");
}

#[test]
fn broken_connections_to_running_upstreams_are_not_crashes() {
    let mut detector = CrashDetector::new();
    let now = Instant::now();
    for round in 0..5 {
        detector.record_connection_lost(now, lost(request("slow"), &format!("u{round}")));
    }
    let known = [("u0", 1), ("u1", 1), ("u2", 1), ("u3", 2), ("u4", 1)];
    assert_eq!(detector.record_view(now, &view(&known)), 1, "only u3 was restarted");
    let late = now + Duration::from_secs(6);
    assert_eq!(
        detector.record_view(late, &view(&[])),
        0,
        "upstreams that disappear later did not crash"
    );
    assert_eq!(detector.refusal_time(late, || request("slow")), None);
}

#[test]
fn success_clears_the_evidence_against_a_request() {
    let mut detector = CrashDetector::new();
    let now = Instant::now();
    for round in 0..3 {
        crash(&mut detector, now, request("unlucky"), round);
    }
    detector.record_success(now + Duration::from_secs(1), request("unlucky"));
    assert_eq!(detector.refusal_time(now + Duration::from_secs(1), || request("unlucky")), None);
}

#[test]
fn evidence_from_several_entries_adds_up() {
    let now = Instant::now();
    let mut detectors = [CrashDetector::new(), CrashDetector::new(), CrashDetector::new()];
    for (round, detector) in (0..).zip(&mut detectors) {
        crash(detector, now, request("bad"), round);
    }
    let due: Vec<_> = detectors.iter_mut().flat_map(CrashDetector::take_due_evidence).collect();
    let [first, ..] = &mut detectors;
    for evidence in &due {
        first.apply_evidence(now, evidence);
    }
    assert!(first.refusal_time(now, || request("bad")).is_some());
    let resent = (0..9).map(|_| first.take_due_evidence().len()).sum::<usize>();
    assert_eq!(resent, 2, "evidence is sent three times in all");
}

/// Lets an upstream crash with the request in flight every second, beginning at `first`.
fn crash_three(detector: &mut CrashDetector, first: Instant, fingerprint: Fingerprint) -> Instant {
    for round in 0..3 {
        crash(detector, first + Duration::from_secs(round), fingerprint, round);
    }
    first + Duration::from_secs(3)
}

#[test]
fn request_that_succeeded_shortly_before_unrelated_crashes_is_refused() {
    let mut detector = CrashDetector::new();
    let now = Instant::now();
    detector.record_success(now, request("innocent"));
    let end = crash_three(&mut detector, now + Duration::from_secs(5), request("innocent"));
    assert_eq!(detector.refusal_time(end, || request("innocent")), None);
    crash_three(&mut detector, now + Duration::from_secs(5), request("bad"));
    assert!(detector.refusal_time(end, || request("bad")).is_some(), "the success of another");

    let late = now + Duration::from_secs(20);
    let end = crash_three(&mut detector, late, request("innocent"));
    assert!(detector.refusal_time(end, || request("innocent")).is_some(), "the success is old");
}

#[test]
fn success_between_crash_and_confirmation_does_not_clear_the_request() {
    let mut detector = CrashDetector::new();
    let now = Instant::now();
    detector.record_connection_lost(now, lost(request("innocent"), "u0"));
    detector.record_success(now + Duration::from_millis(300), request("innocent"));
    let confirmed = now + Duration::from_millis(500);
    detector.record_unreachable(confirmed, "u0");
    let end = now + Duration::from_secs(11);
    for round in 1..3 {
        crash(&mut detector, end, request("innocent"), round);
    }
    assert_eq!(detector.refusal_time(end, || request("innocent")), None, "two crashes count");
}

#[test]
fn success_at_another_entry_before_the_crashes_does_not_clear_the_request() {
    let now = Instant::now();
    // Copies of the same evidence and clearance are lost: the first, the second, or none.
    for lost_copies in 0..3 {
        let (mut first, mut second) = (CrashDetector::new(), CrashDetector::new());
        first.record_success(now, request("innocent"));
        crash_three(&mut second, now + Duration::from_secs(1), request("innocent"));
        let at = now + Duration::from_secs(4);
        for copy in 0..3 {
            let (from_first, from_second) = (first.take_due_evidence(), second.take_due_evidence());
            if copy >= lost_copies {
                from_second.iter().for_each(|evidence| {
                    first.apply_evidence(at, evidence);
                });
                from_first.iter().for_each(|evidence| {
                    second.apply_evidence(at, evidence);
                });
            }
        }
        for evidence in first.take_due_evidence() {
            second.apply_evidence(at, &evidence);
        }
        assert_eq!(second.refusal_time(at, || request("innocent")), None, "{lost_copies} lost");
        assert_eq!(first.refusal_time(at, || request("innocent")), None, "{lost_copies} lost");
    }
}

#[test]
fn evidence_against_a_request_that_never_succeeded_is_cleared() {
    let now = Instant::now();
    let (mut first, mut second) = (CrashDetector::new(), CrashDetector::new());
    first.record_success(now, request("good"));
    let end = crash_three(&mut second, now, request("bad"));
    for evidence in second.take_due_evidence() {
        first.apply_evidence(end, &evidence);
    }
    assert_eq!(first.take_due_evidence(), Vec::new());
    assert!(first.refusal_time(end, || request("bad")).is_some());
    assert!(second.refusal_time(end, || request("bad")).is_some());
}
