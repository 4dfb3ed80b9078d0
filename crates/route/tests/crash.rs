//! Failures of the crash table: losing more than two upstreams to one request, refusing neighbours for good, counting
//! one crash twice, and growing without bound.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use route::{CrashEvidence, CrashTable, CrashTableOptions, CrashVerdict, Fingerprint};

const SECOND: Duration = Duration::from_secs(1);

fn print_of(text: &str) -> Fingerprint {
    Fingerprint::of(text.as_bytes())
}

fn refused(verdict: CrashVerdict) -> bool {
    matches!(verdict, CrashVerdict::Refuse { .. })
}

#[test]
fn crash_makes_all_requests_in_flight_suspects() {
    let (now, mut table) = (Instant::now(), CrashTable::default());
    let evidence = table.record_upstream_crash(now, "a", [print_of("x"), print_of("y")]);
    assert_eq!(evidence.len(), 2);
    for name in ["x", "y"] {
        assert_eq!(table.verdict(now, &print_of(name)), CrashVerdict::Isolate);
    }
    assert_eq!(table.verdict(now, &print_of("z")), CrashVerdict::Unsuspected);
}

#[test]
fn crash_in_isolation_is_refused_for_ten_minutes() {
    let (now, mut table) = (Instant::now(), CrashTable::default());
    table.record_upstream_crash(now, "a", [print_of("x")]);
    let verdict = table.verdict(now + 599 * SECOND, &print_of("x"));
    assert_eq!(verdict, CrashVerdict::Refuse { retry_after: SECOND });
    assert_eq!(table.verdict(now + 600 * SECOND, &print_of("x")), CrashVerdict::Unsuspected);
}

#[test]
fn second_shared_crash_is_refused_for_one_minute_then_isolated() {
    let (now, mut table) = (Instant::now(), CrashTable::default());
    table.record_crash(now, "a", print_of("x"), false);
    table.record_crash(now, "b", print_of("x"), false);
    assert!(refused(table.verdict(now + 59 * SECOND, &print_of("x"))));
    assert_eq!(table.verdict(now + 60 * SECOND, &print_of("x")), CrashVerdict::Isolate);
}

#[test]
fn one_crash_reported_by_several_processes_counts_once() {
    let (now, mut table) = (Instant::now(), CrashTable::default());
    assert!(table.record_crash(now, "a", print_of("x"), false).is_some());
    let evidence = table.evidence(now, &print_of("x")).expect("recorded");
    for delay in [0, 1, 2] {
        assert!(!table.apply_evidence(now + delay * SECOND, &evidence));
    }
    assert_eq!(table.verdict(now, &print_of("x")), CrashVerdict::Isolate);
}

#[test]
fn late_report_of_a_cleared_crash_does_not_revive_the_suspicion() {
    let (now, mut table) = (Instant::now(), CrashTable::default());
    let evidence = table.record_crash(now, "a", print_of("x"), false).expect("new");
    assert!(table.record_success(now + SECOND, &print_of("x"), false).is_none());
    assert!(table.record_success(now + SECOND, &print_of("x"), true).expect("cleared").cleared);
    assert!(!table.apply_evidence(now + SECOND, &evidence));
    assert_eq!(table.verdict(now + SECOND, &print_of("x")), CrashVerdict::Unsuspected);
    table.record_crash(now + 30 * SECOND, "a", print_of("x"), false);
    assert_eq!(table.verdict(now + 30 * SECOND, &print_of("x")), CrashVerdict::Isolate);
}

#[test]
fn clearance_does_not_outweigh_a_crash_in_isolation_or_a_later_crash() {
    let now = Instant::now();
    let clearance = |age| CrashEvidence {
        fingerprint: print_of("x"),
        upstream: "a".into(),
        crashes: 1,
        isolated: false,
        age,
        cleared: true,
    };
    let mut table = CrashTable::default();
    table.record_crash(now, "a", print_of("x"), true);
    assert!(!table.apply_evidence(now, &clearance(Duration::ZERO)));
    assert!(refused(table.verdict(now, &print_of("x"))));
    let mut table = CrashTable::default();
    table.record_crash(now, "b", print_of("x"), false);
    assert!(!table.apply_evidence(now, &clearance(20 * SECOND)));
    assert_eq!(table.verdict(now, &print_of("x")), CrashVerdict::Isolate);
}

