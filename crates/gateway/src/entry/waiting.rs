//! Requests that wait at the entry until an upstream of a contended service can take them.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use balance::{PlacementRefusal, RefusalCause, ServiceCapacity};
use base::ServiceId;
use hyper::StatusCode;
use log::{info, warn};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{sleep, timeout, timeout_at},
};
use wait::{
    CapacityForecast, LeaveCause, RETRY_AFTER_RANGE, ReturnSchedule, RoomBounds, WaitingRoom,
    WaitingWork, WorkId, WorkLane,
};

use super::{
    admit::admit,
    assignment::millis,
    outcome::ChoiceRefusal,
    request::{ChosenUpstream, RequestContext},
    shared::EntryShared,
    status::WaitingStatus,
};

/// Time after which queued requests have a turn even if no report has arrived and no request has ended.
const TURN_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum pause between two rounds of turns. Up to 265 agents report ten times a second; a round for each report would
/// use a tenth of the processor of a host with 0.17 cores.
const ROUND_PAUSE: Duration = Duration::from_millis(5);
/// Number of requests of a service that may fail to be placed in one round. More than one may have its turn because a
/// request can be unplaceable for reasons of its own, such as its regions or the length of its prompt.
const MAX_FAILED_TURNS: usize = 4;
/// Time within which a request must use its turn. It is polled at once unless the process is held up.
const TURN_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after the end of its wait at which a request leaves by itself, should the task that gives turns have failed.
const LEAVE_MARGIN: Duration = Duration::from_millis(100);
/// Total size of all queued requests: an eighth of the memory of the smallest hosts (112 MB).
const MAX_TOTAL_BYTES: usize = 14 << 20;
/// Memory of a queued request in addition to its body: head, configuration references and the caller's connection.
const REQUEST_OVERHEAD: usize = 8 << 10;
/// Usual duration of a stream, which a late request needs before its deadline.
const USUAL_STREAM_TIME: Duration = Duration::from_millis(1_200);
/// The same for other requests: plain services respond within tens of milliseconds.
const USUAL_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Message to a queued request.
enum WaitSignal {
    /// The request may choose an upstream now, and states whether it found one.
    Turn(oneshot::Sender<bool>),
    /// The request has left the queue and must be refused.
    Leave(LeaveCause),
}

/// Queue of one service, and when its refused callers return.
struct ServiceQueue {
    room: WaitingRoom,
    schedule: ReturnSchedule,
}

impl ServiceQueue {
    fn new() -> Self {
        Self { room: WaitingRoom::new(RoomBounds::default()), schedule: ReturnSchedule::new() }
    }
}

#[derive(Default)]
struct RoomSet {
    services: HashMap<ServiceId, ServiceQueue>,
    waiters: HashMap<WorkId, mpsc::UnboundedSender<WaitSignal>>,
    last_id: WorkId,
}

impl RoomSet {
    /// Tells requests that have left a room to refuse themselves.
    fn dismiss(&mut self, ids: Vec<WorkId>, cause: LeaveCause) {
        for id in ids {
            if let Some(waiter) = self.waiters.remove(&id) {
                // Without a receiver, the caller has disconnected.
                let _ = waiter.send(WaitSignal::Leave(cause));
            }
        }
    }

    fn bytes(&self) -> usize {
        self.services.values().map(|queue| queue.room.bytes()).sum()
    }

    fn room(&mut self, service: &ServiceId) -> Option<&mut WaitingRoom> {
        self.services.get_mut(service).map(|queue| &mut queue.room)
    }

    /// Queue of a service, which is created if there is none.
    fn queue(&mut self, service: &ServiceId) -> &mut ServiceQueue {
        self.services.entry(service.clone()).or_insert_with(ServiceQueue::new)
    }
}

/// Queued requests of all contended services.
#[derive(Default)]
pub(crate) struct WaitingRooms {
    set: Mutex<RoomSet>,
    /// Number of queued requests.
    waiting: AtomicUsize,
    wake: Notify,
}

impl WaitingRooms {
    fn set(&self) -> MutexGuard<'_, RoomSet> {
        self.set.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Lets queued requests have their turn, because capacity may have become free.
    pub(crate) fn wake(&self) {
        if self.len() > 0 {
            self.wake.notify_one();
        }
    }

    /// True if a new request has to wait for those that are queued.
    fn blocks(&self, service: &ServiceId, lane: WorkLane) -> bool {
        self.len() > 0 && self.set().room(service).is_some_and(|room| room.blocks(lane))
    }

