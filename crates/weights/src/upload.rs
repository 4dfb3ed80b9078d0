//! What this host sends to peers: a budget per transfer and a short queue.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::ContentDigest;

/// Limits of the uploads of one host.
#[derive(Clone, Copy, Debug)]
pub struct UploadOptions {
    /// Copies of a transfer that the host uploads at most in one window.
    pub copies: f64,
    /// Time after which the budget of a transfer is renewed; hosts that restart later start from peers too.
    pub window: Duration,
    /// Chunk requests that are served or wait at once; more are told to come back.
    pub queue_length: usize,
}

impl Default for UploadOptions {
    fn default() -> Self {
        Self { copies: 2.0, window: Duration::from_secs(600), queue_length: 4 }
    }
}

/// Who asks for a chunk; decides how much of the queue it may fill.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerStanding {
    /// A fetcher of another region: all hosts of that region wait for it.
    Abroad,
    /// A host that holds no more than the others do.
    Behind,
    /// A host that holds more than the others do on average.
    Ahead,
}

/// Decision about one chunk request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UploadVerdict {
    /// The chunk may be sent; [`UploadBudget::finish`] follows.
    Send,
    /// The host is busy; the peer may ask again after this time.
    Busy(Duration),
}

#[derive(Debug)]
struct BudgetWindow {
    started: Instant,
    sent_bytes: u64,
}

/// Budget and queue of the uploads of one host.
#[derive(Debug)]
pub struct UploadBudget {
    options: UploadOptions,
    windows: HashMap<ContentDigest, BudgetWindow>,
    in_service: usize,
}

impl UploadBudget {
    /// Creates a budget.
    #[must_use]
    pub fn new(options: UploadOptions) -> Self {
        Self { options, windows: HashMap::new(), in_service: 0 }
    }

    /// Decides about a request for `bytes` of a transfer of `size_bytes`. The bytes are booked at once, so requests in
    /// progress cannot exceed the budget together.
    pub fn admit(
        &mut self,
        now: Instant,
        manifest: ContentDigest,
        size_bytes: u64,
        bytes: u64,
        chunk_time: Duration,
        standing: PeerStanding,
    ) -> UploadVerdict {
        // Peers that hold less than others find room in the queue first; otherwise the unlucky ones fall behind early
        // and finish last, when their own links are the limit.
        let places = match standing {
            PeerStanding::Abroad => {
                self.options.queue_length + self.options.queue_length.div_ceil(2)
            }
            PeerStanding::Behind => self.options.queue_length,
            PeerStanding::Ahead => self.options.queue_length.div_ceil(2),
        };
        if self.in_service >= places {
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

    /// Ends a request that was admitted.
    pub fn finish(&mut self) {
        self.in_service = self.in_service.saturating_sub(1);
    }

    /// Requests that are served or wait.
    #[must_use]
    pub fn in_service(&self) -> usize {
        self.in_service
    }

    /// Bytes sent of a transfer in the current window.
    #[must_use]
    pub fn sent_bytes(&self, manifest: ContentDigest) -> u64 {
        self.windows.get(&manifest).map_or(0, |window| window.sent_bytes)
    }

    /// Forgets the transfers that `wanted` does not list.
    pub fn retain(&mut self, wanted: &[ContentDigest]) {
        self.windows.retain(|manifest, _| wanted.contains(manifest));
    }
}
