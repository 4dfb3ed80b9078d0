//! State machine of dissemination: exchanges, pulls, reads of the service and refreshes.

mod adoption;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::ContentDigest;
use config::{FleetConfig, HostList};
use rand::{Rng, RngExt};

use crate::{
    document::{DocumentOrder, HeldDocument},
    document_state::{DocumentState, Received},
    event::{
        DocumentKind, ExchangeSummary, GossipAction, GossipEvent, GossipOptions, PullResponse,
        ReadResult,
    },
    neighbours::Neighbour,
    reader::{IsolationDetector, ReaderRole},
    refresh::{PEERS_PER_ROUND, Refresh, RefreshCause},
    report::GossipReport,
};

/// A gap between two ticks above this threshold means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum wait of one read for a new configuration. A read therefore succeeds at least this often, which limits the
/// age of the last known read.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Range of the interval between reads of the host list.
const HOSTS_READ_INTERVAL: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));
/// Rate at which a reader reads the host list. The platform sends only full lists: 1.2 MB with 6,720 hosts. At that
/// size, each reader reads every 10 s, and the readers of all data centres together more than once per second.
const HOSTS_READ_BYTES_PER_S: f64 = 65_536.0;
/// Interval between reads after a document was adopted; limits the requests during a burst of publications.
const ADOPTED_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reads while the service returns an invalid, older or known document.
const UNADOPTED_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Number of consecutive failed exchanges after which a seed is contacted, in case all known peers were replaced.
const FAILURES_BEFORE_SEED: u32 = 3;
/// Maximum number of full documents sent per second; limits the upload when many processes start at once.
const FULL_DOCUMENTS_PER_S: u32 = 8;
/// Maximum age of a read by another process that shows that the service is available.
const RECENT_READ_AGE: Duration = Duration::from_secs(2);
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// State machine of dissemination in one process.
pub struct GossipCore {
    options: GossipOptions,
    rng: Box<dyn Rng + Send>,
    config: DocumentState<FleetConfig>,
    hosts: DocumentState<HostList>,
    neighbours: Vec<Neighbour>,
    readers: Vec<SocketAddr>,
    reader_role: ReaderRole,
    isolation: IsolationDetector,
    refresh: Option<Refresh>,
    last_tick: Instant,
    next_exchange: Instant,
    rotation: usize,
    failed_exchanges: u32,
    retried_exchange: bool,
    /// Term for which the readers were assigned.
    term: u64,
    rejected_config: Option<ContentDigest>,
    last_reported: Option<ContentDigest>,
    full_send_window: (Instant, u32),
    actions: Vec<GossipAction>,
}

impl GossipCore {
    /// Creates the state of a process that has just started and holds no documents.
    #[must_use]
    pub fn new(options: GossipOptions, mut rng: Box<dyn Rng + Send>, now: Instant) -> Self {
        let refresh = Refresh::new(now, RefreshCause::for_start(&options), &mut *rng);
        let phase = rng.random_range(Duration::ZERO..EXCHANGE_INTERVAL);
        Self {
            options,
            config: DocumentState::new(now),
            hosts: DocumentState::new(now),
            neighbours: Vec::new(),
            readers: Vec::new(),
            reader_role: ReaderRole::new(now),
            isolation: IsolationDetector::new(now),
            refresh: Some(refresh),
            last_tick: now,
            next_exchange: now + phase,
            rotation: rng.random_range(0..1_usize << 16),
            failed_exchanges: 0,
            retried_exchange: false,
            term: 0,
            rejected_config: None,
            last_reported: None,
            full_send_window: (now, 0),
            actions: Vec::new(),
            rng,
        }
    }

