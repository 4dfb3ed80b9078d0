//! Queues of an entry for requests that no upstream can take at present, and the task that gives them their turns.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use balance::ServiceCapacity;
use base::ServiceId;
use log::warn;
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{sleep, timeout},
};
use wait::{
    CapacityForecast, LeaveCause, RETRY_AFTER_RANGE, ReturnSchedule, RoomBounds, WaitingRoom,
    WaitingWork, WorkId, WorkLane,
};

use super::{assignment::millis, shared::EntryShared, status::WaitingStatus};

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
/// Total size of all queued requests: an eighth of the memory of the smallest hosts (112 MB).
const MAX_TOTAL_BYTES: usize = 14 << 20;
/// Message to a queued request.
pub(super) enum WaitSignal {
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
    pub(super) fn blocks(&self, service: &ServiceId, lane: WorkLane) -> bool {
        self.len() > 0 && self.set().room(service).is_some_and(|room| room.blocks(lane))
    }

    /// Offers a request; on success, it leaves the room when the returned ticket is dropped.
    pub(super) fn offer(
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
    pub(super) fn record_passed(&self, service: &ServiceId, work: &WaitingWork, now: Instant) {
        self.set().queue(service).room.record_passed(work, now);
    }

    /// Time after which a refused caller that has `time_left` until its deadline returns. `capacity` is this entry's
    /// share; if it is not known, the rate of recent placements is used.
    pub(super) fn retry_after(
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

    /// True if a caller whose first attempt was `since_first` ago returns no sooner than it was told.
    pub(super) fn is_returned(
        &self,
        service: &ServiceId,
        since_first: Duration,
        now: Instant,
    ) -> bool {
        let mut set = self.set();
        let shortest = set
            .services
            .get_mut(service)
            .map_or(RETRY_AFTER_RANGE.0, |queue| queue.schedule.shortest_told(now));
        since_first >= shortest
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
pub(super) struct WaitTicket {
    rooms: Arc<WaitingRooms>,
    service: ServiceId,
    id: WorkId,
    pub(super) signals: mpsc::UnboundedReceiver<WaitSignal>,
}

impl WaitTicket {
    /// Records that the request has been placed. It must happen before the ticket is dropped, because a request that has
    /// left the room no longer counts towards the rate and the shares.
    pub(super) fn record_placed(&self, now: Instant) {
        self.rooms.settle(&self.service, self.id, true, now);
    }
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
            // The request has settled its turn itself.
            Ok(Ok(true)) => {}
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
