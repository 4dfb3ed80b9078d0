//! Start-up and wake-up: peers are asked before this process hands out work.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::Revision;
use rand::{Rng, RngExt};

use crate::{document::DocumentOrder, event::SpreadOptions};

/// Peers asked in one round.
pub(crate) const ASKED_PEERS: usize = 4;
/// Time that peers have for their answers in one round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between rounds while no peer answers.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Why knowledge has to be refreshed; decides how soon the service is read when no peer knows anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RefreshCause {
    /// A start of a process that others ask first, or that has nobody to ask.
    SeedStart,
    /// A start of any other process.
    Start,
    /// A pause.
    Pause,
}

impl RefreshCause {
    /// A process that has nobody else to ask, or that the others ask first, reads the service early.
    pub(crate) fn of_start(options: &SpreadOptions) -> Self {
        let has_others = options.seeds.iter().any(|seed| *seed != options.peer);
        let is_seed = options.seeds.contains(&options.peer);
        if is_seed || !has_others { Self::SeedStart } else { Self::Start }
    }

    /// Range of the delay before the first read of the service.
    ///
    /// When the whole fleet restarts at once, the few seeds read and hand on what they read. If all seeds are lost too,
    /// 6,720 processes spread over 28 s cause at most 480 calls a second, and the first documents read reach most
    /// of them before their own delay ends.
    fn read_delay(self) -> (Duration, Duration) {
        let (shortest_ms, longest_ms) = match self {
            Self::SeedStart => (50, 1_000),
            Self::Start => (2_000, 30_000),
            // A process that holds a document normally has peers; without them it hands out no work until the read.
            Self::Pause => (100, 500),
        };
        (Duration::from_millis(shortest_ms), Duration::from_millis(longest_ms))
    }
}

/// One refresh in progress.
#[derive(Debug)]
pub(crate) struct Refresh {
    started: Instant,
    waiting: Vec<SocketAddr>,
    round_ends: Instant,
    next_round: Instant,
    best: Option<DocumentOrder>,
    best_hosts: Revision,
    service_at: Instant,
    service_read: bool,
    read_failed: bool,
}

impl Refresh {
    /// Begins a refresh.
    pub(crate) fn new(now: Instant, cause: RefreshCause, rng: &mut dyn Rng) -> Self {
        let (shortest, longest) = cause.read_delay();
        Self {
            started: now,
            waiting: Vec::new(),
            round_ends: now,
            next_round: now,
            best: None,
            best_hosts: 0,
            service_at: now + rng.random_range(shortest..=longest),
            service_read: false,
            read_failed: false,
        }
    }

    pub(crate) fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// True if an answer to something asked at `asked` tells about the time after the start or the pause.
    pub(crate) fn covers(&self, asked: Instant) -> bool {
        asked >= self.started
    }

    /// True while answers of the round are awaited; nothing is put in force meanwhile.
    pub(crate) fn round_open(&self, now: Instant) -> bool {
        !self.waiting.is_empty() && now < self.round_ends
    }

    /// True if it is time to ask again.
    pub(crate) fn round_due(&self, now: Instant) -> bool {
        !self.round_open(now) && now >= self.next_round
    }

    pub(crate) fn start_round(&mut self, now: Instant, asked: Vec<SocketAddr>) {
        self.waiting = asked;
        // A peer that answered earlier may be gone together with what only it held.
        self.best = None;
        self.best_hosts = 0;
        self.round_ends = now + ROUND_TIMEOUT;
        self.next_round = now + ROUND_INTERVAL;
    }

    /// Records the answer of a peer; peers that hold nothing tell nothing.
    pub(crate) fn record_answer(
        &mut self,
        peer: SocketAddr,
        order: Option<DocumentOrder>,
        hosts_version: Revision,
    ) {
        self.waiting.retain(|waiting| *waiting != peer);
        self.best = self.best.max(order);
        self.best_hosts = self.best_hosts.max(hosts_version);
    }

    pub(crate) fn record_failure(&mut self, peer: SocketAddr) {
        self.waiting.retain(|waiting| *waiting != peer);
    }

    pub(crate) fn record_read(&mut self, succeeded: bool) {
        self.service_read |= succeeded;
        self.read_failed |= !succeeded;
    }

    /// True if the service has to be read because no peer knows anything.
    pub(crate) fn read_due(&self, now: Instant) -> bool {
        let unknown = self.best.is_none() || self.best_hosts == 0;
        unknown && !self.round_open(now) && now >= self.service_at
    }

    /// True if what is held is as new as anything that was found.
    pub(crate) fn is_done(
        &self,
        now: Instant,
        held: DocumentOrder,
        hosts_version: Revision,
        alone: bool,
    ) -> bool {
        let learned = self.best.is_some() || self.service_read || (alone && self.read_failed);
        !self.round_open(now)
            && learned
            && self.best.is_none_or(|best| held >= best)
            && hosts_version >= self.best_hosts
    }
}
