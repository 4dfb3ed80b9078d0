//! The state machine of dissemination.

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
    event::{
        DocumentKind, ExchangeSummary, PullAnswer, ServiceRead, SpreadAction, SpreadEvent,
        SpreadOptions,
    },
    line::{Arrival, DocumentLine},
    neighbours::Neighbour,
    reader::{IsolationWatch, ReaderRole},
    refresh::{ASKED_PEERS, Refresh, RefreshCause},
    report::SpreadReport,
};

/// A longer gap between two ticks means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Wait of a watch of the configuration service. A read succeeds at least this often, which bounds its known age.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Shortest and longest interval between reads of the host list.
const HOSTS_INTERVAL: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));
/// Rate at which a reader reads the host list. The platform hands out whole lists only: 1.2 MB with 6,720 hosts. Each
/// reader then reads every 10 s, and the readers of all data centres together more often than once a second.
const HOSTS_BYTES_PER_S: f64 = 65_536.0;
/// Shortest interval between reads after a new document; bounds the calls during a burst of publications.
const NEW_DOCUMENT_PAUSE: Duration = Duration::from_millis(100);
/// Interval between reads while the service answers with a faulty or older document.
const REPEAT_PAUSE: Duration = Duration::from_secs(1);
/// Failed exchanges in a row after which a seed is asked, in case every known address has been replaced.
const FAILURES_BEFORE_SEED: u32 = 3;
/// Whole documents served each second; bounds the upload when many processes start at once.
const WHOLE_DOCUMENTS_PER_S: u32 = 8;
/// Age up to which a read by another process shows that the service answers now.
const RECENT_READ: Duration = Duration::from_secs(2);
const BUSY_RETRY: Duration = Duration::from_millis(500);

/// Dissemination as one process sees it.
pub struct SpreadCore {
    options: SpreadOptions,
    rng: Box<dyn Rng + Send>,
    config: DocumentLine<FleetConfig>,
    hosts: DocumentLine<HostList>,
    neighbours: Vec<Neighbour>,
    readers: Vec<SocketAddr>,
    role: ReaderRole,
    isolation: IsolationWatch,
    refresh: Option<Refresh>,
    last_tick: Instant,
    next_exchange: Instant,
    turn: usize,
    failures: u32,
    retried: bool,
    /// Term for which the readers were assigned.
    term: u64,
    refused: Option<ContentDigest>,
    reported: Option<ContentDigest>,
    whole_window: (Instant, u32),
    actions: Vec<SpreadAction>,
}

impl SpreadCore {
    /// Creates the core of a process that has just started and holds nothing.
    #[must_use]
    pub fn new(options: SpreadOptions, mut rng: Box<dyn Rng + Send>, now: Instant) -> Self {
        let refresh = Refresh::new(now, RefreshCause::of_start(&options), &mut *rng);
        let phase = rng.random_range(Duration::ZERO..EXCHANGE_INTERVAL);
        Self {
            options,
            config: DocumentLine::new(now),
            hosts: DocumentLine::new(now),
            neighbours: Vec::new(),
            readers: Vec::new(),
            role: ReaderRole::new(now),
            isolation: IsolationWatch::new(now),
            refresh: Some(refresh),
            last_tick: now,
            next_exchange: now + phase,
            turn: rng.random_range(0..1_usize << 16),
            failures: 0,
            retried: false,
            term: 0,
            refused: None,
            reported: None,
            whole_window: (now, 0),
            actions: Vec::new(),
            rng,
        }
    }

    /// True if work and orders may be handed out.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.refresh.is_none()
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&HeldDocument<FleetConfig>> {
        self.config.held.as_ref()
    }

    /// The host list held.
    #[must_use]
    pub fn hosts(&self) -> Option<&HeldDocument<HostList>> {
        self.hosts.held.as_ref()
    }

    /// The peers that this process exchanges digests with.
    #[must_use]
    pub fn neighbours(&self) -> &[Neighbour] {
        &self.neighbours
    }

