//! What upstreams state in their responses about when they take requests from this entry.
//!
//! A statement holds for one process of an upstream, even if its registration expires for a while and then returns.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::UpstreamId;

/// Time for which the statements of an upstream that is no longer listed are remembered; far longer than an outage of the
/// store in which registrations expire.
pub(crate) const FORGET_TIMEOUT: Duration = Duration::from_secs(600);
/// Longest time for which an upstream may ask for no requests. A longer one is an error.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct StatedAvailability {
    /// Start of the upstream's process in Unix milliseconds.
    started_ms: u64,
    is_leaving: bool,
    /// Time before which the upstream wants no requests; `None` if it has never stated one.
    retry_at: Option<Instant>,
    /// Last time at which the upstream was listed.
    listed: Instant,
}

/// Statements of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct AvailabilityTable {
    known: HashMap<UpstreamId, StatedAvailability>,
}

impl AvailabilityTable {
    fn entry(
        &mut self,
        upstream: &UpstreamId,
        started_ms: u64,
        now: Instant,
    ) -> &mut StatedAvailability {
        let new = StatedAvailability { started_ms, is_leaving: false, retry_at: None, listed: now };
        let stated = self.known.entry(upstream.clone()).or_insert(new);
        if stated.started_ms != started_ms {
            *stated = new;
        }
        stated
    }

    /// Records that an upstream is leaving; true if that was not known.
    pub(crate) fn record_leaving(
        &mut self,
        upstream: &UpstreamId,
        started_ms: u64,
        now: Instant,
    ) -> bool {
        let stated = self.entry(upstream, started_ms, now);
        !std::mem::replace(&mut stated.is_leaving, true)
    }

    /// Records that an upstream wants no requests for `retry_after`. A later and shorter statement does not end an
    /// earlier one.
    pub(crate) fn record_retry_after(
        &mut self,
        upstream: &UpstreamId,
        started_ms: u64,
        retry_after: Duration,
        now: Instant,
    ) {
        let retry_at = now + retry_after.min(MAX_RETRY_AFTER);
        let stated = self.entry(upstream, started_ms, now);
        stated.retry_at = stated.retry_at.max(Some(retry_at));
    }

    /// True if this process of the upstream is leaving.
    pub(crate) fn is_leaving(&self, upstream: &str, started_ms: u64) -> bool {
        let stated = self.known.get(upstream);
        stated.is_some_and(|stated| stated.started_ms == started_ms && stated.is_leaving)
    }

    /// Time for which this process of the upstream wants no requests; zero if it takes some.
    pub(crate) fn wait_time(&self, upstream: &str, started_ms: u64, now: Instant) -> Duration {
        let stated = self.known.get(upstream).filter(|stated| stated.started_ms == started_ms);
        let retry_at = stated.and_then(|stated| stated.retry_at);
        retry_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Forgets upstreams for which `started_ms` states another process, and those that have not been listed for long.
    pub(crate) fn retain(&mut self, now: Instant, started_ms: impl Fn(&UpstreamId) -> Option<u64>) {
        self.known.retain(|upstream, stated| match started_ms(upstream) {
            Some(started_ms) => {
                stated.listed = now;
                stated.started_ms == started_ms
            }
            None => now.saturating_duration_since(stated.listed) < FORGET_TIMEOUT,
        });
    }
}
