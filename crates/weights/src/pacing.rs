//! Token bucket that limits the bandwidth of transfers on this host's link.

use std::time::{Duration, Instant};

/// Fraction of the link available to transfers while live requests are in flight and answered in time.
const BUSY_SHARE: f64 = 0.7;
/// Fraction of the link available to transfers while live requests are answered slowly. It is not zero, because the
/// overload may only end once more replicas are ready, which requires their transfers to finish.
const SLOW_SHARE: f64 = 0.15;
/// Largest burst after an idle period, expressed as transmission time at the current rate.
const BURST: Duration = Duration::from_millis(20);

/// Load on this host's link from live requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LiveLoad {
    /// No requests are in flight.
    #[default]
    Idle,
    /// Requests are in flight and answered in time.
    Busy,
    /// Requests are in flight and answered slowly.
    Slow,
}

/// Token bucket for the transfers in one direction of the link.
#[derive(Clone, Debug)]
pub struct LinkPacer {
    bytes_per_s: f64,
    load: LiveLoad,
    /// Time at which the link will have transmitted all admitted bytes; `None` before the first admission.
    free_at: Option<Instant>,
}

impl LinkPacer {
    /// Creates a bucket for a link of `bytes_per_s` bytes per second; zero is treated as one.
    #[must_use]
    pub fn new(bytes_per_s: u64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a link speed is far below 2^52 bytes/s")]
        let bytes_per_s = bytes_per_s.max(1) as f64;
        Self { bytes_per_s, load: LiveLoad::Idle, free_at: None }
    }

    /// True if the link has transmitted all bytes admitted so far.
    #[must_use]
    pub fn is_free(&self, now: Instant) -> bool {
        self.free_at.is_none_or(|free_at| free_at <= now)
    }

    /// Current load from live requests.
    #[must_use]
    pub fn load(&self) -> LiveLoad {
        self.load
    }

    /// Sets the load from live requests, which determines [`Self::rate`].
    pub fn set_load(&mut self, load: LiveLoad) {
        self.load = load;
    }

    /// Rate currently available to transfers, in bytes per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.bytes_per_s
            * match self.load {
                LiveLoad::Idle => 1.0,
                LiveLoad::Busy => BUSY_SHARE,
                LiveLoad::Slow => SLOW_SHARE,
            }
    }

    /// Admits `bytes` and returns how long the caller must wait before sending or requesting them, which is until the
    /// previously admitted bytes have been transmitted.
    pub fn admit(&mut self, now: Instant, bytes: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "a frame is far below 2^52 bytes")]
        let transfer_time = Duration::from_secs_f64(bytes as f64 / self.rate());
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        let start = self.free_at.map_or(earliest, |free_at| free_at.max(earliest));
        self.free_at = Some(start + transfer_time);
        start.saturating_duration_since(now)
    }
}
