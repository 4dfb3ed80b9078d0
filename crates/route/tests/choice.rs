//! Failures of the choice: work for a data centre that is out, for a leaving, draining, stale or restarted upstream, for
//! the wrong version, and prefix affinity that overloads one upstream.

use std::time::{Duration, Instant};

use base::{ContentDigest, UpstreamId};
use config::{
    DataCentreRecord, FleetConfig, HostList, HostRecord, HostRole, HostState, PresetName,
    UpstreamKind, UpstreamRecord,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::{
    CacheChange, CacheEvent, PrefixIndex, UpstreamBoard, UpstreamChoice, UpstreamLoad,
    UpstreamReport, WantedWork, WorkTarget,
};

fn manifest(name: &str) -> ContentDigest {
    ContentDigest::of(name.as_bytes())
}

/// Four upstreams, two in each of two data centres.
fn fleet(out: [bool; 2], leaving: [bool; 4]) -> (FleetConfig, HostList) {
    let centre = |index: usize| format!("dc{}", index / 2).into();
    let upstreams = (0..4).map(|index| UpstreamRecord {
        id: index.to_string().into(),
        host: index.to_string().into(),
        data_centre: centre(index),
        kind: UpstreamKind::Model,
        service: None,
        fencing: config::FencingMode::Ignored,
        cold_limit: 1,
        warm_limit: 8,
        memory_mib: 1,
    });
    let hosts = (0..4).map(|index| HostRecord {
        id: index.to_string().into(),
        data_centre: centre(index),
        role: HostRole::Agent,
        upstream: Some(index.to_string().into()),
        http: None,
        peer: ([127, 0, 0, 1], 1).into(),
        state: if leaving[index] { HostState::Leaving } else { HostState::Live },
    });
    let centres = out.iter().enumerate().map(|(index, out)| DataCentreRecord {
        id: format!("dc{index}").into(),
        region: "r".into(),
        out: *out,
    });
    let config = FleetConfig {
        revision: 1,
        preset: PresetName::Ordinary,
        teams: Vec::new(),
        data_centres: centres.collect(),
        upstreams: upstreams.collect(),
        models: Vec::new(),
        adapters: Vec::new(),
        services: Vec::new(),
        presets: Vec::new(),
    };
    (config, HostList { version: 1, hosts: hosts.collect() })
}

fn report(incarnation: u64, in_use: u32, ready: &[&str]) -> UpstreamReport {
    UpstreamReport {
        incarnation,
        uptime: Duration::from_secs(60),
        load: UpstreamLoad { limit: 8, in_use, queued: 0 },
        ready: ready.iter().map(|name| manifest(name)).collect(),
        draining: false,
        upstream_up: true,
    }
}

fn board_with(now: Instant, reports: &[(usize, u32, &str)]) -> UpstreamBoard {
    let (config, hosts) = fleet([false; 2], [false; 4]);
    let mut board = UpstreamBoard::new();
    board.set_fleet(&config, &hosts);
    for (index, in_use, ready) in reports {
        board.record_report(now, now, &index.to_string(), report(1, *in_use, &[*ready]));
    }
    board
}

fn model(floor: u32) -> WorkTarget {
    WorkTarget::Model { current: manifest("new"), previous: Some(manifest("old")), floor }
}

fn choose(
    board: &UpstreamBoard,
    now: Instant,
    target: &WorkTarget,
    seed: u64,
) -> Option<UpstreamChoice> {
    let work = WantedWork { target, tried: &[], holders: &[], isolated: None };
    board.choose(now, &mut ChaCha8Rng::seed_from_u64(seed), &work)
}

fn chosen_by_seeds(
    board: &UpstreamBoard,
    now: Instant,
    target: &WorkTarget,
) -> Vec<(UpstreamId, ContentDigest)> {
    let mut chosen: Vec<_> = (0..64)
        .filter_map(|seed| choose(board, now, target, seed))
        .map(|choice| (choice.upstream, choice.manifest.expect("a model has a manifest")))
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

#[test]
fn previous_version_is_used_only_below_the_floor_and_when_current_is_full() {
    let now = Instant::now();
    let (new, old) = (manifest("new"), manifest("old"));
    let both: &[_] = &[(0, 0, "new"), (1, 0, "old"), (2, 0, "old"), (3, 0, "old")];
    let board = board_with(now, both);
    assert_eq!(chosen_by_seeds(&board, now, &model(2)), [("0".into(), new)]);
    let full: &[_] = &[(0, 8, "new"), (1, 0, "old"), (2, 8, "old"), (3, 8, "old")];
    let board = board_with(now, full);
    assert!(chosen_by_seeds(&board, now, &model(2)).contains(&("1".into(), old)));
    assert_eq!(chosen_by_seeds(&board, now, &model(1)), [("0".into(), new)]);
    let board = board_with(now, &[(1, 0, "old")]);
    assert_eq!(chosen_by_seeds(&board, now, &model(0)), [("1".into(), old)]);
}

#[test]
fn resume_never_changes_the_version() {
    let now = Instant::now();
    let board = board_with(now, &[(0, 0, "new"), (1, 7, "old")]);
    let exact = WorkTarget::Manifest(manifest("old"));
    assert_eq!(chosen_by_seeds(&board, now, &exact), [("1".into(), manifest("old"))]);
}

#[test]
fn own_sends_since_the_report_count_as_load() {
    let now = Instant::now();
    let mut board = board_with(now, &[(0, 0, "new"), (1, 1, "new")]);
    let later = now + Duration::from_millis(1);
    for _ in 0..2 {
        board.record_sent(later, "0", 1);
    }
    let only = |board: &UpstreamBoard, id: &str| {
        assert_eq!(chosen_by_seeds(board, later, &model(0)), [(id.into(), manifest("new"))]);
    };
    only(&board, "1");
    // A report asked for before the sends does not include them; one asked for after them does.
    board.record_report(now, later, "0", report(1, 0, &["new"]));
    only(&board, "1");
    board.record_report(later, later, "0", report(1, 0, &["new"]));
    only(&board, "0");
}

#[test]
fn affinity_yields_when_the_holder_is_busier_than_its_bound() {
    let now = Instant::now();
    let target = model(0);
    let holders = ["0".into()];
    let share = |in_use| {
        let board = board_with(now, &[(0, in_use, "new"), (1, 4, "new"), (2, 4, "new")]);
        let work = WantedWork { target: &target, tried: &[], holders: &holders, isolated: None };
        let chosen = (0..64).filter(|seed| {
            let choice = board.choose(now, &mut ChaCha8Rng::seed_from_u64(*seed), &work);
            choice.is_some_and(|choice| choice.upstream == "0")
        });
        chosen.count()
    };
    assert_eq!(share(5), 64);
    assert_eq!(share(7), 0);
}

#[test]
fn suspects_of_all_entries_go_to_one_upstream() {
    let now = Instant::now();
    let board = board_with(now, &[(0, 3, "new"), (1, 0, "new"), (2, 1, "new")]);
    let (target, print) = (model(0), manifest("suspect"));
    let work = WantedWork { target: &target, tried: &[], holders: &[], isolated: Some(&print) };
    let choose = |seed| board.choose(now, &mut ChaCha8Rng::seed_from_u64(seed), &work);
    assert!((0..32).all(|seed| choose(seed) == choose(0)));
}

#[test]
fn gap_in_cache_events_forgets_and_events_expire() {
    let now = Instant::now();
    let event = |seq, prefix: &str, change| CacheEvent { seq, prefix: prefix.into(), change };
    let mut index = PrefixIndex::new();
    index.apply_events(now, "a", &[event(1, "visit", CacheChange::Added)]);
    index.apply_events(now, "b", &[event(7, "visit route", CacheChange::Added)]);
    assert_eq!(index.holders(now, "visit route today"), ["b"]);
    index.apply_events(now, "b", &[event(8, "visit route", CacheChange::Evicted)]);
    assert_eq!(index.holders(now, "visit route today"), ["a"]);
    index.apply_events(now, "a", &[event(3, "rota", CacheChange::Added)]);
    assert!(index.holders(now, "visit route today").is_empty());
    index.apply_events(now, "a", &[event(2, "visit", CacheChange::Added)]);
    assert!(index.holders(now, "visit").is_empty(), "an event from before the gap");
    assert_eq!(index.holders(now, "rota"), ["a"]);
    assert!(index.holders(now + Duration::from_secs(120), "rota").is_empty());
}

/// One event that an entry sees; times in milliseconds.
#[derive(Clone, Debug)]
enum Event {
    Fleet { out: [bool; 2], leaving: [bool; 4] },
    Report { upstream: usize, asked_ms_ago: u64, draining: bool, up: bool },
    Restart { upstream: usize },
    Failure { upstream: usize },
    Sent { upstream: usize, stale: bool },
    Wait { millis: u64 },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        1 => (any::<[bool; 2]>(), any::<[bool; 4]>())
            .prop_map(|(out, leaving)| Event::Fleet { out, leaving }),
        6 => (0..4usize, 0..800u64, prop::bool::weighted(0.1), prop::bool::weighted(0.9))
            .prop_map(|(upstream, asked_ms_ago, draining, up)| Event::Report {
                upstream, asked_ms_ago, draining, up,
            }),
        1 => (0..4usize).prop_map(|upstream| Event::Restart { upstream }),
        1 => (0..4usize).prop_map(|upstream| Event::Failure { upstream }),
        2 => (0..4usize, any::<bool>())
            .prop_map(|(upstream, stale)| Event::Sent { upstream, stale }),
        2 => (0..1_500u64).prop_map(|millis| Event::Wait { millis }),
    ];
    prop::collection::vec(event, 1..120)
}

proptest! {
    #[test]
    fn choice_respects_everything_known(events in events(), seed in any::<u64>()) {
        let mut now = Instant::now() + Duration::from_secs(10);
        let mut out = [false; 2];
        let mut leaving = [false; 4];
        let mut incarnations = [1_u64; 4];
        // Last answered probe of each upstream: asked, received, usable, incarnation.
        let mut last: [Option<(Instant, Instant, bool, u64)>; 4] = [None; 4];
        let (config, hosts) = fleet(out, leaving);
        let mut board = UpstreamBoard::new();
        board.set_fleet(&config, &hosts);
        for event in events {
            match event {
                Event::Fleet { out: new_out, leaving: new_leaving } => {
                    (out, leaving) = (new_out, new_leaving);
                    let (config, hosts) = fleet(out, leaving);
                    board.set_fleet(&config, &hosts);
                }
                Event::Report { upstream, asked_ms_ago, draining, up } => {
                    let asked = now - Duration::from_millis(asked_ms_ago);
                    let mut status = report(incarnations[upstream], 0, &["new"]);
                    (status.draining, status.upstream_up) = (draining, up);
                    board.record_report(asked, now, &upstream.to_string(), status);
                    if last[upstream].is_none_or(|(earlier, ..)| asked >= earlier) {
                        let usable = up && !draining;
                        last[upstream] = Some((asked, now, usable, incarnations[upstream]));
                    }
                }
                Event::Restart { upstream } => incarnations[upstream] += 1,
                Event::Failure { upstream } => {
                    if let Some((_, received, _, incarnation)) = last[upstream] {
                        board.record_failure(now, &upstream.to_string(), incarnation);
                        last[upstream] = Some((now, received, false, incarnation));
                    }
                }
                Event::Sent { upstream, stale } => {
                    let incarnation = incarnations[upstream] - u64::from(stale);
                    board.record_sent(now, &upstream.to_string(), incarnation);
                }
                Event::Wait { millis } => now += Duration::from_millis(millis),
            }
            let usable = |index: usize| {
                let fresh = last[index].is_some_and(|(_, received, usable, _)| {
                    usable && now - received < route::REPORT_MAX_AGE
                });
                fresh && !out[index / 2] && !leaving[index]
            };
            match choose(&board, now, &model(0), seed) {
                Some(choice) => {
                    let index: usize = choice.upstream.parse().expect("a number");
                    prop_assert!(usable(index), "upstream {index} is not usable");
                    let reported = last[index].map(|(.., incarnation)| incarnation);
                    prop_assert_eq!(Some(choice.incarnation), reported);
                }
                None => prop_assert!((0..4).all(|index| !usable(index)), "a candidate was missed"),
            }
        }
    }
}
