//! Bounded queue with weighted fair shares by team.
//!
//! Teams are served by virtual time: each dispatch advances the team by a stride that is inverse to its share, and the
//! team that is furthest behind goes next. A team that was idle starts at the current virtual time, so that idle shares
//! are borrowed by others and are not saved up.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use base::TeamId;

/// Number of a piece of work, unique within the agent.
pub type WorkId = u64;

/// Virtual time that a dispatch costs a team of share 1.
const STRIDE: u64 = 1 << 32;
/// Highest priority of a request.
const MAX_PRIORITY: u8 = 9;
/// Teams without waiting work whose past use is remembered; far above the number of teams in a configuration.
const MAX_IDLE_TEAMS: usize = 256;
/// Bounds of the cost of one request relative to the average, so that one extreme request does not lock a team out.
const COST_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Waiting time that outweighs one step of priority, so that low priorities are delayed and not starved.
const AGING_STEP: Duration = Duration::from_secs(1);

/// Work that waits for the upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkItem {
    /// Number of the work.
    pub id: WorkId,
    /// Team of the caller.
    pub team: TeamId,
    /// 0 to 9; higher goes first inside the team.
    pub priority: u8,
    /// Work that has not started by then is dropped.
    pub deadline: Instant,
    /// True if the work may run only while nothing else is in flight.
    pub isolated: bool,
}

/// What became of an offered item.
#[derive(Debug, Eq, PartialEq)]
pub enum Offered {
    /// It waits.
    Queued,
    /// It waits; this item was removed to make room.
    Displaced(WorkItem),
    /// The queue is full and the item has no better claim than those in it.
    Full(WorkItem),
}

/// Shares by team; teams that are absent have share 1.
pub type TeamShares = HashMap<TeamId, u32>;

/// Virtual arrival and sequence number; the smallest goes first.
type OrderKey = (Instant, u64);

#[derive(Debug, Default)]
struct TeamQueue {
    /// Virtual time up to which the team has been served.
    served: u64,
    items: BTreeMap<OrderKey, WorkItem>,
}

/// The queue of one agent.
#[derive(Debug)]
pub struct FairQueue {
    capacity: usize,
    shares: TeamShares,
    teams: BTreeMap<TeamId, TeamQueue>,
    virtual_time: u64,
    sequence: u64,
    len: usize,
}

