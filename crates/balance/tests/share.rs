//! Guards against limits that hold only while the entries can reach one another.

use std::time::{Duration, Instant};

use balance::{ColdShare, RetryShare, ShareOptions};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const OPTIONS: ShareOptions = ShareOptions {
    retry_ratio: 0.2,
    retry_extra: 106.0,
    retry_window: Duration::from_secs(10),
    cold_factor: 1.5,
    cold_extra: 5.0,
};

proptest! {
    /// Nine entries that know nothing of one another stay within the budget of all in every window.
    #[test]
    fn retries_of_isolated_entries_stay_within_the_budget(
        steps in prop::collection::vec((0_usize..9, 0_u64..200, any::<bool>()), 1..600)
    ) {
        let start = Instant::now();
        let service = "desk".into();
        let mut shares: Vec<RetryShare> = (0..9).map(|_| RetryShare::new(OPTIONS, start)).collect();
        let mut now = start;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (entry, gap, is_retry) in steps {
            now += Duration::from_millis(gap);
            if !is_retry {
                shares[entry].record_request(&service, now);
                requests.push(now);
            } else if shares[entry].take(&service, now) {
                repeats.push(now);
            }
        }
        // The users count the requests of the window or of the one before it, whichever has more.
        for end in &repeats {
            let within = |at: &&Instant, from: u64, to: u64| {
                let age = end.saturating_duration_since(**at);
                **at <= *end && age >= Duration::from_secs(from) && age < Duration::from_secs(to)
            };
            let repeated = repeats.iter().filter(|at| within(at, 0, 10)).count() as f64;
            let asked = [(0, 10), (5, 15), (10, 20)]
                .map(|(from, to)| requests.iter().filter(|at| within(at, from, to)).count());
            let asked = f64::from(u32::try_from(*asked.iter().max().unwrap_or(&0)).unwrap_or(0));
            prop_assert!(repeated <= OPTIONS.retry_ratio * asked + OPTIONS.retry_extra);
        }
    }

    /// Nine entries that know nothing of one another never overload a cold upstream.
    #[test]
    fn sends_of_isolated_entries_to_a_cold_upstream_stay_below_its_bound(
        steps in prop::collection::vec((0_usize..9, 0_u64..20), 1..900)
    ) {
        let per_second = 36.0;
        let start = Instant::now();
        let upstream = "u".into();
        let mut shares: Vec<ColdShare> = (0..9).map(|_| ColdShare::new(OPTIONS)).collect();
        let mut now = start;
        let mut sends = Vec::new();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        for (entry, gap) in steps {
            now += Duration::from_millis(gap);
            if shares[entry].has_room(&upstream, per_second, now, &mut rng) {
                shares[entry].record(&upstream, now);
                sends.push(now);
            }
        }
        for end in &sends {
            let second = sends
                .iter()
                .filter(|at| **at <= *end && end.duration_since(**at) < Duration::from_secs(1))
                .count();
            prop_assert!(second as f64 <= per_second * OPTIONS.cold_factor + OPTIONS.cold_extra);
        }
    }
}

/// Guards against a share of less than one request a second that is rounded up to one: forty entries that see a cold
/// upstream at the same moment would send forty requests within a second where thirty are tolerated.
#[test]
fn many_entries_with_small_shares_stay_below_the_bound_of_a_cold_upstream() {
    let per_second = 17.0;
    let limit = per_second * OPTIONS.cold_factor + OPTIONS.cold_extra;
    for seed in 0..200 {
        let start = Instant::now();
        let upstream = "u".into();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut shares: Vec<ColdShare> = (0..40)
            .map(|_| {
                let mut share = ColdShare::new(OPTIONS);
                share.set_entries(40);
                share
            })
            .collect();
        let mut sends = Vec::new();
        for tick in 0..600 {
            let now = start + Duration::from_millis(tick * 10);
            for share in &mut shares {
                if share.has_room(&upstream, per_second, now, &mut rng) {
                    share.record(&upstream, now);
                    sends.push(now);
                }
            }
        }
        for begin in &sends {
            let within =
                |at: &&Instant| *at >= begin && at.duration_since(*begin) < Duration::from_secs(1);
            let count = sends.iter().filter(within).count();
            assert!(count as f64 <= limit, "seed {seed}: {count} sends within a second");
        }
        assert!(sends.len() > 40, "the share is used: {} sends", sends.len());
    }
}
