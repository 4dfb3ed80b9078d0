//! Tests the learned factor of the forecast of engines, and the switch of the feature.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use balance::{AgentReport, LoadBalancer, LoadBalancerOptions, Placement, PlacementRequest};
use base::{ServiceId, UpstreamId};
use fleet::{
    ClientLimits, EngineCosts, EngineModel, EngineRecord, FleetView, LoadedWeights, RegionPolicy,
    RoutingConfig, RoutingIndex, ServiceRecord, UpstreamRecord,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const ENGINES: u8 = 4;

static SERVICE: ServiceId = ServiceId::const_new("chat");
static ANY_REGION: RegionPolicy = RegionPolicy::UNRESTRICTED;

fn name(index: u8) -> UpstreamId {
    UpstreamId::from(format!("e{index}"))
}

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 8_000))
}

fn engine() -> EngineRecord {
    EngineRecord {
        slots: 16,
        memory_tokens: 685_000,
        costs: EngineCosts {
            step: Duration::from_micros(7_400),
            step_per_request: Duration::from_micros(39),
            step_per_context: Duration::from_micros(20),
            prefill_per_second: 31_900.0,
            stride: 6,
            prefill_chunk: 2_048,
        },
        models: vec![EngineModel { model: "m".into(), warmup: Duration::from_millis(300) }],
        layers: 16,
        chunks: 48,
        chunk_bytes: 49_152,
        mean_tokens: (972, 106),
    }
}

fn view() -> FleetView {
    let config = RoutingConfig {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceRecord {
            service: SERVICE.clone(),
            max_connections: 434,
            cold_per_second: 0.0,
            cold_start: Duration::ZERO,
            engine: Some(engine()),
            origin: None,
        }],
        limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        teams: None,
    };
    let record = |index| UpstreamRecord {
        upstream: name(index),
        service: SERVICE.clone(),
        address: address(index),
        data_centre: "north".into(),
        slots: 16,
        draining: false,
        cold_for: Duration::ZERO,
        weights: vec![LoadedWeights { model: "m".into(), version: 1, complete: true }],
        started_ms: 1,
    };
    let mut view = FleetView::default();
    view.set_routing(Arc::new(RoutingIndex::new(Arc::new(config))));
    view.set_upstreams((0..ENGINES).map(|index| (Arc::new(record(index)), None)).collect());
    view
}

struct EngineFixture {
    balancer: LoadBalancer,
    now: Instant,
    rng: ChaCha8Rng,
}

impl EngineFixture {
    fn new(learned_capacity: bool) -> Self {
        let now = Instant::now();
        let mut balancer = LoadBalancer::new(LoadBalancerOptions {
            regions: [("north".into(), "r".into())].into(),
            region: "r".into(),
            learned_capacity,
            ..LoadBalancerOptions::default()
        });
        balancer.set_view(&view(), now);
        Self { balancer, now, rng: ChaCha8Rng::seed_from_u64(5) }
    }

    fn report(&mut self, slowdown_percent: u32, change_in: Option<Duration>) {
        for index in 0..ENGINES {
            let report = AgentReport {
                running: 4,
                queued: 0,
                version: 1,
                unverified_version: 0,
                engine_started_ms: Some(1),
                load_orders: 0,
                switching: false,
                change_in,
                weights_in: None,
                slowdown_percent: if index == 0 { slowdown_percent } else { 100 },
            };
            self.balancer.record_report(address(index), report, self.now, &mut self.rng);
        }
    }

    /// Places a request without sending it. Returns its engine and the predicted delay.
    fn place(&mut self) -> (UpstreamId, Duration) {
        let request = PlacementRequest {
            service: &SERVICE,
            prompt_tokens: 1_000,
            regions: &ANY_REGION,
            tried: &[],
            weights: None,
            time_to_target: Some(Duration::from_millis(400)),
            delay_limit: None,
            time_to_deadline: None,
            is_resumed: false,
            is_last_attempt: false,
        };
        match self.balancer.choose(&request, self.now, &mut self.rng) {
            Placement::Upstream { record, delay, .. } => (record.upstream.clone(), delay),
            Placement::Refused(refusal) => panic!("refused: {refusal:?}"),
        }
    }

    /// Serves requests for 4 s at each engine; the first event of `e0` takes `factor` times the prediction for an engine
    /// with this slowdown.
    fn learn(&mut self, slowdown_percent: u32, factor: f64) {
        for step in 0..40 {
            self.now += Duration::from_millis(100);
            self.report(slowdown_percent, None);
            let index = (step % u32::from(ENGINES)) as u8;
            let sent_at = self.now;
            let base = Duration::from_millis(100);
            let Some(check) = self.balancer.begin_forecast_check(&name(index), base, sent_at)
            else {
                continue;
            };
            let taken = check.predicted.mul_f64(if index == 0 { factor } else { 1.0 });
            self.balancer.record_first_event(&name(index), check, sent_at + taken);
        }
        self.now += Duration::from_millis(300);
        self.report(slowdown_percent, None);
    }

    fn relative(&self, index: u8) -> f64 {
        self.balancer.learned_speed(&name(index), self.now).map_or(1.0, |speed| speed.relative)
    }
}

/// Guards against an engine that is slower than its agent reports and still gets as much work as the others.
#[test]
fn engine_that_is_slower_than_predicted_is_avoided() {
    let mut fixture = EngineFixture::new(true);
    fixture.learn(100, 1.0);
    assert!((0.9..1.1).contains(&fixture.relative(0)), "{}", fixture.relative(0));
    fixture.learn(100, 2.0);
    assert!(fixture.relative(0) > 1.5, "{}", fixture.relative(0));
    assert!((0.9..1.1).contains(&fixture.relative(1)));
    for _ in 0..100 {
        assert_ne!(fixture.place().0, "e0");
    }
}

/// Guards against a slowdown that counts twice: what the agent reports is part of the prediction and is not learned.
#[test]
fn reported_slowdown_is_not_learned_again() {
    let mut fixture = EngineFixture::new(true);
    fixture.learn(250, 1.0);
    assert!((0.9..1.1).contains(&fixture.relative(0)), "{}", fixture.relative(0));
}

/// Guards against a change of weights that is taken for a loss of speed.
#[test]
fn engine_that_is_about_to_switch_is_not_measured() {
    let mut fixture = EngineFixture::new(true);
    fixture.report(100, Some(Duration::from_millis(900)));
    let delay = Duration::from_millis(100);
    assert!(fixture.balancer.begin_forecast_check("e0", delay, fixture.now).is_none());
}

/// Guards against effects of the feature while it is switched off: the placements and predictions are the same as without
/// any measurement.
#[test]
fn switched_off_it_changes_nothing() {
    let mut measured = EngineFixture::new(false);
    measured.learn(100, 3.0);
    let mut plain = EngineFixture::new(false);
    plain.now = measured.now;
    plain.report(100, None);
    for fixture in [&mut measured, &mut plain] {
        fixture.rng = ChaCha8Rng::seed_from_u64(9);
    }
    for _ in 0..200 {
        // The random numbers of the reports differ; they are generated anew here.
        measured.report(100, None);
        plain.report(100, None);
        assert_eq!(measured.place(), plain.place());
    }
    assert!(measured.balancer.learned_speed("e0", measured.now).is_none());
    assert!(measured.balancer.speed_shares(measured.now).is_empty());
}