    /// Rank among the readers of the data centre, if this process is one of them.
    #[must_use]
    pub fn reader_rank(&self) -> Option<usize> {
        self.role.rank()
    }

    /// What this process tells its peers.
    #[must_use]
    pub fn summary(&self, now: Instant) -> ExchangeSummary {
        ExchangeSummary {
            config: self.config.order(),
            hosts_version: self.hosts.revision(),
            read_age_ms: self.role.read_age_ms(now),
            data_centre: self.options.data_centre.clone(),
            refused: self.refused,
            peer: self.options.peer,
        }
    }

    /// Answers a pull of a peer.
    pub fn answer_pull(
        &mut self,
        now: Instant,
        kind: DocumentKind,
        base: Option<ContentDigest>,
    ) -> PullAnswer {
        let window = &mut self.whole_window;
        let whole_allowed = || {
            if now.saturating_duration_since(window.0) >= Duration::from_secs(1) {
                *window = (now, 0);
            }
            window.1 += 1;
            window.1 <= WHOLE_DOCUMENTS_PER_S
        };
        match kind {
            DocumentKind::Config => self.config.answer(base, whole_allowed, BUSY_RETRY),
            DocumentKind::Hosts => self.hosts.answer(base, whole_allowed, BUSY_RETRY),
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Instant, event: SpreadEvent) -> Vec<SpreadAction> {
        self.detect_pause(now);
        match event {
            SpreadEvent::Tick => self.last_tick = now,
            SpreadEvent::ExchangeReceived(summary) => {
                self.isolation.record_contact(now);
                self.learn(now, summary.peer, &summary);
            }
            SpreadEvent::ExchangeAnswered { peer, asked, summary } => {
                self.exchange_answered(now, peer, asked, &summary);
            }
            SpreadEvent::ExchangeFailed(peer) => self.exchange_failed(peer),
            SpreadEvent::Pulled(peer, kind, answer) => self.pulled(now, peer, kind, &answer),
            SpreadEvent::PullFailed(peer, DocumentKind::Config) => self.config.fail_pull(peer),
            SpreadEvent::PullFailed(peer, DocumentKind::Hosts) => self.hosts.fail_pull(peer),
            SpreadEvent::Read(kind, read) => self.service_answered(now, kind, read),
        }
        self.advance_refresh(now);
        self.start_reads(now);
        self.start_exchanges(now);
        self.start_pulls(now);
        std::mem::take(&mut self.actions)
    }

    /// The gap is checked at every event, because an event may be handled before the first tick after a pause.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        self.last_tick = now;
        self.role.restart(now);
        let starting = self.config.held.is_none();
        let cause =
            if starting { RefreshCause::of_start(&self.options) } else { RefreshCause::Pause };
        self.refresh = Some(Refresh::new(now, cause, &mut *self.rng));
        self.actions.push(SpreadAction::SetFresh(false));
        self.report(SpreadReport::Paused { gap });
    }

    fn learn(&mut self, now: Instant, peer: SocketAddr, summary: &ExchangeSummary) {
        if let Some(order) = summary.config {
            self.config.offer(order, peer);
            self.detect_conflict(order);
        }
        if summary.hosts_version > 0 {
            // The summary names no digest of the host list; the lowest one never beats an equal version.
            let lowest = ContentDigest::from_slice(&[0; ContentDigest::LENGTH]).ok();
            if let Some(digest) = lowest {
                self.hosts.offer((summary.hosts_version, digest), peer);
            }
        }
        let age = Duration::from_millis(summary.read_age_ms);
        if summary.read_age_ms != u64::MAX
            && summary.data_centre == self.options.data_centre
            && let Some(at) = now.checked_sub(age)
            && self.role.record_foreign_read(at)
            && age < RECENT_READ
        {
            self.config.reads.retry_soon(now, &mut *self.rng);
            self.hosts.reads.retry_soon(now, &mut *self.rng);
        }
        if let Some(digest) = summary.refused.filter(|digest| Some(*digest) != self.refused) {
            self.report_once(digest, SpreadReport::PeerRefused { digest, peer });
        }
    }

