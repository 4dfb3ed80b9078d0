//! Bounded queue with weighted fair shares by team.
//!
//! Teams are scheduled by stride scheduling: each dispatch advances the virtual time of its team by a stride that is
//! inversely proportional to the team's share, and the team with the lowest virtual time is served next. A team that
//! was idle starts at the current virtual time of the queue, so other teams can use an idle share, and a team does not
//! accumulate credit while it is idle.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use base::TeamId;

/// Identifies an item of work; unique within the agent.
pub type WorkId = u64;

/// Virtual time charged for one dispatch to a team of share 1.
const STRIDE: u64 = 1 << 32;
const MAX_PRIORITY: u8 = 9;
/// Number of idle teams whose served virtual time is kept; far above the number of teams in a configuration.
const MAX_IDLE_TEAMS: usize = 256;
/// Bounds on the cost of one request relative to the average, so that a single extreme request does not keep its team
/// from being served for a long time.
const COST_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Waiting time that is equivalent to one priority level, so that low priorities are delayed but not starved.
const AGING_STEP: Duration = Duration::from_secs(1);

/// Work that waits to be sent to the upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkItem {
    /// Unique id of the work within the agent.
    pub id: WorkId,
    /// Team of the caller; its share decides when the work is dispatched.
    pub team: TeamId,
    /// 0 to 9; higher priorities go first within the team.
    pub priority: u8,
    /// Work that has not started by this time is refused.
    pub deadline: Instant,
    /// True if the work may only run while no other work is in flight.
    pub isolated: bool,
}

/// Result of [`FairQueue::offer`].
#[derive(Debug, Eq, PartialEq)]
pub enum OfferResult {
    /// The item was queued.
    Queued,
    /// The item was queued, and the contained item was removed to make room for it.
    Displaced(WorkItem),
    /// The queue is full and the offered item, returned here, does not take precedence over any queued item.
    Full(WorkItem),
}

/// Shares by team; teams without an entry have share 1.
pub type TeamShares = HashMap<TeamId, u32>;

/// Virtual arrival time and sequence number, or deadline and id; the item with the smallest key is dispatched first.
type OrderKey = (Instant, u64);

#[derive(Debug, Default)]
struct TeamQueue {
    /// Virtual time up to which the team has been served.
    served: u64,
    items: BTreeMap<OrderKey, WorkItem>,
}

/// Order of the items of one team.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TeamOrder {
    /// By arrival, brought forward for higher priorities.
    #[default]
    Arrival,
    /// By deadline, then by id, regardless of priority.
    Deadline,
}

