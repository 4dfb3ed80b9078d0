//! Simulates entries that share the limit which an upstream states, and checks every window in which it is judged.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use balance::{
    AttemptOutcome, LimitStatement, LimitUsage, LoadBalancer, LoadBalancerOptions, Placement,
    PlacementRequest,
};
use base::{ServiceId, UpstreamId};
use fleet::{
    ClientLimits, FleetView, RegionPolicy, RoutingConfig, RoutingIndex, ServiceRecord,
    UpstreamRecord,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

static DESK: ServiceId = ServiceId::const_new("desk");

/// Requests are allowed up to 1.5 times the limit and 5 requests in 4 s, from 3 s after the first statement.
const WINDOW_MS: u64 = 4_000;
const GRACE_MS: u64 = 3_000;
/// Time of the first statement.
const STATED_MS: u64 = 5_000;
const STEP_MS: u64 = 5;
const REPORT_MS: u64 = 250;
const LATENCY_MS: u64 = 4;
const UPSTREAMS: u8 = 6;

fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0
}

enum Event {
    /// A response to a request that an entry sent to the limited upstream or, with `false`, to another one.
    Response { entry: usize, upstream: UpstreamId, sent: u64 },
    /// A report of one entry arrives at another one.
    Report { from: usize, to: usize, usage: LimitUsage },
}

struct SimulatedEntry {
    balancer: LoadBalancer,
    /// Requests per second of its callers.
    demand: f64,
}

/// Entries that send requests to six upstreams, of which the first one states a limit from [`STATED_MS`] on.
struct LimitSimulation {
    start: Instant,
    now_ms: u64,
    rng: ChaCha8Rng,
    entries: Vec<SimulatedEntry>,
    events: BTreeMap<u64, Vec<Event>>,
    /// Limit that the upstream states now.
    limit: Option<f64>,
    /// Fraction of the reports that are lost.
    loss: f64,
    /// Times of the requests to the limited upstream, and the entries that sent them.
    arrivals: Vec<u64>,
    refused: usize,
    sent: usize,
}

impl LimitSimulation {
    fn new(demands: &[f64], seed: u64) -> Self {
        let mut simulation = Self {
            start: Instant::now(),
            now_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            events: BTreeMap::new(),
            limit: None,
            loss: 0.03,
            arrivals: Vec::new(),
            refused: 0,
            sent: 0,
        };
        for demand in demands {
            let mut balancer = LoadBalancer::new(LoadBalancerOptions::default());
            balancer.set_view(&view(), simulation.start);
            balancer.set_live_entries(demands.len());
            balancer.set_possible_entries(demands.len());
            simulation.entries.push(SimulatedEntry { balancer, demand: *demand });
        }
        simulation
    }

