//! Limits on uploads to peers: a byte budget per manifest and a short queue.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::ContentDigest;

/// Limits of the uploads of one host.
#[derive(Clone, Copy, Debug)]
pub struct UploadOptions {
    /// Maximum upload per manifest and window, as a multiple of the size of the weights.
    pub copies: f64,
    /// Interval after which the budget of a manifest is renewed, so that hosts that restart later can also fetch from
    /// peers.
    pub window: Duration,
    /// Maximum number of chunk requests that are queued or being served; further ones are refused with a retry delay.
    pub queue_length: usize,
}

impl Default for UploadOptions {
    fn default() -> Self {
        Self { copies: 2.0, window: Duration::from_secs(600), queue_length: 4 }
    }
}

/// Class of a peer that requests a chunk; determines how much of the queue it may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerStanding {
    /// Host of another region; it fetches on behalf of all hosts of that region.
    OtherRegion,
    /// Host that does not hold more chunks than the average of the known peers.
    BelowAverage,
    /// Host that holds more chunks than the average of the known peers.
    AboveAverage,
}

/// Decision about one chunk request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UploadVerdict {
    /// The chunk may be sent; [`UploadBudget::finish`] must be called afterwards.
    Send,
    /// The queue is full or the budget is used up; the peer may retry after this delay.
    Busy(Duration),
}

#[derive(Debug)]
struct BudgetWindow {
    started: Instant,
    sent_bytes: u64,
}

/// Upload budgets and queue length of one host.
#[derive(Debug)]
pub struct UploadBudget {
    options: UploadOptions,
    windows: HashMap<ContentDigest, BudgetWindow>,
    in_service: usize,
}

impl UploadBudget {
    /// Creates an empty queue with the full budget for every manifest.
    #[must_use]
    pub fn new(options: UploadOptions) -> Self {
        Self { options, windows: HashMap::new(), in_service: 0 }
    }

    /// Decides about a request for a chunk of `bytes` bytes, from weights of `size_bytes` bytes. The bytes are deducted
    /// immediately, so that concurrent requests cannot exceed the budget together.
    pub fn admit(
        &mut self,
        now: Instant,
        manifest: ContentDigest,
        size_bytes: u64,
        bytes: u64,
        chunk_time: Duration,
        standing: PeerStanding,
    ) -> UploadVerdict {
        // Peers that hold less than others may use more of the queue. Otherwise hosts that fall behind early stay
        // behind and finish last, limited by their own links.
        let capacity = match standing {
            PeerStanding::OtherRegion => {
                self.options.queue_length + self.options.queue_length.div_ceil(2)
            }
            PeerStanding::BelowAverage => self.options.queue_length,
            PeerStanding::AboveAverage => self.options.queue_length.div_ceil(2),
        };
        if self.in_service >= capacity {
            let waiting = u32::try_from(self.in_service).unwrap_or(u32::MAX);
            return UploadVerdict::Busy((chunk_time * waiting).max(Duration::from_millis(1)));
        }
        let window = self
            .windows
            .entry(manifest)
            .or_insert_with(|| BudgetWindow { started: now, sent_bytes: 0 });
        let age = now.saturating_duration_since(window.started);
        if age >= self.options.window {
            *window = BudgetWindow { started: now, sent_bytes: 0 };
        }
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "sizes are far below 2^52 bytes"
        )]
        let budget = (size_bytes as f64 * self.options.copies) as u64;
        if window.sent_bytes + bytes > budget {
            return UploadVerdict::Busy(self.options.window.saturating_sub(age));
        }
        window.sent_bytes += bytes;
        self.in_service += 1;
        UploadVerdict::Send
    }

    /// Removes an admitted request from the queue after its chunk has been sent or has failed.
    pub fn finish(&mut self) {
        self.in_service = self.in_service.saturating_sub(1);
    }

    /// Number of requests that are queued or being served.
    #[must_use]
    pub fn in_service(&self) -> usize {
        self.in_service
    }

    /// Bytes of a manifest's chunks admitted for upload in the current window.
    #[must_use]
    pub fn sent_bytes(&self, manifest: ContentDigest) -> u64 {
        self.windows.get(&manifest).map_or(0, |window| window.sent_bytes)
    }

    /// Removes the budgets of all manifests that are not in `wanted`.
    pub fn retain(&mut self, wanted: &[ContentDigest]) {
        self.windows.retain(|manifest, _| wanted.contains(manifest));
    }
}
