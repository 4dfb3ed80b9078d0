//! Upstreams that are removed from the store while requests to it fail: a drawn course of cut watches and an outage.

mod support;

use std::time::{Duration, Instant};

use fleet::{FleetState, ItemSource, OutageDetector, ReceivePeriod};
use proptest::prelude::*;

use crate::support::{TextDecoder, item};

/// Time after its removal within which an upstream must be out of use, while the store is available.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which a removed upstream stays in use after the last failure in an outage.
const REGISTRATION_TIME: Duration = Duration::from_millis(2_400);
/// Time after an outage from which the store counts as available again.
const CONTACT_TIME: u64 = 3_000;
const WATCH_WAIT: u64 = 1_500;
const MARGIN: u64 = 1_000;
const TICK: u64 = 20;

/// What the store does, in milliseconds from the start.
#[derive(Clone, Debug)]
struct StoreCourse {
    /// Times at which all pending watches are cut.
    cuts: Vec<u64>,
    /// Begin and end of an outage.
    outage: (u64, u64),
    /// True if requests time out in the outage; otherwise they fail at once.
    is_silent: bool,
    /// Time of the removal.
    removed: u64,
    /// Maximum delay before a request after a failure.
    backoff: u64,
}

impl StoreCourse {
    fn is_down(&self, at: u64) -> bool {
        (self.outage.0..self.outage.1).contains(&at)
    }

    /// Time at which a request sent at `at` ends, and whether it succeeds.
    fn end_of_request(&self, at: u64, wait: u64, knows_removal: bool) -> (u64, bool) {
        let failure = if self.is_silent { at + wait + MARGIN } else { at + 2 };
        if self.is_down(at) {
            return (failure, false);
        }
        let changed = if knows_removal { u64::MAX } else { self.removed.max(at) };
        let response = (at + wait).min(changed) + 4;
        // Only a watch that waits is cut.
        let waiting = if wait == 0 { at..at } else { at + 1..response };
        let cut = self.cuts.iter().copied().filter(|cut| waiting.contains(cut)).min();
        let end = response.min(cut.unwrap_or(u64::MAX));
        if (at..end).contains(&self.outage.0) {
            return (if self.is_silent { failure } else { self.outage.0 }, false);
        }
        (end, end == response)
    }
}

/// Follows the store as an entry does. Calls `check` with the time, the time of the last failure in the outage and
/// whether the upstream is in use, every [`TICK`] milliseconds.
fn follow(course: &StoreCourse, mut check: impl FnMut(u64, Option<u64>, bool)) {
    let start = Instant::now();
    let instant = |millis| start + Duration::from_millis(millis);
    let period = |at| ReceivePeriod { begin: instant(at), end: instant(at) };
    let mut fleet = FleetState::new();
    fleet.apply(item("a", Some("u:ready"), 3), ItemSource::Change, &TextDecoder, period(0));
    let (mut outage, mut now, mut knows_removal, mut last_failure) =
        (OutageDetector::new(), 0, false, None);
    let end = course.removed.max(course.outage.1) + 6_000;
    let mut advance = |fleet: &mut FleetState, from: u64, to: u64, last_failure| {
        for at in (from..to).step_by(TICK as usize) {
            fleet.remove_expired(instant(at));
            check(at, last_failure, fleet.view().upstream("a").is_some());
        }
    };
    while now < end {
        let wait = if outage.is_suspected() { 0 } else { WATCH_WAIT };
        let (ended, is_response) = course.end_of_request(now, wait, knows_removal);
        advance(&mut fleet, now, ended, last_failure);
        let pause = if is_response {
            let has_change = !knows_removal && ended > course.removed;
            if has_change {
                knows_removal = true;
                fleet.apply(item("a", None, 5), ItemSource::Change, &TextDecoder, period(ended));
            }
            if outage.record_response() || has_change { 250 } else { 0 }
        } else if let Some(at) = outage.record_failure(instant(now), instant(ended)) {
            fleet.record_unavailable(at);
            last_failure = Some(now);
            course.backoff
        } else {
            0
        };
        advance(&mut fleet, ended, ended + pause, last_failure);
        now = ended + pause;
    }
}

fn course() -> impl Strategy<Value = StoreCourse> {
    let cuts = prop::collection::vec(0_u64..14_000, 0..6);
    (cuts, 3_000_u64..6_000, 300_u64..4_000, any::<bool>(), 0_u64..4_000, 150_u64..1_200).prop_map(
        |(cuts, begin, span, is_silent, removed, backoff)| StoreCourse {
            cuts,
            outage: (begin, begin + span),
            is_silent,
            removed,
            backoff,
        },
    )
}

proptest! {
    /// Guards against an upstream that stays in use after its removal from an available store, because requests to the
    /// store failed before or after.
    #[test]
    fn removed_upstream_stays_in_use(mut course in course(), is_after in any::<bool>(), close in 0_u64..300) {
        course.removed = if is_after {
            course.outage.1 + CONTACT_TIME + course.removed
        } else {
            (course.outage.0 - 2_500).min(course.removed)
        };
        // One cut lies shortly before the removal.
        course.cuts.push(course.removed.saturating_sub(close));
        let bound = course.removed + DRAIN_TIME.as_millis() as u64;
        let mut late = None;
        follow(&course, |at, _, in_use| {
            if in_use && at > bound {
                late = Some(at);
            }
        });
        prop_assert_eq!(late, None, "bound {}", bound);
    }

    /// Guards against an upstream that goes out of use at once because its registration expired in an outage.
    #[test]
    fn lapsed_upstream_goes_out_of_use(mut course in course(), share in 0.1_f64..1.0) {
        let (begin, end) = course.outage;
        // The outage is long enough for two requests to fail, and the cuts do not add failures to it.
        course.outage.1 = end.max(begin + WATCH_WAIT + 3 * MARGIN);
        course.cuts.retain(|cut| *cut < begin - WATCH_WAIT || *cut > course.outage.1 + CONTACT_TIME);
        let span = course.outage.1 - begin;
        course.removed = begin + (span as f64 * share) as u64;
        let mut early = None;
        follow(&course, |at, last_failure, in_use| {
            let held_until = last_failure.unwrap_or(begin) + REGISTRATION_TIME.as_millis() as u64;
            if !in_use && at < held_until {
                early = Some((at, held_until));
            }
        });
        prop_assert_eq!(early, None);
    }
}
