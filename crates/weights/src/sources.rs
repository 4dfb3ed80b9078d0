//! Where chunks come from, and how a source that failed is left alone for a while.

use std::time::{Duration, Instant};

use base::HostId;

/// First back-off after a failure. Doubles with every further failure.
const FIRST_BACK_OFF: Duration = Duration::from_millis(100);
/// Longest back-off after failures.
const MAX_BACK_OFF: Duration = Duration::from_secs(30);

/// A place that chunks or manifests are fetched from.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChunkSource {
    /// Another host.
    Peer(HostId),
    /// A weight store or the origin, by its place in the settings.
    Origin(usize),
}

/// Why a fetch brought nothing usable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchFault {
    /// The bytes do not have the digest that the manifest lists.
    Corrupt,
    /// The chunk is shorter or longer than the manifest says.
    Truncated,
    /// The source does not hold what was asked for, although it may have claimed to.
    NotHeld,
    /// The source is busy or rate limited and names the time to wait.
    RetryAfter(Duration),
    /// The source cannot be reached or broke the connection.
    Unreachable,
    /// Nothing arrived in time.
    Stalled,
}

/// Failures of one source.
#[derive(Clone, Debug, Default)]
pub struct SourceHealth {
    failures: u32,
    blocked_until: Option<Instant>,
}

impl SourceHealth {
    /// True if the source may be asked at `now`.
    pub fn is_available(&self, now: Instant) -> bool {
        self.blocked_until.is_none_or(|until| now >= until)
    }

    /// True if the last contact failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records that the source delivered.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.blocked_until = None;
    }

    /// Records a failure at `now`. `jitter` in 0..1 spreads the return of many askers.
    pub fn record_fault(&mut self, now: Instant, fault: FetchFault, jitter: f64) {
        let wait = match fault {
            FetchFault::RetryAfter(wait) => wait.min(MAX_BACK_OFF).mul_f64(1.0 + jitter / 4.0),
            // A wrong claim is corrected in the view of the source; the source itself may hold other chunks.
            FetchFault::NotHeld if self.failures == 0 => {
                self.failures = 1;
                Duration::ZERO
            }
            _ => {
                self.failures = self.failures.saturating_add(1);
                let doublings = self.failures.saturating_sub(1).min(16);
                FIRST_BACK_OFF
                    .saturating_mul(1 << doublings)
                    .min(MAX_BACK_OFF)
                    .mul_f64(0.75 + jitter / 2.0)
            }
        };
        self.blocked_until = Some(now + wait);
    }
}
