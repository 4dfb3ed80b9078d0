//! Driver of entries and plain upstreams that share their hosts, with a simulated clock.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use balance::{AttemptOutcome, LoadBalancer, LoadBalancerOptions, Placement, PlacementRequest};
use base::{ServiceId, UpstreamId};
use fleet::{
    ClientLimits, FleetView, RegionPolicy, RoutingConfig, RoutingIndex, ServiceRecord,
    UpstreamRecord,
};
use pace::{ResponseSample, UpstreamOccupancy};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(1);
/// Interval between the exchanges of entries.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval in which a host is slow or not.
const NOISE_INTERVAL: Duration = Duration::from_millis(600);
/// Slots of each upstream.
pub const SLOTS: u32 = 8;
/// Target and timeout of the requests.
const TARGET: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(3);

static SERVICE: ServiceId = ServiceId::const_new("rank");
static ANY_REGION: RegionPolicy = RegionPolicy::UNRESTRICTED;

/// Upstream that works like a shared processor: beyond `knee` requests, each one takes longer in proportion.
#[derive(Clone, Debug)]
pub struct SimulatedUpstream {
    pub work: Duration,
    pub knee: f64,
    /// Factor of the host and whether it is stated truthfully.
    pub slowdown: f64,
    pub states_slowdown: bool,
    /// True if the host is slow for 15% of the time.
    pub is_noisy: bool,
    /// Responds at once without content if set.
    pub is_empty: bool,
    running: Vec<RunningRequest>,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    entry: usize,
    sent_at: Instant,
    left: Duration,
}

impl SimulatedUpstream {
    pub fn new(work: Duration) -> Self {
        Self {
            work,
            knee: f64::from(SLOTS),
            slowdown: 1.0,
            states_slowdown: true,
            is_noisy: false,
            is_empty: false,
            running: Vec::new(),
        }
    }

    fn occupancy(&self) -> UpstreamOccupancy {
        let requests = self.running.len() as u32;
        let slowdown = if self.states_slowdown { self.slowdown } else { 1.0 };
        UpstreamOccupancy {
            running: requests.min(SLOTS),
            waiting: requests.saturating_sub(SLOTS),
            slots: Some(SLOTS),
            slowdown_percent: Some((slowdown * 100.0) as u32),
        }
    }
}

pub struct SimulatedFleet {
    pub upstreams: Vec<SimulatedUpstream>,
    entries: Vec<LoadBalancer>,
    /// Requests per second of all entries together.
    pub rate: f64,
    /// True if entries tell one another what they measure.
    pub is_connected: bool,
    /// Fraction of the notices that are lost.
    pub loss: f64,
    start: Instant,
    now: Instant,
    rng: ChaCha8Rng,
    view: FleetView,
    /// Times at which each upstream got a request.
    sent: Vec<Vec<Instant>>,
    pub refused: usize,
    pub late: usize,
    pub placed: usize,
}

fn name(index: usize) -> UpstreamId {
    UpstreamId::from(format!("u{index:03}"))
}

fn record(index: usize, started_ms: u64) -> UpstreamRecord {
    UpstreamRecord {
        upstream: name(index),
        service: SERVICE.clone(),
        address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 8_000)),
        data_centre: "north".into(),
        slots: SLOTS,
        draining: false,
        cold_for: Duration::ZERO,
        weights: Vec::new(),
        started_ms,
    }
}

impl SimulatedFleet {
    pub fn new(upstreams: Vec<SimulatedUpstream>, entries: usize, rate: f64) -> Self {
        let config = Arc::new(RoutingConfig {
            version: 1,
            routes: Vec::new(),
            services: vec![ServiceRecord {
                service: SERVICE.clone(),
                max_connections: 10_000,
                cold_per_second: 0.0,
                cold_start: Duration::ZERO,
                engine: None,
                origin: None,
            }],
            limits: ClientLimits {
                max_header_bytes: 16_384,
                max_body_bytes: 4_194_304,
                header_timeout: Duration::from_secs(3),
                idle_timeout: Duration::from_secs(15),
            },
            teams: None,
        });
        let mut view = FleetView::default();
        view.set_routing(Arc::new(RoutingIndex::new(config)));
        let records =
            (0..upstreams.len()).map(|index| (Arc::new(record(index, 1)), None)).collect();
        view.set_upstreams(records);
        let now = Instant::now();
        let sent = vec![Vec::new(); upstreams.len()];
        let mut fleet = Self {
            upstreams,
            entries: Vec::new(),
            rate,
            is_connected: true,
            loss: 0.0,
            start: now,
            now,
            rng: ChaCha8Rng::seed_from_u64(11),
            view,
            sent,
            refused: 0,
            late: 0,
            placed: 0,
        };
        for _ in 0..entries {
            let balancer = fleet.new_entry(entries);
            fleet.entries.push(balancer);
        }
        fleet
    }

    fn new_entry(&self, entries: usize) -> LoadBalancer {
        let mut balancer = LoadBalancer::new(LoadBalancerOptions {
            regions: [("north".into(), "r".into())].into(),
            region: "r".into(),
            learned_capacity: true,
            ..LoadBalancerOptions::default()
        });
        balancer.set_view(&self.view, self.now);
        balancer.set_live_entries(entries);
        balancer.set_local_entries(entries);
        balancer.set_possible_entries(entries);
        balancer
    }

