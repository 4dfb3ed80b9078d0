//! Guards against a cold upstream that receives more requests than it can handle.

use std::time::Duration;

use limit::{ConcurrencyLimit, LimitDecrease, LimitOptions, UpstreamEpoch, WorkResult};

const COLD_LIMIT: u32 = 2;
const WARM_LIMIT: u32 = 10;

fn success(latency_ms: u64) -> WorkResult {
    WorkResult::Success { latency: Duration::from_millis(latency_ms) }
}

/// Runs full rounds of work until the limit is at its upper bound.
fn warm_up(limit: &mut ConcurrencyLimit) {
    for _ in 0..100 {
        run_round(limit, success(200));
    }
    assert_eq!(limit.limit(), WARM_LIMIT);
}

fn run_round(limit: &mut ConcurrencyLimit, result: WorkResult) {
    let permits: Vec<_> = std::iter::from_fn(|| limit.try_admit()).collect();
    for permit in permits {
        limit.complete(permit, result);
    }
}

/// Guards against a limit that grows by more than one per round of work.
#[test]
fn limit_grows_by_at_most_one_per_round() {
    let mut limit = ConcurrencyLimit::new(LimitOptions::new(COLD_LIMIT, WARM_LIMIT));
    assert_eq!(limit.limit(), COLD_LIMIT);
    for expected in COLD_LIMIT + 1..=WARM_LIMIT {
        // Permits for the first half of a round do not count toward growth, so an increase takes up to two rounds.
        run_round(&mut limit, success(200));
        run_round(&mut limit, success(200));
        assert!(
            limit.limit() <= expected,
            "limit is {}, expected at most {expected}",
            limit.limit()
        );
    }
    warm_up(&mut limit);
}

/// Guards against growth after failures, or while few of the allowed requests are in flight.
#[test]
fn failures_and_light_load_do_not_raise_the_limit() {
    let mut limit = ConcurrencyLimit::new(LimitOptions::new(COLD_LIMIT, WARM_LIMIT));
    for _ in 0..100 {
        run_round(&mut limit, WorkResult::Neutral);
    }
    assert_eq!(limit.limit(), COLD_LIMIT);
    for _ in 0..100 {
        let permit = limit.try_admit().expect("the limit has room");
        limit.complete(permit, success(200));
    }
    assert_eq!(limit.limit(), COLD_LIMIT, "one request at a time uses only half of the limit");
}

/// Guards against full load on an upstream that restarted or lost its cache.
#[test]
fn new_incarnation_and_cache_reset_restore_the_cold_limit() {
    let mut limit = ConcurrencyLimit::new(LimitOptions::new(COLD_LIMIT, WARM_LIMIT));
    let epoch = UpstreamEpoch { incarnation: 1, cache_epoch: 1 };
    assert_eq!(limit.observe_epoch(epoch), None);
    warm_up(&mut limit);
    assert_eq!(limit.observe_epoch(epoch), None);
    let reset = UpstreamEpoch { cache_epoch: 2, ..epoch };
    assert_eq!(limit.observe_epoch(reset), Some(LimitDecrease::CacheReset));
    assert_eq!(limit.limit(), COLD_LIMIT);
    warm_up(&mut limit);
    let restarted = UpstreamEpoch { incarnation: 2, ..reset };
    assert_eq!(limit.observe_epoch(restarted), Some(LimitDecrease::NewIncarnation));
    assert_eq!(limit.limit(), COLD_LIMIT);
}

/// Guards against results of a previous incarnation that raise the limit of the new one.
#[test]
fn results_from_before_a_decrease_do_not_count() {
    let mut limit = ConcurrencyLimit::new(LimitOptions::new(COLD_LIMIT, WARM_LIMIT));
    warm_up(&mut limit);
    let permits: Vec<_> = std::iter::from_fn(|| limit.try_admit()).collect();
    limit.decrease(LimitDecrease::UpstreamLost);
    assert!(limit.try_admit().is_none(), "work from before the decrease fills the cold limit");
    for permit in permits {
        limit.complete(permit, success(200));
    }
    assert_eq!((limit.limit(), limit.in_use()), (COLD_LIMIT, 0));
}

/// Guards against full load on an upstream that becomes cold without reporting a new incarnation.
#[test]
fn latency_jump_restores_the_cold_limit_and_growth_resumes() {
    let mut limit = ConcurrencyLimit::new(LimitOptions::new(COLD_LIMIT, WARM_LIMIT));
    warm_up(&mut limit);
    let decreases: Vec<_> = (0..10)
        .filter_map(|_| {
            let permit = limit.try_admit().expect("the limit has room");
            limit.complete(permit, success(2_000))
        })
        .collect();
    assert_eq!(decreases, [LimitDecrease::LatencyJump]);
    assert_eq!(limit.limit(), COLD_LIMIT);
    warm_up(&mut limit);
}

/// Guards against a limit that stays outside the bounds after an operator has changed them.
#[test]
fn new_bounds_apply_immediately() {
    let mut limit = ConcurrencyLimit::new(LimitOptions::new(COLD_LIMIT, WARM_LIMIT));
    warm_up(&mut limit);
    limit.set_bounds(1, 4);
    assert_eq!(limit.limit(), 4);
    limit.set_bounds(6, 8);
    assert_eq!(limit.limit(), 6);
}
