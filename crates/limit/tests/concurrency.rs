//! Guards against a cold upstream that receives more than it bears.

use std::time::Duration;

use limit::{ConcurrencyLimit, LimitFall, LimitOptions, UpstreamEpoch, WorkResult};

const COLD: u32 = 2;
const WARM: u32 = 10;

fn success(latency_ms: u64) -> WorkResult {
    WorkResult::Success { latency: Duration::from_millis(latency_ms) }
}

/// Runs full rounds of work until the limit is warm.
fn warm_up(limit: &mut ConcurrencyLimit) {
    for _ in 0..100 {
        run_round(limit, success(200));
    }
    assert_eq!(limit.limit(), WARM);
}

fn run_round(limit: &mut ConcurrencyLimit, result: WorkResult) {
    let permits: Vec<_> = std::iter::from_fn(|| limit.try_admit()).collect();
    for permit in permits {
        limit.complete(permit, result);
    }
}

/// Guards against a limit that grows faster than one step for each round.
#[test]
fn limit_grows_by_one_step_each_round() {
    let mut limit = ConcurrencyLimit::new(LimitOptions::new(COLD, WARM));
    assert_eq!(limit.limit(), COLD);
    for expected in COLD + 1..=WARM {
        // At first half of the permits of a round are not exercised, so a step takes at most two rounds.
        run_round(&mut limit, success(200));
        run_round(&mut limit, success(200));
        assert!(limit.limit() <= expected, "limit {} above {expected}", limit.limit());
    }
    warm_up(&mut limit);
}

/// Guards against growth on failures or on a load that the limit never reached.
#[test]
fn failures_and_light_load_do_not_raise_the_limit() {
    let mut limit = ConcurrencyLimit::new(LimitOptions::new(COLD, WARM));
    for _ in 0..100 {
        run_round(&mut limit, WorkResult::Neutral);
    }
    assert_eq!(limit.limit(), COLD);
    for _ in 0..100 {
        let permit = limit.try_admit().expect("the limit has room");
        limit.complete(permit, success(200));
    }
    assert_eq!(limit.limit(), COLD, "one request at a time exercises half of the limit");
}

/// Guards against full load on an upstream that restarted or lost its cache.
#[test]
fn new_incarnation_and_cache_reset_are_cold() {
    let mut limit = ConcurrencyLimit::new(LimitOptions::new(COLD, WARM));
    let epoch = UpstreamEpoch { incarnation: 1, cache_epoch: 1 };
    assert_eq!(limit.observe(epoch), None);
    warm_up(&mut limit);
    assert_eq!(limit.observe(epoch), None);
    let reset = UpstreamEpoch { cache_epoch: 2, ..epoch };
    assert_eq!(limit.observe(reset), Some(LimitFall::CacheReset));
    assert_eq!(limit.limit(), COLD);
    warm_up(&mut limit);
    let restarted = UpstreamEpoch { incarnation: 2, ..reset };
    assert_eq!(limit.observe(restarted), Some(LimitFall::NewIncarnation));
    assert_eq!(limit.limit(), COLD);
}

/// Guards against old work that warms the limit of a new incarnation.
#[test]
fn results_from_before_a_fall_do_not_count() {
    let mut limit = ConcurrencyLimit::new(LimitOptions::new(COLD, WARM));
    warm_up(&mut limit);
    let permits: Vec<_> = std::iter::from_fn(|| limit.try_admit()).collect();
    limit.fall(LimitFall::UpstreamLost);
    assert!(limit.try_admit().is_none(), "old work fills the cold limit");
    for permit in permits {
        limit.complete(permit, success(200));
    }
    assert_eq!((limit.limit(), limit.in_use()), (COLD, 0));
}

/// Guards against an upstream that turns cold without a new incarnation.
#[test]
fn latency_jump_is_cold_and_growth_resumes_after_it() {
    let mut limit = ConcurrencyLimit::new(LimitOptions::new(COLD, WARM));
    warm_up(&mut limit);
    let falls: Vec<_> = (0..10)
        .filter_map(|_| {
            let permit = limit.try_admit().expect("the limit has room");
            limit.complete(permit, success(2_000))
        })
        .collect();
    assert_eq!(falls, [LimitFall::LatencyJump]);
    assert_eq!(limit.limit(), COLD);
    warm_up(&mut limit);
}

/// Guards against a limit outside of bounds that operators changed.
#[test]
fn new_bounds_apply_at_once() {
    let mut limit = ConcurrencyLimit::new(LimitOptions::new(COLD, WARM));
    warm_up(&mut limit);
    limit.set_bounds(1, 4);
    assert_eq!(limit.limit(), 4);
    limit.set_bounds(6, 8);
    assert_eq!(limit.limit(), 6);
}
