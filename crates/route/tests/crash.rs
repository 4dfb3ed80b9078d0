//! Guards against faults of the crash table: losing more than two upstreams to one request, refusing requests forever
//! because they were in flight during crashes caused by others, counting one crash twice, and unbounded growth.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use route::{CrashEvidence, CrashTable, CrashTableOptions, CrashVerdict, Fingerprint};

const SECOND: Duration = Duration::from_secs(1);

fn fingerprint_of(text: &str) -> Fingerprint {
    Fingerprint::of(text.as_bytes())
}

fn is_refused(verdict: CrashVerdict) -> bool {
    matches!(verdict, CrashVerdict::Refuse { .. })
}

#[test]
fn crash_makes_all_requests_in_flight_suspect() {
    let (now, mut table) = (Instant::now(), CrashTable::default());
    let evidence =
        table.record_upstream_crash(now, "a", [fingerprint_of("x"), fingerprint_of("y")]);
    assert_eq!(evidence.len(), 2);
    for name in ["x", "y"] {
        assert_eq!(table.verdict(now, &fingerprint_of(name)), CrashVerdict::Isolate);
    }
    assert_eq!(table.verdict(now, &fingerprint_of("z")), CrashVerdict::Allow);
}

#[test]
fn request_that_crashed_in_isolation_is_refused_for_ten_minutes() {
    let (now, mut table) = (Instant::now(), CrashTable::default());
    table.record_upstream_crash(now, "a", [fingerprint_of("x")]);
    let verdict = table.verdict(now + 599 * SECOND, &fingerprint_of("x"));
    assert_eq!(verdict, CrashVerdict::Refuse { retry_after: SECOND });
    assert_eq!(table.verdict(now + 600 * SECOND, &fingerprint_of("x")), CrashVerdict::Allow);
}

#[test]
fn request_with_two_shared_crashes_is_refused_for_one_minute_then_isolated() {
    let (now, mut table) = (Instant::now(), CrashTable::default());
    table.record_crash(now, "a", fingerprint_of("x"), false);
    table.record_crash(now, "b", fingerprint_of("x"), false);
    assert!(is_refused(table.verdict(now + 59 * SECOND, &fingerprint_of("x"))));
    assert_eq!(table.verdict(now + 60 * SECOND, &fingerprint_of("x")), CrashVerdict::Isolate);
}

#[test]
fn one_crash_reported_by_several_processes_counts_once() {
    let (now, mut table) = (Instant::now(), CrashTable::default());
    assert!(table.record_crash(now, "a", fingerprint_of("x"), false).is_some());
    let evidence = table.evidence(now, &fingerprint_of("x")).expect("recorded");
    for delay in [0, 1, 2] {
        assert!(!table.apply_evidence(now + delay * SECOND, &evidence));
    }
    assert_eq!(table.verdict(now, &fingerprint_of("x")), CrashVerdict::Isolate);
}

#[test]
fn late_report_of_a_crash_does_not_make_a_cleared_request_suspect_again() {
    let (now, mut table) = (Instant::now(), CrashTable::default());
    let evidence =
        table.record_crash(now, "a", fingerprint_of("x"), false).expect("evidence of a new crash");
    assert!(table.record_success(now + SECOND, &fingerprint_of("x"), false).is_none());
    assert!(
        table.record_success(now + SECOND, &fingerprint_of("x"), true).expect("cleared").cleared
    );
    assert!(!table.apply_evidence(now + SECOND, &evidence));
    assert_eq!(table.verdict(now + SECOND, &fingerprint_of("x")), CrashVerdict::Allow);
    table.record_crash(now + 30 * SECOND, "a", fingerprint_of("x"), false);
    assert_eq!(table.verdict(now + 30 * SECOND, &fingerprint_of("x")), CrashVerdict::Isolate);
}

#[test]
fn clearance_does_not_override_a_crash_in_isolation_or_a_later_crash() {
    let now = Instant::now();
    let clearance = |age| CrashEvidence {
        fingerprint: fingerprint_of("x"),
        upstream: "a".into(),
        crashes: 1,
        isolated: false,
        age,
        cleared: true,
    };
    let mut table = CrashTable::default();
    table.record_crash(now, "a", fingerprint_of("x"), true);
    assert!(!table.apply_evidence(now, &clearance(Duration::ZERO)));
    assert!(is_refused(table.verdict(now, &fingerprint_of("x"))));
    let mut table = CrashTable::default();
    table.record_crash(now, "b", fingerprint_of("x"), false);
    assert!(!table.apply_evidence(now, &clearance(20 * SECOND)));
    assert_eq!(table.verdict(now, &fingerprint_of("x")), CrashVerdict::Isolate);
}

#[test]
fn table_stays_bounded_and_keeps_refused_fingerprints_longest() {
    let now = Instant::now();
    let options = CrashTableOptions { capacity: 8, ..CrashTableOptions::default() };
    let mut table = CrashTable::new(options);
    table.record_crash(now, "a", fingerprint_of("guilty"), true);
    for index in 0..1_000 {
        let at = now + index * Duration::from_millis(10);
        table.record_crash(at, "b", fingerprint_of(&index.to_string()), false);
        assert!(table.len() <= 8);
    }
    assert!(is_refused(table.verdict(now + 10 * SECOND, &fingerprint_of("guilty"))));
    table.expire(now + 700 * SECOND);
    assert!(table.is_empty());
}

