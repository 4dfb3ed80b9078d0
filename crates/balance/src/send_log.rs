//! Times at which this entry sent requests to each upstream.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::UpstreamId;

/// Maximum number of send times that are kept per upstream; larger than the share of any entry in a limit.
const MAX_SEND_TIMES: usize = 4_096;

/// Send times of a recent period. They are kept for all upstreams: when an upstream states a limit or turns cold, the
/// requests that were sent before that count as well.
#[derive(Debug)]
pub struct SendLog {
    retention: Duration,
    sent: HashMap<UpstreamId, VecDeque<Instant>>,
}

impl SendLog {
    /// Creates an empty log, which keeps send times for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { retention, sent: HashMap::new() }
    }

    /// Records that a request is sent to an upstream.
    pub fn record(&mut self, upstream: &UpstreamId, now: Instant) {
        if !self.sent.contains_key(upstream) {
            self.sent.insert(upstream.clone(), VecDeque::new());
        }
        let times = self.sent.get_mut(upstream).expect("the upstream was just added");
        let retention = self.retention;
        while times.len() >= MAX_SEND_TIMES
            || times.front().is_some_and(|at| now.saturating_duration_since(*at) > retention)
        {
            times.pop_front();
        }
        times.push_back(now);
    }

    /// Number of requests that were sent to an upstream within `window` before `now`. The window must not exceed the
    /// retention.
    pub(crate) fn count(&self, upstream: &str, window: Duration, now: Instant) -> usize {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) <= window;
        self.sent.get(upstream).map_or(0, |times| times.iter().rev().take_while(is_recent).count())
    }

    /// Last time at which a request was sent to an upstream; `None` if there was none. It is kept beyond the retention
    /// while no further request is sent.
    pub(crate) fn last(&self, upstream: &str) -> Option<Instant> {
        self.sent.get(upstream)?.back().copied()
    }

    /// Removes the send times of all upstreams for which `keep` returns false and whose send times have expired.
    pub(crate) fn retain(&mut self, now: Instant, keep: impl Fn(&UpstreamId) -> bool) {
        let retention = self.retention;
        self.sent.retain(|upstream, times| {
            let last = times.back();
            keep(upstream) || last.is_some_and(|at| now.saturating_duration_since(*at) <= retention)
        });
    }
}
