//! A simulated fleet: cores, links with latency and the platform's service, all of which can fail.

#![allow(dead_code, reason = "each test file uses only a part of the helpers")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use config::{
    DataCentreRecord, FencingMode, FleetConfig, HostList, HostRecord, HostRole, HostState,
    PresetName, PresetRule, TeamRecord, UpstreamKind, UpstreamRecord,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use spread::{
    DocumentKind, GossipAction, GossipCore, GossipEvent, GossipOptions, GossipReport, ReadResult,
};

pub const DATA_CENTRES: [&str; 3] = ["bannau", "elan", "eryri"];
const TICK: Duration = Duration::from_millis(100);
const LINK_LATENCY: Duration = Duration::from_millis(2);

pub fn config(revision: u64) -> FleetConfig {
    let upstream = |index: usize| UpstreamRecord {
        id: format!("u{index}").into(),
        host: format!("h{index}").into(),
        data_centre: DATA_CENTRES[index % 3].into(),
        kind: UpstreamKind::Model,
        service: None,
        fencing: FencingMode::Ignored,
        cold_limit: 1,
        warm_limit: 1 + if index == 0 { u32::try_from(revision % 100).unwrap() } else { 0 },
        memory_mib: 1,
    };
    FleetConfig {
        revision,
        preset: PresetName::Ordinary,
        teams: vec![TeamRecord { id: "t".into(), organisation: "o".into(), share: 1 }],
        data_centres: DATA_CENTRES
            .iter()
            .map(|id| DataCentreRecord { id: (*id).into(), region: "wales".into(), out: false })
            .collect(),
        upstreams: (0..12).map(upstream).collect(),
        models: Vec::new(),
        adapters: Vec::new(),
        services: Vec::new(),
        presets: PresetName::ALL
            .into_iter()
            .map(|id| PresetRule { id, models: Vec::new() })
            .collect(),
    }
}

pub fn document(revision: u64) -> Bytes {
    config(revision).canonical_bytes().into()
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, u8::try_from(index / 250).unwrap(), u8::try_from(index % 250).unwrap()],
        7000,
    ))
}

pub fn host_list(version: u64, count: usize) -> HostList {
    let host = |index: usize| HostRecord {
        id: format!("h{index}").into(),
        data_centre: DATA_CENTRES[index % 3].into(),
        role: HostRole::Agent,
        upstream: Some(format!("u{index}").into()),
        http: None,
        peer: address(index),
        state: HostState::Live,
    };
    HostList { version, hosts: (0..count).map(host).collect() }
}

pub fn new_core(index: usize, seeds: Vec<SocketAddr>, seed: u64, now: Instant) -> GossipCore {
    let options = GossipOptions {
        host: format!("h{index}").into(),
        data_centre: DATA_CENTRES[index % 3].into(),
        peer: address(index),
        seeds,
    };
    let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1000).wrapping_add(index as u64));
    GossipCore::new(options, Box::new(rng), now)
}

/// Stand-in for the platform's configuration service and host list.
pub struct Service {
    pub config: Bytes,
    pub revision: u64,
    pub hosts: HostList,
    pub is_up: bool,
    pub reads: usize,
}

impl Service {
    pub fn publish(&mut self, revision: u64) {
        self.config = document(revision);
        self.revision = revision;
    }
}

type Delivery = (Instant, u64, usize);

pub struct Fleet {
    pub now: Instant,
    pub cores: BTreeMap<usize, GossipCore>,
    pub service: Service,
    pub paused: HashSet<usize>,
    /// Hosts on one side of a network partition; messages between the sides are lost.
    pub partitioned: HashSet<usize>,
    /// True if the hosts in `partitioned` cannot reach the service either.
    pub is_service_partitioned: bool,
    pub reports: Vec<(usize, GossipReport)>,
    pub highest: BTreeMap<usize, u64>,
    /// Changes of freshness: index of the process, new value, revision in force at that time.
    pub freshness_changes: Vec<(usize, bool, u64)>,
    pub downgrades: usize,
    pub messages: usize,
    seed: u64,
    next_tick: Instant,
    queue: BinaryHeap<Reverse<Delivery>>,
    events: BTreeMap<u64, GossipEvent>,
    watches: Vec<(usize, u64, Instant)>,
    sequence: u64,
}