/// Bounded queue, ordered by team shares and, within a team, as its [`TeamOrder`] states.
#[derive(Debug)]
pub struct FairQueue {
    capacity: usize,
    order: TeamOrder,
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
            order: TeamOrder::default(),
            shares: TeamShares::new(),
            teams: BTreeMap::new(),
            virtual_time: 0,
            sequence: 0,
            len: 0,
        }
    }

    /// Sets the order of the items of a team.
    #[must_use]
    pub fn with_order(mut self, order: TeamOrder) -> Self {
        self.order = order;
        self
    }

    /// Replaces the shares of all teams.
    pub fn set_shares(&mut self, shares: TeamShares) {
        self.shares = shares;
    }

    /// Number of queued items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if no item is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item. If the queue is full, the item displaces the last item of the team that exceeds its share most,
    /// or a later item of its own team.
    pub fn offer(&mut self, item: WorkItem, now: Instant) -> OfferResult {
        let order = self.next_order(&item, now);
        if self.len < self.capacity {
            self.insert(item, order);
            return OfferResult::Queued;
        }
        let Some(team) = self.find_team_to_displace(&item.team, order) else {
            return OfferResult::Full(item);
        };
        let displaced = self.pop_last(&team);
        self.insert(item, order);
        displaced.map_or(OfferResult::Queued, OfferResult::Displaced)
    }

    /// Removes the next item to dispatch and charges its team for it. An isolated item is charged as `isolated_cost`
    /// dispatches, because no other work runs on the upstream meanwhile.
    pub fn pop(&mut self, isolated_cost: u32) -> Option<WorkItem> {
        let team = self.next_team()?.clone();
        self.pop_from(&team, isolated_cost)
    }

    /// Removes the next item of a team, whether or not it is the team's turn, and charges the team for it.
    pub fn pop_from(&mut self, team: &TeamId, isolated_cost: u32) -> Option<WorkItem> {
        let share = self.share(team);
        let queue = self.teams.get_mut(team)?;
        let (_, item) = queue.items.pop_first()?;
        let cost = if item.isolated { u64::from(isolated_cost.max(1)) } else { 1 };
        self.virtual_time = self.virtual_time.max(queue.served);
        queue.served = queue.served.saturating_add(STRIDE / share * cost);
        self.len -= 1;
        self.remove_idle_teams();
        Some(item)
    }

    /// Returns an item that was removed by [`FairQueue::pop`] and could not be dispatched, and refunds the charge. In
    /// the order of deadlines it has the same place as before. The queue may exceed its capacity by the number of items
    /// that are returned.
    pub fn put_back(&mut self, item: WorkItem, isolated_cost: u32, now: Instant) {
        let cost = if item.isolated { u64::from(isolated_cost.max(1)) } else { 1 };
        let refund = STRIDE / self.share(&item.team) * cost;
        if let Some(queue) = self.teams.get_mut(&item.team) {
            queue.served = queue.served.saturating_sub(refund);
        }
        let order = self.next_order(&item, now);
        self.insert(item, order);
    }

    /// Teams with queued items.
    pub fn waiting_teams(&self) -> impl Iterator<Item = &TeamId> {
        self.teams.iter().filter(|(_, queue)| !queue.items.is_empty()).map(|(team, _)| team)
    }

    /// Removes the last item of the team that exceeds its share most; `None` if the queue is empty.
    pub fn pop_excess(&mut self) -> Option<WorkItem> {
        let (team, _) = self.fullest_team()?;
        let team = team.clone();
        let item = self.pop_last(&team);
        self.remove_idle_teams();
        item
    }

    /// Corrects the charge of a dispatch after its work has ended, so that a team with long requests does not get more
    /// than its share of the upstream's time. `cost` is the service time relative to the average.
    pub fn correct_charge(&mut self, team: &TeamId, cost: f64) {
        let (min_cost, max_cost) = COST_BOUNDS;
        let stride = (STRIDE / self.share(team)) as f64;
        let correction = (stride * (cost.clamp(min_cost, max_cost) - 1.0)) as i64;
        let virtual_time = self.virtual_time;
        let queue = self.teams.entry(team.clone()).or_default();
        queue.served = queue.served.max(virtual_time).saturating_add_signed(correction);
    }

    /// Removes the items whose deadline has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<WorkItem> {
        self.remove_if(|item| item.deadline <= now)
    }

    /// Removes all items.
    pub fn remove_all(&mut self) -> Vec<WorkItem> {
        self.remove_if(|_| true)
    }

    /// Removes the item `id`; `None` if it is not queued.
    pub fn remove(&mut self, id: WorkId) -> Option<WorkItem> {
        self.remove_if(|item| item.id == id).pop()
    }

    /// Earliest deadline of a queued item; `None` if the queue is empty.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.teams.values().flat_map(|queue| queue.items.values()).map(|item| item.deadline).min()
    }

    /// Estimates the number of dispatches before `item` if it were offered at `now`: the items ahead of it in its own
    /// team, plus the dispatches that the other waiting teams get meanwhile, capped at the length of the queue.
    #[must_use]
    pub fn count_ahead_of(&self, item: &WorkItem, now: Instant) -> usize {
        let order = self.order_key(item, self.sequence + 1, now);
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
        self.order_key(item, self.sequence, now)
    }

    fn order_key(&self, item: &WorkItem, sequence: u64, now: Instant) -> OrderKey {
        match self.order {
            TeamOrder::Arrival => (virtual_arrival(item, now), sequence),
            TeamOrder::Deadline => (item.deadline, item.id),
        }
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

    /// Team with the most items per share; `None` if there are no teams.
    fn fullest_team(&self) -> Option<(&TeamId, &TeamQueue)> {
        self.teams.iter().max_by(|left, right| {
            let load = |(team, queue): &(&TeamId, &TeamQueue)| {
                (queue.items.len() as u64, self.share(team))
            };
            compare_loads(load(left), load(right))
        })
    }

    fn find_team_to_displace(&self, team: &TeamId, order: OrderKey) -> Option<TeamId> {
        let (fullest, queue) = self.fullest_team()?;
        let own = self.teams.get(team);
        let own_len = own.map_or(0, |queue| queue.items.len()) as u64 + 1;
        let fullest_load = (queue.items.len() as u64, self.share(fullest));
        if fullest != team && compare_loads((own_len, self.share(team)), fullest_load).is_lt() {
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

    fn remove_if(&mut self, mut matches: impl FnMut(&WorkItem) -> bool) -> Vec<WorkItem> {
        let mut removed = Vec::new();
        for queue in self.teams.values_mut() {
            removed
                .extend(queue.items.extract_if(.., |_, item| matches(item)).map(|(_, item)| item));
        }
        self.len -= removed.len();
        self.remove_idle_teams();
        removed
    }

    /// Removes idle teams that are not ahead of the current virtual time: a new team would start at the same point.
    /// Together with [`MAX_IDLE_TEAMS`] this bounds the memory used for teams without waiting work.
    fn remove_idle_teams(&mut self) {
        let virtual_time = self.virtual_time;
        self.teams.retain(|_, queue| !queue.items.is_empty() || queue.served > virtual_time);
        if self.teams.len() > self.capacity + MAX_IDLE_TEAMS {
            self.teams.retain(|_, queue| !queue.items.is_empty());
        }
    }
}

/// Compares the items per share of two teams without division: left / left_share with right / right_share.
fn compare_loads(left: (u64, u64), right: (u64, u64)) -> Ordering {
    (left.0 * right.1).cmp(&(right.0 * left.1))
}

fn virtual_arrival(item: &WorkItem, now: Instant) -> Instant {
    now + AGING_STEP * u32::from(MAX_PRIORITY.saturating_sub(item.priority))
}
