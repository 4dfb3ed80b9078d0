//! Sources of chunks, and the backoff after a source has failed.

use std::time::{Duration, Instant};

use base::HostId;

/// Backoff after the first failure; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff, also applied to the retry delay that a source requests.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Source from which chunks or manifests are fetched.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChunkSource {
    /// Another host of the fleet.
    Peer(HostId),
    /// A weight store or the origin, by its index in the settings.
    Origin(usize),
}

/// Reason why a fetch failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchFault {
    /// The digest of the received bytes differs from the one in the manifest.
    Corrupt,
    /// The length of the received bytes differs from the one given by the manifest.
    Truncated,
    /// The source does not hold the requested chunk or manifest, although it may have claimed to.
    NotHeld,
    /// The source is busy or rate limiting and requested this retry delay.
    RetryAfter(Duration),
    /// The source cannot be reached or broke the connection.
    Unreachable,
    /// The fetch timed out.
    Stalled,
}

/// Consecutive failures of one source and the resulting backoff.
#[derive(Clone, Debug, Default)]
pub struct SourceHealth {
    failures: u32,
    blocked_until: Option<Instant>,
}

impl SourceHealth {
    /// True if no backoff is in effect at `now`.
    pub fn is_available(&self, now: Instant) -> bool {
        self.blocked_until.is_none_or(|until| now >= until)
    }

    /// True if the last contact failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Resets the failure count and ends the backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.blocked_until = None;
    }

    /// Records a failure at `now`. `jitter`, between 0 and 1, varies the backoff so that hosts do not all retry at
    /// once.
    pub fn record_fault(&mut self, now: Instant, fault: FetchFault, jitter: f64) {
        let wait = match fault {
            FetchFault::RetryAfter(wait) => wait.min(MAX_BACKOFF).mul_f64(1.0 + jitter / 4.0),
            // The caller removes the wrong claim from the chunks known to be held by the source. The first such failure
            // causes no backoff, since the source may well hold other chunks.
            FetchFault::NotHeld if self.failures == 0 => {
                self.failures = 1;
                Duration::ZERO
            }
            _ => {
                self.failures = self.failures.saturating_add(1);
                let doublings = self.failures.saturating_sub(1).min(16);
                FIRST_BACKOFF
                    .saturating_mul(1 << doublings)
                    .min(MAX_BACKOFF)
                    .mul_f64(0.75 + jitter / 2.0)
            }
        };
        self.blocked_until = Some(now + wait);
    }
}