impl Fleet {
    pub fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let service = Service {
            config: document(1),
            revision: 1,
            hosts: host_list(1, count),
            is_up: true,
            reads: 0,
        };
        let mut fleet = Self {
            now,
            cores: BTreeMap::new(),
            service,
            paused: HashSet::new(),
            partitioned: HashSet::new(),
            is_service_partitioned: false,
            reports: Vec::new(),
            highest: BTreeMap::new(),
            freshness_changes: Vec::new(),
            downgrades: 0,
            messages: 0,
            seed,
            next_tick: now,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            watches: Vec::new(),
            sequence: 0,
        };
        for index in 0..count {
            fleet.start(index);
        }
        fleet
    }

    /// Creates a fleet in which every process has started and holds revision 1.
    pub fn started(count: usize, seed: u64) -> Self {
        let mut fleet = Self::new(count, seed);
        fleet.run(Duration::from_secs(15));
        assert!(fleet.all_hold(1), "the fleet did not start");
        fleet
    }

    /// Starts or restarts a process, which holds no documents.
    pub fn start(&mut self, index: usize) {
        let seeds = (0..3).map(address).collect();
        let core = new_core(index, seeds, self.seed + self.sequence, self.now);
        self.highest.remove(&index);
        self.cores.insert(index, core);
    }

    pub fn stop(&mut self, index: usize) {
        self.cores.remove(&index);
    }

    pub fn revision(&self, index: usize) -> u64 {
        self.cores[&index].config().map_or(0, |held| held.value.revision)
    }

    pub fn all_hold(&self, revision: u64) -> bool {
        self.cores.keys().all(|index| self.revision(*index) == revision)
    }

    pub fn all_are_fresh(&self) -> bool {
        self.cores.values().all(GossipCore::is_fresh)
    }

    /// Runs until `done` returns true; returns the time that it took, or `None` if it exceeds `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(Duration::from_millis(10));
        }
        done(self).then_some(limit)
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let next_delivery = self.queue.peek().map(|Reverse((at, ..))| *at);
            let next = next_delivery.map_or(self.next_tick, |at| at.min(self.next_tick));
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if next_delivery.is_some_and(|at| at <= self.next_tick) {
                self.deliver();
            } else {
                self.tick();
            }
        }
        self.now = end;
    }

    fn tick(&mut self) {
        self.next_tick += TICK;
        self.respond_to_watches();
        let indexes: Vec<_> = self.cores.keys().copied().collect();
        for index in indexes {
            self.handle_event(index, GossipEvent::Tick);
        }
    }

    fn deliver(&mut self) {
        let Some(Reverse((_, id, index))) = self.queue.pop() else { return };
        let event = self.events.remove(&id).unwrap();
        if self.paused.contains(&index) {
            // The kernel buffers messages to a paused process, which handles them after the pause.
            self.send_at(self.now + TICK, index, event);
        } else {
            self.handle_event(index, event);
        }
    }

    fn send_at(&mut self, at: Instant, index: usize, event: GossipEvent) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.queue.push(Reverse((at, self.sequence, index)));
    }

    fn send(&mut self, index: usize, event: GossipEvent) {
        self.messages += 1;
        self.send_at(self.now + LINK_LATENCY, index, event);
    }

    fn handle_event(&mut self, index: usize, event: GossipEvent) {
        if self.paused.contains(&index) {
            return;
        }
        let Some(core) = self.cores.get_mut(&index) else { return };
        for action in core.handle(self.now, event) {
            self.execute(index, action);
        }
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        self.cores.contains_key(&to)
            && !self.paused.contains(&to)
            && self.partitioned.contains(&from) == self.partitioned.contains(&to)
    }

    fn peer_index(&self, peer: SocketAddr) -> Option<usize> {
        self.cores.keys().copied().find(|index| address(*index) == peer)
    }

    fn execute(&mut self, index: usize, action: GossipAction) {
        match action {
            GossipAction::Exchange(peer) => self.exchange(index, peer),
            GossipAction::Pull(peer, kind, base) => {
                let to = self.peer_index(peer).filter(|to| self.is_reachable(index, *to));
                let event = match to.and_then(|to| self.cores.get_mut(&to)) {
                    Some(core) => GossipEvent::PullSucceeded(
                        peer,
                        kind,
                        core.respond_to_pull(self.now, kind, base),
                    ),
                    None => GossipEvent::PullFailed(peer, kind),
                };
                self.send(index, event);
            }
            GossipAction::ReadConfig { after, wait } => {
                self.service.reads += 1;
                self.watches.push((index, after, self.now + wait));
                self.respond_to_watches();
            }
            GossipAction::ReadHosts => {
                self.service.reads += 1;
                let list = serde_json::to_vec(&self.service.hosts).unwrap();
                let read = self.read_result_for(index, ReadResult::Document(list.into()));
                self.send(index, GossipEvent::ReadCompleted(DocumentKind::Hosts, read));
            }
            GossipAction::PublishConfig(held) => {
                let highest = self.highest.entry(index).or_default();
                self.downgrades += usize::from(held.value.revision < *highest);
                *highest = held.value.revision;
            }
            GossipAction::SetFresh(fresh) => {
                let revision = self.revision(index);
                self.freshness_changes.push((index, fresh, revision));
            }
            GossipAction::PublishHosts(_) => {}
            GossipAction::Report(report) => self.reports.push((index, report)),
        }
    }

    fn exchange(&mut self, index: usize, peer: SocketAddr) {
        let Some(to) = self.peer_index(peer).filter(|to| self.is_reachable(index, *to)) else {
            self.send(index, GossipEvent::ExchangeFailed(peer));
            return;
        };
        let own = self.cores[&index].summary(self.now);
        let response = self.cores[&to].summary(self.now);
        self.send(to, GossipEvent::ExchangeReceived(own));
        let sent_at = self.now;
        self.send(index, GossipEvent::ExchangeSucceeded { peer, sent_at, summary: response });
    }

    fn read_result_for(&self, index: usize, read: ReadResult) -> ReadResult {
        let is_reachable = self.service.is_up
            && !(self.is_service_partitioned && self.partitioned.contains(&index));
        if is_reachable { read } else { ReadResult::Failed }
    }

    fn respond_to_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for (index, after, deadline) in watches {
            let newer = self.service.revision > after;
            let read = if newer {
                ReadResult::Document(self.service.config.clone())
            } else {
                ReadResult::Unchanged
            };
            let read = self.read_result_for(index, read);
            if newer || self.now >= deadline || matches!(read, ReadResult::Failed) {
                self.send(index, GossipEvent::ReadCompleted(DocumentKind::Config, read));
            } else {
                self.watches.push((index, after, deadline));
            }
        }
    }
}
