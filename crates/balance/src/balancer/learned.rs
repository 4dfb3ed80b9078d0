//! Placement by the learned capacity of upstreams, at services whose upstreams share their hosts with other work.
//!
//! At a plain service, requests are distributed in proportion to learned capacity: upstreams are drawn at random with
//! their capacities as weights, and the one of two that is used least relative to its capacity gets the request. At an
//! engine service, the forecast is scaled by the part of its error that is particular to the engine.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::UpstreamId;
use pace::{ProbeCandidate, ResponseSample, SpeedEstimate, SpeedShare, SpeedTable, choose_probe};
use rand::{Rng, RngExt};

use super::{
    COMPARED_UPSTREAMS, FAILURE_PENALTY, LoadBalancer, REMOTE_PENALTY, ServiceState,
    TARGET_TOLERANCE,
};
use crate::{placement::PlacementRequest, upstream::UpstreamState};

/// Predicted delay per request that runs or waits at a service without engines and without learned capacity.
const SERVICE_REQUEST_TIME: Duration = Duration::from_millis(10);
/// Maximum number of requests per slot, running or waiting, at a service without engines and without learned capacity.
const MAX_LOAD_PER_SLOT: f64 = 3.0;
/// Number of upstreams drawn by capacity that are compared. Two suffice to avoid a full one; more would concentrate the
/// requests of all entries on the upstreams whose stated load is lowest.
const DRAWN_UPSTREAMS: usize = 2;
/// Factor on the capacity of an upstream to which the last attempt to connect failed, until a request succeeds there.
const UNPROVEN_FACTOR: f64 = 0.25;
/// Smallest factor on the capacity of an upstream because of failures.
const MIN_FAILURE_FACTOR: f64 = 0.1;
/// Range of the learned factor of an engine forecast. The forecast already contains the slowdown that the agent reports
/// and is pessimistic, so that a small factor is no reason for a much shorter prediction.
const FORECAST_FACTOR_RANGE: (f64, f64) = (0.8, 3.0);

/// Prediction for a stream, by which the forecast of its engine is checked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForecastCheck {
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Predicted time to the first event without the learned factor.
    pub predicted: Duration,
}

impl LoadBalancer {
    fn speed_of(&self, state: &UpstreamState, now: Instant) -> Option<SpeedEstimate> {
        let table = self.speeds.get(&state.record.service)?;
        Some(table.estimate(&state.record.upstream, state.record.started_ms, now))
    }

    /// What was learned of an upstream; `None` if capacity is not learned at its service.
    #[must_use]
    pub fn learned_speed(&self, upstream: &str, now: Instant) -> Option<SpeedEstimate> {
        self.speed_of(self.upstreams.get(upstream)?, now)
    }

    /// Share of the requests of its service that a plain upstream gets while none is loaded more than the others; `None`
    /// if capacity is not learned at its service, or if it gets no requests.
    #[must_use]
    pub fn learned_share(&self, upstream: &str, now: Instant) -> Option<f64> {
        let state = self.upstreams.get(upstream)?;
        let service = self.services.get(&state.record.service)?;
        if service.forecast.is_some() || !self.speeds.contains_key(&state.record.service) {
            return None;
        }
        let gets_requests = |state: &&UpstreamState| {
            !state.record.draining && !self.evacuated.contains(&state.record.data_centre)
        };
        let upstreams = service.upstreams.iter().filter_map(|id| self.upstreams.get(id));
        let all: f64 =
            upstreams.filter(gets_requests).map(|state| self.capacity_of(state, now)).sum();
        gets_requests(&state).then(|| self.capacity_of(state, now) / all.max(f64::EPSILON))
    }

    pub(super) fn retain_speeds(&mut self) {
        let (services, upstreams) = (&self.services, &self.upstreams);
        self.speeds.retain(|service, _| services.contains_key(service));
        for table in self.speeds.values_mut() {
            table.retain(|upstream| upstreams.contains_key(upstream));
        }
    }

    /// Speeds of the service of an upstream that is warm and listed, created if capacity is to be learned.
    fn learning_table(
        &mut self,
        upstream: &str,
        now: Instant,
    ) -> Option<(&UpstreamState, &mut SpeedTable)> {
        let state = self.upstreams.get(upstream)?;
        if !self.options.learned_capacity || !state.cold_for(now).is_zero() {
            return None;
        }
        let service = &state.record.service;
        if !self.speeds.contains_key(service) {
            self.speeds.insert(service.clone(), SpeedTable::new());
        }
        Some((state, self.speeds.get_mut(service)?))
    }

