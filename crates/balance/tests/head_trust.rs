//! Guards against requests that begin on outdated weights because the head of their response was taken for their begin, and
//! against streams that are given up although they have begun.

use std::time::{Duration, Instant};

use balance::HeadTrust;
use base::UpstreamId;
use proptest::prelude::*;

const LONG_WAIT: Duration = Duration::from_millis(300);
const SHORT_WAIT: Duration = Duration::from_millis(90);
const GAP: Duration = Duration::from_millis(40);
const INTERVAL: Duration = Duration::from_millis(500);
const PROOFS: u32 = 8;

/// Streams of one upstream, one after the other.
struct StreamLog {
    trust: HeadTrust,
    upstream: UpstreamId,
    now: Instant,
}

impl StreamLog {
    fn new() -> Self {
        Self { trust: HeadTrust::new(), upstream: "i-1".into(), now: Instant::now() }
    }

    /// A log after streams whose heads came with the first token.
    fn with_proofs() -> Self {
        let mut log = Self::new();
        log.record(SHORT_WAIT, GAP);
        (0..PROOFS).for_each(|_| log.record(LONG_WAIT, GAP));
        log
    }

    fn record(&mut self, wait: Duration, gap: Duration) {
        self.now += INTERVAL;
        let head_at = self.now + wait;
        self.trust.record_first_event(&self.upstream, self.now, head_at, head_at + gap);
    }

    /// Time by which the cancellation of a request is deferred whose head arrived `before` it.
    fn deferral(&self, before: Duration) -> Duration {
        let head_at = self.now + Duration::from_secs(1);
        let cancel_at = head_at + before;
        self.trust.defer_cancellation(&self.upstream, cancel_at, head_at) - cancel_at
    }

    fn is_trusted(&self) -> bool {
        !self.deferral(Duration::from_millis(1)).is_zero()
    }
}

#[test]
fn stream_that_has_begun_is_cancelled_before_its_first_event() {
    let log = StreamLog::with_proofs();
    assert!(log.deferral(Duration::from_millis(1)) > GAP);
    assert!(log.deferral(Duration::from_millis(1)) < Duration::from_millis(150));
}

#[test]
fn head_without_evidence_defers_the_cancellation() {
    let mut log = StreamLog::new();
    assert!(!log.is_trusted());
    log.record(SHORT_WAIT, GAP);
    (1..PROOFS).for_each(|_| log.record(LONG_WAIT, GAP));
    assert!(!log.is_trusted(), "one proof too few");
}

#[test]
fn head_of_one_upstream_is_trusted_because_of_another() {
    let mut log = StreamLog::with_proofs();
    log.upstream = "i-2".into();
    assert!(!log.is_trusted());
}

#[test]
fn head_that_arrives_at_the_cancellation_defers_it() {
    let log = StreamLog::with_proofs();
    assert_eq!(log.deferral(Duration::ZERO), Duration::ZERO);
    let late = log.now + INTERVAL;
    assert_eq!(log.trust.defer_cancellation(&log.upstream, log.now, late), log.now);
}

#[test]
fn head_whose_first_event_is_overdue_defers_the_cancellation() {
    assert_eq!(StreamLog::with_proofs().deferral(Duration::from_millis(100)), Duration::ZERO);
}

#[test]
fn one_early_head_leaves_the_trust_in_later_ones() {
    let checks: [fn(&mut StreamLog); 3] = [
        |log| log.record(Duration::from_millis(5), Duration::from_millis(200)),
        // The request began at once, so that the event followed soon.
        |log| log.record(Duration::from_millis(5), Duration::from_millis(30)),
        |log| {
            let head_at = log.now;
            log.now += Duration::from_millis(200);
            assert!(log.trust.record_no_event(&log.upstream, head_at, head_at, log.now));
        },
    ];
    for (index, check) in checks.into_iter().enumerate() {
        let mut log = StreamLog::with_proofs();
        check(&mut log);
        assert!(!log.is_trusted(), "check {index}");
        (0..1_000).for_each(|_| log.record(LONG_WAIT, GAP));
        assert!(!log.is_trusted(), "check {index}: after 500 s");
        (0..300).for_each(|_| log.record(LONG_WAIT, GAP));
        assert!(log.is_trusted(), "check {index}: after 650 s");
    }
}

#[test]
fn delayed_events_are_taken_for_early_heads() {
    let mut log = StreamLog::with_proofs();
    log.record(LONG_WAIT, Duration::from_millis(120));
    assert!(!log.is_trusted(), "a delayed event takes back proofs");
    (0..2).for_each(|_| log.record(LONG_WAIT, GAP));
    assert!(log.is_trusted(), "new proofs are enough");
    for _ in 0..100 {
        log.record(LONG_WAIT, Duration::from_millis(120));
        log.record(LONG_WAIT, GAP);
    }
    assert!(!log.is_trusted(), "half of the events are delayed");
}

#[test]
fn early_head_before_any_trust_is_not_reported() {
    let mut log = StreamLog::new();
    let (upstream, now) = (log.upstream.clone(), log.now);
    let event_at = now + Duration::from_millis(200);
    assert!(log.trust.record_first_event(&upstream, now, now, event_at));
    assert!(!log.trust.record_first_event(&upstream, now, now, event_at), "it is reported once");
}

#[test]
fn old_evidence_is_trusted() {
    let mut log = StreamLog::with_proofs();
    log.now += Duration::from_secs(61);
    assert!(!log.is_trusted());
}

#[test]
fn heads_read_together_after_a_pause_are_trusted() {
    let mut log = StreamLog::new();
    log.record(SHORT_WAIT, GAP);
    let head_at = log.now + Duration::from_secs(2);
    for _ in 0..100 {
        log.trust.record_first_event(&log.upstream, log.now, head_at, head_at);
    }
    log.now = head_at;
    assert!(!log.is_trusted());
}

#[test]
fn distant_upstream_that_sends_heads_at_once_is_trusted() {
    let mut log = StreamLog::new();
    (0..100).for_each(|_| log.record(Duration::from_millis(250), GAP));
    assert!(!log.is_trusted());
}

#[test]
fn removed_upstream_is_trusted() {
    let mut log = StreamLog::with_proofs();
    log.trust.retain(|_| false);
    assert!(!log.is_trusted());
}

proptest! {
    /// An upstream that sends all heads as soon as a request arrives is never trusted, whatever its load.
    #[test]
    fn upstream_with_early_heads_is_never_trusted(
        streams in prop::collection::vec((0_u64..90, 30_u64..3_000), 1..200)
    ) {
        let mut log = StreamLog::new();
        for (wait, gap) in streams {
            log.record(Duration::from_millis(wait), Duration::from_millis(gap));
            prop_assert!(!log.is_trusted());
        }
    }
}
