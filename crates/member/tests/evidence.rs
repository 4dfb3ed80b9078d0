//! Tests each kind of observation about an agent, and that observations of one entry do not affect other entries.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::UpstreamId;
use config::{
    DataCentreRecord, FencingMode, FleetConfig, HostList, HostRecord, HostRole, HostState,
    PresetName, PresetRule, ServiceRecord, UpstreamKind, UpstreamRecord,
};
use member::{
    AgentGroup, AgentHealth, AgentView, MemberAction, MemberCore, MemberEvent, MemberOptions,
    MemberReport, ProbeResponse, agent_groups, choose_subset,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const TICK: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(10_000 + index).unwrap()))
}

fn config(agents: usize) -> FleetConfig {
    let upstream = |index: usize| UpstreamRecord {
        id: format!("u{index}").into(),
        host: format!("a{index}").into(),
        data_centre: ["rajkot-a", "bhuj-a"][index % 2].into(),
        kind: UpstreamKind::Service,
        service: Some("booking".into()),
        fencing: FencingMode::Ignored,
        cold_limit: 1,
        warm_limit: 1,
        memory_mib: 0,
    };
    let data_centre = |id: &str| DataCentreRecord { id: id.into(), region: "g".into(), out: false };
    FleetConfig {
        revision: 1,
        preset: PresetName::Ordinary,
        teams: Vec::new(),
        data_centres: vec![data_centre("rajkot-a"), data_centre("bhuj-a")],
        upstreams: (0..agents).map(upstream).collect(),
        models: Vec::new(),
        adapters: Vec::new(),
        services: vec![ServiceRecord { id: "booking".into(), idempotent: false }],
        presets: vec![PresetRule { id: PresetName::Ordinary, models: Vec::new() }],
    }
}

fn hosts(version: u64, agents: usize) -> HostList {
    let record = |index: usize| HostRecord {
        id: format!("a{index}").into(),
        data_centre: ["rajkot-a", "bhuj-a"][index % 2].into(),
        role: HostRole::Agent,
        upstream: Some(format!("u{index}").into()),
        http: None,
        peer: address(index),
        state: HostState::Live,
    };
    HostList { version, hosts: (0..agents).map(record).collect() }
}

/// An entry whose simulated agents respond to every probe, except those in `down`.
struct Entry {
    core: MemberCore,
    now: Instant,
    down: BTreeSet<SocketAddr>,
    draining: BTreeSet<SocketAddr>,
    incarnations: HashMap<SocketAddr, u64>,
    probes: Vec<(Instant, SocketAddr)>,
    reports: Vec<MemberReport>,
}

impl Entry {
    fn new(agents: usize, seed: u64) -> Self {
        let now = Instant::now();
        let options = MemberOptions { host: "e0".into(), subset: 64 };
        let rng = Box::new(ChaCha8Rng::seed_from_u64(seed));
        let mut entry = Self {
            core: MemberCore::new(options, rng, now),
            now,
            down: BTreeSet::new(),
            draining: BTreeSet::new(),
            incarnations: HashMap::new(),
            probes: Vec::new(),
            reports: Vec::new(),
        };
        entry.feed(MemberEvent::Config(Arc::new(config(agents))));
        entry.feed(MemberEvent::Hosts(Arc::new(hosts(1, agents))));
        entry
    }

    /// Creates an entry and runs it until it has probed every agent of its subset.
    fn settled(agents: usize, seed: u64) -> Self {
        let mut entry = Self::new(agents, seed);
        entry.run(2 * SECOND);
        assert!(entry.views().values().all(|view| view.usable));
        entry
    }

    fn feed(&mut self, event: MemberEvent) {
        for action in self.core.handle(self.now, event) {
            match action {
                MemberAction::Probe { upstream, peer, sent_at } => {
                    self.probes.push((self.now, peer));
                    self.respond(upstream, peer, sent_at);
                }
                MemberAction::Report(report) => self.reports.push(report),
                MemberAction::Changed => {}
            }
        }
    }