    /// Offers a request; on success, it leaves the room when the returned ticket is dropped.
    fn offer(
        self: &Arc<Self>,
        service: &ServiceId,
        mut work: WaitingWork,
        now: Instant,
    ) -> Result<WaitTicket, LeaveCause> {
        let mut set = self.set();
        if set.bytes() + work.bytes > MAX_TOTAL_BYTES {
            return Err(LeaveCause::Full);
        }
        set.last_id += 1;
        let id = set.last_id;
        work.id = id;
        let offer = set.queue(service).room.offer(work, now);
        set.dismiss(offer.evicted, LeaveCause::Full);
        if let Some(cause) = offer.refusal {
            return Err(cause);
        }
        let (sender, signals) = mpsc::unbounded_channel();
        set.waiters.insert(id, sender);
        drop(set);
        if self.waiting.fetch_add(1, Ordering::Relaxed) == 0 {
            self.wake.notify_one();
        }
        Ok(WaitTicket { rooms: self.clone(), service: service.clone(), id, signals })
    }

    /// Records a request that was placed without waiting.
    fn record_passed(&self, service: &ServiceId, work: &WaitingWork, now: Instant) {
        self.set().queue(service).room.record_passed(work, now);
    }

    /// Time after which a refused caller that has `time_left` until its deadline returns. `capacity` is this entry's
    /// share; if it is not known, the rate of recent placements is used.
    fn retry_after(
        &self,
        service: &ServiceId,
        capacity: Option<ServiceCapacity>,
        time_left: Duration,
        now: Instant,
    ) -> Duration {
        let mut set = self.set();
        let ServiceQueue { room, schedule } = set.queue(service);
        let capacity = capacity.unwrap_or_else(|| ServiceCapacity {
            per_second: room.placed_per_second(now),
            changes: Vec::new(),
        });
        let forecast = CapacityForecast {
            per_second: capacity.per_second,
            changes: capacity.changes,
            new_per_second: room.offered_per_second(now),
            queued: room.len(),
        };
        schedule.retry_after(&forecast, time_left, now, &mut rand::rng())
    }

    /// Queued requests by service and rank.
    pub(super) fn status(&self, now: Instant) -> Vec<WaitingStatus> {
        let set = self.set();
        let mut status: Vec<WaitingStatus> = set
            .services
            .iter()
            .flat_map(|(service, queue)| {
                queue.room.ranks(now).into_iter().map(|(rank, ranked)| WaitingStatus {
                    service: service.clone(),
                    rank,
                    requests: ranked.requests,
                    late: ranked.late,
                    longest_ms: millis(ranked.longest),
                })
            })
            .collect();
        status.sort_by(|left, right| (&left.service, left.rank).cmp(&(&right.service, right.rank)));
        status
    }

    /// Refuses all queued requests, because the entry is stopping.
    fn close(&self) {
        let mut set = self.set();
        let queues = set.services.values_mut();
        let ids: Vec<WorkId> = queues.flat_map(|queue| queue.room.close()).collect();
        set.services.clear();
        set.dismiss(ids, LeaveCause::Closed);
    }

    /// Removes the requests that have waited as long as they can. Returns the services with queued requests.
    fn expire(&self, now: Instant) -> Vec<ServiceId> {
        let mut set = self.set();
        let queues = set.services.values_mut();
        let ids: Vec<WorkId> = queues.flat_map(|queue| queue.room.expire(now)).collect();
        set.dismiss(ids, LeaveCause::Expired);
        let busy = set.services.iter().filter(|(_, queue)| !queue.room.is_empty());
        busy.map(|(service, _)| service.clone()).collect()
    }

    /// Gives the next request of the service its turn; `None` if all have had theirs.
    fn give_turn(
        &self,
        service: &ServiceId,
        now: Instant,
    ) -> Option<(WorkId, oneshot::Receiver<bool>)> {
        let mut set = self.set();
        loop {
            let id = set.room(service)?.next(now)?;
            let (reply, is_placed) = oneshot::channel();
            let waiter = set.waiters.get(&id);
            if waiter.is_some_and(|waiter| waiter.send(WaitSignal::Turn(reply)).is_ok()) {
                return Some((id, is_placed));
            }
            set.room(service)?.remove(id);
        }
    }

    fn settle(&self, service: &ServiceId, id: WorkId, is_placed: bool, now: Instant) {
        if let Some(room) = self.set().room(service) {
            room.settle(id, is_placed, now);
        }
    }