    fn detect_conflict(&mut self, other: DocumentOrder) {
        let Some((revision, digest)) = self.config.order() else { return };
        if revision == other.0 && digest != other.1 {
            let report = SpreadReport::Conflict { revision, held: digest, other: other.1 };
            self.report_once(other.1, report);
        }
    }

    fn exchange_answered(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        asked: Instant,
        summary: &ExchangeSummary,
    ) {
        self.failures = 0;
        self.isolation.record_contact(now);
        self.learn(now, peer, summary);
        if let Some(refresh) = self.refresh.as_mut().filter(|refresh| refresh.covers(asked)) {
            refresh.record_answer(peer, summary.config, summary.hosts_version);
        }
    }

    fn exchange_failed(&mut self, peer: SocketAddr) {
        self.failures += 1;
        if let Some(refresh) = &mut self.refresh {
            refresh.record_failure(peer);
        } else if !self.retried {
            self.retried = true;
            let next = self.next_peer();
            self.actions.extend(next.map(SpreadAction::Exchange));
        }
    }

    fn pulled(&mut self, now: Instant, peer: SocketAddr, kind: DocumentKind, answer: &PullAnswer) {
        match kind {
            DocumentKind::Config => {
                let arrival = self.config.pulled(peer, answer);
                self.settle(now, kind, arrival, Some(peer));
            }
            DocumentKind::Hosts => {
                let arrival = self.hosts.pulled(peer, answer);
                self.settle(now, kind, arrival, Some(peer));
            }
        }
    }

    fn service_answered(&mut self, now: Instant, kind: DocumentKind, read: ServiceRead) {
        let lines = match kind {
            DocumentKind::Config => &mut self.config.reads,
            DocumentKind::Hosts => &mut self.hosts.reads,
        };
        let asked = lines.started();
        if let Some(refresh) = self.refresh.as_mut().filter(|refresh| refresh.covers(asked))
            && kind == DocumentKind::Config
        {
            refresh.record_read(!matches!(read, ServiceRead::Failed));
        }
        let document = match read {
            ServiceRead::Failed => {
                lines.fail(now, &mut *self.rng);
                return;
            }
            ServiceRead::Unchanged => {
                lines.succeed(now, WATCH_WAIT);
                self.note_own_read(now, kind);
                return;
            }
            ServiceRead::Document(document) => document,
        };
        self.note_own_read(now, kind);
        let arrival = match kind {
            DocumentKind::Config => self.config.arrive(&document),
            DocumentKind::Hosts => self.hosts.arrive(&document),
        };
        match kind {
            DocumentKind::Hosts => {
                let (shortest, longest) = HOSTS_INTERVAL;
                let paced = Duration::from_secs_f64(document.len() as f64 / HOSTS_BYTES_PER_S);
                self.hosts.reads.succeed(now, paced.clamp(shortest, longest));
            }
            DocumentKind::Config if matches!(arrival, Arrival::Adopted) => {
                self.config.reads.succeed(now, NEW_DOCUMENT_PAUSE);
            }
            DocumentKind::Config => self.config.reads.succeed(now, REPEAT_PAUSE),
        }
        self.settle(now, kind, arrival, None);
    }

    fn note_own_read(&mut self, now: Instant, kind: DocumentKind) {
        if kind == DocumentKind::Config {
            self.role.record_own_read(now);
        }
    }

    fn advance_refresh(&mut self, now: Instant) {
        let Some(refresh) = &self.refresh else { return };
        let alone = self.neighbours.is_empty() && self.options.seeds.is_empty();
        let held = self.config.order().filter(|_| self.hosts.held.is_some());
        let hosts_version = self.hosts.revision();
        if held.is_some_and(|held| refresh.is_done(now, held, hosts_version, alone)) {
            let took = refresh.elapsed(now);
            self.refresh = None;
            self.actions.push(SpreadAction::SetFresh(true));
            self.report(SpreadReport::Refreshed { took });
            return;
        }
        let pulls_pending = self.config.has_offers() || self.hosts.has_offers();
        if refresh.round_due(now) && !pulls_pending {
            let asked = self.round_peers();
            self.actions.extend(asked.iter().copied().map(SpreadAction::Exchange));
            if let Some(refresh) = &mut self.refresh {
                refresh.start_round(now, asked);
            }
        }
    }

