//! Guards against engines that report to every entry of a large fleet, and against engines or regions that no entry uses.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use balance::{EngineCandidate, choose_engines};
use base::UpstreamId;

const REGIONS: u16 = 5;

fn region(index: u16) -> String {
    format!("r{}", index % REGIONS)
}

fn engine(index: u16) -> EngineCandidate {
    let [high, low] = index.to_be_bytes();
    EngineCandidate {
        upstream: format!("u{index}").as_str().into(),
        address: SocketAddr::from(([10, 1, high, low], 8_000)),
        region: Some(region(index).as_str().into()),
    }
}

fn engines(count: u16) -> Vec<EngineCandidate> {
    (0..count).map(engine).collect()
}

fn subset(entry: u16, engines: &[EngineCandidate]) -> BTreeSet<UpstreamId> {
    let chosen = choose_engines(&format!("entry-{entry}"), &region(entry), engines);
    chosen.upstreams.into_iter().collect()
}

#[test]
fn small_fleet_is_used_as_a_whole() {
    let engines = engines(64);
    assert_eq!(subset(3, &engines).len(), 64);
    assert_eq!(choose_engines("e", "r0", &engines).remote_fraction, 1.0);
    assert_eq!(choose_engines("e", "r0", &[]).remote_fraction, 1.0);
}

/// An engine in no subset would stay idle while others are overloaded.
#[test]
fn engines_are_used_by_about_the_same_number_of_entries() {
    let engines = engines(265);
    let mut users: BTreeMap<UpstreamId, u32> = BTreeMap::new();
    for entry in 0..149 {
        let chosen = subset(entry, &engines);
        assert!(chosen.len() <= 53 + 32, "{}", chosen.len());
        for region in 0..REGIONS {
            let in_region = engines.iter().filter(|engine| {
                engine.region.as_ref().is_some_and(|other| *other == format!("r{region}"))
            });
            assert!(in_region.filter(|engine| chosen.contains(&engine.upstream)).count() >= 8);
        }
        for upstream in chosen {
            *users.entry(upstream).or_default() += 1;
        }
    }
    assert_eq!(users.len(), 265);
    let (least, most) = (users.values().min(), users.values().max());
    assert!(least >= Some(&35) && most <= Some(&70), "{least:?} to {most:?} entries an engine");
}

/// A change of many choices would leave an entry without current load reports.
#[test]
fn change_of_one_engine_changes_one_choice() {
    let engines = engines(265);
    for entry in 0..20 {
        let before = subset(entry, &engines);
        let after = subset(entry, &engines[..264]);
        assert!(before.difference(&after).count() <= 1);
        assert!(after.difference(&before).count() <= 1);
    }
}
