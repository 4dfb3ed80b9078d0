//! Tests that an engine is used only for a version of the weights whose load an agent has verified.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use balance::{
    AgentReport, LoadBalancer, LoadBalancerOptions, Placement, PlacementRequest, VerifiedLoad,
    WeightsEvidence,
};
use base::{ServiceId, UpstreamId};
use fleet::{
    ClientLimits, EngineCosts, EngineModel, EngineRecord, FleetView, LoadedWeights, RegionPolicy,
    RoutingConfig, RoutingIndex, ServiceRecord, UpstreamRecord, WeightsLimits, WeightsState,
    WeightsVersion,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Age at which a report is no longer current.
const SILENCE: Duration = Duration::from_secs(2);
/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

static CHAT: ServiceId = ServiceId::const_new("chat");
static ANY_REGION: RegionPolicy = RegionPolicy::UNRESTRICTED;

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 8_000))
}

fn name(index: u8) -> UpstreamId {
    format!("u{index}").into()
}

fn config() -> RoutingConfig {
    let engine = EngineRecord {
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
    };
    RoutingConfig {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceRecord {
            service: CHAT.clone(),
            max_connections: 434,
            cold_per_second: 0.0,
            cold_start: Duration::ZERO,
            engine: Some(engine),
            origin: None,
        }],
        limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        teams: None,
    }
}

/// Report of an agent that has verified `version`.
fn verified(engine_started_ms: u64, version: WeightsVersion) -> AgentReport {
    AgentReport {
        running: 0,
        queued: 0,
        version,
        unverified_version: 0,
        engine_started_ms: Some(engine_started_ms),
        load_orders: 1,
        switching: false,
        change_in: None,
        weights_in: None,
        slowdown_percent: 100,
    }
}

/// Report of an agent that has not verified `version`, which the engine has loaded; 0 if the load is corrupt.
fn unverified(engine_started_ms: u64, version: WeightsVersion) -> AgentReport {
    AgentReport { version: 0, unverified_version: version, ..verified(engine_started_ms, 0) }
}

/// Report of an agent whose engine does not respond.
fn engine_lost() -> AgentReport {
    AgentReport { engine_started_ms: None, ..verified(0, 0) }
}

struct EngineFixture {
    balancer: LoadBalancer,
    view: FleetView,
    now: Instant,
    rng: ChaCha8Rng,
}

impl EngineFixture {
    /// Engines that started at 1 ms and that the store lists with version 1.
    fn new(engines: u8) -> Self {
        let mut view = FleetView::default();
        view.set_routing(Arc::new(RoutingIndex::new(Arc::new(config()))));
        let mut fixture = Self {
            balancer: LoadBalancer::new(LoadBalancerOptions::default()),
            view,
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(3),
        };
        fixture.list((0..engines).map(|index| (index, 1, 1)));
        fixture
    }

    /// The store lists engines with their start times and complete versions; version 0 stands for none.
    fn list(&mut self, engines: impl IntoIterator<Item = (u8, u64, WeightsVersion)>) {
        let record = |(index, started_ms, version)| UpstreamRecord {
            upstream: name(index),
            service: CHAT.clone(),
            address: address(index),
            data_centre: "north".into(),
            slots: 16,
            draining: false,
            cold_for: Duration::ZERO,
            weights: (version > 0)
                .then(|| LoadedWeights { model: "m".into(), version, complete: true })
                .into_iter()
                .collect(),
            started_ms,
        };
        let records = engines.into_iter().map(|engine| (Arc::new(record(engine)), None));
        self.view.set_upstreams(records.collect());
        self.balancer.set_view(&self.view, self.now);
    }

    fn report(&mut self, index: u8, report: AgentReport) {
        self.now += REPORT_INTERVAL;
        self.balancer.record_report(address(index), report, self.now, &mut self.rng);
    }

    fn be_silent(&mut self) {
        self.now += SILENCE;
    }

    fn choose(&mut self, weights: Option<WeightsLimits<'_>>) -> Placement {
        let request = PlacementRequest {
            service: &CHAT,
            prompt_tokens: 1_000,
            regions: &ANY_REGION,
            tried: &[],
            weights,
            time_to_target: Some(Duration::from_secs(2)),
            delay_limit: None,
            time_to_deadline: None,
            is_resumed: false,
            is_last_attempt: false,
        };
        self.balancer.choose(&request, self.now, &mut self.rng)
    }

