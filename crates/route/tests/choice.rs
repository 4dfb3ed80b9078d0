//! Guards against faults in the choice of upstreams: work for a data centre that is out of service, for a leaving,
//! draining, stale or restarted upstream, or for the wrong version, and prefix affinity that overloads one upstream.

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
    AttemptRequirements, CacheChange, CacheEvent, PrefixIndex, RequestTarget, UpstreamChoice,
    UpstreamLoad, UpstreamReport, UpstreamTable,
};

fn manifest(name: &str) -> ContentDigest {
    ContentDigest::of(name.as_bytes())
}

/// Four upstreams, two in each of two data centres.
fn fleet(out: [bool; 2], leaving: [bool; 4]) -> (FleetConfig, HostList) {
    let data_centre = |index: usize| format!("dc{}", index / 2).into();
    let upstreams = (0..4).map(|index| UpstreamRecord {
        id: index.to_string().into(),
        host: index.to_string().into(),
        data_centre: data_centre(index),
        kind: UpstreamKind::Model,
        service: None,
        fencing: config::FencingMode::Ignored,
        cold_limit: 1,
        warm_limit: 8,
        memory_mib: 1,
    });
    let hosts = (0..4).map(|index| HostRecord {
        id: index.to_string().into(),
        data_centre: data_centre(index),
        role: HostRole::Agent,
        upstream: Some(index.to_string().into()),
        http: None,
        peer: ([127, 0, 0, 1], 1).into(),
        state: if leaving[index] { HostState::Leaving } else { HostState::Live },
    });
    let data_centres = out.iter().enumerate().map(|(index, out)| DataCentreRecord {
        id: format!("dc{index}").into(),
        region: "r".into(),
        out: *out,
    });
    let config = FleetConfig {
        revision: 1,
        preset: PresetName::Ordinary,
        teams: Vec::new(),
        data_centres: data_centres.collect(),
        upstreams: upstreams.collect(),
        models: Vec::new(),
        adapters: Vec::new(),
        services: Vec::new(),
        presets: Vec::new(),
    };
    (config, HostList { version: 1, hosts: hosts.collect() })
}

fn load(sequence: u64, in_use: u32) -> UpstreamLoad {
    UpstreamLoad { limit: 8, in_use, queued: 0, sequence }
}

fn report(incarnation: u64, in_use: u32, ready: &[&str]) -> UpstreamReport {
    UpstreamReport {
        incarnation,
        uptime: Duration::from_secs(60),
        load: load(1, in_use),
        ready: ready.iter().map(|name| manifest(name)).collect(),
        draining: false,
        upstream_up: true,
    }
}

fn table_with(now: Instant, reports: &[(usize, u32, &str)]) -> UpstreamTable {
    let (config, hosts) = fleet([false; 2], [false; 4]);
    let mut table = UpstreamTable::new();
    table.set_fleet(&config, &hosts);
    for (index, in_use, ready) in reports {
        table.record_report(now, now, &index.to_string(), report(1, *in_use, &[*ready]));
    }
    table
}

fn model(floor: u32) -> RequestTarget {
    RequestTarget::Model { current: manifest("new"), previous: Some(manifest("old")), floor }
}

fn choose(
    table: &UpstreamTable,
    now: Instant,
    target: &RequestTarget,
    seed: u64,
) -> Option<UpstreamChoice> {
    let requirements =
        AttemptRequirements { target, tried: &[], prefix_holders: &[], isolated: None };
    table.choose(now, &mut ChaCha8Rng::seed_from_u64(seed), &requirements)
}