    /// Peers for one round of a refresh: neighbours and seeds in turn.
    fn round_peers(&mut self) -> Vec<SocketAddr> {
        let mut pool: Vec<_> = self.neighbours.iter().map(|neighbour| neighbour.peer).collect();
        for seed in &self.options.seeds {
            if !pool.contains(seed) && *seed != self.options.peer {
                pool.push(*seed);
            }
        }
        let count = pool.len();
        self.turn = self.turn.wrapping_add(ASKED_PEERS);
        let start = self.turn;
        (0..count.min(ASKED_PEERS)).map(|step| pool[start.wrapping_add(step) % count]).collect()
    }

    fn start_reads(&mut self, now: Instant) {
        let refreshing = self.refresh.as_ref().map(|refresh| refresh.read_due(now));
        let (reads, took_over) = match refreshing {
            Some(due) => (due, false),
            None => self.role.reads(now),
        };
        let reads = reads || self.isolation.read_due(now, &mut *self.rng);
        if took_over && let Some(rank) = self.role.rank() {
            self.report(SpreadReport::TookOver { rank });
        }
        if !reads {
            return;
        }
        let wait = if refreshing.is_some() { Duration::ZERO } else { WATCH_WAIT };
        if self.config.reads.start(now, wait) {
            let after = self.config.revision();
            self.actions.push(SpreadAction::ReadConfig { after, wait });
        }
        if self.hosts.reads.start(now, Duration::ZERO) {
            self.actions.push(SpreadAction::ReadHosts);
        }
    }

    fn start_exchanges(&mut self, now: Instant) {
        if now < self.next_exchange || self.refresh.is_some() {
            return;
        }
        self.next_exchange = (self.next_exchange + EXCHANGE_INTERVAL).max(now);
        self.retried = false;
        let next = self.next_peer();
        self.actions.extend(next.map(SpreadAction::Exchange));
        if self.role.stands_by() && !self.readers.is_empty() {
            let reader = self.readers[self.turn % self.readers.len()];
            self.actions.push(SpreadAction::Exchange(reader));
        }
    }

    fn next_peer(&mut self) -> Option<SocketAddr> {
        self.turn = self.turn.wrapping_add(1);
        let seeds = &self.options.seeds;
        let ask_seed = self.neighbours.is_empty() || self.failures >= FAILURES_BEFORE_SEED;
        if ask_seed && !seeds.is_empty() {
            self.failures = 0;
            return Some(seeds[self.turn % seeds.len()]).filter(|seed| *seed != self.options.peer);
        }
        let count = self.neighbours.len();
        (count > 0).then(|| self.neighbours[self.turn % count].peer)
    }

    fn start_pulls(&mut self, now: Instant) {
        if self.refresh.as_ref().is_some_and(|refresh| refresh.round_open(now)) {
            return;
        }
        if let Some((peer, base)) = self.config.next_pull(now) {
            self.actions.push(SpreadAction::Pull(peer, DocumentKind::Config, base));
        }
        if let Some((peer, base)) = self.hosts.next_pull(now) {
            self.actions.push(SpreadAction::Pull(peer, DocumentKind::Hosts, base));
        }
    }

    fn report(&mut self, report: SpreadReport) {
        self.actions.push(SpreadAction::Report(report));
    }

    /// Reports something about a document that peers keep mentioning.
    fn report_once(&mut self, digest: ContentDigest, report: SpreadReport) {
        if self.reported.replace(digest) != Some(digest) {
            self.report(report);
        }
    }
}
