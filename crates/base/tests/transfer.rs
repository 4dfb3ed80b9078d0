//! Guards against transfers that are given up although they make progress, and against those that never end.

use std::time::{Duration, Instant};

use base::{TransferLimits, TransferTimer};

const LIMITS: TransferLimits = TransferLimits {
    head: Duration::from_secs(2),
    idle: Duration::from_secs(1),
    min_rate: 100_000,
};

/// Receives `count` bytes every `interval`; returns the time at which the transfer of `total` bytes ends or is given up.
fn run(total: usize, count: usize, interval: Duration) -> (Duration, bool) {
    let begin = Instant::now();
    let mut timer = TransferTimer::new(LIMITS, begin);
    let mut now = begin;
    while timer.received() < total as u64 {
        now += interval;
        if now > timer.deadline() {
            return (timer.deadline() - begin, false);
        }
        timer.record(count, now);
    }
    (now - begin, true)
}

#[test]
fn transfer_that_makes_progress_is_not_given_up() {
    let (took, is_complete) = run(1_400_000, 16_000, Duration::from_millis(100));
    assert!(is_complete && took > Duration::from_secs(8), "{took:?}");
}

#[test]
fn transfer_is_given_up_without_a_response_without_progress_and_below_the_rate() {
    let begin = Instant::now();
    let mut timer = TransferTimer::new(LIMITS, begin);
    assert_eq!(timer.deadline(), begin + LIMITS.head);
    timer.record(0, begin + Duration::from_millis(100));
    assert_eq!(timer.deadline(), begin + Duration::from_millis(1_100));
    let (took, is_complete) = run(1_400_000, 10, Duration::from_millis(50));
    assert!(!is_complete && took < Duration::from_millis(2_100), "{took:?}");
}