#[test]
fn table_stays_bounded_and_keeps_refused_fingerprints_longest() {
    let now = Instant::now();
    let options = CrashTableOptions { capacity: 8, ..CrashTableOptions::default() };
    let mut table = CrashTable::new(options);
    table.record_crash(now, "a", print_of("guilty"), true);
    for index in 0..1_000 {
        let at = now + index * Duration::from_millis(10);
        table.record_crash(at, "b", print_of(&index.to_string()), false);
        assert!(table.len() <= 8);
    }
    assert!(refused(table.verdict(now + 10 * SECOND, &print_of("guilty"))));
    table.expire(now + 700 * SECOND);
    assert!(table.is_empty());
}

/// One step of a simulated fleet.
#[derive(Clone, Debug)]
enum Step {
    /// A caller sends the request of this number to an upstream, by way of an entry; 0 is the one that crashes.
    Send { request: usize, entry: usize, upstream: usize },
    /// The work of an upstream ends: with a crash if request 0 is in flight.
    Finish { upstream: usize },
    /// A notice is delivered once more to a table.
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

/// Entries that share their notices, in front of upstreams that crash on request 0.
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
        let running = self.in_flight.iter().flatten().any(|(other, _)| *other == request);
        let work = &mut self.in_flight[upstream];
        let alone = work.iter().any(|(_, isolated)| *isolated);
        if running || alone {
            return;
        }
        match self.tables[entry].verdict(self.now, &print_of(&request.to_string())) {
            CrashVerdict::Unsuspected => work.push((request, false)),
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
            let prints = work.iter().map(|(request, _)| print_of(&request.to_string()));
            let evidence = self.tables[0].record_upstream_crash(self.now, &name, prints);
            self.share(evidence);
        } else {
            for (request, isolated) in work {
                let print = print_of(&request.to_string());
                let evidence = self.tables[0].record_success(self.now, &print, isolated);
                self.share(evidence.into_iter().collect());
            }
        }
    }
}

proptest! {
    #[test]
    fn at_most_two_upstreams_are_lost_and_neighbours_stay_served(steps in steps()) {
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
        // A caller that keeps sending a neighbour is answered: in isolation at the latest.
        for request in 1..5 {
            let print = print_of(&request.to_string());
            for table in &fleet.tables {
                prop_assert!(!refused(table.verdict(fleet.now, &print)), "neighbour {request}");
            }
        }
    }

    #[test]
    fn tables_agree_whatever_the_order_of_notices(
        mut order in Just((0..6usize).collect::<Vec<_>>()).prop_shuffle(),
        flags in prop::collection::vec(any::<bool>(), 6),
        repeats in prop::collection::vec(0..6usize, 0..6),
    ) {
        let now = Instant::now();
        let notices: Vec<_> = (0..6usize).map(|index| CrashEvidence {
            fingerprint: print_of(&(index % 2).to_string()),
            upstream: (index / 2).to_string().into(),
            crashes: 1,
            isolated: flags[index],
            age: Duration::from_secs(index as u64),
            cleared: false,
        }).collect();
        order.extend(repeats);
        let (mut straight, mut shuffled) = (CrashTable::default(), CrashTable::default());
        notices.iter().for_each(|notice| { straight.apply_evidence(now, notice); });
        order.iter().for_each(|index| { shuffled.apply_evidence(now, &notices[*index]); });
        for name in ["0", "1"] {
            let print = print_of(name);
            prop_assert_eq!(straight.verdict(now, &print), shuffled.verdict(now, &print));
        }
    }
}
