//! Guards against refused callers that return together, before there is capacity, or outside the range.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wait::{CapacityForecast, RETRY_AFTER_RANGE, ReturnSchedule, time_since_first_attempt};

const TIME_LEFT: Duration = Duration::from_secs(6);

fn forecast(per_second: f64) -> CapacityForecast {
    CapacityForecast { per_second, ..CapacityForecast::default() }
}

fn returns(forecast: &CapacityForecast, callers: usize) -> Vec<Duration> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut schedule = ReturnSchedule::new();
    let now = Instant::now();
    (0..callers).map(|_| schedule.retry_after(forecast, TIME_LEFT, now, &mut rng)).collect()
}

#[test]
fn returns_fit_the_capacity() {
    let mut returns = returns(&forecast(10.0), 15);
    returns.sort_unstable();
    for (index, at) in returns.iter().enumerate() {
        // By the time of each return, the capacity covers all callers until then; one slot of 50 ms is random.
        let covered = (at.as_secs_f64() + 0.05) * 10.0;
        assert!(covered >= (index + 1) as f64, "caller {index} returns at {at:?}");
    }
    assert!(returns[14] <= Duration::from_millis(1_600), "the capacity is not used");
}

#[test]
fn queued_requests_and_new_ones_go_first() {
    let idle = returns(&forecast(10.0), 1)[0];
    let queued = returns(&CapacityForecast { queued: 8, ..forecast(10.0) }, 1)[0];
    let busy = returns(&CapacityForecast { new_per_second: 8.0, ..forecast(10.0) }, 1)[0];
    assert!(idle <= Duration::from_millis(250), "{idle:?}");
    assert!(queued >= Duration::from_millis(850), "{queued:?}");
    assert!(busy >= Duration::from_millis(450), "{busy:?}");
}

#[test]
fn callers_return_when_engines_have_loaded() {
    let loading = CapacityForecast {
        changes: vec![(Duration::from_millis(1_000), 20.0)],
        ..CapacityForecast::default()
    };
    for at in returns(&loading, 10) {
        assert!(at >= Duration::from_millis(1_000), "returns at {at:?} to engines that still load");
    }
}

#[test]
fn without_capacity_callers_are_spread_over_the_later_half() {
    let returns = returns(&CapacityForecast::default(), 100);
    let early = returns.iter().filter(|at| **at < Duration::from_millis(1_500)).count();
    assert!(returns.iter().all(|at| *at >= Duration::from_millis(950)));
    assert!((40..=60).contains(&early), "{early} of 100 return in the first half");
}

/// Guards against callers that return early and are preferred to new ones.
#[test]
fn shortest_time_told_is_remembered_while_callers_can_return() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut schedule = ReturnSchedule::new();
    let start = Instant::now();
    assert_eq!(schedule.shortest_told(start), RETRY_AFTER_RANGE.0);
    let told: Vec<Duration> =
        (0..20).map(|_| schedule.retry_after(&forecast(0.0), TIME_LEFT, start, &mut rng)).collect();
    let shortest = told.into_iter().min().expect("callers were refused");
    assert!(shortest >= Duration::from_millis(900));
    for after_ms in [0, 1_000, 1_999, 2_500] {
        let at = start + Duration::from_millis(after_ms);
        assert_eq!(schedule.shortest_told(at), shortest);
    }
    let later = start + Duration::from_millis(6_000);
    assert_eq!(schedule.shortest_told(later), RETRY_AFTER_RANGE.0);
}

#[test]
fn time_since_the_first_attempt_follows_from_the_deadline() {
    let timeout = Duration::from_secs(6);
    let since = |left_ms| time_since_first_attempt(timeout, Some(Duration::from_millis(left_ms)));
    assert_eq!(since(6_000), Duration::ZERO);
    assert_eq!(since(9_000), Duration::ZERO);
    assert_eq!(since(4_500), Duration::from_millis(1_500));
    assert_eq!(time_since_first_attempt(timeout, None), Duration::ZERO);
}

proptest! {
    /// Guards against times outside the range, after a third of the time left, or forgotten returns.
    #[test]
    fn times_are_within_the_range_and_each_return_is_counted(
        requests in prop::collection::vec((0..300_u64, 0..8_000_u64, 0.0..40.0_f64, 0..20_usize), 1..80),
        seed: u64,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut schedule = ReturnSchedule::new();
        let mut now = Instant::now();
        let mut due = Vec::new();
        for (pause_ms, left_ms, per_second, queued) in requests {
            now += Duration::from_millis(pause_ms);
            let time_left = Duration::from_millis(left_ms);
            let forecast = CapacityForecast { queued, new_per_second: 5.0, ..forecast(per_second) };
            let after = schedule.retry_after(&forecast, time_left, now, &mut rng);
            let (shortest, longest) = RETRY_AFTER_RANGE;
            prop_assert!(after >= shortest && after <= longest);
            prop_assert!(after <= (time_left / 3).max(shortest));
            due.push(now + after);
            let pending = due.iter().filter(|at| **at > now + Duration::from_millis(50)).count();
            prop_assert!(schedule.expected_returns() as usize >= pending);
        }
    }
}
