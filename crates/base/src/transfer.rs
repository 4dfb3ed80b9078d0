//! Time limits of transfers whose size is not known beforehand.

use std::time::{Duration, Instant};

/// Time limits of a transfer. A fixed limit for the whole would give up a large transfer that makes progress, and it
/// would start again from the beginning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TransferLimits {
    /// Maximum time until the head of the response.
    pub head: Duration,
    /// Maximum time without any byte after that.
    pub idle: Duration,
    /// Minimum average rate in bytes per second, from `idle` after the head. Ends a transfer that is kept open with a
    /// few bytes now and then.
    pub min_rate: u32,
}

/// Decides how long a transfer may take, from its progress.
#[derive(Clone, Debug)]
pub struct TransferTimer {
    limits: TransferLimits,
    began: Instant,
    /// Times at which the head, and the last byte so far, arrived.
    progress: Option<(Instant, Instant)>,
    received: u64,
}

impl TransferTimer {
    /// Creates the timer of a transfer that begins at `now`.
    #[must_use]
    pub fn new(limits: TransferLimits, now: Instant) -> Self {
        Self { limits, began: now, progress: None, received: 0 }
    }

    /// Records that the head of the response, or `count` bytes of its body, arrived at `now`.
    pub fn record(&mut self, count: usize, now: Instant) {
        let head_at = self.progress.map_or(now, |(head_at, _)| head_at);
        self.progress = Some((head_at, now));
        self.received = self.received.saturating_add(count as u64);
    }

    /// Time at which the transfer is given up unless it makes progress.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        let Some((head_at, last)) = self.progress else { return self.began + self.limits.head };
        let allowed = self.received as f64 / f64::from(self.limits.min_rate.max(1));
        let by_rate = head_at + self.limits.idle + Duration::from_secs_f64(allowed);
        by_rate.min(last + self.limits.idle)
    }

    /// Number of bytes received so far.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Time since the begin at `now`.
    #[must_use]
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began)
    }
}
