//! State shared by the control thread and the traffic thread of an entry.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use balance::{
    CrashDetector, DurationTracker, HeadTrust, LoadBalancer, LoadBalancerOptions, RetryBudgetShare,
};
use base::{ByteBudget, Clock, Incarnation, UpstreamId};
use fleet::{ANNOUNCEMENT_WAIT, FleetState, FleetView, ReceivePeriod};
use log::{info, warn};
use member::{EntryMember, EntryMembership};
use shed::{ContentionTable, ShedControl};
use tokio::{sync::Notify, time::sleep_until};
use tokio_util::sync::CancellationToken;
use wire::FleetKey;

use super::{EntryPorts, pool::ConnectionPool, rooms::WaitingRooms};
use crate::{lifecycle::PauseTracker, metrics::MetricSet, settings::EntrySettings};

/// Minimum time between the end of a request and the end of a stopping process, for which it is accepted.
const STOP_MARGIN: Duration = Duration::from_millis(200);
/// Stands for a point in time that does not exist.
const NEVER: i64 = i64::MIN;

/// Begin of a request to another entry or to the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestTimer {
    begin: Instant,
    suspended: Duration,
}

impl RequestTimer {
    /// Period in which the changes of the received items can have been made.
    pub(crate) fn finish(self, clock: &dyn Clock) -> ReceivePeriod {
        let suspended = clock.time_suspended().saturating_sub(self.suspended);
        ReceivePeriod { begin: self.begin, end: clock.now() }.with_suspension(suspended)
    }
}

/// Times of a stop, which decide whether a request is still accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopTimes {
    /// Time from which on no caller has a reason to use this entry, because responses to address queries have expired.
    pub(crate) drained_at: Instant,
    /// Time by which all requests must have ended.
    pub(crate) close_at: Instant,
}

impl StopTimes {
    /// True if a request may be accepted at `now` that is expected to take `expected` and ends by `deadline` at the latest.
    ///
    /// The expectation is not certain, so it only counts until `drained_at`. A request that is refused after that is
    /// served by another entry, but one that is cut off when the process ends is lost.
    pub(crate) fn accepts(&self, now: Instant, expected: Duration, deadline: Instant) -> bool {
        let expected_end = if now < self.drained_at { now + expected } else { deadline };
        expected_end.min(deadline) + STOP_MARGIN <= self.close_at
    }
}

/// Divisor of the memory of the process that gives the bytes of requests, and those of responses, which are kept at the
/// same time. The rest is for buffers of connections and the state of the fleet.
const HELD_SHARE: u64 = 5;

/// State shared by the tasks of an entry.
pub(crate) struct EntryShared {
    pub(crate) settings: EntrySettings,
    pub(crate) ports: EntryPorts,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) key: FleetKey,
    pub(crate) incarnation: Incarnation,
    pub(crate) view: ArcSwap<FleetView>,
    pub(crate) metrics: MetricSet,
    pub(crate) pool: ConnectionPool,
    /// Requests that wait for an upstream.
    pub(crate) waiting: Arc<WaitingRooms>,
    /// Number of requests whose response is not yet complete.
    pub(crate) in_flight: AtomicUsize,
    /// Bytes of requests that are arriving, or are kept because they may be sent to another upstream.
    pub(crate) request_bytes: Arc<ByteBudget>,
    /// Bytes of responses that are kept until they are complete, or until a stream has a complete event.
    pub(crate) response_bytes: Arc<ByteBudget>,
    /// A stop has been requested.
    pub(crate) leaving: AtomicBool,
    /// Set when a stop has been requested.
    pub(crate) stop_times: OnceLock<StopTimes>,
    /// Cancelled when the listeners are closed, and each connection after the response that it waits for.
    pub(crate) closing: CancellationToken,
    /// Number of open connections of callers.
    connections: AtomicUsize,
    /// All listeners are bound.
    pub(crate) listening: AtomicBool,
    /// Wakes the task that sends heartbeats.
    pub(crate) wake_control: Notify,
    /// Wakes the task that reports limits of upstreams, so that the other entries learn of a change at once.
    pub(crate) wake_limits: Notify,
    /// Wakes the task that reports crashes of upstreams, so that the other entries learn of one at once.
    pub(crate) wake_crashes: Notify,
    /// Wakes the task that follows the store, so that it queries the store at once.
    pub(crate) wake_store: Notify,
    /// Wakes the task that sends heartbeats, for one to the entries of the own region only.
    pub(crate) wake_neighbours: Notify,
    /// Wakes the task that requests changes from other entries.
    pub(crate) wake_catch_up: Notify,
    /// Wakes the task that fetches a configuration that the store has lost.
    pub(crate) wake_lost_config: Notify,
    /// This entry follows the store; the others take changes from entries that do.
    pub(crate) follows_store: AtomicBool,
    pauses: PauseTracker,
    sequence: AtomicU64,
    /// Time at which the fleet state is known to have been current, in milliseconds since the start. It is negative if
    /// another entry confirmed it before the start, and [`NEVER`] if nobody did.
    confirmed_at_ms: AtomicI64,
    /// Time of the last response of the store, in milliseconds since the start; [`NEVER`] if its last request failed.
    store_responded_at_ms: AtomicI64,
    started: Instant,
    assignment_digest: AtomicU64,
    balancer: Mutex<LoadBalancer>,
    contention: Mutex<ContentionTable>,
    shedding: Mutex<ShedControl>,
    retry_budget: Mutex<RetryBudgetShare>,
    membership: Mutex<EntryMembership>,
    fleet_state: Mutex<FleetState>,
    crashes: Mutex<CrashDetector>,
    crash_checks: Mutex<HashSet<UpstreamId>>,
    durations: Mutex<DurationTracker>,
    head_trust: Mutex<HeadTrust>,
    seeds: Mutex<Vec<SocketAddr>>,
}

