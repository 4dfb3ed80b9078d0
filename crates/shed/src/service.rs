//! State of load shedding for one service.

use std::time::{Duration, Instant};

use base::{ServiceId, TeamId};

use crate::{
    ContentionTable, LoadForecast, RequestRank, ShedCause, ShedLimit, ShedOutcome, ShedRecord,
    ShedRequest,
    count::{AdmissionCredit, DecayingCount},
    level::LoadLevel,
    share::TeamTable,
    status::{RankUsage, ServiceUsage, TeamUsage},
};

/// Factor on a target within which the first event must be predicted. It equals the tolerance of the load balancer, so
/// that the most urgent rank is admitted as at services without load shedding.
const TARGET_TOLERANCE: f64 = 1.3;
/// Factor on its bound that the least urgent rank has even while nothing is shed. It protects the urgent ranks until
/// the level has risen. With a target of 400 ms it gives 416 ms, more than twice the prediction at an idle engine (150 to 180 ms),
/// so that engines with room are used.
const LEAST_URGENT_FACTOR: f64 = 0.8;
/// Factor on the bound of the most urgent rank that late requests have. It is below that of every rank.
const LATE_FACTOR: f64 = 0.5;
/// Factor on the limit of a request of a position that is shed completely. With a target of 400 ms it gives less than
/// the prediction at an idle engine.
const SHED_FACTOR: f64 = 0.25;
/// Served share of each rank and team, relative to that of all requests, below which their requests are admitted up to
/// their own target. The required floor is 0.25; the margin covers requests that are refused even so.
const FLOOR_SHARE: f64 = 0.4;
/// Served share of all requests above which none can starve, apart from single refusals.
const FULL_SERVICE: f64 = 0.95;
/// Difference of the served shares of two successive ranks below which teams beyond their share are not shed together
/// with the next rank. It covers chance at an entry, which sees few requests of each rank.
const ORDER_MARGIN: f64 = 0.1;
/// Decayed count below which a cause is not shown to operators: a single refusal of 12 s ago.
const MIN_SHOWN_COUNT: f64 = 0.05;
/// Time constant of the served shares, which the requirement measures over 8 s.
const FLOOR_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Requests of a rank, and how many of them were placed.
#[derive(Clone, Debug)]
struct RankState {
    rank: RequestRank,
    /// Shortest target of this rank and the more urgent ones.
    bound: Duration,
    floor: AdmissionCredit,
    /// Use of the rank by teams. A share is a share of what the rank gets: a team with urgent requests is not beyond its
    /// share because less urgent requests of other teams are shed.
    teams: TeamTable,
    requests: DecayingCount,
    placed: DecayingCount,
    /// Refused requests by cause, in the order of [`ShedCause::ALL`].
    refused: [DecayingCount; ShedCause::ALL.len()],
}

/// Load shedding at one service. Ranks have places, 0 for the most urgent. The position of a request in the order of
/// shedding is its place, plus one if its team is beyond its share.
#[derive(Clone, Debug)]
pub(crate) struct ServiceState {
    ranks: Vec<RankState>,
    level: LoadLevel,
    /// Credit of each position.
    credits: Vec<AdmissionCredit>,
    /// Service of teams over all ranks.
    teams: TeamTable,
    requests: DecayingCount,
    placed: DecayingCount,
    forecast_at: Option<Instant>,
}

/// How a request is treated at the moment.
struct ShedDecision {
    limit: ShedLimit,
    position: usize,
    shed_share: f64,
}

impl ServiceState {
    /// Creates the state of a contended service; `None` if no route leads to it.
    pub(crate) fn new(
        contention: &ContentionTable,
        service: &ServiceId,
        seed: u64,
        now: Instant,
    ) -> Option<Self> {
        let targets = contention.ranks(service)?;
        let count = DecayingCount::new(FLOOR_TIME_CONSTANT, now);
        let mut bound = Duration::MAX;
        let mut ranks: Vec<RankState> = targets
            .iter()
            .map(|(rank, target)| {
                bound = bound.min(*target);
                let floor = AdmissionCredit::new(0.0, now);
                let refused = [count; ShedCause::ALL.len()];
                let teams = TeamTable::new(seed);
                RankState {
                    rank: *rank,
                    bound,
                    floor,
                    teams,
                    requests: count,
                    placed: count,
                    refused,
                }
            })
            .collect();
        if !contention.is_ranked(service) {
            ranks.truncate(1);
        }
        let positions = ranks.len();
        Some(Self {
            ranks,
            level: LoadLevel::new(positions, now),
            credits: vec![AdmissionCredit::new(1.0, now); positions + 1],
            teams: TeamTable::new(seed),
            requests: count,
            placed: count,
            forecast_at: None,
        })
    }

