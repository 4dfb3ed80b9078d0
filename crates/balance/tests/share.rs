//! Guards against exceeding shared limits when the entries cannot reach one another.

use std::time::{Duration, Instant};

use balance::{ColdLimiter, RetryBudgetShare, SendLog, SharedLimits};
use base::{ServiceId, UpstreamId};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time for which send times are kept.
const RETENTION: Duration = Duration::from_secs(4);

const LIMITS: SharedLimits = SharedLimits {
    retry_ratio: 0.2,
    retry_extra: 106.0,
    retry_window: Duration::from_secs(10),
    cold_factor: 1.5,
    cold_extra: 5.0,
};

proptest! {
    /// The retries of nine entries that do not know of one another stay within the shared budget in every window.
    #[test]
    fn retries_of_isolated_entries_stay_within_the_budget(
        steps in prop::collection::vec((0_usize..9, 0_u64..200, any::<bool>()), 1..600)
    ) {
        let start = Instant::now();
        let service = "desk".into();
        let mut shares: Vec<RetryBudgetShare> = (0..9).map(|_| RetryBudgetShare::new(LIMITS, start)).collect();
        let mut now = start;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (entry, gap, is_retry) in steps {
            now += Duration::from_millis(gap);
            if !is_retry {
                shares[entry].record_request(&service, now);
                requests.push(now);
            } else if shares[entry].try_take(&service, now) {
                retries.push(now);
            }
        }
        // The budget is based on the requests of this window or the previous one, whichever has more.
        for end in &retries {
            let within = |at: &&Instant, from: u64, to: u64| {
                let age = end.saturating_duration_since(**at);
                **at <= *end && age >= Duration::from_secs(from) && age < Duration::from_secs(to)
            };
            let retried = retries.iter().filter(|at| within(at, 0, 10)).count() as f64;
            let requested = [(0, 10), (5, 15), (10, 20)]
                .map(|(from, to)| requests.iter().filter(|at| within(at, from, to)).count());
            let requested = f64::from(u32::try_from(*requested.iter().max().unwrap_or(&0)).unwrap_or(0));
            prop_assert!(retried <= LIMITS.retry_ratio * requested + LIMITS.retry_extra);
        }
    }

    /// Nine entries that do not know of one another never overload a cold upstream.
    #[test]
    fn requests_of_isolated_entries_to_a_cold_upstream_stay_below_its_limit(
        steps in prop::collection::vec((0_usize..9, 0_u64..20), 1..900)
    ) {
        let per_second = 36.0;
        let start = Instant::now();
        let upstream: UpstreamId = "u".into();
        let mut limiters: Vec<(ColdLimiter, SendLog)> =
            (0..9).map(|_| (ColdLimiter::new(LIMITS), SendLog::new(RETENTION))).collect();
        let mut now = start;
        let mut sent = Vec::new();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        for (entry, gap) in steps {
            now += Duration::from_millis(gap);
            let (limiter, log) = &mut limiters[entry];
            if limiter.may_send(&upstream, per_second, log, now, &mut rng) {
                log.record(&upstream, now);
                sent.push(now);
            }
        }
        for end in &sent {
            let second = sent
                .iter()
                .filter(|at| **at <= *end && end.duration_since(**at) < Duration::from_secs(1))
                .count();
            prop_assert!(second as f64 <= per_second * LIMITS.cold_factor + LIMITS.cold_extra);
        }
    }
}

/// Guards against an entry that gets a fresh share of the budget with each restart: the retries of the processes before
/// it count in the same window.
#[test]
fn restarted_entry_does_not_use_its_share_again() {
    let service: ServiceId = "desk".into();
    let start = Instant::now();
    let mut taken = Vec::new();
    // A process that has run for long, and one that replaces it every two seconds.
    for (started, first, last) in
        [(0, 10_000, 12_000), (12_000, 12_000, 14_000), (14_000, 14_000, 16_000)]
    {
        let at = |millis| start + Duration::from_millis(millis);
        let mut share = RetryBudgetShare::new(LIMITS, at(started));
        for millis in (first..last).step_by(20) {
            if share.try_take(&service, at(millis)) {
                taken.push(millis);
            }
        }
    }
    let share = LIMITS.retry_extra / 12.0;
    assert!(taken.len() as f64 <= 1.5 * share, "{} retries of {share:.1} within 6 s", taken.len());
    assert!(taken.iter().any(|at| *at > 12_000), "a restarted entry must be able to retry");
}

/// Forty entries that share the limit of a cold upstream.
struct ColdFixture {
    limiters: Vec<(ColdLimiter, SendLog)>,
    upstream: UpstreamId,
    rng: ChaCha8Rng,
}

impl ColdFixture {
    const PER_SECOND: f64 = 17.0;

    fn new(seed: u64) -> Self {
        let limiter = || {
            let mut limiter = ColdLimiter::new(LIMITS);
            limiter.set_entries(40);
            (limiter, SendLog::new(RETENTION))
        };
        Self {
            limiters: (0..40).map(|_| limiter()).collect(),
            upstream: "u".into(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Lets all entries send as much as they may for 6 s, and returns the number of requests in that time. Fails if the
    /// upstream gets more within any second than it tolerates.
    fn send_from(&mut self, start: Instant) -> usize {
        let limit = Self::PER_SECOND * LIMITS.cold_factor + LIMITS.cold_extra;
        let mut sent = Vec::new();
        for tick in 0..600 {
            let now = start + Duration::from_millis(tick * 10);
            for (limiter, log) in &mut self.limiters {
                if limiter.may_send(&self.upstream, Self::PER_SECOND, log, now, &mut self.rng) {
                    log.record(&self.upstream, now);
                    sent.push(now);
                }
            }
        }
        for begin in &sent {
            let within =
                |at: &&Instant| *at >= begin && at.duration_since(*begin) < Duration::from_secs(1);
            let count = sent.iter().filter(within).count();
            assert!(count as f64 <= limit, "{count} requests within a second");
        }
        sent.len()
    }
}

/// Guards against rounding a share of less than one request per second up to one: forty entries that discover a cold
/// upstream at the same moment would send forty requests within a second, while it tolerates thirty.
#[test]
fn many_entries_with_small_shares_stay_below_the_limit_of_a_cold_upstream() {
    for seed in 0..200 {
        let sent = ColdFixture::new(seed).send_from(Instant::now());
        assert!(sent > 40, "seed {seed}: the limiter is too strict: only {sent} requests");
    }
}

/// Guards against entries that all send at the same moment when an upstream turns cold for the second time, because
/// each waited only in the first cold period.
#[test]
fn entries_with_small_shares_wait_again_in_the_next_cold_period() {
    for seed in 0..200 {
        let mut fixture = ColdFixture::new(seed);
        let start = Instant::now();
        fixture.send_from(start);
        for (limiter, _) in &mut fixture.limiters {
            limiter.begin_period(&fixture.upstream);
        }
        fixture.send_from(start + Duration::from_secs(60));
    }
}
