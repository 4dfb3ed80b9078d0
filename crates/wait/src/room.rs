//! Bounded queue of an entry for one contended service.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use base::TeamId;
use limit::{FairQueue, OfferResult, TeamOrder, WorkId, WorkItem};
use shed::RequestRank;

use crate::{lane::WorkLane, ledger::ShareLedger, rate::DequeueRate};

/// Fraction of the expected wait that a request must be able to wait. The rate of recent placements varies from second
/// to second: with the whole expected wait, the middle rank earned 0.455 instead of 0.481 of its value in a
/// trial of the load test under shortage.
const CERTAIN_WAIT_FRACTION: f64 = 0.5;

/// Bounds of a [`WaitingRoom`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomBounds {
    /// Maximum number of queued requests.
    pub requests: usize,
    /// Maximum total size of the queued requests in bytes.
    pub bytes: usize,
    /// Maximum time for which a request is queued.
    pub wait: Duration,
}

impl Default for RoomBounds {
    /// Bounds for hosts of 112 MB. An entry gets 11 requests a second, 28 in a burst of 2.5 times; of these, 96 cover the
    /// excess of more than 4 s. The bytes are 1/28 of the host's memory, and the time is what a deadline of 6 s leaves
    /// after a stream of 1.2 s.
    fn default() -> Self {
        Self { requests: 96, bytes: 4 << 20, wait: Duration::from_millis(4_800) }
    }
}

/// Request that is offered to a [`WaitingRoom`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingWork {
    /// Id of the request, unique within the entry.
    pub id: WorkId,
    /// Rank of the request.
    pub rank: RequestRank,
    /// Team of the caller; empty if the service needs no keys.
    pub team: TeamId,
    /// Memory that the request occupies.
    pub bytes: usize,
    /// True if the response can no longer be on time.
    pub is_late: bool,
    /// True if the caller was refused before and returned no sooner than it was told.
    pub is_returned: bool,
    /// Time from which it is no longer useful to begin the request.
    pub wait_until: Instant,
}

impl WaitingWork {
    /// Lane of the request.
    #[must_use]
    pub fn lane(&self) -> WorkLane {
        WorkLane::new(self.rank, self.is_late, self.is_returned)
    }

    fn item(&self) -> WorkItem {
        WorkItem {
            id: self.id,
            team: self.team.clone(),
            priority: 0,
            deadline: self.wait_until,
            isolated: false,
        }
    }
}

/// Why a request leaves the room, or does not enter it, without having been placed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LeaveCause {
    /// The room is full, and the other requests go before this one.
    Full,
    /// The expected wait is longer than the request can wait.
    WaitTooLong,
    /// The request has waited as long as it can.
    Expired,
    /// There is no usable upstream any more.
    NoUpstream,
    /// The entry is stopping.
    Closed,
}

impl LeaveCause {
    /// Name in log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Full => "queue_full",
            Self::WaitTooLong => "wait_too_long",
            Self::Expired => "wait_expired",
            Self::NoUpstream => "no_upstream",
            Self::Closed => "stopping",
        }
    }
}

/// Result of [`WaitingRoom::offer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoomOffer {
    /// Why the offered request was not queued; `None` if it was.
    pub refusal: Option<LeaveCause>,
    /// Requests that were removed to make room and must be refused with [`LeaveCause::Full`].
    pub evicted: Vec<WorkId>,
}

impl RoomOffer {
    fn refused(cause: LeaveCause) -> Self {
        Self { refusal: Some(cause), evicted: Vec::new() }
    }
}

/// Queued requests of one rank.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RankQueue {
    /// Number of requests.
    pub requests: usize,
    /// Number of them that can no longer be on time.
    pub late: usize,
    /// Time for which the first of them has been queued.
    pub longest: Duration,
}

#[derive(Debug)]
struct WaitingEntry {
    work: WaitingWork,
    offered: Instant,
    /// The request has its turn: it is not in its lane, and [`WaitingRoom::settle`] follows.
    has_turn: bool,
}

/// Bounded queue for requests that no upstream can take at present.
#[derive(Debug)]
pub struct WaitingRoom {
    bounds: RoomBounds,
    lanes: BTreeMap<WorkLane, FairQueue>,
    entries: HashMap<WorkId, WaitingEntry>,
    bytes: usize,
    rate: DequeueRate,
    /// On-time requests of the service, including those that did not have to wait.
    ranks: ShareLedger<RequestRank>,
    teams: ShareLedger<TeamId>,
    /// Requests that have left their lane because their time has passed, until [`WaitingRoom::expire`] returns them.
    expired: Vec<WorkId>,
    is_closed: bool,
}

