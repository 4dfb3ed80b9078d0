//! Placement policies that `measure load` compares.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Instant};

use balance::{
    AgentReport, AttemptOutcome, LoadBalancer, LoadBalancerOptions, Placement, PlacementRequest,
    SharedLimits,
};
use base::{ServiceId, UpstreamId};
use fleet::{
    ClientLimits, EngineRecord, FleetView, LoadedWeights, RegionPolicy, RoutingConfig,
    RoutingIndex, ServiceRecord, UpstreamRecord,
};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::{sim::EngineIndex, trace::TraceRequest};

/// Chooses the engine for each request at one entry.
pub trait PlacementPolicy {
    /// Records a load report of an engine. `load` holds the numbers of running and queued requests.
    fn record_report(&mut self, engine: EngineIndex, load: (u32, u32), now: Instant);

    /// Chooses an engine and predicts the time to the first event, if the policy makes predictions. `None` refuses the
    /// request. `first_try` is false if the caller retries a refused request.
    fn choose(
        &mut self,
        request: &TraceRequest,
        first_try: bool,
        now: Instant,
    ) -> Option<(EngineIndex, Option<std::time::Duration>)>;

    /// Records the end of a request that was sent to an engine.
    fn record_end(&mut self, engine: EngineIndex, is_answered: bool, now: Instant);
}

const SERVICE: &str = "llm";
const MODEL: &str = "model";

/// Placement and admission as in production, based on load forecasts.
pub struct ForecastPolicy {
    balancer: LoadBalancer,
    view: FleetView,
    engines: u16,
    service: ServiceId,
    random: ChaCha8Rng,
}

fn upstream(engine: EngineIndex) -> UpstreamId {
    format!("e{engine}").into()
}

fn address(engine: EngineIndex) -> SocketAddr {
    let [high, low] = engine.to_be_bytes();
    SocketAddr::from(([127, 0, high, low], 1))
}

impl ForecastPolicy {
    /// Creates the policy of one of `entries` entries. Engines are added when their first report arrives.
    #[must_use]
    pub fn new(record: &EngineRecord, entries: usize, random: ChaCha8Rng) -> Self {
        let options = LoadBalancerOptions {
            regions: [("d".into(), "r".into())].into(),
            region: "r".into(),
            shares: SharedLimits::default(),
            ..LoadBalancerOptions::default()
        };
        let mut balancer = LoadBalancer::new(options);
        balancer.set_live_entries(entries);
        balancer.set_possible_entries(entries);
        let mut view = FleetView::default();
        view.set_routing(Arc::new(RoutingIndex::new(Arc::new(RoutingConfig {
            version: 1,
            routes: Vec::new(),
            services: vec![ServiceRecord {
                service: SERVICE.into(),
                max_connections: 100_000,
                cold_per_second: 0.0,
                cold_start: std::time::Duration::ZERO,
                engine: Some(record.clone()),
                origin: None,
            }],
            limits: ClientLimits {
                max_header_bytes: 16_384,
                max_body_bytes: 65_536,
                header_timeout: std::time::Duration::from_secs(3),
                idle_timeout: std::time::Duration::from_secs(15),
            },
            teams: None,
        }))));
        Self { balancer, view, engines: 0, service: SERVICE.into(), random }
    }

    fn add_engines(&mut self, engines: u16, slots: u32, now: Instant) {
        let records = (0..engines).map(|engine| {
            let record = UpstreamRecord {
                upstream: upstream(engine),
                service: SERVICE.into(),
                address: address(engine),
                data_centre: "d".into(),
                slots,
                draining: false,
                cold_for: std::time::Duration::ZERO,
                weights: vec![LoadedWeights { model: MODEL.into(), version: 1, complete: true }],
                started_ms: 1,
            };
            (Arc::new(record), None)
        });
        self.view.set_upstreams(records.collect());
        self.balancer.set_view(&self.view, now);
        self.engines = engines;
    }
}

impl PlacementPolicy for ForecastPolicy {
    fn record_report(&mut self, engine: EngineIndex, load: (u32, u32), now: Instant) {
        if engine >= self.engines {
            let slots = self.view.service(SERVICE).and_then(|service| service.engine.as_ref());
            self.add_engines(engine + 1, slots.map_or(1, |engine| engine.slots), now);
        }
        let report = AgentReport {
            running: load.0,
            queued: load.1,
            version: 1,
            unverified_version: 0,
            engine_started_ms: Some(1),
            load_orders: 0,
            switching: false,
            change_in: None,
            weights_in: None,
            slowdown_percent: 100,
        };
        self.balancer.record_report(address(engine), report, now, &mut self.random);
    }

    fn choose(
        &mut self,
        request: &TraceRequest,
        first_try: bool,
        now: Instant,
    ) -> Option<(EngineIndex, Option<std::time::Duration>)> {
        let placement_request = PlacementRequest {
            service: &self.service,
            prompt_tokens: request.prompt,
            regions: &RegionPolicy::default(),
            tried: &[],
            weights: None,
            time_to_target: first_try.then(|| request.target()),
            delay_limit: None,
            time_to_deadline: None,
            is_resumed: false,
            is_last_attempt: false,
        };
        match self.balancer.choose(&placement_request, now, &mut self.random) {
            Placement::Upstream { record, delay, .. } => {
                self.balancer.record_sent(&record.upstream, now);
                let engine = record.upstream.get(1..)?.parse().ok()?;
                Some((engine, Some(delay)))
            }
            Placement::Refused(_) => None,
        }
    }

    fn record_end(&mut self, engine: EngineIndex, is_answered: bool, now: Instant) {
        let outcome = if is_answered { AttemptOutcome::Answered } else { AttemptOutcome::NotRun };
        self.balancer.record_outcome(&upstream(engine), outcome, now);
    }
}

/// Least-connections balancing without admission control: chooses the engine with the fewest requests of this entry.
pub struct ConnectionPolicy {
    in_flight: HashMap<EngineIndex, u32>,
    random: ChaCha8Rng,
}

impl ConnectionPolicy {
    /// Creates the policy of one entry. Engines are added when their first report arrives.
    #[must_use]
    pub fn new(random: ChaCha8Rng) -> Self {
        Self { in_flight: HashMap::new(), random }
    }
}

impl PlacementPolicy for ConnectionPolicy {
    fn record_report(&mut self, engine: EngineIndex, _: (u32, u32), _: Instant) {
        self.in_flight.entry(engine).or_default();
    }

    fn choose(
        &mut self,
        _: &TraceRequest,
        _: bool,
        _: Instant,
    ) -> Option<(EngineIndex, Option<std::time::Duration>)> {
        let min_in_flight = self.in_flight.values().min().copied()?;
        let mut candidates: Vec<EngineIndex> = self
            .in_flight
            .iter()
            .filter(|(_, count)| **count == min_in_flight)
            .map(|(engine, _)| *engine)
            .collect();
        candidates.sort_unstable();
        let engine = *candidates.choose(&mut self.random)?;
        *self.in_flight.entry(engine).or_default() += 1;
        Some((engine, None))
    }

    fn record_end(&mut self, engine: EngineIndex, _: bool, _: Instant) {
        if let Some(count) = self.in_flight.get_mut(&engine) {
            *count = count.saturating_sub(1);
        }
    }
}
