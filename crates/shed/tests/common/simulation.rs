//! Simulated entries and engines without a network.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use balance::{
    AgentReport, AttemptOutcome, LoadBalancer, LoadBalancerOptions, Placement, PlacementRequest,
};
use base::UpstreamId;
use fleet::{
    ClientLimits, EngineCosts, EngineModel, EngineRecord, FleetView, LoadedWeights, RegionPolicy,
    RoutingConfig, RoutingIndex, ServiceRecord, UpstreamRecord,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shed::{ContentionTable, LoadForecast, ShedControl, ShedOutcome, ShedRequest};

use super::{config, route};

/// Targets of the ranks 0, 1 and 2 in milliseconds.
pub const TARGETS_MS: [u64; 3] = [400, 400, 1_000];
/// Age at which a report is no longer current.
const SILENCE: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(5);
const SLOTS: usize = 16;
const TOKENS: u32 = 106;
const STRIDE: u32 = 6;

/// Load and faults of a run.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub entries: usize,
    pub engines: usize,
    /// Requests per second of all entries together, without those that return, while the load is high.
    pub rate: f64,
    /// Requests per second before the time of high load.
    pub base_rate: f64,
    /// Duration of the high load, which begins at second 3; `None` if it lasts to the end.
    pub burst: Option<Duration>,
    /// Weight of each rank among the requests.
    pub mix: [f64; 3],
    /// Exponent of the sizes of the 24 teams; 0 if all are equal.
    pub skew: f64,
    /// Share of the requests that team 0 sends in addition to its size.
    pub large_team: f64,
    /// True if all requests of a team have the same rank, instead of the weights of `mix`.
    pub ranks_by_team: bool,
    /// False for the behaviour without load shedding.
    pub is_shedding: bool,
    /// Share of the reports that do not reach an entry.
    pub lost_reports: f64,
    /// Entries that get no reports at all.
    pub blind_entries: usize,
    /// Entries that restart in the middle of the run.
    pub restarted_entries: usize,
    pub seed: u64,
    pub duration: Duration,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            entries: 24,
            engines: 12,
            rate: 210.0,
            base_rate: 80.0,
            mix: [0.3, 0.3, 0.4],
            skew: 1.0,
            large_team: 0.0,
            burst: None,
            ranks_by_team: false,
            is_shedding: true,
            lost_reports: 0.0,
            blind_entries: 0,
            restarted_entries: 0,
            seed: 1,
            duration: Duration::from_secs(20),
        }
    }
}

/// Requests that callers sent for the first time, and what became of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub requests: u32,
    /// Taken at the first attempt or after the return.
    pub placed: u32,
    /// First event within the target.
    pub on_time: u32,
    pub placed_late: u32,
}

impl Tally {
    pub fn placed_share(&self) -> f64 {
        f64::from(self.placed) / f64::from(self.requests.max(1))
    }

    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.requests.max(1))
    }
}

/// Result of a run: one tally for each rank and team in each second.
#[derive(Debug, Default)]
pub struct FleetResult {
    pub tallies: BTreeMap<(u64, u8, usize), Tally>,
    /// Mean level of the entries in each second.
    pub levels: BTreeMap<u64, f64>,
}

impl FleetResult {
    /// Sum over the seconds `from..to` of the ranks and teams for which `filter` holds.
    pub fn sum(&self, from: u64, to: u64, filter: impl Fn(u8, usize) -> bool) -> Tally {
        let mut sum = Tally::default();
        for ((second, rank, team), tally) in &self.tallies {
            if (from..to).contains(second) && filter(*rank, *team) {
                sum.requests += tally.requests;
                sum.placed += tally.placed;
                sum.on_time += tally.on_time;
                sum.placed_late += tally.placed_late;
            }
        }
        sum
    }
}

#[derive(Clone, Debug)]
struct Call {
    rank: u8,
    team: usize,
    begun: Instant,
    is_late: bool,
}

#[derive(Debug)]
struct Job {
    entry: usize,
    call: Call,
    tokens: u32,
}

#[derive(Debug, Default)]
struct Engine {
    queue: VecDeque<Job>,
    running: Vec<Job>,
    pass_ends: Option<Instant>,
}

struct Entry {
    balancer: LoadBalancer,
    control: ShedControl,
}

fn engine_record() -> EngineRecord {
    EngineRecord {
        slots: SLOTS as u32,
        memory_tokens: 685_000,
        costs: EngineCosts {
            step: Duration::from_micros(7_400),
            step_per_request: Duration::from_micros(39),
            step_per_context: Duration::from_micros(20),
            prefill_per_second: 31_900.0,
            stride: STRIDE,
            prefill_chunk: 2_048,
        },
        models: vec![EngineModel { model: "m".into(), warmup: Duration::from_millis(300) }],
        layers: 16,
        chunks: 48,
        chunk_bytes: 49_152,
        mean_tokens: (972, TOKENS),
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 8_000))
}

