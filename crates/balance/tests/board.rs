//! Tests placement under different loads: bursts after a switch of weights, entries with identical reports, and
//! draining or evacuated upstreams.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use balance::{
    AgentReport, AttemptOutcome, EngineForecast, EngineLoad, LoadBalancer, LoadBalancerOptions,
    Placement, PlacementRequest, RefusalCause,
};
use base::{ServiceId, UpstreamId};
use fleet::{
    ClientLimits, EngineCosts, EngineModel, EngineRecord, FleetView, LoadedWeights, RegionPolicy,
    RetryPolicy, RouteRecord, RoutingConfig, RoutingIndex, ServiceRecord, TeamRecord,
    UpstreamRecord, WeightsLimits, WeightsState, WeightsVersion,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time within which declared weights must be in use.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(8);

/// Age at which a report is no longer current.
const SILENCE: Duration = Duration::from_secs(2);

static CHAT: ServiceId = ServiceId::const_new("chat");
static ANY_REGION: RegionPolicy = RegionPolicy::UNRESTRICTED;

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

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 8_000))
}

struct PlacementFixture {
    balancer: LoadBalancer,
    view: FleetView,
    now: Instant,
    rng: ChaCha8Rng,
}

impl PlacementFixture {
    fn new(upstreams: u8) -> Self {
        let options = LoadBalancerOptions {
            regions: [("north".into(), "r".into()), ("south".into(), "s".into())].into(),
            region: "r".into(),
            ..LoadBalancerOptions::default()
        };
        let mut view = FleetView::default();
        let config = Arc::new(RoutingConfig {
            version: 1,
            routes: Vec::new(),
            services: vec![ServiceRecord {
                service: "chat".into(),
                max_connections: 434,
                cold_per_second: 36.0,
                cold_start: Duration::from_secs(3),
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
        });
        view.set_routing(Arc::new(RoutingIndex::new(config)));
        let now = Instant::now();
        let records = (0..upstreams).map(|index| (Arc::new(record(index)), None)).collect();
        view.set_upstreams(records);
        let mut balancer = LoadBalancer::new(options);
        balancer.set_view(&view, now);
        balancer.set_live_entries(9);
        let mut fixture = Self { balancer, view, now, rng: ChaCha8Rng::seed_from_u64(7) };
        (0..upstreams).for_each(|index| fixture.verify(index, 1));
        fixture
    }

    /// The agent has verified version 1 in the process of the engine that started at `started_ms`, and is silent since.
    fn verify(&mut self, index: u8, started_ms: u64) {
        let report = AgentReport { engine_started_ms: Some(started_ms), ..report(1, 100) };
        let mut rng = ChaCha8Rng::seed_from_u64(0);
        self.balancer.record_report(address(index), report, self.now, &mut rng);
        self.now += SILENCE;
    }

    fn change(&mut self, index: u8, change: impl Fn(&mut UpstreamRecord)) {
        let records = self
            .view
            .upstreams()
            .map(|(known, changed)| {
                let mut known = (**known).clone();
                if known.upstream == name(index) {
                    change(&mut known);
                }
                (Arc::new(known), *changed)
            })
            .collect();
        self.view.set_upstreams(records);
        self.balancer.set_view(&self.view, self.now);
    }

    fn report(&mut self, index: u8, running: u32, version: u64) {
        self.report_pace(index, running, version, 100);
    }

    fn report_pace(&mut self, index: u8, running: u32, version: u64, slowdown_percent: u32) {
        let report = AgentReport { running, ..report(version, slowdown_percent) };
        self.balancer.record_report(address(index), report, self.now, &mut self.rng);
    }

    /// Places a request of a model whose declared weights are `weights`.
    fn place_within(&mut self, weights: &WeightsState) -> Result<UpstreamId, RefusalCause> {
        let limits = WeightsLimits::new(weights, ROLLOUT_TIMEOUT);
        self.place(|request| request.weights = Some(limits))
    }

    /// Like [`PlacementFixture::place_within`], but for a request that is never refused because of load.
    fn place_late(&mut self, weights: &WeightsState) -> Result<UpstreamId, RefusalCause> {
        let limits = WeightsLimits::new(weights, ROLLOUT_TIMEOUT);
        self.place(|request| {
            request.weights = Some(limits);
            request.is_resumed = true;
        })
    }

    fn place<'a>(
        &mut self,
        change: impl Fn(&mut PlacementRequest<'a>),
    ) -> Result<UpstreamId, RefusalCause> {
        match self.choose(change) {
            Placement::Upstream { record, .. } => Ok(record.upstream.clone()),
            Placement::Refused(refusal) => Err(refusal.cause),
        }
    }

    fn choose<'a>(&mut self, change: impl Fn(&mut PlacementRequest<'a>)) -> Placement {
        let mut request = PlacementRequest {
            service: &CHAT,
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
        change(&mut request);
        self.balancer.choose(&request, self.now, &mut self.rng)
    }
}

fn declared_versions(versions: &[(WeightsVersion, Option<Instant>)]) -> WeightsState {
    WeightsState::new(versions.to_vec())
}

fn name(index: u8) -> UpstreamId {
    format!("u{index}").into()
}

fn report(version: WeightsVersion, slowdown_percent: u32) -> AgentReport {
    AgentReport {
        running: 0,
        queued: 0,
        version,
        unverified_version: 0,
        engine_started_ms: Some(1),
        load_orders: 0,
        switching: false,
        change_in: None,
        weights_in: None,
        slowdown_percent,
    }
}

fn record(index: u8) -> UpstreamRecord {
    UpstreamRecord {
        upstream: name(index),
        service: "chat".into(),
        address: address(index),
        data_centre: "north".into(),
        slots: 16,
        draining: false,
        cold_for: Duration::ZERO,
        weights: vec![LoadedWeights { model: "m".into(), version: 1, complete: true }],
        started_ms: 1,
    }
}

fn route(regions: &[&str]) -> RouteRecord {
    RouteRecord {
        name: "a".into(),
        host: "h".into(),
        prefix: "/a/".into(),
        repeat: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        target_gap: None,
        priority: 0,
        backends: Vec::new(),
        max_attempts: 1,
        public: false,
        allowed_regions: regions.iter().map(|region| (*region).into()).collect(),
    }
}

fn team(regions: &[&str]) -> TeamRecord {
    TeamRecord {
        team: "t".into(),
        keys: Vec::new(),
        priority: None,
        allowed_regions: regions.iter().map(|region| (*region).into()).collect(),
    }
}

#[test]
fn draining_and_evacuated_upstreams_receive_no_requests() {
    let mut fixture = PlacementFixture::new(2);
    fixture.change(0, |record| record.draining = true);
    for _ in 0..50 {
        assert_eq!(fixture.place(|_| {}), Ok(name(1)));
    }
    fixture.view.evacuated.insert("north".into());
    fixture.balancer.set_view(&fixture.view, fixture.now);
    assert_eq!(fixture.place(|_| {}), Err(RefusalCause::NoUpstream));
}

#[test]
fn placement_respects_allowed_regions_and_skips_tried_upstreams() {
    let mut fixture = PlacementFixture::new(2);
    fixture.change(1, |record| record.data_centre = "south".into());
    let by_route = RegionPolicy::new(Some(&route(&["s"])), None);
    assert_eq!(fixture.place(|request| request.regions = &by_route), Ok(name(1)));
    let tried = [name(1)];
    let by_team = RegionPolicy::new(Some(&route(&[])), Some(&team(&["s"])));
    assert_eq!(fixture.place(|request| request.regions = &by_team), Ok(name(1)));
    let refused = fixture.place(|request| {
        request.regions = &by_team;
        request.tried = &tried;
    });
    assert_eq!(refused, Err(RefusalCause::NoUpstream));
    let conflicting = RegionPolicy::new(Some(&route(&["s"])), Some(&team(&["r"])));
    let refused = fixture.place(|request| request.regions = &conflicting);
    assert_eq!(refused, Err(RefusalCause::NoUpstream));
}

#[test]
fn upstreams_with_outdated_weights_are_not_used() {
    let mut fixture = PlacementFixture::new(2);
    fixture.report(0, 0, 1);
    fixture.report(1, 10, 2);
    // Version 2 must be in use by now, and version 3 as well.
    for (declared, placed) in [(2, Ok(name(1))), (3, Err(RefusalCause::NoUpstream))] {
        let weights = declared_versions(&[(2, None), (declared, None)]);
        for _ in 0..50 {
            assert_eq!(fixture.place_within(&weights), placed);
        }
    }
}

/// Guards against a request that is sent to an engine with outdated weights shortly before the engine must not use them
/// any more, and waits in its queue beyond that time.
#[test]
fn request_is_not_placed_where_it_would_begin_on_outdated_weights() {
    let mut fixture = PlacementFixture::new(1);
    let declared = fixture.now;
    let weights = declared_versions(&[(2, Some(declared))]);
    let mut latest_begin = |running| {
        let forecast = EngineForecast::new(&engine());
        let load = EngineLoad { occupancy: f64::from(running), ..EngineLoad::default() };
        let delay = forecast.delay(load, 1_000);
        let placed_at = (0..800)
            .map(|step| declared + Duration::from_millis(10) * step)
            .rfind(|now| {
                fixture.now = *now;
                fixture.report(0, running, 1);
                fixture.place_late(&weights).is_ok()
            })
            .expect("the engine may be used at first");
        placed_at + delay - declared
    };
    let (idle, busy) = (latest_begin(2), latest_begin(16));
    assert!(idle < ROLLOUT_TIMEOUT - Duration::from_millis(200), "begins after {idle:?}");
    assert!(idle > ROLLOUT_TIMEOUT - Duration::from_millis(700), "an idle engine is left unused");
    assert!(busy < idle, "a queue takes longer than predicted, so it needs a larger margin");
}

/// Guards against a request that stays in the queue of an engine with outdated weights because the queue takes longer
/// than predicted.
#[test]
fn placement_limits_the_wait_at_an_upstream_with_outdated_weights() {
    let mut fixture = PlacementFixture::new(1);
    fixture.report(0, 2, 1);
    let place = |fixture: &mut PlacementFixture, weights: &WeightsState| {
        let limits = WeightsLimits::new(weights, ROLLOUT_TIMEOUT);
        match fixture.choose(|request| request.weights = Some(limits)) {
            Placement::Upstream { cancel_at, expected_version, .. } => {
                (cancel_at, expected_version)
            }
            Placement::Refused(refusal) => panic!("refused: {refusal:?}"),
        }
    };
    let declared = fixture.now;
    let newest = declared_versions(&[(1, Some(declared))]);
    assert_eq!(place(&mut fixture, &newest), (None, Some(1)));
    let outdated = declared_versions(&[(1, Some(declared)), (2, Some(declared))]);
    let (cancel_at, expected_version) = place(&mut fixture, &outdated);
    assert_eq!(
        expected_version,
        Some(1),
        "nothing has verified what the engine may load until then"
    );
    let wait = cancel_at.expect("the wait is limited") - declared;
    let forecast = EngineForecast::new(&engine());
    let prefill = forecast.delay(EngineLoad::default(), 1_000);
    let latest = ROLLOUT_TIMEOUT - prefill - Duration::from_millis(100);
    assert!(wait < latest, "cancelled after {wait:?}, when the prefill may have started");
    assert!(wait > latest - Duration::from_millis(200), "cancelled after {wait:?}");
}

/// Guards against a request with a large prompt that is placed at an engine with outdated weights although it will be
/// cancelled before its predicted begin.
#[test]
fn request_is_placed_where_it_is_cancelled_before_its_predicted_begin() {
    for (prompt_tokens, running) in [(500, 0), (1_000, 12), (4_000, 2), (8_000, 0), (8_000, 12)] {
        let mut fixture = PlacementFixture::new(1);
        let declared = fixture.now;
        let weights = declared_versions(&[(2, Some(declared))]);
        for step in 0..800 {
            fixture.now = declared + Duration::from_millis(10) * step;
            fixture.report(0, running, 1);
            let placement = fixture.choose(|request| {
                request.prompt_tokens = prompt_tokens;
                request.weights = Some(WeightsLimits::new(&weights, ROLLOUT_TIMEOUT));
                request.is_resumed = true;
            });
            if let Placement::Upstream { delay, cancel_at, .. } = placement {
                let wait = cancel_at.expect("the weights are outdated") - fixture.now;
                assert!(delay <= wait, "begins after {delay:?}, cancelled after {wait:?}");
            }
        }
    }
}

proptest! {
    /// Guards against an attempt, above all the last one, that is spent on an engine whose announced load comes before the
    /// request begins there, and against a broken stream that is given up although an engine may still take it.
    #[test]
    fn last_attempt_is_spent_on_an_engine_that_is_about_to_load(
        engines in prop::collection::vec((0_u32..20, prop::option::of(0_u64..1_000)), 1..6),
        prompt_tokens in 100_u32..6_000,
        report_age in 0_u64..400,
        is_last_attempt in any::<bool>(),
        is_resumed in any::<bool>(),
    ) {
        let mut fixture = PlacementFixture::new(engines.len() as u8);
        fixture.balancer.set_live_entries(1);
        for (index, (running, change_in_ms)) in (0..).zip(&engines) {
            let change_in = change_in_ms.map(Duration::from_millis);
            let report = AgentReport { running: *running, change_in, ..report(1, 100) };
            fixture.balancer.record_report(address(index), report, fixture.now, &mut fixture.rng);
        }
        fixture.now += Duration::from_millis(report_age);
        let placement = fixture.choose(|request| {
            request.prompt_tokens = prompt_tokens;
            request.time_to_target = Some(Duration::from_secs(3));
            request.is_last_attempt = is_last_attempt;
            request.is_resumed = is_resumed;
        });
        let steady = |running: u32| engines.contains(&(running, None));
        match placement {
            Placement::Upstream { record, delay, is_certain, .. } => {
                let index = (0..6).position(|index| name(index) == record.upstream).unwrap_or(0);
                let (running, change_in_ms) = engines[index];
                let left = change_in_ms.map(|left| Duration::from_millis(left.saturating_sub(report_age)));
                let begins = left.is_none_or(|left| delay <= left);
                let begins_surely =
                    left.is_none_or(|left| delay + Duration::from_millis(100) <= left);
                prop_assert!(begins || is_resumed, "begins after {delay:?}, load in {left:?}");
                prop_assert!(begins_surely || !is_certain);
                prop_assert!(begins_surely || !is_last_attempt || is_resumed);
                prop_assert!(begins_surely || !(0..10).any(steady), "another engine can take it");
                prop_assert!(running < 16 || !is_resumed || !(0..10).any(steady));
            }
            Placement::Refused(refusal) => {
                prop_assert!(!is_resumed, "a broken stream has nothing to lose");
                prop_assert!(!(0..10).any(steady), "{refusal:?}");
            }
        }
    }
}

/// Guards against an engine that is left unused because its agent ended after it had announced a load.
#[test]
fn engine_stays_unused_after_its_agent_ended() {
    let mut fixture = PlacementFixture::new(1);
    let report = AgentReport { change_in: Some(Duration::ZERO), ..report(1, 100) };
    fixture.balancer.record_report(address(0), report, fixture.now, &mut fixture.rng);
    assert_eq!(fixture.place(|_| {}), Err(RefusalCause::NoUpstream));
    fixture.now += Duration::from_secs(2);
    assert_eq!(fixture.place(|_| {}), Ok(name(0)));
}

/// An engine that has just switched weights is idle, so all entries send to it at once. All its slots are free, but the
/// prefills of a full batch would make first events late.
#[test]
fn burst_to_an_idle_engine_is_limited_by_pending_prefills() {
    let mut fixture = PlacementFixture::new(1);
    fixture.report(0, 0, 1);
    fixture.balancer.set_live_entries(1);
    let mut placed = 0;
    while fixture.place(|_| {}).is_ok() {
        fixture.balancer.record_sent(&name(0), fixture.now);
        placed += 1;
        assert!(placed < 16, "the prompts of 16 requests take longer than the target");
    }
    assert!(placed >= 2);
}

/// Nine entries see the same free slots for one report interval. If each used all of them, the engine would be
/// overloaded.
#[test]
fn entries_with_the_same_report_do_not_overload_an_engine() {
    let mut total = 0;
    for seed in 0..9 {
        let mut fixture = PlacementFixture::new(1);
        fixture.rng = ChaCha8Rng::seed_from_u64(seed);
        fixture.report(0, 15, 1);
        for _ in 0..20 {
            if fixture.place(|_| {}).is_ok() {
                fixture.balancer.record_sent(&name(0), fixture.now);
                total += 1;
            }
        }
    }
    let forecast = EngineForecast::new(&engine());
    let wait = forecast.mean_cost() * total;
    assert!(wait < Duration::from_millis(900), "{total} requests would wait {wait:?}");
}

/// All entries see that an engine which has loaded weights is idle, and send to it before its next report.
#[test]
fn engine_that_has_just_loaded_gets_more_prefills_than_it_can_do_in_time() {
    const ENTRIES: u32 = 40;
    const ENGINES: u8 = 20;
    let mut fixtures: Vec<PlacementFixture> = (0..ENTRIES)
        .map(|entry| {
            let mut fixture = PlacementFixture::new(ENGINES);
            fixture.rng = ChaCha8Rng::seed_from_u64(entry.into());
            fixture.balancer.set_live_entries(ENTRIES as usize);
            fixture.balancer.set_local_entries(ENTRIES as usize);
            (1..ENGINES).for_each(|index| fixture.report(index, 8, 2));
            let switching = AgentReport { switching: true, ..report(1, 100) };
            let (now, rng) = (fixture.now, &mut fixture.rng);
            fixture.balancer.record_report(address(0), switching, now, rng);
            fixture
        })
        .collect();
    let mut placed = 0_u32;
    // Five requests a second for each entry; the other engines stay half full.
    for step in 0..10 {
        for (entry, fixture) in fixtures.iter_mut().enumerate() {
            fixture.now += Duration::from_millis(20);
            if step % 5 == 0 {
                fixture.report(0, placed, 2);
                (1..ENGINES).for_each(|index| fixture.report(index, 8, 2));
            }
            if (step + entry) % 10 == 0 && fixture.place(|_| {}) == Ok(name(0)) {
                fixture.balancer.record_sent(&name(0), fixture.now);
                placed += 1;
            }
        }
    }
    let load = EngineLoad { pending_prefills: placed.into(), ..EngineLoad::default() };
    let delay = EngineForecast::new(&engine()).delay(load, 1_000);
    assert!(delay < Duration::from_millis(400), "{placed} requests in 0.2 s, a delay of {delay:?}");
}

#[test]
fn unreachable_upstream_is_ejected_temporarily() {
    let mut fixture = PlacementFixture::new(2);
    fixture.balancer.record_sent(&name(0), fixture.now);
    fixture.balancer.record_outcome("u0", AttemptOutcome::Unreachable, fixture.now);
    for _ in 0..50 {
        assert_eq!(fixture.place(|_| {}), Ok(name(1)));
    }
    fixture.now += Duration::from_secs(5);
    assert!((0..50).any(|_| fixture.place(|_| {}) == Ok(name(0))));
}

/// An engine that runs at a quarter of its speed reports the same occupancy as the others. Its queue grows visibly only
/// once requests are already late.
#[test]
fn slow_engine_is_avoided_while_others_have_capacity() {
    let mut fixture = PlacementFixture::new(2);
    fixture.report_pace(0, 4, 1, 400);
    fixture.report_pace(1, 4, 1, 100);
    for _ in 0..50 {
        assert_eq!(fixture.place(|_| {}), Ok(name(1)));
    }
}

/// Guards against streams that cross regions while engines of the local region have capacity.
#[test]
fn engines_of_the_local_region_are_preferred() {
    let mut fixture = PlacementFixture::new(8);
    for index in 0..4 {
        fixture.change(index, |record| record.data_centre = "south".into());
    }
    (0..8).for_each(|index| fixture.report(index, 4, 1));
    let local = (0..200)
        .filter(|_| fixture.place(|_| {}).is_ok_and(|upstream| upstream >= name(4)))
        .count();
    assert!(local > 150, "{local} of 200");
    (4..8).for_each(|index| fixture.report(index, 40, 1));
    for _ in 0..50 {
        assert!(fixture.place(|_| {}).is_ok_and(|upstream| upstream < name(4)));
    }
}

#[test]
fn forecast_grows_with_queued_requests_and_pending_prefills() {
    let forecast = EngineForecast::new(&engine());
    let at = |occupancy, pending_prefills| {
        forecast.delay(EngineLoad { occupancy, pending_prefills, ..EngineLoad::default() }, 1_000)
    };
    assert!(at(20.0, 0.0) > at(15.0, 0.0));
    assert!(at(8.0, 8.0) > at(8.0, 0.0));
    assert_eq!(at(0.0, 0.0), at(15.0, 0.0), "a request does not wait while a slot is free");
}

/// Guards against an entry that counts requests against the share of a cold upstream only from the moment at which it
/// learns that the upstream is cold: an upstream may turn cold while it has its usual load.
#[test]
fn requests_from_before_an_upstream_turned_cold_count_against_its_share() {
    let mut board = PlacementFixture::new(1);
    for _ in 0..6 {
        let upstream = board.place(|_| {}).expect("the upstream is warm");
        board.balancer.record_sent(&upstream, board.now);
        board.balancer.record_outcome(&upstream, AttemptOutcome::Answered, board.now);
        board.now += Duration::from_millis(50);
    }
    // The share of one of twelve entries is 3 requests a second, of which 0.8 are used.
    board.balancer.record_cold(&name(0), Duration::from_secs(3), board.now);
    assert_eq!(board.place(|_| {}), Err(RefusalCause::Cold));
    board.now += Duration::from_secs(1);
    assert_eq!(board.place(|_| {}), Ok(name(0)), "all of them are older than a second");
}

/// Guards against a change of any item that ends the cold period which a response has stated, because the store's
/// record of the upstream is older.
#[test]
fn cold_period_from_a_response_outlasts_older_records() {
    let mut board = PlacementFixture::new(1);
    board.balancer.record_cold(&name(0), Duration::from_secs(3), board.now);
    assert_eq!(board.balancer.load_of("u0", board.now).cold_for, Duration::from_secs(3));
    board.balancer.set_view(&board.view, board.now);
    assert_eq!(board.balancer.load_of("u0", board.now).cold_for, Duration::from_secs(3));
}

/// Chosen upstream, or the cause and the retry delay of the refusal.
fn placed(fixture: &mut PlacementFixture) -> Result<UpstreamId, (RefusalCause, Duration)> {
    match fixture.choose(|_| {}) {
        Placement::Upstream { record, .. } => Ok(record.upstream.clone()),
        Placement::Refused(refusal) => Err((refusal.cause, refusal.retry_after)),
    }
}

/// Guards against requests to an upstream that has stated that it is leaving, also if its registration expires and
/// returns, and against one that stays unused after it has started again.
#[test]
fn leaving_upstream_gets_no_requests_until_it_has_started_again() {
    let mut fixture = PlacementFixture::new(2);
    let now = fixture.now;
    assert!(fixture.balancer.record_leaving(&name(0), now));
    assert!(!fixture.balancer.record_leaving(&name(0), now));
    let records: Vec<_> = fixture.view.upstreams().cloned().collect();
    let expired = records.iter().filter(|(record, _)| record.upstream != name(0)).cloned();
    fixture.view.set_upstreams(expired.collect());
    fixture.balancer.set_view(&fixture.view, now);
    fixture.now += Duration::from_secs(30);
    fixture.view.set_upstreams(records);
    fixture.balancer.set_view(&fixture.view, fixture.now);
    fixture.verify(0, 1);
    for _ in 0..50 {
        assert_eq!(placed(&mut fixture), Ok(name(1)));
    }
    fixture.change(1, |record| record.draining = true);
    assert!(matches!(placed(&mut fixture), Err((RefusalCause::NoUpstream, _))));
    fixture.change(0, |record| record.started_ms += 1);
    fixture.verify(0, 2);
    assert_eq!(placed(&mut fixture), Ok(name(0)));
}

/// Guards against requests to an upstream before the time that it has asked for, a shorter request that ends a longer
/// one, and a retry delay for callers that ends before any upstream takes requests.
#[test]
fn upstream_gets_no_requests_for_the_time_that_it_asks_for() {
    let mut fixture = PlacementFixture::new(2);
    let now = fixture.now;
    fixture.balancer.record_retry_after(&name(0), Duration::from_secs(6), now);
    fixture.balancer.record_retry_after(&name(0), Duration::from_secs(1), now);
    fixture.now += Duration::from_secs(2);
    for _ in 0..50 {
        assert_eq!(placed(&mut fixture), Ok(name(1)));
    }
    fixture.balancer.record_retry_after(&name(1), Duration::from_secs(5), fixture.now);
    for _ in 0..50 {
        let Err((cause, retry_after)) = placed(&mut fixture) else { panic!("none takes requests") };
        assert_eq!(cause, RefusalCause::BackingOff);
        let range = Duration::from_secs(4)..Duration::from_millis(5_200);
        assert!(range.contains(&retry_after), "{retry_after:?}");
    }
    fixture.now = now + Duration::from_millis(6_001);
    assert_eq!(placed(&mut fixture), Ok(name(0)));
}

/// Engines of another region that this entry does not use do not report to it. They get its requests only once those that
/// it uses are out of service: else each engine's load would be unknown to most entries that send to it.
#[test]
fn engines_outside_the_subset_take_over_from_those_that_leave() {
    let mut fixture = PlacementFixture::new(120);
    for index in 0..120 {
        fixture.change(index, |record| record.data_centre = "south".into());
    }
    let used: Vec<UpstreamId> = fixture
        .view
        .upstreams()
        .filter(|(record, _)| fixture.balancer.is_in_subset(record))
        .map(|(record, _)| record.upstream.clone())
        .collect();
    assert_eq!(used.len(), 64);
    for _ in 0..50 {
        assert!(used.contains(&fixture.place(|_| {}).expect("many engines are free")));
    }
    for index in (0..120).filter(|index| used.contains(&name(*index))) {
        fixture.change(index, |record| record.draining = true);
    }
    let placed = fixture.place(|_| {}).expect("the other engines are free");
    assert!(!used.contains(&placed));
}

/// Guards against late requests that take capacity where on-time requests may not, and against a limit on the load that
/// refuses large prompts more often than small ones.
#[test]
fn delay_limit_compares_the_load_of_engines() {
    let mut fixture = PlacementFixture::new(1);
    fixture.report(0, 0, 1);
    let limit = |millis| Some(Duration::from_millis(millis));
    assert!(fixture.place(|request| request.delay_limit = limit(1_000)).is_ok());
    for (time_to_target, prompt_tokens) in
        [(limit(400), 1_000), (limit(400), 100), (None, 1_000), (None, 100)]
    {
        let refused = fixture.place(|request| {
            request.time_to_target = time_to_target;
            request.prompt_tokens = prompt_tokens;
            request.delay_limit = limit(1);
        });
        assert_eq!(refused, Err(RefusalCause::Overloaded));
    }
    assert!(
        fixture
            .place(|request| {
                request.delay_limit = limit(1);
                request.is_resumed = true;
            })
            .is_ok()
    );
    let large = |request: &mut PlacementRequest<'_>| {
        request.prompt_tokens = 50_000;
        request.time_to_target = limit(60_000);
        request.delay_limit = limit(400);
    };
    assert!(fixture.place(large).is_ok());
    // A late request still needs a free slot.
    fixture.report(0, 16, 1);
    let late = fixture.place(|request| {
        request.time_to_target = None;
        request.delay_limit = limit(60_000);
    });
    assert_eq!(late, Err(RefusalCause::Overloaded));
}