    fn now(&self) -> Instant {
        self.at(self.now_ms)
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    /// Replaces an entry by a process that has just started and knows no limit.
    fn restart(&mut self, entry: usize) {
        let fresh = Self::new(&vec![0.0; self.entries.len()], 0);
        let fresh = fresh.entries.into_iter().next().expect("there is an entry");
        self.entries[entry].balancer = fresh.balancer;
        let now = self.now();
        self.entries[entry].balancer.set_view(&view(), now);
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            let due = self.events.split_off(&(self.now_ms + 1));
            for event in std::mem::replace(&mut self.events, due).into_values().flatten() {
                self.handle(event);
            }
            for entry in 0..self.entries.len() {
                let rate = self.entries[entry].demand * STEP_MS as f64 / 1_000.0;
                if self.rng.random_bool(rate.min(1.0)) {
                    self.send(entry);
                }
                if (self.now_ms + 35 * entry as u64).is_multiple_of(REPORT_MS) {
                    self.report(entry);
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    fn send(&mut self, entry: usize) {
        let request = PlacementRequest {
            service: &DESK,
            prompt_tokens: 0,
            regions: &RegionPolicy::default(),
            tried: &[],
            weights: None,
            time_to_target: Some(Duration::from_millis(400)),
            delay_limit: None,
            time_to_deadline: None,
            is_resumed: false,
            is_last_attempt: false,
        };
        let now = self.now();
        let balancer = &mut self.entries[entry].balancer;
        let Placement::Upstream { record, .. } = balancer.choose(&request, now, &mut self.rng)
        else {
            self.refused += 1;
            return;
        };
        balancer.record_sent(&record.upstream, now);
        self.sent += 1;
        if record.upstream == name(0) {
            self.arrivals.push(self.now_ms);
        }
        let delay = self.rng.random_range(40..300);
        let response =
            Event::Response { entry, upstream: record.upstream.clone(), sent: self.now_ms };
        self.events.entry(self.now_ms + delay).or_default().push(response);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Response { entry, upstream, sent } => {
                let sent = self.at(sent);
                let is_stated = upstream == name(0) && self.now_ms >= STATED_MS;
                let statement = match self.limit.filter(|_| is_stated) {
                    Some(limit) => LimitStatement::PerSecond(limit),
                    None => LimitStatement::Absent,
                };
                let balancer = &mut self.entries[entry].balancer;
                balancer.record_outcome(&upstream, AttemptOutcome::Answered, now);
                let change = balancer.record_limit(&upstream, statement, sent, now, &mut self.rng);
                if change.is_some() {
                    self.report(entry);
                }
            }
            Event::Report { from, to, usage } => {
                let peer = SocketAddr::from(([10, 1, 0, from as u8], 7_700));
                let balancer = &mut self.entries[to].balancer;
                balancer.record_limit_usage(peer, &usage, now, &mut self.rng);
            }
        }
    }

    fn report(&mut self, from: usize) {
        let now = self.now();
        for usage in self.entries[from].balancer.limit_usage(now) {
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                if !self.rng.random_bool(self.loss) {
                    let report = Event::Report { from, to, usage: usage.clone() };
                    self.events.entry(self.now_ms + LATENCY_MS).or_default().push(report);
                }
            }
        }
    }

    /// Largest number of requests in a window that ends within the given period.
    fn worst_window(&self, from_ms: u64, to_ms: u64) -> usize {
        let ends = self.arrivals.iter().filter(|end| (from_ms..to_ms).contains(*end));
        let within = |end: u64| {
            self.arrivals.iter().filter(|at| **at <= end && **at + WINDOW_MS > end).count()
        };
        ends.map(|end| within(*end)).max().unwrap_or(0)
    }

    fn arrivals_between(&self, from_ms: u64, to_ms: u64) -> usize {
        self.arrivals.iter().filter(|at| (from_ms..to_ms).contains(*at)).count()
    }
}

fn name(index: u8) -> UpstreamId {
    format!("u{index}").into()
}

fn view() -> FleetView {
    let config = RoutingConfig {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceRecord {
            service: DESK.clone(),
            max_connections: 10_000,
            cold_per_second: 0.0,
            cold_start: Duration::ZERO,
            engine: None,
            origin: None,
        }],
        limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        teams: None,
    };
    let mut view = FleetView::default();
    view.set_routing(Arc::new(RoutingIndex::new(Arc::new(config))));
    let records = (0..UPSTREAMS).map(|index| {
        let record = UpstreamRecord {
            upstream: name(index),
            service: DESK.clone(),
            address: SocketAddr::from(([10, 0, 0, index], 8_000)),
            data_centre: "north".into(),
            slots: 200,
            draining: false,
            cold_for: Duration::ZERO,
            weights: Vec::new(),
            started_ms: 1,
        };
        (Arc::new(record), None)
    });
    view.set_upstreams(records.collect());
    view
}

/// Requests per second of each entry: all the same, or nearly all at one entry.
fn demands(entries: usize, total: f64, is_unequal: bool) -> Vec<f64> {
    let rest = if is_unequal { 0.1 * total } else { total };
    let mut demands = vec![rest / entries as f64; entries];
    if is_unequal {
        demands[0] += total - rest;
    }
    demands
}

/// Total demand at which about `per_upstream` requests a second go to each upstream. The window that is judged first
/// begins one second before the statement, so the demand must leave room for that second.
fn feasible_demand(limit: f64) -> f64 {
    f64::from(UPSTREAMS) * 0.45 * allowed(limit)
}

/// Guards against entries that together send more than the limit allows, whatever their number and the distribution of
/// their callers, and against a limit that is mostly left unused.
#[test]
fn entries_keep_the_limit_together_and_use_it() {
    for limit in [0.0, 0.5, 2.3, 8.0, 40.0] {
        for (entries, is_unequal) in [(1, false), (3, true), (8, false), (8, true), (43, false)] {
            let mut used = 0.0;
            let seeds = 4;
            for seed in 0..seeds {
                let demand = feasible_demand(limit);
                let mut simulation =
                    LimitSimulation::new(&demands(entries, demand, is_unequal), seed);
                simulation.limit = Some(limit);
                simulation.run_until(30_000);
                let case = format!("limit {limit}, {entries} entries, {is_unequal}, seed {seed}");
                let worst = simulation.worst_window(STATED_MS + GRACE_MS, 30_000);
                assert!(worst as f64 <= allowed(limit), "{case}: {worst} in 4 s");
                assert_eq!(simulation.refused, 0, "{case}: other upstreams had room");
                used += simulation.arrivals_between(12_000, 30_000) as f64 / 18.0 / seeds as f64;
            }
            let case = format!("limit {limit}, {entries} entries, {is_unequal}");
            assert!(used <= 1.1 * limit.max(0.25) + 0.2, "{case}: {used} a second");
            // An entry that hears no other one cannot know that there is none.
            if entries > 1 {
                assert!(used >= 0.33 * limit, "{case}: {used} of {limit} a second were used");
            }
        }
    }
}

/// Guards against shares that need the reports of the others: without any, the sum must still hold.
#[test]
fn entries_that_cannot_reach_one_another_keep_the_limit() {
    for (entries, limit) in [(8, 0.0), (8, 2.3), (8, 40.0), (12, 2.3), (43, 2.3)] {
        for seed in 0..8 {
            let demands = demands(entries, feasible_demand(limit), false);
            let mut simulation = LimitSimulation::new(&demands, seed);
            simulation.limit = Some(limit);
            simulation.loss = 1.0;
            simulation.run_until(45_000);
            // Until then, every entry has learned the limit from a response of its own.
            let worst = simulation.worst_window(25_000, 45_000);
            assert!(
                worst as f64 <= allowed(limit),
                "limit {limit}, {entries} entries, seed {seed}: {worst} in 4 s"
            );
        }
    }
}

/// Guards against shares that follow the demand too slowly or add up to more than the limit while callers move from one
/// entry to another, and while entries are restarted without what they knew.
#[test]
fn limit_holds_while_callers_move_and_entries_restart() {
    let limit = 2.3;
    for seed in 0..8 {
        let total = feasible_demand(limit);
        let mut simulation = LimitSimulation::new(&demands(8, total, true), seed);
        simulation.limit = Some(limit);
        for round in 0..8 {
            simulation.run_until(8_000 + 3_000 * round);
            let from = round as usize % 8;
            let to = (from + 1) % 8;
            let moved = 0.9 * simulation.entries[from].demand;
            simulation.entries[from].demand -= moved;
            simulation.entries[to].demand += moved;
            simulation.restart((from + 3) % 8);
        }
        simulation.run_until(34_000);
        let worst = simulation.worst_window(STATED_MS + GRACE_MS, 34_000);
        assert!(worst as f64 <= allowed(limit), "seed {seed}: {worst} in 4 s");
        let used = simulation.arrivals_between(12_000, 34_000) as f64 / 22.0;
        assert!(used >= 0.3 * limit, "seed {seed}: {used} a second were used");
    }
}

/// Guards against entries that go on with the rate of an earlier, higher statement.
#[test]
fn lower_limit_applies_to_the_requests_before_it() {
    for seed in 0..8 {
        let mut simulation = LimitSimulation::new(&demands(8, 60.0, false), seed);
        simulation.limit = Some(8.0);
        simulation.run_until(12_000);
        simulation.limit = Some(1.0);
        simulation.run_until(30_000);
        let worst = simulation.worst_window(12_000 + WINDOW_MS, 30_000);
        assert!(worst as f64 <= allowed(1.0), "seed {seed}: {worst} in 4 s");
    }
}

/// Guards against a limit that stays in force after its end, above all one of zero, at which no response would show the
/// end.
#[test]
fn upstream_gets_its_part_again_after_the_end_of_its_limit() {
    for (limit, within_ms) in [(2.3, 2_500), (0.0, 20_000)] {
        for seed in 0..8 {
            let mut simulation = LimitSimulation::new(&demands(8, 60.0, false), seed);
            simulation.limit = Some(limit);
            simulation.run_until(15_000);
            simulation.limit = None;
            simulation.run_until(15_000 + within_ms);
            let from = simulation.now_ms;
            simulation.run_until(from + 3_000);
            let rate = simulation.arrivals_between(from, from + 3_000) as f64 / 3.0;
            assert!(rate >= 6.0, "limit {limit}, seed {seed}: {rate} a second");
        }
    }
}

/// Guards against requests that are sent to an upstream whose limit is used up because no other one is left, and
/// against callers that wait instead of being refused at once.
#[test]
fn requests_are_refused_if_every_upstream_has_reached_its_limit() {
    let mut simulation = LimitSimulation::new(&[40.0], 1);
    for index in 0..UPSTREAMS {
        let now = simulation.now();
        let balancer = &mut simulation.entries[0].balancer;
        let statement = LimitStatement::PerSecond(0.0);
        balancer.record_limit(&name(index), statement, now, now, &mut simulation.rng);
    }
    simulation.limit = Some(0.0);
    simulation.run_until(4_000);
    assert!(simulation.sent <= usize::from(UPSTREAMS), "{} were sent", simulation.sent);
    assert!(simulation.refused >= 100, "{} were refused", simulation.refused);
}
