//! Replays load patterns against placement: bursts after a change of weights, entries with the same picture, leaving and
//! evacuated upstreams.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use balance::{
    AgentReport, BoardOptions, EngineForecast, EngineLoad, LoadBoard, Placement, RefusalCause,
    SendOutcome, WorkRequest,
};
use base::{ServiceId, UpstreamId};
use fleet::{
    ClientLimits, EngineCosts, EngineModel, EngineRecord, FleetView, LoadedWeights, RoutingConfig,
    RoutingIndex, ServiceRecord, UpstreamRecord,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

static CHAT: ServiceId = ServiceId::const_new("chat");

fn engine() -> EngineRecord {
    EngineRecord {
        slots: 16,
        memory_tokens: 685_000,
        costs: EngineCosts {
            step: Duration::from_micros(7_400),
            step_per_request: Duration::from_micros(39),
            step_per_context: Duration::from_micros(20),
            read_per_second: 31_900.0,
            stride: 6,
            chunk: 2_048,
        },
        models: vec![EngineModel { model: "m".into(), warmup: Duration::from_millis(300) }],
        layers: 16,
        pieces: 48,
        piece_bytes: 49_152,
        usual_tokens: (972, 106),
    }
}

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 8_000))
}

struct BoardFixture {
    board: LoadBoard,
    view: FleetView,
    now: Instant,
    rng: ChaCha8Rng,
}

impl BoardFixture {
    fn new(upstreams: u8) -> Self {
        let options = BoardOptions {
            regions: [("north".into(), "r".into()), ("south".into(), "s".into())].into(),
            region: "r".into(),
            ..BoardOptions::default()
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
        let mut board = LoadBoard::new(options);
        board.set_view(&view, now);
        board.set_entries(9);
        Self { board, view, now, rng: ChaCha8Rng::seed_from_u64(7) }
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
        self.board.set_view(&self.view, self.now);
    }

    fn report(&mut self, index: u8, running: u32, version: u64) {
        self.report_pace(index, running, version, 100);
    }

    fn report_pace(&mut self, index: u8, running: u32, version: u64, pace_percent: u32) {
        let report = AgentReport {
            running,
            queued: 0,
            version,
            switching: false,
            change_in: None,
            pace_percent,
        };
        self.board.record_report(address(index), report, self.now, &mut self.rng);
    }

    fn place<'a>(
        &mut self,
        change: impl Fn(&mut WorkRequest<'a>),
    ) -> Result<UpstreamId, RefusalCause> {
        let mut work = WorkRequest {
            service: &CHAT,
            prompt_tokens: 1_000,
            allowed_regions: [&[], &[]],
            tried: &[],
            min_version: None,
            target_left: Some(Duration::from_millis(400)),
            is_continued: false,
        };
        change(&mut work);
        match self.board.choose(&work, self.now, &mut self.rng) {
            Placement::Upstream { record, .. } => Ok(record.upstream.clone()),
            Placement::Refused(refusal) => Err(refusal.cause),
        }
    }
}

fn name(index: u8) -> UpstreamId {
    format!("u{index}").into()
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
        born: 1,
    }
}

#[test]
fn draining_and_evacuated_upstreams_get_nothing() {
    let mut fixture = BoardFixture::new(2);
    fixture.change(0, |record| record.draining = true);
    for _ in 0..50 {
        assert_eq!(fixture.place(|_| {}), Ok(name(1)));
    }
    fixture.view.evacuated.insert("north".into());
    fixture.board.set_view(&fixture.view, fixture.now);
    assert_eq!(fixture.place(|_| {}), Err(RefusalCause::NoUpstream));
}

#[test]
fn request_stays_in_its_regions_and_leaves_tried_upstreams() {
    let mut fixture = BoardFixture::new(2);
    fixture.change(1, |record| record.data_centre = "south".into());
    let home = ["s".into()];
    assert_eq!(fixture.place(|work| work.allowed_regions[0] = &home), Ok(name(1)));
    let tried = [name(1)];
    let refused = fixture.place(|work| {
        work.allowed_regions[1] = &home;
        work.tried = &tried;
    });
    assert_eq!(refused, Err(RefusalCause::NoUpstream));
}

#[test]
fn old_weights_are_not_used_after_their_time() {
    let mut fixture = BoardFixture::new(2);
    fixture.report(0, 0, 1);
    fixture.report(1, 10, 2);
    assert_eq!(fixture.place(|work| work.min_version = Some(2)), Ok(name(1)));
    assert_eq!(fixture.place(|work| work.min_version = Some(3)), Err(RefusalCause::NoUpstream));
}

/// An engine that has just changed its weights runs nothing, and all entries send to it at once.
#[test]
fn burst_to_an_empty_engine_ends_before_its_prompts_make_first_events_late() {
    let mut fixture = BoardFixture::new(1);
    fixture.report(0, 0, 1);
    fixture.board.set_entries(1);
    let mut placed = 0;
    while fixture.place(|_| {}).is_ok() {
        fixture.board.record_sent(&name(0), fixture.now);
        placed += 1;
        assert!(placed < 16, "the prompts of 16 requests take longer than the target");
    }
    assert!(placed >= 2);
}

/// Nine entries that see the same free slots for one report interval must not all use them.
#[test]
fn entries_with_the_same_picture_do_not_overfill_an_engine() {
    let mut total = 0;
    for seed in 0..9 {
        let mut fixture = BoardFixture::new(1);
        fixture.rng = ChaCha8Rng::seed_from_u64(seed);
        fixture.report(0, 15, 1);
        for _ in 0..20 {
            if fixture.place(|_| {}).is_ok() {
                fixture.board.record_sent(&name(0), fixture.now);
                total += 1;
            }
        }
    }
    let forecast = EngineForecast::new(&engine());
    let wait = forecast.usual_cost() * total;
    assert!(wait < Duration::from_millis(900), "{total} requests would wait {wait:?}");
}

#[test]
fn upstream_that_cannot_be_reached_is_left_alone_for_a_while() {
    let mut fixture = BoardFixture::new(2);
    fixture.board.record_sent(&name(0), fixture.now);
    fixture.board.record_outcome("u0", SendOutcome::Unreachable, fixture.now);
    for _ in 0..50 {
        assert_eq!(fixture.place(|_| {}), Ok(name(1)));
    }
    fixture.now += Duration::from_secs(5);
    assert!((0..50).any(|_| fixture.place(|_| {}) == Ok(name(0))));
}

/// Load pattern: an engine works at a quarter of its speed with the same occupancy as the others, and its queue is not
/// seen to grow until requests are late.
#[test]
fn slow_engine_is_left_to_what_the_others_cannot_take() {
    let mut fixture = BoardFixture::new(2);
    fixture.report_pace(0, 4, 1, 400);
    fixture.report_pace(1, 4, 1, 100);
    for _ in 0..50 {
        assert_eq!(fixture.place(|_| {}), Ok(name(1)));
    }
}

/// Guards against streams that cross regions although engines of this region have room.
#[test]
fn engines_of_the_own_region_come_first() {
    let mut fixture = BoardFixture::new(8);
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
fn forecast_grows_with_waiting_and_unread_requests() {
    let forecast = EngineForecast::new(&engine());
    let at = |occupancy, unread| {
        forecast.first_event(EngineLoad { occupancy, unread, ..EngineLoad::default() }, 1_000)
    };
    assert!(at(20.0, 0.0) > at(15.0, 0.0));
    assert!(at(8.0, 8.0) > at(8.0, 0.0));
    assert_eq!(at(0.0, 0.0), at(15.0, 0.0), "a free slot costs no time");
}