fn chosen_by_seeds(
    table: &UpstreamTable,
    now: Instant,
    target: &RequestTarget,
) -> Vec<(UpstreamId, ContentDigest)> {
    let mut chosen: Vec<_> = (0..64)
        .filter_map(|seed| choose(table, now, target, seed))
        .map(|choice| (choice.upstream, choice.manifest.expect("manifest of a model")))
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

#[test]
fn previous_version_is_used_only_below_the_floor_and_when_current_is_full() {
    let now = Instant::now();
    let (new, old) = (manifest("new"), manifest("old"));
    let current_idle: &[_] = &[(0, 0, "new"), (1, 0, "old"), (2, 0, "old"), (3, 0, "old")];
    let table = table_with(now, current_idle);
    assert_eq!(chosen_by_seeds(&table, now, &model(2)), [("0".into(), new)]);
    let current_full: &[_] = &[(0, 8, "new"), (1, 0, "old"), (2, 8, "old"), (3, 8, "old")];
    let table = table_with(now, current_full);
    assert!(chosen_by_seeds(&table, now, &model(2)).contains(&("1".into(), old)));
    assert_eq!(chosen_by_seeds(&table, now, &model(1)), [("0".into(), new)]);
    let table = table_with(now, &[(1, 0, "old")]);
    assert_eq!(chosen_by_seeds(&table, now, &model(0)), [("1".into(), old)]);
}

#[test]
fn resume_never_changes_the_version() {
    let now = Instant::now();
    let table = table_with(now, &[(0, 0, "new"), (1, 7, "old")]);
    let exact = RequestTarget::Manifest(manifest("old"));
    assert_eq!(chosen_by_seeds(&table, now, &exact), [("1".into(), manifest("old"))]);
}

#[test]
fn requests_sent_since_the_report_count_as_load() {
    let now = Instant::now();
    let mut table = table_with(now, &[(0, 0, "new"), (1, 1, "new")]);
    let later = now + Duration::from_millis(1);
    for _ in 0..2 {
        table.record_sent(later, "0", 1);
    }
    let assert_only_choice = |table: &UpstreamTable, id: &str| {
        assert_eq!(chosen_by_seeds(table, later, &model(0)), [(id.into(), manifest("new"))]);
    };
    assert_only_choice(&table, "1");
    // A report whose probe was sent before the requests does not include them; one probed after them does.
    table.record_report(now, later, "0", report(1, 0, &["new"]));
    assert_only_choice(&table, "1");
    table.record_report(later, later, "0", report(1, 0, &["new"]));
    assert_only_choice(&table, "0");
}

/// Guards against an idle prefix holder that is avoided until the next probe, because its last report counts a request
/// whose response, with a newer load, arrived just after the probe was sent or before its response.
#[test]
fn load_of_a_response_replaces_an_older_report() {
    let sent_at = Instant::now();
    let after = |millis| sent_at + Duration::from_millis(millis);
    let target = model(0);
    let holders = ["0".into()];
    let running = UpstreamReport { load: load(2, 1), ..report(1, 1, &["new"]) };
    // Times of the response to the request and of the response to the probe.
    for (response_at, report_at) in [(14, 11), (30, 11), (14, 20)] {
        let mut table = table_with(sent_at, &[(0, 0, "new"), (1, 0, "new"), (2, 0, "new")]);
        table.record_sent(sent_at, "0", 1);
        if report_at < response_at {
            table.record_report(after(10), after(report_at), "0", running.clone());
        }
        table.record_load(after(response_at), "0", 1, load(3, 0));
        if report_at > response_at {
            table.record_report(after(10), after(report_at), "0", running.clone());
        }
        let requirements = AttemptRequirements {
            target: &target,
            tried: &[],
            prefix_holders: &holders,
            isolated: None,
        };
        for seed in 0..64 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let choice = table.choose(after(31), &mut rng, &requirements);
            let upstream = choice.expect("all upstreams are usable").upstream;
            assert_eq!(upstream, "0", "response at {response_at} ms, report at {report_at} ms");
        }
    }
}

/// Guards against a load that is replaced by an older one of a response that was on its way for longer.
#[test]
fn load_of_a_response_does_not_replace_a_newer_report() {
    let now = Instant::now();
    let after = |millis| now + Duration::from_millis(millis);
    let mut table = table_with(now, &[(0, 0, "new"), (1, 4, "new")]);
    let busy = UpstreamReport { load: load(3, 8), ..report(1, 8, &["new"]) };
    table.record_report(after(10), after(11), "0", busy);
    table.record_load(after(30), "0", 1, load(2, 0));
    assert_eq!(chosen_by_seeds(&table, after(31), &model(0)), [("1".into(), manifest("new"))]);
}

#[test]
fn prefix_affinity_is_ignored_above_its_load_limit() {
    let now = Instant::now();
    let target = model(0);
    let holders = ["0".into()];
    let times_chosen = |in_use| {
        let table = table_with(now, &[(0, in_use, "new"), (1, 4, "new"), (2, 4, "new")]);
        let requirements = AttemptRequirements {
            target: &target,
            tried: &[],
            prefix_holders: &holders,
            isolated: None,
        };
        let chosen = (0..64).filter(|seed| {
            let choice = table.choose(now, &mut ChaCha8Rng::seed_from_u64(*seed), &requirements);
            choice.is_some_and(|choice| choice.upstream == "0")
        });
        chosen.count()
    };
    assert_eq!(times_chosen(5), 64);
    assert_eq!(times_chosen(7), 0);
}

