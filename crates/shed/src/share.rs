//! Fair shares of the teams of a service.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::{TeamId, rendezvous_weight};

use crate::count::{AdmissionCredit, DecayingCount};

/// Time constant of demand and use: a share that is not used is lent, and is returned within a second.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Use of a team that never counts as beyond its share, as a factor on the share and in requests. Each entry sees few
/// requests of each team, so the counts vary by chance. With 1.0 requests, a team that sent half of all requests was
/// still served as often as the others.
const SHARE_SLACK: (f64, f64) = (1.2, 0.2);
/// Time without requests after which a team is forgotten. The shares are measured over 8 s.
const FORGET_AFTER: Duration = Duration::from_secs(16);
/// Maximum number of teams that are tracked for a service; others are neither limited nor lifted as a team. Fleets have
/// about 24 teams.
const MAX_TEAMS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct TeamUse {
    /// Requests on time, and requests that were placed.
    offered: DecayingCount,
    placed: DecayingCount,
    floor: AdmissionCredit,
    last_request: Instant,
}

/// Recent use of a service by its teams.
#[derive(Clone, Debug)]
pub(crate) struct TeamTable {
    teams: HashMap<Option<TeamId>, TeamUse>,
    /// Use up to which no team is beyond its share; `None` until there is a request.
    fair_use: Option<f64>,
    seed: u64,
}

impl TeamTable {
    pub(crate) fn new(seed: u64) -> Self {
        Self { teams: HashMap::new(), fair_use: None, seed }
    }

    /// Start value of the credit of a team. It differs between entries, which together admit the share of a team even
    /// if each sees only one of its requests.
    fn first_credit(&self, team: Option<&TeamId>) -> f64 {
        let name = team.map_or("", TeamId::as_str);
        let weight = rendezvous_weight(&self.seed.to_le_bytes(), name);
        weight as f64 / u64::MAX as f64
    }

    /// True if the team uses more than its share (max-min, equal weights).
    pub(crate) fn is_beyond_share(&self, team: Option<&TeamId>, now: Instant) -> bool {
        let Some(fair_use) = self.fair_use else { return false };
        let team = self.find(team);
        team.is_some_and(|team| team.placed.value(now) > fair_use * SHARE_SLACK.0 + SHARE_SLACK.1)
    }

    /// True if a request of the team is admitted because the team has been served too rarely. `share` is what a request
    /// earns.
    pub(crate) fn admits(&self, team: Option<&TeamId>, share: f64, now: Instant) -> bool {
        match self.find(team) {
            Some(team) => team.floor.admits(share, now),
            None if self.teams.len() >= MAX_TEAMS => false,
            None => AdmissionCredit::new(self.first_credit(team), now).admits(share, now),
        }
    }

    /// True if requests of the team were admitted because it has been served too rarely, and were still not placed.
    pub(crate) fn is_starved(&self, team: Option<&TeamId>, now: Instant) -> bool {
        self.find(team).is_some_and(|team| team.floor.is_full(now))
    }

    /// True if the team is tracked.
    pub(crate) fn is_listed(&self, team: Option<&TeamId>) -> bool {
        self.find(team).is_some()
    }

    /// Use up to which no team is beyond its share; `None` if all demand is met.
    pub(crate) fn fair_use(&self) -> Option<f64> {
        self.fair_use.filter(|fair_use| fair_use.is_finite())
    }

    fn find(&self, team: Option<&TeamId>) -> Option<&TeamUse> {
        // The key type of the table owns its text, so a lookup needs a clone; a short id is copied without allocation.
        self.teams.get(&team.cloned())
    }

    /// Records a request that earns `share` of an admission.
    pub(crate) fn record(
        &mut self,
        team: Option<&TeamId>,
        is_on_time: bool,
        is_placed: bool,
        share: f64,
        now: Instant,
    ) {
        if !self.teams.contains_key(&team.cloned()) {
            if self.teams.len() >= MAX_TEAMS {
                self.teams.retain(|_, team| {
                    now.saturating_duration_since(team.last_request) <= FORGET_AFTER
                });
            }
            if self.teams.len() >= MAX_TEAMS {
                return;
            }
            let count = DecayingCount::new(SHARE_TIME_CONSTANT, now);
            let floor = AdmissionCredit::new(self.first_credit(team), now);
            let team_use = TeamUse { offered: count, placed: count, floor, last_request: now };
            self.teams.insert(team.cloned(), team_use);
        }
        if let Some(team) = self.teams.get_mut(&team.cloned()) {
            team.last_request = now;
            team.floor.record(share, is_placed, now);
            if is_on_time {
                team.offered.add(1.0, now);
            }
            if is_placed {
                team.placed.add(1.0, now);
            }
        }
        self.update_fair_use(now);
    }

    /// Computes the use up to which no team is beyond its share: teams that want less get all, and the others divide
    /// the rest equally.
    fn update_fair_use(&mut self, now: Instant) {
        let mut capacity: f64 = self.teams.values().map(|team| team.placed.value(now)).sum();
        let mut offered: Vec<f64> =
            self.teams.values().map(|team| team.offered.value(now)).collect();
        offered.sort_unstable_by(f64::total_cmp);
        let mut left = offered.len();
        let mut fair_use = f64::INFINITY;
        for demand in offered {
            let equal = capacity / left as f64;
            if demand > equal {
                fair_use = equal;
                break;
            }
            capacity -= demand;
            left -= 1;
        }
        self.fair_use = Some(fair_use);
    }

    /// Name, demand and use of the teams with recent requests, in requests within about a second.
    pub(crate) fn usage(&self, now: Instant) -> Vec<(Option<TeamId>, f64, f64)> {
        let mut usage: Vec<_> = self
            .teams
            .iter()
            .filter(|(_, team)| now.saturating_duration_since(team.last_request) <= FORGET_AFTER)
            .map(|(id, team)| (id.clone(), team.offered.value(now), team.placed.value(now)))
            .collect();
        usage.sort_by(|left, right| left.0.cmp(&right.0));
        usage
    }
}