    fn respond(&mut self, upstream: UpstreamId, peer: SocketAddr, sent_at: Instant) {
        if self.down.contains(&peer) {
            self.feed(MemberEvent::ProbeFailed { peer, sent_at, refused: false });
            return;
        }
        let incarnation = self.incarnations.get(&peer).copied().unwrap_or(1);
        let draining = self.draining.contains(&peer);
        let response = ProbeResponse { upstream, incarnation, draining };
        self.feed(MemberEvent::ProbeSucceeded { peer, sent_at, response });
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            self.feed(MemberEvent::Tick);
        }
    }

    fn views(&self) -> BTreeMap<UpstreamId, AgentView> {
        let views = self.core.agents(self.now).into_iter();
        views.map(|view| (view.upstream.clone(), view)).collect()
    }

    fn is_usable(&self, upstream: &str) -> bool {
        self.views().get(upstream).is_some_and(|view| view.usable)
    }

    /// Returns the largest number of probes sent within any one second since `from`.
    fn peak_probes(&self, from: Instant) -> usize {
        let sent: Vec<_> =
            self.probes.iter().map(|probe| probe.0).filter(|at| *at >= from).collect();
        let count_from = |start: &Instant| {
            sent.iter().filter(|at| (*start..*start + SECOND).contains(at)).count()
        };
        sent.iter().map(count_from).max().unwrap_or(0)
    }
}

#[test]
fn failed_connection_makes_an_agent_suspect_until_a_probe_succeeds() {
    let mut entry = Entry::settled(6, 1);
    entry.feed(MemberEvent::ConnectFailed { peer: address(3), at: entry.now });
    assert!(!entry.is_usable("u3"));
    entry.run(SECOND);
    assert!(entry.is_usable("u3"), "the agent responds but is still suspect");
}

#[test]
fn failure_older_than_the_last_response_is_ignored() {
    let mut entry = Entry::settled(6, 2);
    let at = entry.now - 2 * SECOND;
    entry.feed(MemberEvent::ConnectFailed { peer: address(3), at });
    assert!(entry.is_usable("u3"));
}

#[test]
fn dead_agent_gets_no_new_work_within_three_seconds_while_the_list_still_names_it() {
    let mut entry = Entry::settled(6, 3);
    entry.down.insert(address(2));
    entry.run(3 * SECOND);
    assert!(!entry.is_usable("u2"));
    assert_eq!(entry.views()["u2"].health, AgentHealth::Suspect);
}

#[test]
fn agent_stays_usable_after_a_single_missed_probe() {
    let mut entry = Entry::settled(1, 4);
    entry.down.insert(address(0));
    let expected_probes = entry.probes.len() + 1;
    while entry.probes.len() < expected_probes {
        entry.run(TICK);
    }
    assert!(entry.is_usable("u0"));
}

#[test]
fn draining_agent_gets_no_new_work_within_three_seconds() {
    let mut entry = Entry::settled(6, 5);
    entry.draining.insert(address(1));
    entry.run(SECOND);
    let view = entry.views().remove("u1").unwrap();
    assert!(!view.usable && view.draining && view.health == AgentHealth::Up);
}

#[test]
fn leaving_host_immediately_stops_getting_new_work() {
    let mut entry = Entry::settled(6, 6);
    let mut list = hosts(2, 6);
    list.hosts[4].state = HostState::Leaving;
    entry.feed(MemberEvent::Hosts(Arc::new(list)));
    assert!(!entry.is_usable("u4") && entry.is_usable("u5"));
}

#[test]
fn changed_incarnation_is_reported() {
    let mut entry = Entry::settled(6, 7);
    entry.incarnations.insert(address(0), 2);
    entry.run(SECOND);
    let expected = MemberReport::IncarnationChanged { upstream: "u0".into(), previous: 1 };
    assert!(entry.reports.contains(&expected));
    assert_eq!(entry.views()["u0"].incarnation, Some(2));
}

