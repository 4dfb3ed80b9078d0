//! Tests what is learned from responses and from other entries, and its bounds.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::UpstreamId;
use pace::{
    MAX_SHARED_UPSTREAMS, PROBE_AFTER, ProbeCandidate, ResponseSample, SpeedTable,
    UpstreamOccupancy, choose_probe,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const WORK: Duration = Duration::from_millis(40);
const STEP: Duration = Duration::from_millis(100);

fn name(index: usize) -> UpstreamId {
    UpstreamId::from(format!("u{index}"))
}

fn peer(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7_000))
}

fn sample(elapsed: Duration, running: u32, slowdown_percent: u32) -> ResponseSample {
    let slowdown_percent = Some(slowdown_percent);
    let occupancy = UpstreamOccupancy { running, waiting: 0, slots: Some(8), slowdown_percent };
    ResponseSample { elapsed, occupancy: Some(occupancy), slots: 8, is_served: true }
}

/// Table of five upstreams that each respond ten times a second for 3 s; `u0` responds with `first`.
fn learned(first: impl Fn(usize) -> ResponseSample) -> (SpeedTable, Instant) {
    let mut table = SpeedTable::new();
    let mut now = Instant::now();
    for step in 0..30 {
        now += STEP;
        table.record(&name(0), 1, first(step), now);
        for index in 1..5 {
            table.record(&name(index), 1, sample(WORK, 2, 100), now);
        }
    }
    (table, now)
}

fn relative(table: &SpeedTable, index: usize, now: Instant) -> f64 {
    table.estimate(&name(index), 1, now).relative
}

/// Guards against an upstream that is taken for a slow one because its host is, and against one that stays slow although
/// its host no longer is.
#[test]
fn stated_slowdown_is_dated_and_not_learned() {
    let (table, now) = learned(|_| sample(WORK * 5 / 2, 2, 250));
    let speed = table.estimate("u0", 1, now);
    assert!((0.9..1.1).contains(&speed.relative), "{speed:?}");
    assert!((speed.slowdown - 2.5).abs() < 0.01, "{speed:?}");
    let later = table.estimate("u0", 1, now + Duration::from_secs(1));
    assert!((later.slowdown - 1.0).abs() < 0.01, "{later:?}");
}

/// Guards against an upstream that looks fast by refusals, empty responses, or an exaggerated load or slowdown.
#[test]
fn upstream_cannot_make_itself_look_fast() {
    let refusal =
        |_| ResponseSample { is_served: false, ..sample(Duration::from_millis(1), 0, 100) };
    let (table, now) = learned(refusal);
    let speed = table.estimate("u0", 1, now);
    assert!((speed.relative - 1.0).abs() < 0.01, "{speed:?}");
    assert!(speed.load_per_slot >= 1.0, "{speed:?}");
    let exaggerated = |step: usize| match step {
        step if step % 2 == 0 => sample(WORK, 4_000, 100_000),
        _ => sample(WORK, 0, 100),
    };
    let (table, now) = learned(exaggerated);
    assert!(relative(&table, 0, now) >= 0.25, "{}", relative(&table, 0, now));
    let (table, now) = learned(|_| sample(Duration::ZERO, 0, 100));
    assert!(relative(&table, 0, now) >= 0.25, "{}", relative(&table, 0, now));
}

/// Guards against measurements of an earlier process, and against those that outlive their validity.
#[test]
fn measurements_end_with_the_process_and_with_time() {
    let (mut table, now) = learned(|_| sample(WORK * 4, 2, 100));
    assert!(relative(&table, 0, now) > 3.0);
    assert!((table.estimate("u0", 2, now).relative - 1.0).abs() < 0.01);
    let later = now + Duration::from_secs(20);
    assert!((0.9..1.1).contains(&relative(&table, 0, later)));
    table.record(&name(0), 2, sample(WORK, 2, 100), now);
    assert!((0.8..1.2).contains(&table.estimate("u0", 2, now).relative));
}

/// Guards against one other entry that determines the estimate, by its weight or by unbounded values, and against
/// outdated datagrams.
#[test]
fn reports_of_other_entries_are_bounded_and_dated() {
    let (mut table, now) = learned(|_| sample(WORK, 2, 100));
    let own = table.share(now);
    let first = own.iter().find(|share| share.upstream == "u0").expect("u0 has responded");
    let mut outdated = first.clone();
    outdated.work = WORK * 10;
    outdated.age = Duration::from_secs(6);
    table.apply(peer(1), &outdated, now);
    assert!((0.9..1.1).contains(&relative(&table, 0, now)));
    let mut wrong = first.clone();
    wrong.work = Duration::from_secs(1_000_000);
    wrong.weight = 1e9;
    // A datagram that arrives again counts once.
    for _ in 0..100 {
        table.apply(peer(1), &wrong, now);
    }
    let distorted = relative(&table, 0, now);
    assert!(distorted < 2.5, "{distorted}");
    for weight in [f64::NAN, f64::INFINITY, -1.0] {
        wrong.weight = weight;
        table.apply(peer(2), &wrong, now);
    }
    assert!((relative(&table, 0, now) - distorted).abs() < 1e-9);
    // Many entries that agree do change the estimate.
    wrong.weight = 2.0;
    wrong.work = WORK * 3;
    for index in 3..40 {
        table.apply(peer(index), &wrong, now);
    }
    assert!((2.5..3.5).contains(&relative(&table, 0, now)), "{}", relative(&table, 0, now));
}

/// Guards against upstreams of which the other entries never hear because others respond more often.
#[test]
fn every_upstream_with_responses_is_shared_in_turn() {
    let mut table = SpeedTable::new();
    let mut now = Instant::now();
    let mut shared = std::collections::BTreeSet::new();
    for _ in 0..4 {
        now += STEP;
        for index in 0..60 {
            table.record(&name(index), 1, sample(WORK, 2, 100), now);
        }
        let shares = table.share(now);
        assert!(shares.len() <= MAX_SHARED_UPSTREAMS);
        shared.extend(shares.into_iter().map(|share| share.upstream));
    }
    assert_eq!(shared.len(), 60);
    for _ in 0..4 {
        table.share(now);
    }
    assert!(table.share(now).is_empty(), "nothing is told twice");
}

/// Guards against unused upstreams that no entry probes within 10 s, and against many entries that probe at once.
#[test]
fn few_entries_probe_and_one_does_in_time() {
    let candidates = [
        ProbeCandidate { upstream: name(0), idle: Some(PROBE_AFTER) },
        ProbeCandidate { upstream: name(1), idle: Some(Duration::from_secs(1)) },
    ];
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for entries in [1.0, 40.0, 149.0] {
        let (mut first_second, mut missed) = (0, 0);
        for _ in 0..50 {
            let mut probes = |rounds: usize| {
                let choices = rounds * entries as usize;
                (0..choices)
                    .filter_map(|_| choose_probe(&candidates, STEP, entries, &mut rng))
                    .inspect(|upstream| assert_eq!(**upstream, name(0)))
                    .count()
            };
            first_second += probes(10);
            missed += usize::from(probes(40) == 0);
        }
        assert!(first_second <= 50 * 4, "{entries} entries: {first_second} in 50 rounds");
        assert!(missed <= 1, "{entries} entries: {missed} of 50 rounds");
    }
    assert!(choose_probe(&candidates[1..], STEP, 1.0, &mut rng).is_none());
}