    /// True if the documents are fresh, so that work and orders may be dispatched.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.refresh.is_none()
    }

    /// Returns the configuration in force, if any.
    #[must_use]
    pub fn config(&self) -> Option<&HeldDocument<FleetConfig>> {
        self.config.held.as_ref()
    }

    /// Returns the host list in force, if any.
    #[must_use]
    pub fn hosts(&self) -> Option<&HeldDocument<HostList>> {
        self.hosts.held.as_ref()
    }

    /// Returns the peers that this process exchanges digests with.
    #[must_use]
    pub fn neighbours(&self) -> &[Neighbour] {
        &self.neighbours
    }

    /// Returns the rank among the readers of the data centre; `None` if this process is not one of them.
    #[must_use]
    pub fn reader_rank(&self) -> Option<usize> {
        self.reader_role.rank()
    }

    /// Returns the summary of the documents in force that this process sends to its peers.
    #[must_use]
    pub fn summary(&self, now: Instant) -> ExchangeSummary {
        ExchangeSummary {
            config: self.config.order(),
            hosts_version: self.hosts.revision(),
            read_age_ms: self.reader_role.read_age_ms(now),
            data_centre: self.options.data_centre.clone(),
            refused: self.rejected_config,
            peer: self.options.peer,
        }
    }

    /// Responds to a pull of a peer that holds the document `base`, if any.
    pub fn respond_to_pull(
        &mut self,
        now: Instant,
        kind: DocumentKind,
        base: Option<ContentDigest>,
    ) -> PullResponse {
        let window = &mut self.full_send_window;
        let may_send_full = || {
            if now.saturating_duration_since(window.0) >= Duration::from_secs(1) {
                *window = (now, 0);
            }
            window.1 += 1;
            window.1 <= FULL_DOCUMENTS_PER_S
        };
        match kind {
            DocumentKind::Config => self.config.respond(base, may_send_full, BUSY_RETRY_AFTER),
            DocumentKind::Hosts => self.hosts.respond(base, may_send_full, BUSY_RETRY_AFTER),
        }
    }

    /// Handles an event and returns the actions to execute.
    pub fn handle(&mut self, now: Instant, event: GossipEvent) -> Vec<GossipAction> {
        self.detect_pause(now);
        match event {
            GossipEvent::Tick => self.last_tick = now,
            GossipEvent::ExchangeReceived(summary) => {
                self.isolation.record_contact(now);
                self.apply_summary(now, summary.peer, &summary);
            }
            GossipEvent::ExchangeSucceeded { peer, sent_at, summary } => {
                self.on_exchange_response(now, peer, sent_at, &summary);
            }
            GossipEvent::ExchangeFailed(peer) => self.on_exchange_failure(peer),
            GossipEvent::PullSucceeded(peer, kind, reply) => self.on_pull(now, peer, kind, &reply),
            GossipEvent::PullFailed(peer, DocumentKind::Config) => self.config.fail_pull(peer),
            GossipEvent::PullFailed(peer, DocumentKind::Hosts) => self.hosts.fail_pull(peer),
            GossipEvent::ReadCompleted(kind, read) => self.on_service_read(now, kind, read),
        }
        self.advance_refresh(now);
        self.start_reads(now);
        self.start_exchanges(now);
        self.start_pulls(now);
        std::mem::take(&mut self.actions)
    }

    /// Starts a refresh after a pause. This is checked on every event, because an event may be handled before the first
    /// tick after a pause.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        self.last_tick = now;
        self.reader_role.reset(now);
        let has_no_config = self.config.held.is_none();
        let cause = if has_no_config {
            RefreshCause::for_start(&self.options)
        } else {
            RefreshCause::Pause
        };
        self.refresh = Some(Refresh::new(now, cause, &mut *self.rng));
        self.actions.push(GossipAction::SetFresh(false));
        self.report(GossipReport::Paused { gap });
    }

    fn apply_summary(&mut self, now: Instant, peer: SocketAddr, summary: &ExchangeSummary) {
        if let Some(order) = summary.config {
            self.config.offer(order, peer);
            self.detect_conflict(order);
        }
        if summary.hosts_version > 0 {
            // The summary has no digest of the host list. With the lowest digest, a list of equal version is never newer.
            let lowest = ContentDigest::from_slice(&[0; ContentDigest::LENGTH]).ok();
            if let Some(digest) = lowest {
                self.hosts.offer((summary.hosts_version, digest), peer);
            }
        }
        let age = Duration::from_millis(summary.read_age_ms);
        if summary.read_age_ms != u64::MAX
            && summary.data_centre == self.options.data_centre
            && let Some(at) = now.checked_sub(age)
            && self.reader_role.record_peer_read(at)
            && age < RECENT_READ_AGE
        {
            self.config.reads.retry_soon(now, &mut *self.rng);
            self.hosts.reads.retry_soon(now, &mut *self.rng);
        }
        if let Some(digest) = summary.refused.filter(|digest| Some(*digest) != self.rejected_config)
        {
            self.report_once(digest, GossipReport::PeerRefused { digest, peer });
        }
    }

    fn detect_conflict(&mut self, other: DocumentOrder) {
        let Some((revision, digest)) = self.config.order() else { return };
        if revision == other.0 && digest != other.1 {
            let report = GossipReport::Conflict { revision, held: digest, other: other.1 };
            self.report_once(other.1, report);
        }
    }

    fn on_exchange_response(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        sent_at: Instant,
        summary: &ExchangeSummary,
    ) {
        self.failed_exchanges = 0;
        self.isolation.record_contact(now);
        self.apply_summary(now, peer, summary);
        if let Some(refresh) = self.refresh.as_mut().filter(|refresh| refresh.covers(sent_at)) {
            refresh.record_response(peer, summary.config, summary.hosts_version);
        }
    }

    fn on_exchange_failure(&mut self, peer: SocketAddr) {
        self.failed_exchanges += 1;
        if let Some(refresh) = &mut self.refresh {
            refresh.record_failure(peer);
        } else if !self.retried_exchange {
            self.retried_exchange = true;
            let next = self.next_peer();
            self.actions.extend(next.map(GossipAction::Exchange));
        }
    }

    fn on_pull(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        kind: DocumentKind,
        response: &PullResponse,
    ) {
        match kind {
            DocumentKind::Config => {
                let result = self.config.handle_pull_response(peer, response);
                self.on_document_received(now, kind, result, Some(peer));
            }
            DocumentKind::Hosts => {
                let result = self.hosts.handle_pull_response(peer, response);
                self.on_document_received(now, kind, result, Some(peer));
            }
        }
    }

    fn on_service_read(&mut self, now: Instant, kind: DocumentKind, read: ReadResult) {
        let schedule = match kind {
            DocumentKind::Config => &mut self.config.reads,
            DocumentKind::Hosts => &mut self.hosts.reads,
        };
        let started = schedule.started();
        if let Some(refresh) = self.refresh.as_mut().filter(|refresh| refresh.covers(started))
            && kind == DocumentKind::Config
        {
            refresh.record_read(!matches!(read, ReadResult::Failed));
        }
        let document = match read {
            ReadResult::Failed => {
                schedule.record_failure(now, &mut *self.rng);
                return;
            }
            ReadResult::Unchanged => {
                schedule.record_success(now, WATCH_WAIT);
                self.record_config_read(now, kind);
                return;
            }
            ReadResult::Document(document) => document,
        };
        self.record_config_read(now, kind);
        let result = match kind {
            DocumentKind::Config => self.config.receive(&document),
            DocumentKind::Hosts => self.hosts.receive(&document),
        };
        match kind {
            DocumentKind::Hosts => {
                let (shortest, longest) = HOSTS_READ_INTERVAL;
                let interval =
                    Duration::from_secs_f64(document.len() as f64 / HOSTS_READ_BYTES_PER_S);
                self.hosts.reads.record_success(now, interval.clamp(shortest, longest));
            }
            DocumentKind::Config if matches!(result, Received::Adopted) => {
                self.config.reads.record_success(now, ADOPTED_READ_INTERVAL);
            }
            DocumentKind::Config => self.config.reads.record_success(now, UNADOPTED_READ_INTERVAL),
        }
        self.on_document_received(now, kind, result, None);
    }

    fn record_config_read(&mut self, now: Instant, kind: DocumentKind) {
        if kind == DocumentKind::Config {
            self.reader_role.record_own_read(now);
        }
    }

    fn advance_refresh(&mut self, now: Instant) {
        let Some(refresh) = &self.refresh else { return };
        let has_no_peers = self.neighbours.is_empty() && self.options.seeds.is_empty();
        let held = self.config.order().filter(|_| self.hosts.held.is_some());
        let hosts_version = self.hosts.revision();
        if held.is_some_and(|held| refresh.is_done(now, held, hosts_version, has_no_peers)) {
            let took = refresh.elapsed(now);
            self.refresh = None;
            self.actions.push(GossipAction::SetFresh(true));
            self.report(GossipReport::Refreshed { took });
            return;
        }
        let pulls_pending = self.config.has_offers() || self.hosts.has_offers();
        if refresh.is_round_due(now) && !pulls_pending {
            let peers = self.choose_round_peers();
            self.actions.extend(peers.iter().copied().map(GossipAction::Exchange));
            if let Some(refresh) = &mut self.refresh {
                refresh.start_round(now, peers);
            }
        }
    }

    /// Chooses the peers for one round of a refresh, rotating through neighbours and seeds.
    fn choose_round_peers(&mut self) -> Vec<SocketAddr> {
        let mut pool: Vec<_> = self.neighbours.iter().map(|neighbour| neighbour.peer).collect();
        for seed in &self.options.seeds {
            if !pool.contains(seed) && *seed != self.options.peer {
                pool.push(*seed);
            }
        }
        let count = pool.len();
        self.rotation = self.rotation.wrapping_add(PEERS_PER_ROUND);
        let start = self.rotation;
        (0..count.min(PEERS_PER_ROUND)).map(|step| pool[start.wrapping_add(step) % count]).collect()
    }

    fn start_reads(&mut self, now: Instant) {
        let refreshing = self.refresh.as_ref().map(|refresh| refresh.is_service_read_due(now));
        let (should_read, takeover_started) = match refreshing {
            Some(due) => (due, false),
            None => self.reader_role.should_read(now),
        };
        let should_read = should_read || self.isolation.is_read_due(now, &mut *self.rng);
        if takeover_started && let Some(rank) = self.reader_role.rank() {
            self.report(GossipReport::ReaderTakeover { rank });
        }
        if !should_read {
            return;
        }
        let wait = if refreshing.is_some() { Duration::ZERO } else { WATCH_WAIT };
        if self.config.reads.start(now, wait) {
            let after = self.config.revision();
            self.actions.push(GossipAction::ReadConfig { after, wait });
        }
        if self.hosts.reads.start(now, Duration::ZERO) {
            self.actions.push(GossipAction::ReadHosts);
        }
    }

    fn start_exchanges(&mut self, now: Instant) {
        if now < self.next_exchange || self.refresh.is_some() {
            return;
        }
        self.next_exchange = (self.next_exchange + EXCHANGE_INTERVAL).max(now);
        self.retried_exchange = false;
        let next = self.next_peer();
        self.actions.extend(next.map(GossipAction::Exchange));
        if self.reader_role.is_standby() && !self.readers.is_empty() {
            let reader = self.readers[self.rotation % self.readers.len()];
            self.actions.push(GossipAction::Exchange(reader));
        }
    }

    fn next_peer(&mut self) -> Option<SocketAddr> {
        self.rotation = self.rotation.wrapping_add(1);
        let seeds = &self.options.seeds;
        let use_seed = self.neighbours.is_empty() || self.failed_exchanges >= FAILURES_BEFORE_SEED;
        if use_seed && !seeds.is_empty() {
            self.failed_exchanges = 0;
            return Some(seeds[self.rotation % seeds.len()])
                .filter(|seed| *seed != self.options.peer);
        }
        let count = self.neighbours.len();
        (count > 0).then(|| self.neighbours[self.rotation % count].peer)
    }

    fn start_pulls(&mut self, now: Instant) {
        if self.refresh.as_ref().is_some_and(|refresh| refresh.is_round_open(now)) {
            return;
        }
        if let Some((peer, base)) = self.config.start_next_pull(now) {
            self.actions.push(GossipAction::Pull(peer, DocumentKind::Config, base));
        }
        if let Some((peer, base)) = self.hosts.start_next_pull(now) {
            self.actions.push(GossipAction::Pull(peer, DocumentKind::Hosts, base));
        }
    }

    fn report(&mut self, report: GossipReport) {
        self.actions.push(GossipAction::Report(report));
    }

    /// Reports an event about a document once, although peers mention the document repeatedly.
    fn report_once(&mut self, digest: ContentDigest, report: GossipReport) {
        if self.last_reported.replace(digest) != Some(digest) {
            self.report(report);
        }
    }
}
