//! Guards against a forecast of capacity that counts engines which are out of service, or misses when they return.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use balance::{AgentReport, EngineForecast, LoadBalancer, LoadBalancerOptions};
use fleet::{
    ClientLimits, EngineCosts, EngineRecord, FleetView, LoadedWeights, RoutingConfig, RoutingIndex,
    ServiceRecord, UpstreamRecord,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 10;

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
        models: Vec::new(),
        layers: 16,
        chunks: 48,
        chunk_bytes: 49_152,
        mean_tokens: (972, 106),
    }
}

fn service(name: &str, engine: Option<EngineRecord>) -> ServiceRecord {
    ServiceRecord {
        service: name.into(),
        max_connections: 434,
        cold_per_second: 0.0,
        cold_start: Duration::ZERO,
        engine,
        origin: None,
    }
}

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 8_000))
}

/// Four engines of the service `chat` and none of the plain service `desk`.
fn balancer(now: Instant) -> LoadBalancer {
    let config = RoutingConfig {
        version: 1,
        routes: Vec::new(),
        services: vec![service("chat", Some(engine())), service("desk", None)],
        limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        teams: None,
    };
    let records = (0..4).map(|index| {
        let record = UpstreamRecord {
            upstream: format!("u{index}").into(),
            service: "chat".into(),
            address: address(index),
            data_centre: "north".into(),
            slots: 16,
            draining: index == 3,
            cold_for: Duration::ZERO,
            weights: vec![LoadedWeights { model: "m".into(), version: 1, complete: true }],
            started_ms: 1,
        };
        (Arc::new(record), None)
    });
    let mut view = FleetView::default();
    view.set_routing(Arc::new(RoutingIndex::new(Arc::new(config))));
    view.set_upstreams(records.collect());
    let mut balancer = LoadBalancer::new(LoadBalancerOptions::default());
    balancer.set_view(&view, now);
    balancer.set_live_entries(ENTRIES);
    balancer
}

fn report() -> AgentReport {
    AgentReport {
        running: 3,
        queued: 0,
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

#[test]
fn capacity_follows_the_reports() {
    let verified_at = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut balancer = balancer(verified_at);
    (0..4).for_each(|index| {
        balancer.record_report(address(index), report(), verified_at, &mut rng);
    });
    // The agents are silent.
    let now = verified_at + Duration::from_secs(2);
    let share = 1.0 / EngineForecast::new(&engine()).mean_cost().as_secs_f64() / ENTRIES as f64;
    let is_close = |left: f64, right: f64| (left - right).abs() < 1e-6;
    let capacity = balancer.capacity("chat", now).expect("the costs are known");
    assert!(is_close(capacity.per_second, 3.0 * share), "a draining engine counts");
    assert!(capacity.changes.is_empty());

    // One engine is slow, one is loading, and one will load in 300 ms.
    let change_in = Some(Duration::from_millis(300));
    let reports = [
        AgentReport { slowdown_percent: 250, ..report() },
        AgentReport { switching: true, version: 0, ..report() },
        AgentReport { change_in, ..report() },
    ];
    for (index, report) in (0..).zip(reports) {
        balancer.record_report(address(index), report, now, &mut rng);
    }
    let capacity = balancer.capacity("chat", now).expect("the costs are known");
    assert!(is_close(capacity.per_second, 1.4 * share), "{capacity:?}");
    let at = |after_ms| -> f64 {
        let after = Duration::from_millis(after_ms);
        let changes = capacity.changes.iter().filter(|(at, _)| *at <= after);
        capacity.per_second + changes.map(|(_, change)| change).sum::<f64>()
    };
    assert!(is_close(at(400), 0.4 * share));
    assert!(is_close(at(1_300), 1.4 * share), "the first engine has loaded");
    assert!(is_close(at(1_600), 2.4 * share), "both engines have loaded");
    assert!(balancer.capacity("desk", now).is_none());
}
