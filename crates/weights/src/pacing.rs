//! Token bucket for the bytes of transfers on this host's link.

use std::time::{Duration, Instant};

/// Share of the link for transfers while live requests are in flight and fast.
const SHARE_BESIDE_REQUESTS: f64 = 0.7;
/// Share of the link for transfers while live requests are in flight and slow. Transfers never stop altogether, since
/// the burst of demand ends only when more replicas are ready.
const SHARE_BESIDE_SLOW_REQUESTS: f64 = 0.15;
/// Bytes that may pass at once after an idle time, as a span at the full rate.
const BURST: Duration = Duration::from_millis(20);

/// What live requests do on this host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LiveLoad {
    /// None are in flight.
    #[default]
    Idle,
    /// Some are in flight and are answered in time.
    Busy,
    /// Some are in flight and are answered slowly.
    Slow,
}

/// Token bucket that admits the bytes of transfers in one direction of the link.
#[derive(Clone, Debug)]
pub struct LinkPacer {
    bytes_per_s: f64,
    load: LiveLoad,
    /// Time at which all admitted bytes have passed the link.
    free_at: Option<Instant>,
}

impl LinkPacer {
    /// Creates a bucket for a link of `bytes_per_s`; zero counts as one.
    #[must_use]
    pub fn new(bytes_per_s: u64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a link speed is far below 2^52 bytes/s")]
        let bytes_per_s = bytes_per_s.max(1) as f64;
        Self { bytes_per_s, load: LiveLoad::Idle, free_at: None }
    }

    /// True if nothing admitted before still occupies the link.
    #[must_use]
    pub fn is_free(&self, now: Instant) -> bool {
        self.free_at.is_none_or(|free_at| free_at <= now)
    }

    /// What live requests do.
    #[must_use]
    pub fn load(&self) -> LiveLoad {
        self.load
    }

    /// Sets what live requests do from now on.
    pub fn set_load(&mut self, load: LiveLoad) {
        self.load = load;
    }

    /// Rate that transfers may use now, in bytes per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.bytes_per_s
            * match self.load {
                LiveLoad::Idle => 1.0,
                LiveLoad::Busy => SHARE_BESIDE_REQUESTS,
                LiveLoad::Slow => SHARE_BESIDE_SLOW_REQUESTS,
            }
    }

    /// Admits `bytes` and returns how long the caller waits before it sends or asks for them: until the bytes admitted
    /// before have passed.
    pub fn admit(&mut self, now: Instant, bytes: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "a frame is far below 2^52 bytes")]
        let span = Duration::from_secs_f64(bytes as f64 / self.rate());
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        let start = self.free_at.map_or(earliest, |free_at| free_at.max(earliest));
        self.free_at = Some(start + span);
        start.saturating_duration_since(now)
    }
}