    /// Restarts an entry, which loses what it has learned and its requests.
    pub fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = self.new_entry(self.entries.len());
        for upstream in &mut self.upstreams {
            upstream.running.retain(|request| request.entry != entry);
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.update_noise();
            self.complete_requests();
            let elapsed = self.now - self.start;
            if elapsed.as_millis().is_multiple_of(SHARE_INTERVAL.as_millis()) && self.is_connected {
                self.exchange();
            }
            if self.rng.random_bool((self.rate * STEP.as_secs_f64()).min(1.0)) {
                self.send();
            }
        }
    }

    fn update_noise(&mut self) {
        let elapsed = (self.now - self.start).as_millis();
        if !elapsed.is_multiple_of(NOISE_INTERVAL.as_millis()) {
            return;
        }
        for upstream in self.upstreams.iter_mut().filter(|upstream| upstream.is_noisy) {
            upstream.slowdown = if self.rng.random_bool(0.15) { 2.5 } else { 1.0 };
        }
    }

    fn complete_requests(&mut self) {
        for (index, upstream) in self.upstreams.iter_mut().enumerate() {
            let crowding = (upstream.running.len() as f64 / upstream.knee).max(1.0);
            let done = STEP.div_f64(crowding * upstream.slowdown);
            let occupancy = upstream.occupancy();
            for request in &mut upstream.running {
                request.left = request.left.saturating_sub(done);
            }
            let is_empty = upstream.is_empty;
            for request in upstream.running.extract_if(.., |request| request.left.is_zero()) {
                let elapsed = self.now - request.sent_at;
                self.late += usize::from(elapsed > TARGET);
                let balancer = &mut self.entries[request.entry];
                let sample = ResponseSample {
                    elapsed,
                    occupancy: Some(occupancy),
                    slots: SLOTS,
                    is_served: !is_empty,
                };
                balancer.record_response(&name(index), sample, self.now);
                balancer.record_outcome(&name(index), AttemptOutcome::Answered, self.now);
            }
        }
    }

    fn exchange(&mut self) {
        let shares: Vec<_> =
            self.entries.iter_mut().map(|balancer| balancer.speed_shares(self.now)).collect();
        for (sender, shares) in shares.iter().enumerate() {
            let peer = SocketAddr::from(([10, 1, 0, sender as u8], 7_000));
            for (receiver, balancer) in self.entries.iter_mut().enumerate() {
                if receiver != sender && !self.rng.random_bool(self.loss) {
                    for share in shares {
                        balancer.apply_speed_share(peer, share, self.now);
                    }
                }
            }
        }
    }

    fn send(&mut self) {
        let entry = self.rng.random_range(0..self.entries.len());
        let request = PlacementRequest {
            service: &SERVICE,
            prompt_tokens: 0,
            regions: &ANY_REGION,
            tried: &[],
            weights: None,
            time_to_target: Some(TARGET),
            delay_limit: None,
            time_to_deadline: Some(TIMEOUT),
            is_resumed: false,
            is_last_attempt: false,
        };
        let placement = self.entries[entry].choose(&request, self.now, &mut self.rng);
        let Placement::Upstream { record, .. } = placement else {
            self.refused += 1;
            return;
        };
        self.placed += 1;
        self.entries[entry].record_sent(&record.upstream, self.now);
        let index: usize = record.upstream[1..].parse().expect("names end with their index");
        self.sent[index].push(self.now);
        let upstream = &mut self.upstreams[index];
        let size = 0.7 + 0.6 * self.rng.random::<f64>();
        let left = if upstream.is_empty { STEP } else { upstream.work.mul_f64(size) };
        upstream.running.push(RunningRequest { entry, sent_at: self.now, left });
    }

    /// Share of the requests of the last `span` that each upstream got.
    pub fn shares(&self, span: Duration) -> Vec<f64> {
        let counts: Vec<f64> = self
            .sent
            .iter()
            .map(|sent| sent.iter().rev().take_while(|at| **at + span > self.now).count() as f64)
            .collect();
        let all: f64 = counts.iter().sum();
        counts.into_iter().map(|count| count / all.max(1.0)).collect()
    }

    /// Longest time without a request at an upstream within the last `span`.
    pub fn longest_idle(&self, span: Duration) -> Duration {
        let begin = self.now - span;
        let gaps = self.sent.iter().map(|sent| {
            let recent = sent.iter().copied().filter(|at| *at >= begin);
            let times: Vec<Instant> =
                std::iter::once(begin).chain(recent).chain([self.now]).collect();
            times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
        });
        gaps.max().unwrap_or_default()
    }

    /// Estimated work times relative to the usual one, at one entry.
    pub fn relative(&self, entry: usize) -> HashMap<usize, f64> {
        let estimates = (0..self.upstreams.len()).filter_map(|index| {
            let speed = self.entries[entry].learned_speed(&name(index), self.now)?;
            Some((index, speed.relative))
        });
        estimates.collect()
    }

    /// Learned load per slot from which an upstream slows down, at one entry.
    pub fn knee(&self, entry: usize, upstream: usize) -> f64 {
        let speed = self.entries[entry].learned_speed(&name(upstream), self.now);
        speed.map_or(1.0, |speed| speed.knee)
    }
}