#[test]
fn replaced_host_starts_unknown_under_its_new_address() {
    let mut entry = Entry::settled(6, 8);
    let mut list = hosts(2, 6);
    list.hosts[0].id = "a99".into();
    list.hosts[0].peer = address(99);
    entry.feed(MemberEvent::Hosts(Arc::new(list)));
    assert_eq!(entry.views()["u0"].health, AgentHealth::Unknown);
    entry.feed(MemberEvent::ConnectFailed { peer: address(0), at: entry.now });
    entry.run(SECOND);
    assert!(entry.is_usable("u0"), "a failure at the old address was counted for the new one");
}

#[test]
fn response_of_another_agent_at_a_reused_address_does_not_count() {
    let mut entry = Entry::settled(2, 9);
    let sent_at = loop {
        entry.now += TICK;
        let actions = entry.core.handle(entry.now, MemberEvent::Tick);
        let probe = actions.into_iter().find_map(|action| match action {
            MemberAction::Probe { peer, sent_at, .. } if peer == address(0) => Some(sent_at),
            _ => None,
        });
        if let Some(sent_at) = probe {
            break sent_at;
        }
    };
    let response = ProbeResponse { upstream: "u7".into(), incarnation: 1, draining: false };
    entry.feed(MemberEvent::ProbeSucceeded { peer: address(0), sent_at, response });
    assert!(!entry.is_usable("u0"));
}

#[test]
fn pause_makes_every_agent_stale_until_probed_again() {
    let mut entry = Entry::settled(12, 10);
    entry.now += 10 * SECOND;
    entry.feed(MemberEvent::Tick);
    assert!(entry.views().values().all(|view| !view.usable));
    entry.run(2 * SECOND);
    assert!(entry.views().values().all(|view| view.usable));
}

#[test]
fn response_to_a_probe_sent_before_a_pause_is_ignored() {
    let mut entry = Entry::settled(1, 11);
    let sent_at = loop {
        entry.now += TICK;
        let actions = entry.core.handle(entry.now, MemberEvent::Tick);
        if let Some(MemberAction::Probe { sent_at, .. }) = actions.first() {
            break *sent_at;
        }
    };
    entry.now += 10 * SECOND;
    let response = ProbeResponse { upstream: "u0".into(), incarnation: 1, draining: false };
    entry.feed(MemberEvent::ProbeSucceeded { peer: address(0), sent_at, response });
    assert!(!entry.is_usable("u0"));
}

#[test]
fn older_host_list_is_ignored() {
    let mut entry = Entry::settled(6, 12);
    let mut list = hosts(2, 6);
    list.hosts.remove(5);
    entry.feed(MemberEvent::Hosts(Arc::new(list)));
    entry.feed(MemberEvent::Hosts(Arc::new(hosts(1, 6))));
    assert!(!entry.views().contains_key("u5"));
}

#[test]
fn correlated_failure_and_recovery_cause_no_probe_storm() {
    let mut entry = Entry::settled(500, 13);
    let subset = entry.views().len();
    let from = entry.now;
    entry.down = (0..500).map(address).collect();
    for index in 0..500 {
        for _ in 0..20 {
            entry.feed(MemberEvent::ConnectFailed { peer: address(index), at: entry.now });
        }
    }
    entry.run(60 * SECOND);
    let lost = entry.probes.iter().filter(|probe| probe.0 >= entry.now - 20 * SECOND).count();
    assert!(lost <= subset * 20 / 3, "{lost} probes in 20 s to {subset} agents that are down");
    entry.down.clear();
    entry.run(10 * SECOND);
    assert!(entry.views().values().all(|view| view.usable), "some agents did not recover");
    let peak = entry.peak_probes(from);
    assert!(peak <= subset * 3, "peak of {peak} probes per second to {subset} agents");
}