/// Step of a simulated fleet.
#[derive(Clone, Debug)]
enum Step {
    /// An entry sends the request with this number to an upstream. Request 0 crashes its upstream.
    Send { request: usize, entry: usize, upstream: usize },
    /// All requests in flight on an upstream end, with a crash if request 0 is among them.
    Finish { upstream: usize },
    /// An earlier notice is delivered again to one table.
    Repeat { notice: usize, table: usize },
    /// Time passes.
    Wait { millis: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..5usize, 0..3usize, 0..6usize)
            .prop_map(|(request, entry, upstream)| Step::Send { request, entry, upstream }),
        3 => (0..6usize).prop_map(|upstream| Step::Finish { upstream }),
        1 => (0..64usize, 0..3usize).prop_map(|(notice, table)| Step::Repeat { notice, table }),
        1 => (0..400u64).prop_map(|millis| Step::Wait { millis }),
    ];
    prop::collection::vec(step, 0..200)
}

/// Three entries that exchange crash notices, in front of six upstreams that crash on request 0.
struct Fleet {
    now: Instant,
    tables: Vec<CrashTable>,
    in_flight: Vec<Vec<(usize, bool)>>,
    notices: Vec<(Instant, CrashEvidence)>,
    lost: usize,
}

impl Fleet {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            tables: (0..3).map(|_| CrashTable::default()).collect(),
            in_flight: vec![Vec::new(); 6],
            notices: Vec::new(),
            lost: 0,
        }
    }

    fn send(&mut self, request: usize, entry: usize, upstream: usize) {
        let is_running = self.in_flight.iter().flatten().any(|(other, _)| *other == request);
        let work = &mut self.in_flight[upstream];
        let runs_isolated = work.iter().any(|(_, isolated)| *isolated);
        if is_running || runs_isolated {
            return;
        }
        match self.tables[entry].verdict(self.now, &fingerprint_of(&request.to_string())) {
            CrashVerdict::Allow => work.push((request, false)),
            CrashVerdict::Isolate if work.is_empty() => work.push((request, true)),
            CrashVerdict::Isolate | CrashVerdict::Refuse { .. } => {}
        }
    }

    fn share(&mut self, evidence: Vec<CrashEvidence>) {
        for notice in evidence {
            for table in &mut self.tables {
                table.apply_evidence(self.now, &notice);
            }
            self.notices.push((self.now, notice));
        }
    }

    fn finish(&mut self, upstream: usize) {
        let work = std::mem::take(&mut self.in_flight[upstream]);
        let name = upstream.to_string();
        if work.iter().any(|(request, _)| *request == 0) {
            self.lost += 1;
            let fingerprints = work.iter().map(|(request, _)| fingerprint_of(&request.to_string()));
            let evidence = self.tables[0].record_upstream_crash(self.now, &name, fingerprints);
            self.share(evidence);
        } else {
            for (request, isolated) in work {
                let fingerprint = fingerprint_of(&request.to_string());
                let evidence = self.tables[0].record_success(self.now, &fingerprint, isolated);
                self.share(evidence.into_iter().collect());
            }
        }
    }
}

proptest! {
    #[test]
    fn at_most_two_upstreams_are_lost_and_harmless_requests_are_served(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            match step {
                Step::Send { request, entry, upstream } => fleet.send(request, entry, upstream),
                Step::Finish { upstream } => fleet.finish(upstream),
                Step::Repeat { notice, table } => {
                    if let Some((at, evidence)) = fleet.notices.get(notice).cloned() {
                        let age = evidence.age + (fleet.now - at);
                        let late = CrashEvidence { age, ..evidence };
                        fleet.tables[table].apply_evidence(fleet.now, &late);
                    }
                }
                Step::Wait { millis } => fleet.now += Duration::from_millis(millis),
            }
            prop_assert!(fleet.lost <= 2, "lost {} upstreams", fleet.lost);
        }
        // Requests that share an upstream with request 0 are not refused. At worst they run in isolation.
        for request in 1..5 {
            let fingerprint = fingerprint_of(&request.to_string());
            for table in &fleet.tables {
                prop_assert!(
                    !is_refused(table.verdict(fleet.now, &fingerprint)),
                    "harmless request {request} is refused"
                );
            }
        }
    }

    #[test]
    fn tables_agree_regardless_of_the_order_of_notices(
        mut order in Just((0..6usize).collect::<Vec<_>>()).prop_shuffle(),
        flags in prop::collection::vec(any::<bool>(), 6),
        repeats in prop::collection::vec(0..6usize, 0..6),
    ) {
        let now = Instant::now();
        let notices: Vec<_> = (0..6usize).map(|index| CrashEvidence {
            fingerprint: fingerprint_of(&(index % 2).to_string()),
            upstream: (index / 2).to_string().into(),
            crashes: 1,
            isolated: flags[index],
            age: Duration::from_secs(index as u64),
            cleared: false,
        }).collect();
        order.extend(repeats);
        let (mut in_order, mut shuffled) = (CrashTable::default(), CrashTable::default());
        notices.iter().for_each(|notice| { in_order.apply_evidence(now, notice); });
        order.iter().for_each(|index| { shuffled.apply_evidence(now, &notices[*index]); });
        for name in ["0", "1"] {
            let fingerprint = fingerprint_of(name);
            prop_assert_eq!(in_order.verdict(now, &fingerprint), shuffled.verdict(now, &fingerprint));
        }
    }
}