    /// True if ranks and targets are the same, so that the state can be kept after a change of the configuration.
    pub(crate) fn has_same_ranks(&self, other: &Self) -> bool {
        let key = |state: &RankState| (state.rank, state.bound);
        self.ranks.iter().map(key).eq(other.ranks.iter().map(key))
    }

    fn place_of(&self, rank: RequestRank) -> usize {
        let more_urgent = self.ranks.iter().filter(|state| state.rank < rank).count();
        more_urgent.min(self.ranks.len() - 1)
    }

    /// True if requests are shed or refused, so that a rank or a team may starve.
    fn is_short(&self, now: Instant) -> bool {
        self.level.value() > 0.0 || self.served_share(now) < FULL_SERVICE
    }

    /// Share of the recent requests that were placed; 1 without requests.
    fn served_share(&self, now: Instant) -> f64 {
        ((self.placed.value(now) + 1.0) / (self.requests.value(now) + 1.0)).min(1.0)
    }

    /// True if a rank is served hardly better than the next one, which has recent requests. Shedding large teams of the
    /// rank together with the next rank would then invert the order of the two.
    fn is_served_like_next(&self, place: usize, now: Instant) -> bool {
        let Some(next) = self.ranks.get(place + 1) else { return false };
        let served =
            |rank: &RankState| (rank.placed.value(now) + 1.0) / (rank.requests.value(now) + 1.0);
        next.requests.value(now) >= 1.0 && served(&self.ranks[place]) < served(next) + ORDER_MARGIN
    }

    /// Share of an admission that each request earns for its rank and team, so that neither starves.
    fn floor_share(&self, now: Instant) -> f64 {
        FLOOR_SHARE * self.served_share(now)
    }

    fn late_limit(&self, request: &ShedRequest, place: usize, now: Instant) -> ShedLimit {
        let top = self.ranks[0].bound.min(request.target).mul_f64(TARGET_TOLERANCE);
        let is_starved = self.ranks[place].floor.is_full(now)
            || self.teams.is_starved(request.team.as_ref(), now);
        let factor = if is_starved {
            LEAST_URGENT_FACTOR
        } else {
            // Shed with the next rank, so that an urgent request is not refused for a patient one because it is late.
            LATE_FACTOR * (1.0 - self.level.shed_share(place + 1))
        };
        let cause = if is_starved { ShedCause::Floor } else { ShedCause::Late };
        ShedLimit { delay: top.mul_f64(factor), cause }
    }

    fn decide(&self, request: &ShedRequest, now: Instant) -> ShedDecision {
        let place = self.place_of(request.rank);
        let is_beyond = self.ranks[place].teams.is_beyond_share(request.team.as_ref(), now)
            && !self.is_served_like_next(place, now);
        let position = place + usize::from(is_beyond);
        let shed_share = self.level.shed_share(position);
        let decision = |limit| ShedDecision { limit, position, shed_share };
        let Some(left) = request.time_to_target else {
            return decision(self.late_limit(request, place, now));
        };
        let own = left.mul_f64(TARGET_TOLERANCE);
        let floor_share = self.floor_share(now);
        if self.is_short(now)
            && (self.ranks[place].floor.admits(floor_share, now)
                || self.teams.admits(request.team.as_ref(), floor_share, now))
        {
            return decision(ShedLimit { delay: own, cause: ShedCause::Floor });
        }
        let steps = (self.ranks.len() - 1).max(1) as f64;
        let rank_factor = 1.0 - (1.0 - LEAST_URGENT_FACTOR) * (place as f64 / steps);
        let is_shed = shed_share > 0.0 && !self.credits[position].admits(1.0 - shed_share, now);
        let shed_factor = if is_shed { 1.0 - (1.0 - SHED_FACTOR) * shed_share } else { 1.0 };
        let bound = self.ranks[place].bound.min(request.target).mul_f64(TARGET_TOLERANCE);
        let delay = bound.mul_f64(rank_factor * shed_factor).min(own);
        let cause = match (is_shed, is_beyond) {
            (true, true) => ShedCause::Share,
            (true, false) => ShedCause::Rank,
            (false, _) => ShedCause::Target,
        };
        decision(ShedLimit { delay, cause })
    }