    /// Version for which the only engine is used, and on what it rests; all parts of the balancer must agree on it.
    fn used(&mut self) -> Option<(WeightsVersion, WeightsEvidence)> {
        let used = match self.choose(None) {
            Placement::Upstream { expected_version, evidence, .. } => {
                Some((expected_version.expect("an engine"), evidence.expect("an engine")))
            }
            Placement::Refused(_) => None,
        };
        let version = used.map(|(version, _)| version);
        assert_eq!(self.balancer.load_of("u0", self.now).version, version);
        let capacity = self.balancer.capacity("chat", self.now).expect("an engine service");
        assert_eq!(capacity.per_second > 0.0, used.is_some());
        let forecast = self.balancer.capacity_forecast("chat", SILENCE, self.now);
        let has_report = self.balancer.has_report(address(0), self.now);
        assert_eq!(forecast.is_some(), used.is_some() && has_report);
        used
    }
}

#[test]
fn engine_is_used_for_a_listed_version_that_no_agent_has_verified() {
    let mut fixture = EngineFixture::new(1);
    assert_eq!(fixture.used(), None);
    fixture.report(0, verified(1, 1));
    assert_eq!(fixture.used(), Some((1, WeightsEvidence::Report)));
    fixture.be_silent();
    assert_eq!(fixture.used(), Some((1, WeightsEvidence::Memory)));
    // The engine has accepted an order of the agent, which cannot tell any more what was loaded.
    fixture.list([(0, 1, 2)]);
    assert_eq!(fixture.used(), None);
}

#[test]
fn engine_is_used_after_an_unverified_load_whose_agent_is_silent() {
    let mut fixture = EngineFixture::new(1);
    fixture.report(0, verified(1, 1));
    fixture.report(0, unverified(1, 2));
    assert_eq!(fixture.used(), None);
    // The list may be older than the load, or newer.
    fixture.be_silent();
    assert_eq!(fixture.used(), None);
    fixture.list([(0, 1, 2)]);
    assert_eq!(fixture.used(), None);
    fixture.report(0, verified(1, 2));
    assert_eq!(fixture.used(), Some((2, WeightsEvidence::Report)));
}

/// Guards against engines that are idle, or started slowly, while agents that have restarted verify all loads again.
#[test]
fn verified_load_is_forgotten_while_a_restarted_agent_has_not_verified_it() {
    for seed in 0..20 {
        let mut fixture = EngineFixture::new(1);
        fixture.rng = ChaCha8Rng::seed_from_u64(seed);
        fixture.report(0, verified(1, 1));
        fixture.report(0, unverified(1, 1));
        assert_eq!(fixture.used(), Some((1, WeightsEvidence::Memory)));
        assert_eq!(
            fixture.balancer.verified_load(address(0)),
            Some(VerifiedLoad { engine_started_ms: 1, version: 1, load_orders: 1 })
        );
        fixture.list([(0, 1, 1), (1, 1, 1)]);
        fixture.report(1, AgentReport { running: 10, ..verified(1, 1) });
        for report in [unverified(1, 1), verified(1, 1)] {
            fixture.report(0, report);
            assert!(matches!(
                fixture.choose(None),
                Placement::Upstream { record, .. } if record.upstream == name(0)
            ));
        }
    }
}

#[test]
fn engine_is_used_after_its_agent_has_found_the_load_corrupt() {
    let mut fixture = EngineFixture::new(1);
    fixture.report(0, verified(1, 1));
    fixture.report(0, unverified(1, 0));
    assert_eq!(fixture.used(), None);
    assert_eq!(fixture.balancer.verified_load(address(0)), None);
    fixture.be_silent();
    assert_eq!(fixture.used(), None);
    // A restarted agent does not know of the verdict.
    fixture.report(0, unverified(1, 1));
    assert_eq!(fixture.used(), None);
}