impl FairQueue {
    /// Creates a queue for at most `capacity` items.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            shares: TeamShares::new(),
            teams: BTreeMap::new(),
            virtual_time: 0,
            sequence: 0,
            len: 0,
        }
    }

    /// Puts new shares in force.
    pub fn set_shares(&mut self, shares: TeamShares) {
        self.shares = shares;
    }

    /// Items that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item. In a full queue it displaces the last item of the team that exceeds its share most, or a later
    /// item of its own team.
    pub fn offer(&mut self, item: WorkItem, now: Instant) -> Offered {
        let order = self.next_order(&item, now);
        if self.len < self.capacity {
            self.insert(item, order);
            return Offered::Queued;
        }
        let Some(victim) = self.victim_for(&item.team, order) else {
            return Offered::Full(item);
        };
        let displaced = self.pop_last(&victim);
        self.insert(item, order);
        displaced.map_or(Offered::Queued, Offered::Displaced)
    }

    /// Removes the item that goes next and charges its team for it. An isolated item is charged `isolated_cost`
    /// dispatches, because the whole upstream is idle for it.
    pub fn pop(&mut self, isolated_cost: u32) -> Option<WorkItem> {
        let team = self.next_team()?.clone();
        let share = self.share(&team);
        let queue = self.teams.get_mut(&team)?;
        let (_, item) = queue.items.pop_first()?;
        let cost = if item.isolated { u64::from(isolated_cost.max(1)) } else { 1 };
        self.virtual_time = self.virtual_time.max(queue.served);
        queue.served = queue.served.saturating_add(STRIDE / share * cost);
        self.len -= 1;
        self.forget_idle_teams();
        Some(item)
    }

    /// Corrects the charge of a dispatch when its work has ended: `cost` is its service time relative to the average, so
    /// that a team with long requests does not get more than its share of the upstream's time.
    pub fn correct_charge(&mut self, team: &TeamId, cost: f64) {
        let (least, most) = COST_BOUNDS;
        let stride = (STRIDE / self.share(team)) as f64;
        let correction = (stride * (cost.clamp(least, most) - 1.0)) as i64;
        let virtual_time = self.virtual_time;
        let queue = self.teams.entry(team.clone()).or_default();
        queue.served = queue.served.max(virtual_time).saturating_add_signed(correction);
    }

    /// Removes the items whose deadline has come.
    pub fn take_expired(&mut self, now: Instant) -> Vec<WorkItem> {
        self.take_if(|item| item.deadline <= now)
    }

    /// Removes everything.
    pub fn take_all(&mut self) -> Vec<WorkItem> {
        self.take_if(|_| true)
    }

    /// Removes one item.
    pub fn take(&mut self, id: WorkId) -> Option<WorkItem> {
        self.take_if(|item| item.id == id).pop()
    }

    /// Earliest deadline of a waiting item.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.teams.values().flat_map(|queue| queue.items.values()).map(|item| item.deadline).min()
    }

    /// Dispatches that come before `item` if it were offered at `now`: those ahead of it in its team, each with the
    /// dispatches that the other waiting teams get meanwhile, and never more than the whole queue.
    #[must_use]
    pub fn ahead_of(&self, item: &WorkItem, now: Instant) -> usize {
        let order = (virtual_arrival(item, now), self.sequence + 1);
        let own_ahead =
            self.teams.get(&item.team).map_or(0, |queue| queue.items.range(..order).count());
        let others: u64 = self
            .teams
            .iter()
            .filter(|(team, queue)| **team != item.team && !queue.items.is_empty())
            .map(|(team, _)| self.share(team))
            .sum();
        let share = self.share(&item.team);
        let rounds = own_ahead as u64 + 1;
        let ahead = own_ahead as u64 + (rounds * others).div_ceil(share);
        usize::try_from(ahead).unwrap_or(usize::MAX).min(self.len)
    }

    fn share(&self, team: &TeamId) -> u64 {
        u64::from(self.shares.get(team).copied().unwrap_or(1).max(1))
    }

    fn next_order(&mut self, item: &WorkItem, now: Instant) -> OrderKey {
        self.sequence += 1;
        (virtual_arrival(item, now), self.sequence)
    }

    fn next_team(&self) -> Option<&TeamId> {
        self.teams
            .iter()
            .filter(|(_, queue)| !queue.items.is_empty())
            .min_by_key(|(_, queue)| queue.served)
            .map(|(team, _)| team)
    }

    fn insert(&mut self, item: WorkItem, order: OrderKey) {
        let virtual_time = self.virtual_time;
        let queue = self.teams.entry(item.team.clone()).or_default();
        if queue.items.is_empty() {
            queue.served = queue.served.max(virtual_time);
        }
        queue.items.insert(order, item);
        self.len += 1;
    }

    fn victim_for(&self, team: &TeamId, order: OrderKey) -> Option<TeamId> {
        // Compares items per share without division: left / left_share < right / right_share.
        let exceeds =
            |left: (u64, u64), right: (u64, u64)| (left.0 * right.1).cmp(&(right.0 * left.1));
        let (fullest, queue) = self.teams.iter().max_by(|left, right| {
            let load = |(team, queue): &(&TeamId, &TeamQueue)| {
                (queue.items.len() as u64, self.share(team))
            };
            exceeds(load(left), load(right))
        })?;
        let own = self.teams.get(team);
        let own_len = own.map_or(0, |queue| queue.items.len()) as u64 + 1;
        let fullest_load = (queue.items.len() as u64, self.share(fullest));
        if fullest != team && exceeds((own_len, self.share(team)), fullest_load).is_lt() {
            return Some(fullest.clone());
        }
        let (last, _) = own?.items.last_key_value()?;
        (order < *last).then(|| team.clone())
    }

    fn pop_last(&mut self, team: &TeamId) -> Option<WorkItem> {
        let (_, item) = self.teams.get_mut(team)?.items.pop_last()?;
        self.len -= 1;
        Some(item)
    }

    fn take_if(&mut self, mut wanted: impl FnMut(&WorkItem) -> bool) -> Vec<WorkItem> {
        let mut taken = Vec::new();
        for queue in self.teams.values_mut() {
            taken.extend(queue.items.extract_if(.., |_, item| wanted(item)).map(|(_, item)| item));
        }
        self.len -= taken.len();
        self.forget_idle_teams();
        taken
    }

    /// Drops the state of teams that a newcomer would not differ from, so that memory follows the teams that wait.
    fn forget_idle_teams(&mut self) {
        let virtual_time = self.virtual_time;
        self.teams.retain(|_, queue| !queue.items.is_empty() || queue.served > virtual_time);
        if self.teams.len() > self.capacity + MAX_IDLE_TEAMS {
            self.teams.retain(|_, queue| !queue.items.is_empty());
        }
    }
}

fn virtual_arrival(item: &WorkItem, now: Instant) -> Instant {
    now + AGING_STEP * u32::from(MAX_PRIORITY.saturating_sub(item.priority))
}
