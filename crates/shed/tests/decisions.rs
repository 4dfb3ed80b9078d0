//! Decisions for sequences of requests at one entry.

mod common;

use std::time::{Duration, Instant};

use shed::{ContentionTable, LoadForecast, ShedCause, ShedControl, ShedOutcome, ShedRequest};

use common::{config, route};

const TARGETS_MS: [u64; 3] = [400, 400, 1_000];
const IDLE: Duration = Duration::from_millis(160);

struct Fixture {
    control: ShedControl,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        let now = Instant::now();
        let mut table = ContentionTable::new();
        let routes = (0..3).map(|rank| route("ranked", rank, TARGETS_MS[usize::from(rank)]));
        table.set_config(&config(routes.collect()));
        let mut control = ShedControl::new();
        control.set_contention(&table, now);
        Self { control, now }
    }

    fn request(rank: u8, team: &str) -> ShedRequest {
        let target = Duration::from_millis(TARGETS_MS[usize::from(rank)]);
        ShedRequest {
            service: "ranked".into(),
            rank,
            team: Some(team.into()),
            time_to_target: Some(target),
            target,
        }
    }

    fn limit(&self, rank: u8, team: &str) -> (Duration, ShedCause) {
        let limit = self.control.limit(&Self::request(rank, team), self.now).unwrap();
        (limit.delay, limit.cause)
    }

    /// Records forecasts for a time, one every 100 ms.
    fn forecast(&mut self, millis: u64, delay: Duration, refused_fraction: f64) {
        for _ in 0..millis / 100 {
            self.now += Duration::from_millis(100);
            let forecast = Some(LoadForecast { delay, refused_fraction });
            self.control.record_forecast("ranked", forecast, self.now);
        }
    }

    fn level(&self) -> f64 {
        self.control.usage(self.now)[0].level
    }

    /// Sends one request of the rank every 20 ms, placed if the limit admits a prediction at a busy engine.
    fn send(&mut self, count: u32, rank: u8, team: &str) -> u32 {
        let mut placed = 0;
        for _ in 0..count {
            self.now += Duration::from_millis(20);
            let request = Self::request(rank, team);
            let delay = Duration::from_millis(300);
            let limit = self.control.delay_limit(&request, self.now).unwrap();
            let is_placed = delay <= limit;
            placed += u32::from(is_placed);
            let outcome = if is_placed { ShedOutcome::Placed(delay) } else { ShedOutcome::Refused };
            self.control.record(&request, outcome, self.now);
        }
        placed
    }
}

/// Guards against a level that follows every change of the load.
#[test]
fn level_has_hysteresis() {
    let mut fixture = Fixture::new();
    fixture.forecast(2_000, Duration::from_millis(300), 0.0);
    assert_eq!(fixture.level(), 0.0, "a pressure of 0.75 raises the level");
    fixture.forecast(1_000, Duration::from_millis(400), 0.2);
    let level = fixture.level();
    assert!(level > 1.0);
    fixture.forecast(3_000, Duration::from_millis(300), 0.0);
    assert_eq!(fixture.level(), level, "a pressure of 0.75 lowers the level");
    fixture.forecast(3_000, IDLE, 0.0);
    assert_eq!(fixture.level(), 0.0);
}

/// Guards against a waiting request that gets a different limit for asking repeatedly.
#[test]
fn limit_depends_only_on_what_was_recorded() {
    let mut fixture = Fixture::new();
    fixture.forecast(400, Duration::from_millis(400), 0.5);
    fixture.send(50, 2, "a");
    let first = fixture.limit(2, "a");
    for _ in 0..100 {
        assert_eq!(fixture.limit(2, "a"), first);
    }
}

/// Guards against a rank that starves at an entry that has just started and sees no other requests of the rank.
#[test]
fn fully_shed_rank_keeps_its_floor() {
    let mut fixture = Fixture::new();
    fixture.forecast(2_000, Duration::from_millis(400), 1.0);
    assert_eq!(fixture.level(), 3.0);
    let (mut urgent, mut tolerant) = (0, 0);
    for _ in 0..10 {
        fixture.forecast(100, Duration::from_millis(400), 1.0);
        urgent += fixture.send(10, 0, "a");
        tolerant += fixture.send(10, 2, "b");
    }
    assert_eq!(urgent, 100);
    let floor = f64::from(urgent + tolerant) / 2.0 * 0.25;
    assert!(f64::from(tolerant) >= floor, "{tolerant} of 100 placed");
    assert!(tolerant < 60, "{tolerant} of 100 placed although the rank is shed");
}

/// Guards against limits that stay low when engines that were all lost are available again.
#[test]
fn refusals_without_engines_do_not_raise_the_level() {
    let mut fixture = Fixture::new();
    for _ in 0..200 {
        fixture.now += Duration::from_millis(20);
        let request = Fixture::request(0, "a");
        fixture.control.record(&request, ShedOutcome::Unavailable, fixture.now);
    }
    assert_eq!(fixture.level(), 0.0);
    let (limit, _) = fixture.limit(2, "b");
    assert!(limit > 2 * IDLE);
}

/// Guards against memory that grows with the number of teams.
#[test]
fn number_of_teams_is_bounded() {
    let mut fixture = Fixture::new();
    for index in 0..2_000 {
        fixture.now += Duration::from_millis(1);
        let request = Fixture::request(0, &format!("team{index}"));
        let record =
            fixture.control.record(&request, ShedOutcome::Placed(IDLE), fixture.now).unwrap();
        assert_eq!(record.is_team_listed, index < 256);
    }
    assert!(fixture.control.usage(fixture.now)[0].teams.len() <= 256);
    // Teams without recent requests make room.
    fixture.now += Duration::from_secs(20);
    let request = Fixture::request(0, "new");
    let record = fixture.control.record(&request, ShedOutcome::Placed(IDLE), fixture.now).unwrap();
    assert!(record.is_team_listed);
    assert_eq!(fixture.control.usage(fixture.now)[0].teams.len(), 1);
}

/// Guards against a new configuration that ends shedding while its ranks are the same.
#[test]
fn level_survives_a_configuration_with_the_same_ranks() {
    let mut fixture = Fixture::new();
    fixture.forecast(1_000, Duration::from_millis(400), 0.5);
    let level = fixture.level();
    let mut table = ContentionTable::new();
    let routes = (0..3).map(|rank| route("ranked", rank, TARGETS_MS[usize::from(rank)]));
    table.set_config(&config(routes.chain([route("other", 0, 100)]).collect()));
    fixture.control.set_contention(&table, fixture.now);
    assert_eq!(fixture.level(), level);
    table.set_config(&config(vec![route("ranked", 0, 400)]));
    fixture.control.set_contention(&table, fixture.now);
    assert!(fixture.control.usage(fixture.now).is_empty());
    assert_eq!(fixture.control.delay_limit(&Fixture::request(0, "a"), fixture.now), None);
}