fn view(engines: usize) -> FleetView {
    let limits = ClientLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let service = ServiceRecord {
        service: "ranked".into(),
        max_connections: 10_000,
        cold_per_second: 0.0,
        cold_start: Duration::ZERO,
        engine: Some(engine_record()),
        origin: None,
    };
    let routing = RoutingConfig {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits,
        teams: None,
    };
    let mut view = FleetView::default();
    view.set_routing(Arc::new(RoutingIndex::new(Arc::new(routing))));
    let record = |index| UpstreamRecord {
        upstream: format!("u{index}").into(),
        service: "ranked".into(),
        address: address(index),
        data_centre: "north".into(),
        slots: SLOTS as u32,
        draining: false,
        cold_for: Duration::ZERO,
        weights: vec![LoadedWeights { model: "m".into(), version: 1, complete: true }],
        started_ms: 1,
    };
    view.set_upstreams((0..engines).map(|index| (Arc::new(record(index)), None)).collect());
    view
}

fn contention() -> ContentionTable {
    let mut table = ContentionTable::new();
    let routes = (0..3).map(|rank| route("ranked", rank, TARGETS_MS[usize::from(rank)]));
    table.set_config(&config(routes.collect()));
    table
}

fn report(running: u32, queued: u32) -> AgentReport {
    AgentReport {
        running,
        queued,
        version: 1,
        unverified_version: 0,
        engine_started_ms: Some(1),
        load_orders: 0,
        switching: false,
        change_in: None,
        weights_in: None,
        slowdown_percent: 100,
    }
}

fn new_entry(options: &FleetOptions, view: &FleetView, seed: u64, now: Instant) -> Entry {
    let mut balancer = LoadBalancer::new(LoadBalancerOptions {
        regions: [("north".into(), "r".into())].into(),
        region: "r".into(),
        ..LoadBalancerOptions::default()
    });
    balancer.set_view(view, now);
    balancer.set_live_entries(options.entries);
    balancer.set_local_entries(options.entries);
    // The agents have verified the weights; entries that get no more reports know nothing of the load.
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for index in 0..options.engines {
        balancer.record_report(address(index), report(0, 0), now - SILENCE, &mut rng);
    }
    let mut control = ShedControl::with_seed(seed);
    if options.is_shedding {
        control.set_contention(&contention(), now);
    }
    Entry { balancer, control }
}

/// Index into cumulated weights.
fn pick(weights: &[f64], rng: &mut impl Rng) -> usize {
    let mut left = rng.random_range(0.0..weights.iter().sum());
    for (index, weight) in weights.iter().enumerate() {
        if left < *weight {
            return index;
        }
        left -= weight;
    }
    weights.len() - 1
}

impl Engine {
    /// Ends the current pass, and begins the next one. Returns the calls whose first event was sent, and the jobs that
    /// ended.
    fn advance(&mut self, now: Instant) -> (Vec<Call>, Vec<Job>) {
        let (mut first, mut done) = (Vec::new(), Vec::new());
        if self.pass_ends.is_some_and(|ends| ends > now) {
            return (first, done);
        }
        if self.pass_ends.take().is_some() {
            for job in &mut self.running {
                if job.tokens == 0 {
                    first.push(job.call.clone());
                }
                job.tokens += STRIDE;
            }
            let (ended, running) =
                self.running.drain(..).partition(|job: &Job| job.tokens >= TOKENS);
            (done, self.running) = (ended, running);
        }
        // A pass processes a chunk of 2,048 prompt tokens, about two prompts.
        let mut prefills = 0_u32;
        while prefills < 2 && self.running.len() < SLOTS {
            let Some(job) = self.queue.pop_front() else { break };
            self.running.push(job);
            prefills += 1;
        }
        if !self.running.is_empty() {
            let step = 7.4e-3 + self.running.len() as f64 * 60e-6;
            let pass = f64::from(STRIDE) * step + f64::from(prefills) * 972.0 / 31_900.0;
            self.pass_ends = Some(now + Duration::from_secs_f64(pass));
        }
        (first, done)
    }
}

fn shed_request(call: &Call, now: Instant) -> ShedRequest {
    let target = Duration::from_millis(TARGETS_MS[usize::from(call.rank)]);
    ShedRequest {
        service: "ranked".into(),
        rank: call.rank,
        team: Some(format!("team{}", call.team).into()),
        time_to_target: (!call.is_late)
            .then(|| (call.begun + target).saturating_duration_since(now)),
        target,
    }
}

impl Entry {
    fn place(&mut self, call: &Call, now: Instant, rng: &mut impl Rng) -> Option<UpstreamId> {
        if let Some(limit) = self.control.due_forecast("ranked", now) {
            let forecast = self.balancer.capacity_forecast("ranked", limit, now);
            let forecast = forecast.map(|forecast| LoadForecast {
                delay: forecast.delay,
                refused_fraction: forecast.refused_fraction,
            });
            self.control.record_forecast("ranked", forecast, now);
        }
        let request = shed_request(call, now);
        let placement = PlacementRequest {
            service: &"ranked".into(),
            prompt_tokens: 972,
            regions: &RegionPolicy::new(None, None),
            tried: &[],
            weights: None,
            time_to_target: request.time_to_target,
            delay_limit: self.control.delay_limit(&request, now),
            time_to_deadline: None,
            is_resumed: false,
            is_last_attempt: false,
        };
        match self.balancer.choose(&placement, now, rng) {
            Placement::Upstream { record, delay, .. } => {
                self.control.record(&request, ShedOutcome::Placed(delay), now);
                self.balancer.record_sent(&record.upstream, now);
                Some(record.upstream.clone())
            }
            Placement::Refused(_) => {
                self.control.record(&request, ShedOutcome::Refused, now);
                None
            }
        }
    }
}