#[test]
fn subset_is_bounded_even_and_stable() {
    let agents: BTreeSet<UpstreamId> = (0..6200).map(|index| format!("u{index}").into()).collect();
    let names: Vec<_> = (0..520).map(|index| format!("e{index}")).collect();
    let mut entries: Vec<_> = names.iter().map(String::as_str).collect();
    let group = AgentGroup { name: "m".into(), upstreams: agents.iter().cloned().collect() };
    let groups = [group];
    let subset_of = |own: &str, entries: &[&str], agents: &BTreeSet<UpstreamId>| {
        choose_subset(own, entries, agents, &groups, 64)
    };
    let mut probed: BTreeMap<UpstreamId, usize> = BTreeMap::new();
    let mut before = Vec::new();
    for own in &names {
        let subset = subset_of(own, &entries, &agents);
        assert_eq!(subset.len(), 64);
        subset.iter().for_each(|agent| *probed.entry(agent.clone()).or_default() += 1);
        before.push(subset);
    }
    let (least, most) = (probed.values().min().unwrap(), probed.values().max().unwrap());
    assert_eq!(probed.len(), 6200, "some agents are probed by no entry");
    assert!(most - least <= 2, "between {least} and {most} entries probe an agent");
    let mut fewer = agents.clone();
    fewer.remove("u77");
    entries.remove(5);
    for (own, before) in names.iter().zip(before).skip(6) {
        let changed = subset_of(own, &entries, &fewer).difference(&before).count();
        assert!(changed <= 24, "removing one entry and one agent changed {changed} of 64 agents");
    }
}

#[test]
fn small_group_is_in_every_subset() {
    let mut config = config(400);
    config.services.push(ServiceRecord { id: "office".into(), idempotent: true });
    config.upstreams[0].service = Some("office".into());
    let agents = config.upstreams.iter().map(|record| record.id.clone()).collect();
    let subset = choose_subset("e1", &["e0", "e1"], &agents, &agent_groups(&config), 64);
    assert!(subset.contains("u0"));
    assert!(subset.len() <= 128);
}

#[derive(Clone, Debug)]
enum Step {
    ConnectFailed(usize),
    Down(usize),
    Up(usize),
    Drain(usize),
    Hosts(u64),
    Pause(u64),
    Run(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..8_usize).prop_map(Step::ConnectFailed),
        (0..8_usize).prop_map(Step::Down),
        (0..8_usize).prop_map(Step::Up),
        (0..8_usize).prop_map(Step::Drain),
        (0..9_u64).prop_map(Step::Hosts),
        (0..20_000_u64).prop_map(Step::Pause),
        (0..3_000_u64).prop_map(Step::Run),
    ];
    proptest::collection::vec(step, 1..40)
}

proptest! {
    /// Whatever one entry observes, another entry that reaches all agents keeps all of them usable. Once the agents
    /// work again, they become usable for the first entry as well.
    #[test]
    fn one_observer_cannot_remove_an_upstream_for_others(seed in any::<u64>(), steps in steps()) {
        let mut observer = Entry::settled(8, seed);
        let mut other = Entry::settled(8, seed.wrapping_add(1));
        for step in steps {
            match step {
                Step::ConnectFailed(index) => {
                    let event = MemberEvent::ConnectFailed { peer: address(index), at: observer.now };
                    observer.feed(event);
                }
                Step::Down(index) => drop(observer.down.insert(address(index))),
                Step::Up(index) => drop(observer.down.remove(&address(index))),
                Step::Drain(index) => drop(observer.draining.insert(address(index))),
                Step::Hosts(version) => observer.feed(MemberEvent::Hosts(Arc::new(hosts(version, 8)))),
                Step::Pause(ms) => observer.now += Duration::from_millis(ms),
                Step::Run(ms) => {
                    observer.run(Duration::from_millis(ms));
                    other.run(Duration::from_millis(ms));
                }
            }
            prop_assert!(other.views().values().all(|view| view.usable));
        }
        observer.down.clear();
        observer.draining.clear();
        observer.run(12 * SECOND);
        prop_assert_eq!(observer.views().values().filter(|view| view.usable).count(), 8);
    }
}