impl WaitingRoom {
    /// Creates an empty room.
    #[must_use]
    pub fn new(bounds: RoomBounds) -> Self {
        Self {
            bounds,
            lanes: BTreeMap::new(),
            entries: HashMap::new(),
            bytes: 0,
            rate: DequeueRate::default(),
            ranks: ShareLedger::default(),
            teams: ShareLedger::default(),
            expired: Vec::new(),
            is_closed: false,
        }
    }

    /// Number of requests in the room, including those that have their turn.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if there is no request in the room.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Total size of the requests in the room in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Offers a request. It is refused if it cannot be expected to have its turn in time. If the room is full, the
    /// latest request of the lowest lane is removed, of the team that exceeds its share most; this may be the offered
    /// request itself.
    pub fn offer(&mut self, mut work: WaitingWork, now: Instant) -> RoomOffer {
        if self.is_closed {
            return RoomOffer::refused(LeaveCause::Closed);
        }
        if !work.is_late {
            self.ranks.record_offered(&work.rank, now);
            self.teams.record_offered(&work.team, now);
        }
        if work.bytes > self.bounds.bytes || self.entries.contains_key(&work.id) {
            return RoomOffer::refused(LeaveCause::Full);
        }
        work.wait_until = work.wait_until.min(now + self.bounds.wait);
        self.sweep(now);
        // A rank or team that is owed a turn does not wait for those before it.
        let is_owed = self.ranks.debt(&work.rank).or(self.teams.debt(&work.team)).is_some();
        let expected = if is_owed && !work.is_late {
            Duration::ZERO
        } else {
            self.expected_wait(&work, now).unwrap_or_default()
        };
        let is_too_long = now + expected.mul_f64(CERTAIN_WAIT_FRACTION) >= work.wait_until;
        if is_too_long {
            return RoomOffer::refused(LeaveCause::WaitTooLong);
        }
        let id = work.id;
        self.rate.begin(now);
        self.bytes += work.bytes;
        self.insert(&work, now);
        self.entries.insert(id, WaitingEntry { work, offered: now, has_turn: false });
        let mut evicted = Vec::new();
        while self.entries.len() > self.bounds.requests || self.bytes > self.bounds.bytes {
            let Some(excess) = self.lanes.values_mut().rev().find_map(FairQueue::pop_excess) else {
                break;
            };
            self.forget(excess.id);
            evicted.push(excess.id);
        }
        let is_evicted = evicted.contains(&id);
        evicted.retain(|evicted| *evicted != id);
        RoomOffer { refusal: is_evicted.then_some(LeaveCause::Full), evicted }
    }

    /// Records a request that was placed without waiting. It counts towards the share of its rank and team.
    pub fn record_passed(&mut self, work: &WaitingWork, now: Instant) {
        if !work.is_late {
            self.ranks.record_offered(&work.rank, now);
            self.teams.record_offered(&work.team, now);
            self.record_placed(work, now);
        }
    }

    /// On-time requests per second that were offered or passed recently.
    #[must_use]
    pub fn offered_per_second(&mut self, now: Instant) -> f64 {
        self.ranks.offered_per_second(now)
    }

    /// On-time requests per second that were placed recently.
    #[must_use]
    pub fn placed_per_second(&mut self, now: Instant) -> f64 {
        self.ranks.placed_per_second(now)
    }

    /// Gives the next request its turn; `None` if all have had theirs. A rank or team that has been served too rarely
    /// goes first, then the lanes follow in their order. For each returned request, [`WaitingRoom::settle`] or [`WaitingRoom::remove`] must follow.
    pub fn next(&mut self, now: Instant) -> Option<WorkId> {
        if self.is_closed {
            return None;
        }
        self.sweep(now);
        let item =
            self.pop_owed().or_else(|| self.lanes.values_mut().find_map(|lane| lane.pop(1)))?;
        if let Some(entry) = self.entries.get_mut(&item.id) {
            entry.has_turn = true;
        }
        Some(item.id)
    }