/// Runs entries and engines for the given time; the load is high from second 3 to the end.
pub fn run(options: &FleetOptions) -> FleetResult {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let start = Instant::now();
    let view = view(options.engines);
    let mut entries: Vec<Entry> = (0..options.entries)
        .map(|index| new_entry(options, &view, index as u64 + 1_000 * options.seed, start))
        .collect();
    let mut engines: Vec<Engine> = (0..options.engines).map(|_| Engine::default()).collect();
    let names: HashMap<UpstreamId, usize> =
        (0..options.engines).map(|index| (format!("u{index}").into(), index)).collect();
    let sizes: Vec<f64> = (0..24).map(|team| (f64::from(team) + 1.0).powf(-options.skew)).collect();
    let mut returns: Vec<(Instant, Call)> = Vec::new();
    let mut result = FleetResult::default();
    let mut now = start;
    while now < start + options.duration {
        let elapsed = now - start;
        let millis = elapsed.as_millis() as u64;
        for (index, engine) in engines.iter_mut().enumerate() {
            let (first, done) = engine.advance(now);
            for call in first {
                let target = Duration::from_millis(TARGETS_MS[usize::from(call.rank)]);
                if now.saturating_duration_since(call.begun) <= target && !call.is_late {
                    let second = (call.begun - start).as_secs();
                    result.tallies.entry((second, call.rank, call.team)).or_default().on_time += 1;
                }
            }
            for job in done {
                let upstream = format!("u{index}");
                entries[job.entry].balancer.record_outcome(
                    &upstream,
                    AttemptOutcome::Answered,
                    now,
                );
            }
            // Each agent reports every 100 ms, not all at the same time.
            if (millis + index as u64 * 35) % 100 < STEP.as_millis() as u64 {
                let report = report(engine.running.len() as u32, engine.queue.len() as u32);
                for entry in entries.iter_mut().skip(options.blind_entries) {
                    if rng.random_range(0.0..1.0) >= options.lost_reports {
                        entry.balancer.record_report(address(index), report, now, &mut rng);
                    }
                }
            }
        }
        if elapsed >= options.duration / 2 && elapsed < options.duration / 2 + STEP {
            for (index, entry) in entries.iter_mut().take(options.restarted_entries).enumerate() {
                *entry = new_entry(options, &view, 77_000 + index as u64, now);
            }
        }
        let high_from = Duration::from_secs(3);
        let is_high =
            elapsed >= high_from && options.burst.is_none_or(|burst| elapsed < high_from + burst);
        let rate = if is_high { options.rate } else { options.base_rate };
        let mut calls: Vec<Call> = Vec::new();
        // Up to four arrivals in a step approximate a Poisson process.
        for _ in 0..4 {
            if rng.random_range(0.0..1.0) < rate * STEP.as_secs_f64() / 4.0 {
                let drawn = pick(&options.mix, &mut rng);
                let is_large = rng.random_range(0.0..1.0) < options.large_team;
                let team = if is_large { 0 } else { pick(&sizes, &mut rng) };
                let rank = if options.ranks_by_team { team % 3 } else { drawn } as u8;
                let tally = result.tallies.entry((elapsed.as_secs(), rank, team)).or_default();
                tally.requests += 1;
                calls.push(Call { rank, team, begun: now, is_late: false });
            }
        }
        returns.retain(|(due, call)| {
            let is_due = *due <= now;
            if is_due {
                calls.push(Call { is_late: true, ..call.clone() });
            }
            !is_due
        });
        for call in calls {
            let index = rng.random_range(0..entries.len());
            let second = (call.begun - start).as_secs();
            if let Some(upstream) = entries[index].place(&call, now, &mut rng) {
                let tally = result.tallies.entry((second, call.rank, call.team)).or_default();
                tally.placed += 1;
                tally.placed_late += u32::from(call.is_late);
                engines[names[&upstream]].queue.push_back(Job { entry: index, call, tokens: 0 });
            } else if !call.is_late {
                let retry_after = Duration::from_millis(rng.random_range(900..2_000));
                returns.push((now + retry_after, call));
            }
        }
        let level =
            |entry: &Entry| entry.control.usage(now).first().map_or(0.0, |usage| usage.level);
        let mean = entries.iter().map(level).sum::<f64>() / entries.len() as f64;
        let known = result.levels.entry(elapsed.as_secs()).or_default();
        *known += mean / 200.0;
        now += STEP;
    }
    result
}
