//! Refresh after a start or a pause: the process queries peers before it dispatches work.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::Revision;
use rand::{Rng, RngExt};

use crate::{document::DocumentOrder, event::GossipOptions};

/// Number of peers queried in one round.
pub(crate) const PEERS_PER_ROUND: usize = 4;
/// Timeout for the responses of the peers in one round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between rounds while the refresh is incomplete.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Cause of a refresh; it determines how soon the service is read when no peer holds the documents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RefreshCause {
    /// Start of a seed, or of a process without seeds to query.
    SeedStart,
    /// Start of any other process.
    Start,
    /// Pause of a running process.
    Pause,
}

impl RefreshCause {
    /// Determines the cause at start. A seed, or a process without other seeds to query, reads the service early.
    pub(crate) fn for_start(options: &GossipOptions) -> Self {
        let has_others = options.seeds.iter().any(|seed| *seed != options.peer);
        let is_seed = options.seeds.contains(&options.peer);
        if is_seed || !has_others { Self::SeedStart } else { Self::Start }
    }

    /// Returns the range of the delay before the first read of the service.
    ///
    /// When the whole fleet restarts at once, the few seeds read the documents and pass them on. If all seeds are lost
    /// too, 6,720 processes spread over 28 s cause at most 480 requests per second, and the first documents reach most
    /// processes before their own delay ends.
    fn read_delay(self) -> (Duration, Duration) {
        let (shortest_ms, longest_ms) = match self {
            Self::SeedStart => (50, 1_000),
            Self::Start => (2_000, 30_000),
            // A process that holds a document usually has peers; without them, it dispatches no work until it has read
            // the service.
            Self::Pause => (100, 500),
        };
        (Duration::from_millis(shortest_ms), Duration::from_millis(longest_ms))
    }
}

/// A refresh in progress.
#[derive(Debug)]
pub(crate) struct Refresh {
    started: Instant,
    pending_peers: Vec<SocketAddr>,
    round_deadline: Instant,
    next_round_at: Instant,
    newest_config: Option<DocumentOrder>,
    newest_hosts: Revision,
    service_read_at: Instant,
    service_read: bool,
    read_failed: bool,
}

impl Refresh {
    /// Starts a refresh; the delay before the first read of the service is random, within the range of `cause`.
    pub(crate) fn new(now: Instant, cause: RefreshCause, rng: &mut dyn Rng) -> Self {
        let (shortest, longest) = cause.read_delay();
        Self {
            started: now,
            pending_peers: Vec::new(),
            round_deadline: now,
            next_round_at: now,
            newest_config: None,
            newest_hosts: 0,
            service_read_at: now + rng.random_range(shortest..=longest),
            service_read: false,
            read_failed: false,
        }
    }

    pub(crate) fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// True if the request was sent after the start or the pause, so that its response is current.
    pub(crate) fn covers(&self, sent_at: Instant) -> bool {
        sent_at >= self.started
    }

    /// True while responses of the round are pending; no pull or read is started meanwhile.
    pub(crate) fn is_round_open(&self, now: Instant) -> bool {
        !self.pending_peers.is_empty() && now < self.round_deadline
    }

    /// True if it is time for the next round.
    pub(crate) fn is_round_due(&self, now: Instant) -> bool {
        !self.is_round_open(now) && now >= self.next_round_at
    }

    pub(crate) fn start_round(&mut self, now: Instant, peers: Vec<SocketAddr>) {
        self.pending_peers = peers;
        // A peer that responded earlier may be gone, together with a document that only it held.
        self.newest_config = None;
        self.newest_hosts = 0;
        self.round_deadline = now + ROUND_TIMEOUT;
        self.next_round_at = now + ROUND_INTERVAL;
    }

    /// Records the response of a peer; a peer without documents does not change what is known.
    pub(crate) fn record_response(
        &mut self,
        peer: SocketAddr,
        order: Option<DocumentOrder>,
        hosts_version: Revision,
    ) {
        self.pending_peers.retain(|pending| *pending != peer);
        self.newest_config = self.newest_config.max(order);
        self.newest_hosts = self.newest_hosts.max(hosts_version);
    }

    pub(crate) fn record_failure(&mut self, peer: SocketAddr) {
        self.pending_peers.retain(|pending| *pending != peer);
    }

    pub(crate) fn record_read(&mut self, succeeded: bool) {
        self.service_read |= succeeded;
        self.read_failed |= !succeeded;
    }

    /// True if the service has to be read because no peer holds both documents.
    pub(crate) fn is_service_read_due(&self, now: Instant) -> bool {
        let unknown = self.newest_config.is_none() || self.newest_hosts == 0;
        unknown && !self.is_round_open(now) && now >= self.service_read_at
    }

    /// True if the held documents are at least as new as all documents found.
    pub(crate) fn is_done(
        &self,
        now: Instant,
        held: DocumentOrder,
        hosts_version: Revision,
        has_no_peers: bool,
    ) -> bool {
        let has_source =
            self.newest_config.is_some() || self.service_read || (has_no_peers && self.read_failed);
        !self.is_round_open(now)
            && has_source
            && self.newest_config.is_none_or(|newest_config| held >= newest_config)
            && hosts_version >= self.newest_hosts
    }
}