#[test]
fn restarted_engine_is_used_for_the_version_of_its_earlier_start() {
    let mut fixture = EngineFixture::new(1);
    fixture.report(0, verified(1, 1));
    fixture.list([(0, 2, 1)]);
    assert_eq!(fixture.used(), None);
    fixture.report(0, unverified(2, 1));
    assert_eq!(fixture.used(), None);
    fixture.report(0, verified(2, 1));
    assert_eq!(fixture.used(), Some((1, WeightsEvidence::Report)));

    // The agent sees the restart before the list does.
    let mut fixture = EngineFixture::new(1);
    fixture.report(0, verified(1, 1));
    fixture.report(0, unverified(2, 1));
    assert_eq!(fixture.used(), None);
    fixture.be_silent();
    assert_eq!(fixture.used(), None);

    // The list still names the earlier start.
    let mut fixture = EngineFixture::new(1);
    fixture.report(0, verified(2, 1));
    fixture.be_silent();
    assert_eq!(fixture.used(), None);
    fixture.list([(0, 2, 1)]);
    assert_eq!(fixture.used(), Some((1, WeightsEvidence::Memory)));
}

/// Guards against an engine that stays unused because its registration expired while its agent was silent, and against a
/// verdict of the agent that is missed meanwhile.
#[test]
fn verified_load_is_forgotten_with_an_expired_registration() {
    let mut fixture = EngineFixture::new(1);
    fixture.report(0, verified(1, 1));
    fixture.list([]);
    fixture.be_silent();
    assert_eq!(fixture.used(), None);
    fixture.list([(0, 1, 1)]);
    assert_eq!(fixture.used(), Some((1, WeightsEvidence::Memory)));
    fixture.list([]);
    fixture.report(0, unverified(1, 0));
    fixture.list([(0, 1, 1)]);
    assert_eq!(fixture.used(), None);
}

/// Guards against an engine that stays unused because it did not respond to its agent for a moment.
#[test]
fn verified_load_is_forgotten_because_the_engine_did_not_respond() {
    let mut fixture = EngineFixture::new(1);
    fixture.report(0, verified(1, 1));
    fixture.report(0, engine_lost());
    assert_eq!(fixture.used(), None);
    fixture.report(0, unverified(1, 1));
    assert_eq!(fixture.used(), Some((1, WeightsEvidence::Memory)));
    fixture.report(0, engine_lost());
    fixture.be_silent();
    assert_eq!(fixture.used(), Some((1, WeightsEvidence::Memory)));
}