#[test]
fn suspect_request_always_goes_to_the_same_upstream() {
    let now = Instant::now();
    let table = table_with(now, &[(0, 3, "new"), (1, 0, "new"), (2, 1, "new")]);
    let (target, fingerprint) = (model(0), manifest("suspect"));
    let requirements = AttemptRequirements {
        target: &target,
        tried: &[],
        prefix_holders: &[],
        isolated: Some(&fingerprint),
    };
    let choose = |seed| table.choose(now, &mut ChaCha8Rng::seed_from_u64(seed), &requirements);
    assert!((0..32).all(|seed| choose(seed) == choose(0)));
}

#[test]
fn gap_in_cache_events_clears_the_prefixes_and_prefixes_expire() {
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
    assert!(index.holders(now, "visit").is_empty(), "an event from before the gap was applied");
    assert_eq!(index.holders(now, "rota"), ["a"]);
    assert!(index.holders(now + Duration::from_secs(120), "rota").is_empty());
}

/// Event observed by an entry.
#[derive(Clone, Debug)]
enum Event {
    Fleet { out: [bool; 2], leaving: [bool; 4] },
    Report { upstream: usize, sent_ms_ago: u64, draining: bool, up: bool },
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
            .prop_map(|(upstream, sent_ms_ago, draining, up)| Event::Report {
                upstream, sent_ms_ago, draining, up,
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
    fn choice_respects_all_known_state(events in events(), seed in any::<u64>()) {
        let mut now = Instant::now() + Duration::from_secs(10);
        let mut out = [false; 2];
        let mut leaving = [false; 4];
        let mut incarnations = [1_u64; 4];
        // Last successful probe of each upstream: time sent, time received, whether usable, incarnation.
        let mut last: [Option<(Instant, Instant, bool, u64)>; 4] = [None; 4];
        let (config, hosts) = fleet(out, leaving);
        let mut table = UpstreamTable::new();
        table.set_fleet(&config, &hosts);
        for event in events {
            match event {
                Event::Fleet { out: new_out, leaving: new_leaving } => {
                    (out, leaving) = (new_out, new_leaving);
                    let (config, hosts) = fleet(out, leaving);
                    table.set_fleet(&config, &hosts);
                }
                Event::Report { upstream, sent_ms_ago, draining, up } => {
                    let sent_at = now - Duration::from_millis(sent_ms_ago);
                    let mut status = report(incarnations[upstream], 0, &["new"]);
                    (status.draining, status.upstream_up) = (draining, up);
                    table.record_report(sent_at, now, &upstream.to_string(), status);
                    if last[upstream].is_none_or(|(earlier, ..)| sent_at >= earlier) {
                        let usable = up && !draining;
                        last[upstream] = Some((sent_at, now, usable, incarnations[upstream]));
                    }
                }
                Event::Restart { upstream } => incarnations[upstream] += 1,
                Event::Failure { upstream } => {
                    if let Some((_, received, _, incarnation)) = last[upstream] {
                        table.record_failure(now, &upstream.to_string(), incarnation);
                        last[upstream] = Some((now, received, false, incarnation));
                    }
                }
                Event::Sent { upstream, stale } => {
                    let incarnation = incarnations[upstream] - u64::from(stale);
                    table.record_sent(now, &upstream.to_string(), incarnation);
                }
                Event::Wait { millis } => now += Duration::from_millis(millis),
            }
            let usable = |index: usize| {
                let fresh = last[index].is_some_and(|(_, received, usable, _)| {
                    usable && now - received < route::REPORT_MAX_AGE
                });
                fresh && !out[index / 2] && !leaving[index]
            };
            match choose(&table, now, &model(0), seed) {
                Some(choice) => {
                    let index: usize = choice.upstream.parse().expect("numeric upstream id");
                    prop_assert!(usable(index), "chose upstream {index}, which is not usable");
                    let reported = last[index].map(|(.., incarnation)| incarnation);
                    prop_assert_eq!(Some(choice.incarnation), reported);
                }
                None => prop_assert!((0..4).all(|index| !usable(index)), "chose none although an upstream is usable"),
            }
        }
    }
}