    pub(crate) fn limit(&self, request: &ShedRequest, now: Instant) -> ShedLimit {
        self.decide(request, now).limit
    }

    pub(crate) fn record(
        &mut self,
        request: &ShedRequest,
        outcome: ShedOutcome,
        now: Instant,
    ) -> ShedRecord {
        let decision = self.decide(request, now);
        self.record_use(request, &decision, outcome, now);
        if request.time_to_target.is_some() {
            self.record_pressure(request, &decision, outcome, now);
        }
        ShedRecord {
            limit: decision.limit,
            is_team_listed: self.teams.is_listed(request.team.as_ref()),
        }
    }

    /// Records whether the request was served, for the floors and the shares of teams.
    fn record_use(
        &mut self,
        request: &ShedRequest,
        decision: &ShedDecision,
        outcome: ShedOutcome,
        now: Instant,
    ) {
        let place = self.place_of(request.rank);
        let floor_share = self.floor_share(now);
        let is_placed = matches!(outcome, ShedOutcome::Placed(_));
        let is_on_time = request.time_to_target.is_some();
        self.requests.add(1.0, now);
        let rank = &mut self.ranks[place];
        rank.requests.add(1.0, now);
        rank.floor.record(floor_share, is_placed, now);
        rank.teams.record(request.team.as_ref(), is_on_time, is_placed, floor_share, now);
        if is_placed {
            self.placed.add(1.0, now);
            rank.placed.add(1.0, now);
        }
        if outcome == ShedOutcome::Refused {
            rank.refused[decision.limit.cause as usize].add(1.0, now);
        }
        self.teams.record(request.team.as_ref(), is_on_time, is_placed, floor_share, now);
        if is_on_time {
            let share = 1.0 - decision.shed_share;
            self.credits[decision.position].record(share, is_placed, now);
        }
    }

    /// Records what the outcome of a request on time says about the load.
    fn record_pressure(
        &mut self,
        request: &ShedRequest,
        decision: &ShedDecision,
        outcome: ShedOutcome,
        now: Instant,
    ) {
        let bound = self.ranks[self.place_of(request.rank)].bound.min(request.target);
        let pressure = match outcome {
            ShedOutcome::Placed(predicted) => {
                Some(predicted.as_secs_f64() / bound.as_secs_f64().max(0.001))
            }
            ShedOutcome::Refused if decision.limit.cause == ShedCause::Target => None,
            ShedOutcome::Refused | ShedOutcome::Unavailable => return,
        };
        self.level.record_request(decision.position, pressure, now);
    }

    /// True if requests on time are shed.
    pub(crate) fn is_shedding(&self) -> bool {
        self.level.value() > 0.0
    }

    /// Limit of the most urgent rank.
    pub(crate) fn top_limit(&self) -> Duration {
        self.ranks[0].bound.mul_f64(TARGET_TOLERANCE)
    }

    pub(crate) fn forecast_at(&self) -> Option<Instant> {
        self.forecast_at
    }

    pub(crate) fn record_forecast(&mut self, forecast: Option<LoadForecast>, now: Instant) {
        self.forecast_at = Some(now);
        if let Some(forecast) = forecast {
            self.level.record_forecast(forecast, self.ranks[0].bound, now);
        }
    }

    pub(crate) fn usage(&self, service: &ServiceId, now: Instant) -> ServiceUsage {
        let team = |(team, offered, placed): (Option<TeamId>, f64, f64)| {
            let is_beyond_share =
                self.ranks.iter().any(|rank| rank.teams.is_beyond_share(team.as_ref(), now));
            TeamUsage { team: team.unwrap_or_default(), offered, placed, is_beyond_share }
        };
        ServiceUsage {
            service: service.clone(),
            level: self.level.value(),
            levels: self.ranks.len(),
            ranks: self
                .ranks
                .iter()
                .map(|state| RankUsage {
                    rank: state.rank,
                    fair_use: state.teams.fair_use(),
                    requests: state.requests.value(now),
                    placed: state.placed.value(now),
                    refused: ShedCause::ALL
                        .into_iter()
                        .zip(state.refused.map(|count| count.value(now)))
                        .filter(|(_, count)| *count >= MIN_SHOWN_COUNT)
                        .collect(),
                })
                .collect(),
            teams: self.teams.usage(now).into_iter().map(team).collect(),
        }
    }
}