/// Guards against requests that run on weights which the engine has loaded since the last report.
#[test]
fn request_is_sent_without_the_version_that_was_verified() {
    let mut fixture = EngineFixture::new(1);
    fixture.report(0, verified(1, 1));
    let declared = fixture.now;
    let newest = WeightsState::new(vec![(1, Some(declared))]);
    let outdated = WeightsState::new(vec![(1, Some(declared)), (2, Some(declared))]);
    let limits = |weights| Some(WeightsLimits::new(weights, Duration::from_secs(8)));
    for report in [verified(1, 1), unverified(1, 1)] {
        fixture.report(0, report);
        for weights in [None, limits(&newest), limits(&outdated)] {
            let placement = fixture.choose(weights);
            assert!(
                matches!(placement, Placement::Upstream { expected_version: Some(1), .. }),
                "{placement:?}"
            );
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Report(AgentReport),
    List(u64, WeightsVersion),
    Unlist,
    Silence,
}

fn step() -> impl Strategy<Value = Step> {
    let (start, version, orders) = (1_u64..3, 1_u64..3, 1_u64..3);
    prop_oneof![
        3 => (start.clone(), version, orders.clone()).prop_map(|(start, version, load_orders)| {
            Step::Report(AgentReport { load_orders, ..verified(start, version) })
        }),
        3 => (start.clone(), 0_u64..3, orders).prop_map(|(start, version, load_orders)| {
            Step::Report(AgentReport { load_orders, ..unverified(start, version) })
        }),
        1 => Just(Step::Report(engine_lost())),
        2 => (start, 0_u64..3).prop_map(|(start, version)| Step::List(start, version)),
        1 => Just(Step::Unlist),
        2 => Just(Step::Silence),
    ]
}

/// True if the last statement of an agent about the load was that it is verified. A report of the engine with another start
/// or version states that the load is gone; one of the same load by a process that has not verified it states nothing.
fn is_vouched_for(reports: &[AgentReport], load: VerifiedLoad) -> bool {
    let statements = reports.iter().rev().filter_map(|report| {
        let started_ms = report.engine_started_ms?;
        let is_same_start = started_ms == load.engine_started_ms;
        let is_open = report.version == 0
            && (report.unverified_version, report.load_orders) == (load.version, load.load_orders);
        (!is_same_start || !is_open).then_some(is_same_start && report.version == load.version)
    });
    statements.into_iter().next().unwrap_or(false)
}

/// A report that was delayed until the engine had started again counted as one of the new start.
#[test]
fn delayed_report_of_an_earlier_start_is_believed() {
    let mut fixture = EngineFixture::new(1);
    fixture.report(0, verified(1, 1));
    fixture.list([(0, 2, 1)]);
    fixture.report(0, unverified(2, 0));
    fixture.report(0, verified(1, 1));
    assert_eq!(fixture.used(), None);
}

/// A version that the engine had given up and loaded again counted as verified while its agent was silent.
#[test]
fn reloaded_version_is_used_because_an_earlier_load_was_verified() {
    let mut fixture = EngineFixture::new(1);
    fixture.report(0, verified(1, 1));
    fixture.be_silent();
    fixture.list([(0, 1, 0)]);
    fixture.list([(0, 1, 1)]);
    assert_eq!(fixture.used(), None);
    let reloaded = AgentReport { load_orders: 3, ..unverified(1, 1) };
    fixture.report(0, verified(1, 1));
    fixture.report(0, reloaded);
    assert_eq!(fixture.used(), None);
}

/// What agents had stated before a pause of the entry was relied on after it.
#[test]
fn statements_from_before_a_pause_are_relied_on() {
    let mut fixture = EngineFixture::new(1);
    fixture.report(0, verified(1, 1));
    fixture.balancer.forget_reports();
    assert_eq!(fixture.used(), None);
    fixture.report(0, unverified(1, 1));
    assert_eq!(fixture.used(), None);
}

proptest! {
    /// Guards against any order of reports, restarts, silences and changes of the list after which an engine is used for a
    /// load that no agent vouches for, and against one after which a verified engine is not used.
    #[test]
    fn engine_is_used_for_a_load_that_no_agent_vouches_for(
        steps in prop::collection::vec(step(), 1..20),
    ) {
        let mut fixture = EngineFixture::new(1);
        let mut reports = Vec::new();
        let (mut listed, mut current) = (Some((1, 1)), None);
        // Start of the engine in the last report since it was listed, or in the list if that is later.
        let mut latest_start = 1;
        for step in steps {
            match step {
                Step::Report(report) => {
                    fixture.report(0, report);
                    // One of an earlier start was late and states nothing.
                    if report.engine_started_ms.is_none_or(|started_ms| started_ms >= latest_start) {
                        let listed_start = listed.map_or(0, |(started_ms, _)| started_ms);
                        latest_start = report.engine_started_ms.unwrap_or(0).max(listed_start);
                        reports.push(report);
                        current = listed.is_some().then_some(report);
                        latest_start = if listed.is_some() { latest_start } else { 0 };
                    }
                }
                Step::List(started_ms, version) => {
                    // A new start ends what is known of the earlier one.
                    if listed.is_none_or(|(known, _)| known != started_ms) {
                        current = None;
                        latest_start = started_ms;
                    }
                    listed = Some((started_ms, version));
                    fixture.list([(0, started_ms, version)]);
                }
                Step::Unlist => {
                    fixture.list([]);
                    (listed, current, latest_start) = (None, None, 0);
                }
                Step::Silence => {
                    fixture.be_silent();
                    current = None;
                }
            }
            let used = fixture.used();
            let started_ms = match current {
                Some(report) => report.engine_started_ms,
                None => listed.map(|(started_ms, _)| started_ms),
            };
            if let Some((version, evidence)) = used {
                let engine_started_ms = started_ms.expect("the engine responds");
                let stated = reports.iter().rfind(|report| report.version > 0);
                let load_orders = match current {
                    Some(report) => report.load_orders,
                    None => stated.expect("an agent has vouched for it").load_orders,
                };
                let load = VerifiedLoad { engine_started_ms, version, load_orders };
                prop_assert!(is_vouched_for(&reports, load), "{load:?}");
                let listed_version = listed.map(|(_, version)| version);
                prop_assert!(current.is_some() || listed_version == Some(version));
                let is_reported = current.is_some_and(|report| report.version == version);
                prop_assert_eq!(is_reported, evidence == WeightsEvidence::Report);
            }
            if let Some(report) = current.filter(|report| report.version > 0) {
                prop_assert_eq!(used, Some((report.version, WeightsEvidence::Report)));
            }
        }
    }
}