    /// Records a response of a plain upstream, at a service whose upstreams share their hosts with other work. Responses
    /// of cold upstreams show nothing about their speed later.
    pub fn record_response(&mut self, upstream: &UpstreamId, sample: ResponseSample, now: Instant) {
        let service = self.upstreams.get(upstream).map(|state| &state.record.service);
        let service = service.and_then(|service| self.services.get(service));
        if service.is_none_or(|service| service.forecast.is_some()) {
            return;
        }
        let Some((state, table)) = self.learning_table(upstream, now) else { return };
        let slots = state.record.slots;
        table.record(upstream, state.record.started_ms, ResponseSample { slots, ..sample }, now);
    }

    /// Begins the check of the forecast for a stream that is sent with the predicted delay of its placement; `None` if
    /// capacity is not learned at the service, or if the engine is cold or about to switch weights.
    #[must_use]
    pub fn begin_forecast_check(
        &self,
        upstream: &str,
        delay: Duration,
        now: Instant,
    ) -> Option<ForecastCheck> {
        let state = self.upstreams.get(upstream)?;
        let has_forecast = self.services.get(&state.record.service)?.forecast.is_some();
        let is_steady = state.cold_for(now).is_zero()
            && state.time_to_switch(now).is_none()
            && state.report(now).is_some_and(|report| !report.switching);
        (self.options.learned_capacity && has_forecast && is_steady).then(|| ForecastCheck {
            sent_at: now,
            predicted: delay.div_f64(self.forecast_factor(state, now)),
        })
    }

    /// Records the first event of a stream, at a service whose upstreams share their hosts with other work.
    pub fn record_first_event(
        &mut self,
        upstream: &UpstreamId,
        check: ForecastCheck,
        now: Instant,
    ) {
        let elapsed = now.saturating_duration_since(check.sent_at);
        let ratio = elapsed.as_secs_f64() / check.predicted.as_secs_f64().max(f64::EPSILON);
        let Some((state, table)) = self.learning_table(upstream, now) else { return };
        let sample = ResponseSample {
            // The table compares ratios with the usual one of the service; their unit is irrelevant to it.
            elapsed: Duration::try_from_secs_f64(ratio).unwrap_or(Duration::MAX),
            occupancy: None,
            slots: state.record.slots,
            is_served: true,
        };
        table.record(upstream, state.record.started_ms, sample, now);
    }

    /// Factor on the forecast of an engine; 1 where capacity is not learned. It is relative to the other engines of the
    /// service, so that an error of the forecast that concerns all of them changes nothing.
    pub(super) fn forecast_factor(&self, state: &UpstreamState, now: Instant) -> f64 {
        let (lowest, highest) = FORECAST_FACTOR_RANGE;
        self.speed_of(state, now).map_or(1.0, |speed| speed.relative.clamp(lowest, highest))
    }

    /// What this entry has measured, for the other entries.
    pub fn speed_shares(&mut self, now: Instant) -> Vec<SpeedShare> {
        self.speeds.values_mut().flat_map(|table| table.share(now)).collect()
    }

    /// Applies what another entry has measured. Reports about upstreams that are not listed, about other processes of
    /// them and about services at which capacity is not learned are ignored.
    pub fn apply_speed_share(&mut self, peer: SocketAddr, share: &SpeedShare, now: Instant) {
        let Some(state) = self.upstreams.get(&share.upstream) else { return };
        if state.record.started_ms != share.started_ms {
            return;
        }
        if let Some(table) = self.speeds.get_mut(&state.record.service) {
            table.apply(peer, share, now);
        }
    }

    /// Requests at a plain upstream per slot: the estimate from what it stated, and the own requests since.
    fn load_per_slot(state: &UpstreamState, speed: &SpeedEstimate, now: Instant) -> f64 {
        let slots = f64::from(Self::slots(state, speed));
        let stated_at = speed.load.and_then(|load| now.checked_sub(load.age));
        let since = stated_at.map_or(0, |at| state.sent_since(at));
        (speed.load_per_slot + f64::from(since) / slots).max(f64::from(state.in_flight) / slots)
    }

    /// Number of slots that an upstream states, or with which it is registered.
    fn slots(state: &UpstreamState, speed: &SpeedEstimate) -> u32 {
        let stated = speed.load.and_then(|load| load.occupancy.slots);
        stated.unwrap_or(state.record.slots).max(1)
    }

    /// Capacity of an upstream relative to others of its service.
    fn capacity_of(&self, state: &UpstreamState, now: Instant) -> f64 {
        let Some(speed) = self.speed_of(state, now) else { return 1.0 };
        let slots = f64::from(Self::slots(state, &speed));
        let proven = if state.is_unproven() { UNPROVEN_FACTOR } else { 1.0 };
        let failures = (1.0 - state.failure_rate()).max(MIN_FAILURE_FACTOR);
        slots * speed.capacity() * proven * failures
    }

