//! Last successes of requests at one entry.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use route::Fingerprint;

/// Time for which a success keeps later crashes from counting against a request. It is the same as for prompt parts.
const SUCCESS_VALIDITY: Duration = Duration::from_secs(10);
/// Maximum number of successes that are kept; the oldest is evicted first.
const MAX_SUCCESSES: usize = 8_192;

/// Requests that upstreams have completed a short time ago. One that crashes upstreams is never completed.
#[derive(Debug, Default)]
pub(crate) struct RequestSuccesses {
    last: HashMap<Fingerprint, Instant>,
    oldest_first: VecDeque<(Fingerprint, Instant)>,
}

impl RequestSuccesses {
    /// Records a success of the request.
    pub(crate) fn record(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.last.insert(fingerprint, now);
        self.oldest_first.push_back((fingerprint, now));
        let is_evicted = |at: Instant, count: usize| {
            count > MAX_SUCCESSES || now.saturating_duration_since(at) > SUCCESS_VALIDITY * 2
        };
        while let Some((oldest, at)) = self.oldest_first.front().copied()
            && is_evicted(at, self.oldest_first.len())
        {
            self.oldest_first.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// True if the request succeeded after a crash at `at`, or a short time before it.
    pub(crate) fn excludes_crash(&self, fingerprint: &Fingerprint, at: Instant) -> bool {
        self.last.get(fingerprint).is_some_and(|success| *success + SUCCESS_VALIDITY >= at)
    }
}