    fn remove(&self, service: &ServiceId, id: WorkId) {
        let mut set = self.set();
        set.waiters.remove(&id);
        if let Some(room) = set.room(service) {
            room.remove(id);
        }
    }
}

/// Place of a request in its room. The request leaves the room when the ticket is dropped, as when its caller
/// disconnects.
struct WaitTicket {
    rooms: Arc<WaitingRooms>,
    service: ServiceId,
    id: WorkId,
    signals: mpsc::UnboundedReceiver<WaitSignal>,
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        self.rooms.remove(&self.service, self.id);
        self.rooms.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Gives queued requests their turns. Never returns.
pub(super) async fn run_rooms(shared: Arc<EntryShared>) {
    let rooms = &shared.waiting;
    loop {
        if rooms.len() == 0 {
            rooms.wake.notified().await;
        } else {
            // The end of the interval has the same effect as a notification.
            let _ = timeout(TURN_INTERVAL, rooms.wake.notified()).await;
        }
        if shared.is_leaving() {
            rooms.close();
        }
        for service in rooms.expire(shared.clock.now()) {
            run_round(&shared, &service).await;
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Gives turns to the requests of a service until several in a row could not be placed.
async fn run_round(shared: &EntryShared, service: &ServiceId) {
    let rooms = &shared.waiting;
    let mut failed = Vec::new();
    while failed.len() < MAX_FAILED_TURNS {
        let Some((id, reply)) = rooms.give_turn(service, shared.clock.now()) else { break };
        match timeout(TURN_TIMEOUT, reply).await {
            Ok(Ok(true)) => rooms.settle(service, id, true, shared.clock.now()),
            Ok(Ok(false)) => failed.push(id),
            // The caller has disconnected, or the request was refused.
            Ok(Err(_)) => rooms.remove(service, id),
            Err(_) => {
                warn!("event=turn_unused service={service}");
                rooms.remove(service, id);
            }
        }
    }
    for id in failed {
        rooms.settle(service, id, false, shared.clock.now());
    }
}

impl RequestContext {
    /// Chooses an upstream. At a contended service, a request that no upstream can take, or that others are queued
    /// before, waits for its turn.
    pub(super) async fn choose_or_wait(
        &self,
        now: Instant,
        is_resumed: bool,
    ) -> Result<ChosenUpstream, ChoiceRefusal> {
        let shared = &self.shared;
        let may_wait =
            !is_resumed && !shared.is_leaving() && shared.contention().is_contended(&self.service);
        if !may_wait {
            return self.choose_upstream(now, is_resumed).map_err(ChoiceRefusal::Placement);
        }
        let work = self.waiting_work(now);
        if !shared.waiting.blocks(&self.service, work.lane()) {
            match self.choose_upstream(now, is_resumed) {
                Ok(chosen) => {
                    shared.waiting.record_passed(&self.service, &work, now);
                    return Ok(chosen);
                }
                // Without a usable upstream, waiting does not help.
                Err(refusal) if refusal.cause == RefusalCause::NoUpstream => {
                    return Err(self.refuse(refusal.cause, &work, now));
                }
                Err(_) => {}
            }
        }
        let rank = work.rank;
        let result = match shared.waiting.offer(&self.service, work.clone(), now) {
            Ok(mut ticket) => self.wait_for_turn(&mut ticket, work.wait_until).await,
            Err(cause) => Err(WaitEnd::Left(cause)),
        };
        let ended = shared.clock.now();
        let waited = ended.saturating_duration_since(now);
        self.progress().waited += waited;
        let name = match &result {
            Ok(_) => "placed",
            Err(WaitEnd::Left(cause)) => cause.as_str(),
            Err(WaitEnd::Rejected(_, cause)) => cause,
        };
        let team = self.team.as_ref().map_or("none", |team| team.team.as_str());
        shared.metrics.count(&format!(
            "waiting_requests_total{{result=\"{name}\",rank=\"{rank}\",team=\"{team}\"}}"
        ));
        shared.metrics.observe("waiting_seconds", waited);
        info!(
            "event=wait_ended request={} result={name} rank={rank} team={team} waited_ms={}",
            self.meta.id,
            waited.as_millis()
        );
        result.map_err(|end| match end {
            WaitEnd::Left(_) => self.refuse(RefusalCause::Overloaded, &work, ended),
            WaitEnd::Rejected(status, cause) => ChoiceRefusal::Rejected(status, cause),
        })
    }

    /// Refuses a request with a time at which its caller returns. A caller that has returned before does not do so again,
    /// and no capacity is planned for it; a stopping entry plans for none, because callers return to another one.
    fn refuse(&self, cause: RefusalCause, work: &WaitingWork, now: Instant) -> ChoiceRefusal {
        let shared = &self.shared;
        let retry_after = if shared.is_leaving() {
            RETRY_AFTER_RANGE.0
        } else if work.is_returned {
            RETRY_AFTER_RANGE.1
        } else {
            let capacity = shared.balancer().capacity(&self.service, now);
            let time_left = self.deadline.saturating_duration_since(now);
            shared.waiting.retry_after(&self.service, capacity, time_left, now)
        };
        ChoiceRefusal::Placement(PlacementRefusal { cause, retry_after })
    }

    /// Waits until the request has been placed in one of its turns, or has left the room.
    async fn wait_for_turn(
        &self,
        ticket: &mut WaitTicket,
        wait_until: Instant,
    ) -> Result<ChosenUpstream, WaitEnd> {
        let leave_at = wait_until + LEAVE_MARGIN;
        loop {
            let signal = timeout_at(leave_at.into(), ticket.signals.recv()).await;
            let reply = match signal {
                Ok(Some(WaitSignal::Turn(reply))) => reply,
                Ok(Some(WaitSignal::Leave(cause))) => return Err(WaitEnd::Left(cause)),
                Ok(None) | Err(_) => return Err(WaitEnd::Left(LeaveCause::Expired)),
            };
            let now = self.shared.clock.now();
            self.check_again(now)?;
            let chosen = self.choose_upstream(now, false).ok();
            // The attempt is recorded before this task yields, so the next turn takes it into account.
            let is_queued = reply.send(chosen.is_some()).is_ok();
            match chosen {
                Some(chosen) => return Ok(chosen),
                None if is_queued => {}
                None => return Err(WaitEnd::Left(LeaveCause::Expired)),
            }
        }
    }

    /// Repeats the checks of a new request, because the configuration may have changed while the request was queued.
    /// The region restrictions are checked with each choice of an upstream.
    fn check_again(&self, now: Instant) -> Result<(), WaitEnd> {
        let view = self.shared.view.load();
        let (route, _) = admit(&self.shared, &view, &self.meta, self.uri.path())
            .map_err(|(status, cause)| WaitEnd::Rejected(status, cause))?;
        if !route.backends.iter().any(|backend| backend.service == self.service) {
            return Err(WaitEnd::Rejected(StatusCode::SERVICE_UNAVAILABLE, "route_changed"));
        }
        self.crash_refusal(now).map_or(Ok(()), |refusal| {
            Err(WaitEnd::Rejected(StatusCode::SERVICE_UNAVAILABLE, refusal.as_str()))
        })
    }

    /// Time between the caller's first attempt and this one, as far as its deadline shows it.
    fn time_since_first_attempt(&self) -> Duration {
        self.meta.time_left.map_or(Duration::ZERO, |left| self.route.timeout.saturating_sub(left))
    }

    fn waiting_work(&self, now: Instant) -> WaitingWork {
        let is_late = !self.is_on_time();
        let since_first = self.time_since_first_attempt();
        let wait_until = if is_late {
            let is_stream = self.route.repeat.is_stream();
            let usual = if is_stream { USUAL_STREAM_TIME } else { USUAL_RESPONSE_TIME };
            self.deadline.checked_sub(usual)
        } else {
            let balancer = self.shared.balancer();
            let idle_delay = balancer.idle_delay(&self.service, self.meta.prompt_tokens);
            (self.started + self.route.target_latency).checked_sub(since_first + idle_delay)
        };
        WaitingWork {
            id: 0,
            rank: self.rank(),
            team: self.team.as_ref().map(|team| team.team.clone()).unwrap_or_default(),
            bytes: self.body.len() + REQUEST_OVERHEAD,
            is_late,
            is_returned: since_first >= RETRY_AFTER_RANGE.0,
            wait_until: wait_until.unwrap_or(now),
        }
    }

    /// Urgency of the request: the priority of its team, or else of its route.
    fn rank(&self) -> u8 {
        self.team.as_ref().and_then(|team| team.priority).unwrap_or(self.route.priority)
    }
}

/// Why a request stopped waiting without an upstream.
enum WaitEnd {
    /// It has left the room, or did not enter it.
    Left(LeaveCause),
    /// A new request would be refused with this status and cause.
    Rejected(StatusCode, &'static str),
}