    /// Orders the upstreams of a plain service by a draw with their capacities as weights, or leaves only one that has
    /// not been used for long and can take the request. Returns the number of upstreams to compare. At other services,
    /// the upstreams are left as they are.
    pub(super) fn order_by_capacity(
        &self,
        service: &ServiceState,
        request: &PlacementRequest<'_>,
        upstreams: &mut Vec<(&UpstreamState, bool)>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> usize {
        let Some(table) = self.speeds.get(&service.record.service) else {
            return COMPARED_UPSTREAMS;
        };
        if service.forecast.is_some() {
            return COMPARED_UPSTREAMS;
        }
        let mut keyed: Vec<(f64, (&UpstreamState, bool))> = upstreams
            .drain(..)
            .map(|upstream| {
                // The exponential variable with the smallest value belongs to each upstream with a probability in
                // proportion to its rate.
                let drawn: f64 = -(1.0 - rng.random::<f64>()).ln();
                (drawn / self.capacity_of(upstream.0, now).max(f64::EPSILON), upstream)
            })
            .collect();
        keyed.sort_unstable_by(|(left, _), (right, _)| left.total_cmp(right));
        upstreams.extend(keyed.into_iter().map(|(_, upstream)| upstream));
        let probes: Vec<ProbeCandidate> = upstreams
            .iter()
            .filter(|(state, is_limited)| !is_limited && !self.is_remote(&state.record))
            .map(|(state, _)| {
                let sent = self.sent.last(&state.record.upstream);
                let sent_age = sent.map(|at| now.saturating_duration_since(at));
                let age = self.speed_of(state, now).and_then(|speed| speed.age);
                let idle = match (sent_age, age) {
                    (Some(sent), Some(response)) => Some(sent.min(response)),
                    (sent, response) => sent.or(response),
                };
                ProbeCandidate { upstream: state.record.upstream.clone(), idle }
            })
            .collect();
        let probe = choose_probe(&probes, table.time_since_choice(now), self.users(service), rng);
        let probe = probe.and_then(|id| self.upstreams.get(id)).filter(|state| {
            let occupancy = f64::from(state.in_flight);
            self.plain_delay_and_cost(request, state, occupancy, now).is_some()
        });
        if let Some(probe) = probe {
            upstreams.retain(|(state, _)| state.record.upstream == probe.record.upstream);
        }
        let has_remote = upstreams.iter().any(|(state, _)| self.is_remote(&state.record));
        DRAWN_UPSTREAMS + usize::from(has_remote)
    }

    /// Predicted delay and cost of a request at a plain upstream; `None` if it has no capacity left. `occupancy` is used
    /// where capacity is not learned.
    pub(super) fn plain_delay_and_cost(
        &self,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
        occupancy: f64,
        now: Instant,
    ) -> Option<(Duration, Duration)> {
        let speed = self.speed_of(state, now);
        let learned = speed.and_then(|speed| Some((speed, speed.work?)));
        let Some((speed, work)) = learned else {
            let slots = f64::from(state.record.slots.max(1));
            if occupancy > slots * MAX_LOAD_PER_SLOT {
                return None;
            }
            let delay = SERVICE_REQUEST_TIME.mul_f64(occupancy);
            return Some((delay, delay + self.penalties(state, occupancy)));
        };
        let own = 1.0 / f64::from(Self::slots(state, &speed));
        let load = Self::load_per_slot(state, &speed, now) + own;
        let delay = speed.delay(load)?;
        let fits_target = match request.time_to_target {
            _ if let Some(limit) = request.delay_limit => delay <= limit,
            Some(remaining) => delay <= remaining.mul_f64(TARGET_TOLERANCE),
            // Late requests only use capacity that no other request needs.
            None => load <= speed.knee,
        };
        let fits_deadline = request.time_to_deadline.is_none_or(|left| delay <= left);
        let fits = request.is_resumed || (fits_target && fits_deadline);
        if !fits {
            return None;
        }
        // The draw already accounts for speed and knee, so only more than the usual load counts here. A difference of one
        // request is no reason: it depends on how long ago the upstream last stated its load.
        let excess = (load - speed.usual_load - 2.0 * own).max(0.0);
        let usage = work.div_f64(speed.relative).mul_f64(excess);
        let waiting = delay.saturating_sub(work.mul_f64(speed.slowdown));
        let remote = if self.is_remote(&state.record) { REMOTE_PENALTY } else { Duration::ZERO };
        let failures = FAILURE_PENALTY.mul_f64(state.failure_rate());
        Some((delay, usage + waiting + remote + failures))
    }
}