    /// Ends the turn of a request. A request that was not placed returns to its place in the queue.
    pub fn settle(&mut self, id: WorkId, is_placed: bool, now: Instant) {
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| entry.has_turn) else { return };
        if is_placed {
            let work = entry.work.clone();
            self.rate.record_placed(now);
            if !work.is_late {
                self.record_placed(&work, now);
            }
            self.forget(id);
            return;
        }
        entry.has_turn = false;
        let item = entry.work.item();
        let lane = entry.work.lane();
        if let Some(lane) = self.lanes.get_mut(&lane) {
            lane.put_back(item, 1, now);
        }
    }

    /// Removes a request whose caller has disconnected; false if it is not in the room.
    pub fn remove(&mut self, id: WorkId) -> bool {
        let Some(entry) = self.entries.get(&id) else { return false };
        if let Some(lane) = self.lanes.get_mut(&entry.work.lane()) {
            lane.remove(id);
        }
        self.expired.retain(|expired| *expired != id);
        self.forget(id);
        true
    }

    /// Removes the requests that have waited as long as they can. Requests that have their turn are not included.
    pub fn expire(&mut self, now: Instant) -> Vec<WorkId> {
        self.sweep(now);
        let expired = std::mem::take(&mut self.expired);
        for id in &expired {
            self.forget(*id);
        }
        expired
    }

    /// Closes the room for good and removes all requests, including those that have their turn.
    pub fn close(&mut self) -> Vec<WorkId> {
        self.is_closed = true;
        self.lanes.clear();
        self.expired.clear();
        self.bytes = 0;
        self.rate.end();
        self.entries.drain().map(|(id, _)| id).collect()
    }

    /// True if a new request of the lane has to wait for those in the room.
    #[must_use]
    pub fn blocks(&self, lane: WorkLane) -> bool {
        self.entries.values().any(|entry| entry.work.lane() <= lane)
    }

    /// Expected time until the request would have its turn and be placed; `None` if it cannot be estimated yet.
    #[must_use]
    pub fn expected_wait(&mut self, work: &WaitingWork, now: Instant) -> Option<Duration> {
        let per_second = self.rate.per_second(now)?;
        let lane = work.lane();
        let before: usize = self.lanes.range(..lane).map(|(_, queue)| queue.len()).sum();
        let within =
            self.lanes.get(&lane).map_or(0, |queue| queue.count_ahead_of(&work.item(), now));
        Some(Duration::from_secs_f64((before + within) as f64 / per_second))
    }

    fn record_placed(&mut self, work: &WaitingWork, now: Instant) {
        self.ranks.record_placed(&work.rank, now);
        self.teams.record_placed(&work.team, now);
    }

    /// Removes the next on-time request of the rank, or else of the team, that is owed most.
    fn pop_owed(&mut self) -> Option<WorkItem> {
        let on_time = self.lanes.iter().filter(|(lane, queue)| !lane.is_late && !queue.is_empty());
        let owed_rank = on_time
            .clone()
            .filter_map(|(lane, _)| Some((self.ranks.debt(&lane.rank)?, *lane)))
            .max_by(|left, right| left.0.total_cmp(&right.0).then(right.1.cmp(&left.1)));
        if let Some((_, lane)) = owed_rank {
            return self.lanes.get_mut(&lane)?.pop(1);
        }
        let (_, lane, team) = on_time
            .flat_map(|(lane, queue)| queue.waiting_teams().map(move |team| (lane, team)))
            .filter_map(|(lane, team)| Some((self.teams.debt(team)?, *lane, team)))
            .max_by(|left, right| left.0.total_cmp(&right.0).then(right.1.cmp(&left.1)))?;
        let team = team.clone();
        self.lanes.get_mut(&lane)?.pop_from(&team, 1)
    }

    /// Queued requests by rank.
    #[must_use]
    pub fn ranks(&self, now: Instant) -> BTreeMap<RequestRank, RankQueue> {
        let mut ranks: BTreeMap<RequestRank, RankQueue> = BTreeMap::new();
        for entry in self.entries.values() {
            let queue = ranks.entry(entry.work.rank).or_default();
            queue.requests += 1;
            queue.late += usize::from(entry.work.is_late);
            queue.longest = queue.longest.max(now.saturating_duration_since(entry.offered));
        }
        ranks
    }

    fn insert(&mut self, work: &WaitingWork, now: Instant) {
        // The lane has room for one request more than the room, which evicts one then.
        let capacity = self.bounds.requests + 1;
        let lane = self
            .lanes
            .entry(work.lane())
            .or_insert_with(|| FairQueue::new(capacity).with_order(TeamOrder::Deadline));
        let result = lane.offer(work.item(), now);
        debug_assert_eq!(result, OfferResult::Queued, "a lane is larger than the room");
    }

    fn forget(&mut self, id: WorkId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.bytes -= entry.work.bytes;
        }
        if self.entries.is_empty() {
            self.rate.end();
        }
    }

    fn sweep(&mut self, now: Instant) {
        for lane in self.lanes.values_mut() {
            self.expired.extend(lane.remove_expired(now).into_iter().map(|item| item.id));
        }
    }
}
