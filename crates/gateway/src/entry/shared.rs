//! State that the control thread and the traffic thread of an entry share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use balance::{BoardOptions, CrashWatch, LoadBoard, RetryShare};
use base::{Clock, Incarnation};
use fleet::{FleetKnowledge, FleetView};
use log::info;
use member::{EntryMember, EntryRoster};
use tokio::sync::Notify;
use wire::FleetKey;

use super::{EntryPorts, pool::ConnectionPool};
use crate::{lifecycle::PauseWatch, metrics::MetricSet, settings::EntrySettings};

/// Everything that the tasks of an entry share.
pub(crate) struct EntryShared {
    pub(crate) settings: EntrySettings,
    pub(crate) ports: EntryPorts,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) key: FleetKey,
    pub(crate) incarnation: Incarnation,
    pub(crate) view: ArcSwap<FleetView>,
    pub(crate) metrics: MetricSet,
    pub(crate) pool: ConnectionPool,
    /// Requests that have been read and not yet answered in full.
    pub(crate) in_flight: AtomicUsize,
    /// Bytes of request bodies that are held.
    pub(crate) body_bytes: AtomicUsize,
    /// A stop has been requested.
    pub(crate) leaving: AtomicBool,
    /// The stop is near its end.
    pub(crate) refusing: AtomicBool,
    /// Listeners are up.
    pub(crate) listening: AtomicBool,
    pub(crate) wake_control: Notify,
    /// Wakes the task that follows the store, so that it asks again at once.
    pub(crate) wake_store: Notify,
    pauses: PauseWatch,
    sequence: AtomicU64,
    /// Milliseconds since the start at which the store last confirmed what is known; negative if never.
    confirmed: AtomicI64,
    started: Instant,
    brief: AtomicU64,
    board: Mutex<LoadBoard>,
    retries: Mutex<RetryShare>,
    roster: Mutex<EntryRoster>,
    knowledge: Mutex<FleetKnowledge>,
    crashes: Mutex<CrashWatch>,
    seeds: Mutex<Vec<SocketAddr>>,
}

impl EntryShared {
    pub(crate) fn new(settings: EntrySettings, ports: EntryPorts, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        let options = BoardOptions {
            regions: settings.common.regions.clone(),
            region: settings.common.region(),
            shares: settings.shares,
        };
        Self {
            key: FleetKey::new(&settings.common.fleet_secret),
            incarnation: rand::random(),
            view: ArcSwap::from_pointee(FleetView::default()),
            metrics: MetricSet::default(),
            pool: ConnectionPool::new(clock.clone()),
            in_flight: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            listening: AtomicBool::new(false),
            wake_control: Notify::new(),
            wake_store: Notify::new(),
            pauses: PauseWatch::new(),
            sequence: AtomicU64::new(0),
            confirmed: AtomicI64::new(-1),
            started: now,
            brief: AtomicU64::new(0),
            board: Mutex::new(LoadBoard::new(options)),
            retries: Mutex::new(RetryShare::new(settings.shares, now)),
            roster: Mutex::new(EntryRoster::new()),
            knowledge: Mutex::new(FleetKnowledge::new()),
            crashes: Mutex::new(CrashWatch::new()),
            seeds: Mutex::new(settings.common.seeds.clone()),
            settings,
            ports,
            clock,
        }
    }

    pub(crate) fn board(&self) -> MutexGuard<'_, LoadBoard> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryShare> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn roster(&self) -> MutexGuard<'_, EntryRoster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn knowledge(&self) -> MutexGuard<'_, FleetKnowledge> {
        self.knowledge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashWatch> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    pub(crate) fn set_brief(&self, digest: u64) -> bool {
        self.brief.swap(digest, Ordering::Relaxed) != digest
    }

    /// Number of pauses of this process that have been noticed.
    pub(crate) fn pauses(&self) -> u64 {
        self.pauses.count()
    }

    /// Notices a pause of this process. True until what is known has been refreshed after the last one.
    pub(crate) fn is_stale_after_pause(&self) -> bool {
        if self.pauses.tick(&*self.clock) {
            self.wake_store.notify_one();
        }
        self.pauses.is_stale()
    }

    /// Records that what is known was current at a moment after the pause with number `pauses`.
    pub(crate) fn record_refreshed(&self, pauses: u64) {
        if self.pauses.record_refreshed(pauses) {
            info!("event=knowledge_refreshed revision={}", self.view.load().revision);
        }
    }

    /// Records that what is known was current at `now`.
    pub(crate) fn record_confirmed(&self, now: Instant) {
        let millis = now.saturating_duration_since(self.started).as_millis();
        self.confirmed.store(i64::try_from(millis).unwrap_or(i64::MAX), Ordering::Relaxed);
    }

    /// Time since what is known was last confirmed; `None` if it never was.
    pub(crate) fn knowledge_age(&self) -> Option<Duration> {
        let confirmed = u64::try_from(self.confirmed.load(Ordering::Relaxed)).ok()?;
        let elapsed = self.clock.now().saturating_duration_since(self.started);
        Some(elapsed.saturating_sub(Duration::from_millis(confirmed)))
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// True if callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.listening.load(Ordering::Relaxed)
            && self.view.load().config().is_some()
    }

    /// This entry as it describes itself.
    pub(crate) fn own_member(&self) -> EntryMember {
        EntryMember {
            name: self.settings.common.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            data_centre: self.settings.common.data_centre.clone(),
            caller_address: self.settings.callers,
            peer: self.settings.common.peer,
            ready: self.is_ready(),
            leaving: self.is_leaving(),
            head: self.view.load().revision,
            brief: self.brief.load(Ordering::Relaxed),
        }
    }
}
