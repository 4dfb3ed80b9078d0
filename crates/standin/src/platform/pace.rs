//! Rate-limited link: all users share one fixed bandwidth.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::http::lock;

/// A simulated link with a fixed bandwidth; transfers are queued in order of their start.
#[derive(Debug)]
pub struct PacedLink {
    bytes_per_second: f64,
    free_at: Mutex<Option<Instant>>,
}

impl PacedLink {
    /// Creates an idle link with this bandwidth.
    #[must_use]
    pub fn new(bytes_per_second: f64) -> Self {
        Self { bytes_per_second, free_at: Mutex::new(None) }
    }

    /// Queueing delay: time until bytes that are sent now would start to be transmitted.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        let now = Instant::now();
        lock(&self.free_at).map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Queues `count` bytes and waits until they are transmitted.
    pub async fn transmit(&self, count: usize) {
        #[expect(clippy::cast_precision_loss, reason = "transfers are far below 2^52 bytes")]
        let duration = Duration::from_secs_f64(count as f64 / self.bytes_per_second);
        let end = {
            let mut free_at = lock(&self.free_at);
            let now = Instant::now();
            let end = free_at.map_or(now, |at| at.max(now)) + duration;
            *free_at = Some(end);
            end
        };
        tokio::time::sleep_until(end.into()).await;
    }
}