/// Counts a connection of a caller as open until it is dropped.
pub(crate) struct ConnectionGuard {
    shared: Arc<EntryShared>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EntryShared {
    pub(crate) fn new(settings: EntrySettings, ports: EntryPorts, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        let mut fleet_state = FleetState::new();
        fleet_state.listen_until(now + ANNOUNCEMENT_WAIT);
        let incarnation: Incarnation = rand::random();
        let held_bytes = settings.common.memory_bytes / HELD_SHARE;
        let held_bytes = usize::try_from(held_bytes).unwrap_or(usize::MAX);
        let options = LoadBalancerOptions {
            regions: settings.common.regions.clone(),
            region: settings.common.region(),
            entry: settings.common.name.clone(),
            shares: settings.shares,
            learned_capacity: settings.learned_capacity,
        };
        Self {
            key: FleetKey::new(&settings.common.fleet_secret),
            incarnation,
            view: ArcSwap::from_pointee(FleetView::default()),
            metrics: MetricSet::default(),
            pool: ConnectionPool::new(clock.clone()),
            waiting: Arc::default(),
            in_flight: AtomicUsize::new(0),
            request_bytes: Arc::new(ByteBudget::new(held_bytes)),
            response_bytes: Arc::new(ByteBudget::new(held_bytes)),
            leaving: AtomicBool::new(false),
            stop_times: OnceLock::new(),
            closing: CancellationToken::new(),
            connections: AtomicUsize::new(0),
            listening: AtomicBool::new(false),
            wake_control: Notify::new(),
            wake_limits: Notify::new(),
            wake_crashes: Notify::new(),
            wake_store: Notify::new(),
            wake_neighbours: Notify::new(),
            wake_catch_up: Notify::new(),
            wake_lost_config: Notify::new(),
            follows_store: AtomicBool::new(true),
            pauses: PauseTracker::new(),
            sequence: AtomicU64::new(0),
            confirmed_at_ms: AtomicI64::new(NEVER),
            store_responded_at_ms: AtomicI64::new(NEVER),
            started: now,
            assignment_digest: AtomicU64::new(0),
            balancer: Mutex::new(LoadBalancer::new(options)),
            contention: Mutex::new(ContentionTable::new()),
            shedding: Mutex::new(ShedControl::with_seed(incarnation)),
            retry_budget: Mutex::new(RetryBudgetShare::new(settings.shares, now)),
            membership: Mutex::new(EntryMembership::new()),
            fleet_state: Mutex::new(fleet_state),
            crashes: Mutex::new(CrashDetector::new()),
            crash_checks: Mutex::default(),
            durations: Mutex::new(DurationTracker::new()),
            head_trust: Mutex::new(HeadTrust::new()),
            seeds: Mutex::new(settings.common.seeds.clone()),
            settings,
            ports,
            clock,
        }
    }

    pub(crate) fn balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn contention(&self) -> MutexGuard<'_, ContentionTable> {
        self.contention.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn shedding(&self) -> MutexGuard<'_, ShedControl> {
        self.shedding.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudgetShare> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn membership(&self) -> MutexGuard<'_, EntryMembership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn fleet_state(&self) -> MutexGuard<'_, FleetState> {
        self.fleet_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashDetector> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Upstreams that are being checked for a crash.
    pub(crate) fn crash_checks(&self) -> MutexGuard<'_, HashSet<UpstreamId>> {
        self.crash_checks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn head_trust(&self) -> MutexGuard<'_, HeadTrust> {
        self.head_trust.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn durations(&self) -> MutexGuard<'_, DurationTracker> {
        self.durations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    pub(crate) fn set_assignment_digest(&self, digest: u64) -> bool {
        self.assignment_digest.swap(digest, Ordering::Relaxed) != digest
    }

    /// Number of pauses of this process detected so far.
    pub(crate) fn pauses(&self) -> u64 {
        self.pauses.count()
    }

    /// Detects pauses of this process. True from the end of a pause until the fleet state has been refreshed.
    pub(crate) fn is_stale_after_pause(&self) -> bool {
        if self.pauses.tick(&*self.clock) {
            self.balancer().forget_reports();
            self.wake_store.notify_one();
        }
        self.pauses.is_stale()
    }

    /// Records that the fleet state was current at some time after the pause with number `pauses`.
    pub(crate) fn record_refreshed(&self, pauses: u64) {
        if self.pauses.record_refreshed(pauses) {
            info!("event=knowledge_refreshed revision={}", self.view.load().revision);
        }
    }

    /// Accounts for the time for which the host was suspended; must be called before dates are compared with the clock.
    pub(crate) fn record_suspension(&self) -> Duration {
        let suspended = self.fleet_state().record_suspended(self.clock.time_suspended());
        if !suspended.is_zero() {
            warn!("event=suspension_detected ms={}", suspended.as_millis());
        }
        suspended
    }

    /// Begins a request whose response contains ages of changes.
    pub(crate) fn start_request(&self) -> RequestTimer {
        RequestTimer { begin: self.clock.now(), suspended: self.clock.time_suspended() }
    }

    /// Records that the fleet state was current at `at`, which may be earlier than what is known.
    pub(crate) fn record_confirmed(&self, at: Instant) {
        self.confirmed_at_ms.fetch_max(self.millis_since_start(at), Ordering::Relaxed);
    }

    /// Records a complete response of the store at `now`, which shows the fleet state as it was at `current_at`.
    pub(crate) fn record_store_response(&self, now: Instant, current_at: Instant) {
        self.record_store_progress(now);
        self.record_confirmed(current_at);
    }

    /// Records that part of a response of the store arrived at `now`. The store responds, but the fleet state is not
    /// current before the response is complete.
    pub(crate) fn record_store_progress(&self, now: Instant) {
        self.store_responded_at_ms.store(self.millis_since_start(now), Ordering::Relaxed);
    }

    /// Records that a request to the store failed; true if the one before it did not.
    pub(crate) fn record_store_failure(&self) -> bool {
        self.store_responded_at_ms.swap(NEVER, Ordering::Relaxed) != NEVER
    }

    /// Time since the fleet state was last confirmed; `None` if it never was.
    pub(crate) fn fleet_state_age(&self) -> Option<Duration> {
        self.time_since(&self.confirmed_at_ms)
    }

    /// Time since the fleet state was last confirmed, or since the start of the process if it never was.
    pub(crate) fn unconfirmed_for(&self) -> Duration {
        let since_start = || self.clock.now().saturating_duration_since(self.started);
        self.fleet_state_age().unwrap_or_else(since_start)
    }

    /// Milliseconds from the start to `at`, negative if `at` is earlier.
    fn millis_since_start(&self, at: Instant) -> i64 {
        let millis = |span: Duration| i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
        millis(at.saturating_duration_since(self.started))
            - millis(self.started.saturating_duration_since(at))
    }

    /// Time since the point in time that is stored in milliseconds since the start; `None` if it is [`NEVER`].
    fn time_since(&self, at_ms: &AtomicI64) -> Option<Duration> {
        let at_ms = Some(at_ms.load(Ordering::Relaxed)).filter(|at_ms| *at_ms != NEVER)?;
        let elapsed_ms = self.millis_since_start(self.clock.now()).saturating_sub(at_ms);
        Some(Duration::from_millis(u64::try_from(elapsed_ms).unwrap_or_default()))
    }

    /// Counts a connection of a caller as open until the guard is dropped.
    pub(crate) fn open_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard { shared: self.clone() }
    }

    /// Number of open connections of callers.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns when the requests in flight must end because the process is about to.
    pub(crate) async fn end_of_grace_period(&self) {
        self.closing.cancelled().await;
        if let Some(stop_times) = self.stop_times.get() {
            sleep_until(stop_times.close_at.into()).await;
        }
    }

    /// True if callers may be directed to this entry.
    pub(crate) fn is_ready(&self) -> bool {
        let view = self.view.load();
        !self.is_leaving()
            && self.listening.load(Ordering::Relaxed)
            && view.config().is_some()
            && !view.is_config_behind()
    }

    /// Describes this entry as a member, with a new sequence number.
    pub(crate) fn own_member(&self) -> EntryMember {
        // The ages do not include a pause of this process, after which its state may be outdated.
        let is_current = !self.pauses.is_stale();
        EntryMember {
            name: self.settings.common.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            data_centre: self.settings.common.data_centre.clone(),
            caller_address: self.settings.callers,
            peer: self.settings.common.peer,
            ready: self.is_ready(),
            leaving: self.is_leaving(),
            revision: self.view.load().revision,
            assignment_digest: self.assignment_digest.load(Ordering::Relaxed),
            store_age: self.time_since(&self.store_responded_at_ms).filter(|_| is_current),
            state_age: self.fleet_state_age().filter(|_| is_current),
        }
    }
}
