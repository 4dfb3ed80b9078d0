//! Reads the body of an error within a bounded time and size.

use std::{sync::Arc, time::Duration};

use base::ByteBudget;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use super::held_body::{BodyError, HeldBody};

/// Maximum size of the body of an error. Upstreams send a short text.
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Maximum time from the head of an error to its end, without the longest silence. Upstreams send it at once.
const MAX_SENDING_TIME: Duration = Duration::from_millis(400);
/// Maximum silence within the body of an error. A sound upstream may be silent for a second or so.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);

/// Measures how long an upstream takes for the body of an error.
struct BodyTimer {
    started: Instant,
    last_part: Instant,
    longest_silence: Duration,
}

impl BodyTimer {
    fn new(now: Instant) -> Self {
        Self { started: now, last_part: now, longest_silence: Duration::ZERO }
    }

    fn record_part(&mut self, now: Instant) {
        self.longest_silence = self.longest_silence.max(now - self.last_part);
        self.last_part = now;
    }

    /// Time after the last part within which the next one must arrive.
    fn allowed_silence(&self) -> Duration {
        let elapsed = self.last_part - self.started;
        // A silence that becomes the longest one does not count.
        if elapsed <= MAX_SENDING_TIME {
            return MAX_SILENCE;
        }
        (MAX_SENDING_TIME + self.longest_silence).saturating_sub(elapsed)
    }
}

/// Collects the body of an error; fails if it is incomplete or exceeds a limit.
pub(super) async fn collect_error(
    mut body: Incoming,
    budget: Arc<ByteBudget>,
) -> Result<Bytes, BodyError> {
    let mut held = HeldBody::new(budget, MAX_ERROR_BYTES);
    let mut timer = BodyTimer::new(Instant::now());
    loop {
        let frame = timeout(timer.allowed_silence(), body.frame()).await;
        let Some(frame) = frame.map_err(|_| BodyError::TimedOut)? else { return Ok(held.finish()) };
        timer.record_part(Instant::now());
        held.push(frame)?;
    }
}
