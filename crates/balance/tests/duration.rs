//! Tests the estimate of how long a request takes.

use std::time::{Duration, Instant};

use balance::DurationTracker;

/// Guards against an estimate that forgets a long request at once, or that keeps one for ever.
#[test]
fn longest_recent_duration_is_kept_for_a_while() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let (draft, seconds) = ("draft".into(), Duration::from_secs);
    let mut tracker = DurationTracker::new();
    assert_eq!(tracker.longest("draft", start), None);
    tracker.record(&draft, seconds(4), at(0));
    tracker.record(&draft, seconds(1), at(10));
    assert_eq!(tracker.longest("draft", at(20)), Some(seconds(4)));
    tracker.record(&draft, seconds(2), at(40));
    assert_eq!(tracker.longest("draft", at(50)), Some(seconds(4)));
    tracker.record(&draft, seconds(1), at(75));
    assert_eq!(tracker.longest("draft", at(80)), Some(seconds(2)));
    assert_eq!(tracker.longest("draft", at(200)), None);
    assert_eq!(tracker.longest("other", at(20)), None);
}
