//! Chooses an upstream for a request, or refuses the request if no upstream can serve it.

mod capacity;
mod learned;
mod subset_choice;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{DataCentreId, HostId, RegionId, ServiceId, UpstreamId};
use fleet::{FleetView, ServiceRecord, UpstreamRecord};
use pace::SpeedTable;
use rand::{Rng, RngExt, seq::SliceRandom};

use self::subset_choice::subset_of;
pub use self::{capacity::ServiceCapacity, learned::ForecastCheck};
use crate::{
    availability::{AvailabilityTable, FORGET_TIMEOUT},
    forecast::{EngineForecast, EngineLoad},
    placement::{Placement, PlacementRequest, UpstreamLoad},
    rate_limit::{LIMIT_WINDOW, LimitChange, LimitStatement, LimitUsage, RateLimiter},
    refusal::{PlacementRefusal, RefusalCause},
    send_log::SendLog,
    share::{ColdLimiter, MIN_ENTRIES, SharedLimits},
    subset::EngineSubset,
    upstream::{AgentReport, AttemptOutcome, UpstreamState, VerifiedLoad},
};

/// Number of randomly chosen upstreams that are compared for a request. Comparing all of them would make every entry
/// with the same load reports send to the same least loaded upstream.
const COMPARED_UPSTREAMS: usize = 4;
/// Maximum number of upstreams of other regions among them while this region has capacity, because bandwidth between
/// regions is scarce.
const COMPARED_REMOTE_UPSTREAMS: usize = 1;
/// Cost of sending to another region: a few milliseconds of latency plus the use of scarce bandwidth.
const REMOTE_PENALTY: Duration = Duration::from_millis(15);
/// Cost of an upstream whose failure rate is 1; scaled by the failure rate.
const FAILURE_PENALTY: Duration = Duration::from_millis(250);
/// Cost of each request at an upstream, even while slots are free: a request holds its slot for about a second.
const OCCUPANCY_PENALTY: Duration = Duration::from_millis(6);
/// Factor on the time left to the target within which the first event must be predicted. It is above 1 because the
/// prediction is pessimistic (it includes requests that other entries are expected to send), and because a refused
/// request counts for only a fraction of one that is served in time, even if its retry succeeds.
const TARGET_TOLERANCE: f64 = 1.3;
/// Fraction of the entries assumed to send to the same upstream before its next report. Not all of them do: each
/// compares only a few random upstreams, and agents report twice as often to the entries of their own region.
pub(crate) const CONCURRENT_ENTRY_FRACTION: f64 = 0.5;
/// Number of slots that must stay free after a request that has already missed its target is placed. A late response
/// counts for only a fraction of a timely one, so such requests use only spare capacity.
const LATE_RESERVED_SLOTS: f64 = 1.0;
/// Factor on the predicted time to the first event by which a request is expected to begin, if it must begin before its
/// upstream loads other weights, or before the weights of its upstream are outdated. The queue of a busy engine can take
/// longer than predicted.
const BEGIN_TIME_FACTOR: f64 = 1.5;
/// Minimum time between the expected begin of a request and the time at which the weights of its upstream are outdated.
const BEGIN_MARGIN: Duration = Duration::from_millis(250);
/// Minimum time between the expected begin of a request and the time at which its upstream accepts no more requests because
/// it loads other weights. It covers the way of the report and of the request.
const LOAD_MARGIN: Duration = Duration::from_millis(100);
/// Time before the weights of an upstream are outdated at which a request that has not begun there is cancelled, in
/// addition to the time to its first event at an idle engine. It covers the way to the upstream, and a process that is
/// not scheduled for most of a scheduling period of 100 ms.
const CANCEL_MARGIN: Duration = Duration::from_millis(150);

/// Settings of the load balancer that are not part of the fleet view.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancerOptions {
    /// Region of each data centre. Upstreams of a data centre without a region count as remote.
    pub regions: HashMap<DataCentreId, RegionId>,
    /// This entry's region.
    pub region: RegionId,
    /// Name of this entry, which determines the engines that it uses in other regions.
    pub entry: HostId,
    /// Limits that apply to all entries together.
    pub shares: SharedLimits,
    /// True to place requests by the learned capacity of upstreams, at services whose upstreams share their hosts.
    pub learned_capacity: bool,
}

#[derive(Debug)]
pub(crate) struct ServiceState {
    record: Arc<ServiceRecord>,
    pub(crate) forecast: Option<EngineForecast>,
    upstreams: Vec<UpstreamId>,
    /// Upstreams that this entry uses unless none of them can take a request.
    pub(crate) subset: EngineSubset,
}

/// Load and health of all upstreams, as one entry knows them.
#[derive(Debug)]
pub struct LoadBalancer {
    options: LoadBalancerOptions,
    /// Entries known to be alive.
    entries: usize,
    /// Those of them that are in this entry's region.
    local_entries: usize,
    /// Entries that may be alive, including those that this entry cannot reach.
    possible_entries: usize,
    cold: ColdLimiter,
    /// Limits that upstreams have stated.
    rate_limits: RateLimiter,
    /// What upstreams have stated about when they take requests from this entry.
    availability: AvailabilityTable,
    sent: SendLog,
    pub(crate) services: HashMap<ServiceId, ServiceState>,
    pub(crate) upstreams: HashMap<UpstreamId, UpstreamState>,
    /// Learned speeds of the upstreams of each service whose upstreams share their hosts.
    speeds: HashMap<ServiceId, SpeedTable>,
    evacuated: HashSet<DataCentreId>,
    by_address: HashMap<SocketAddr, UpstreamId>,
    /// Last load that an agent has verified, by the address of its engine, and the time of the last report. The agents of
    /// engines that are not listed count as well, because a registration may expire and return.
    verified: HashMap<SocketAddr, (VerifiedLoad, Instant)>,
    /// Addresses on which live entries serve callers.
    entry_addresses: HashSet<SocketAddr>,
}

impl LoadBalancer {
    /// Creates a load balancer without upstreams; [`LoadBalancer::set_view`] adds them.
    #[must_use]
    pub fn new(options: LoadBalancerOptions) -> Self {
        Self {
            cold: ColdLimiter::new(options.shares),
            rate_limits: RateLimiter::new(),
            availability: AvailabilityTable::default(),
            sent: SendLog::new(LIMIT_WINDOW),
            options,
            entries: 1,
            local_entries: 0,
            possible_entries: MIN_ENTRIES,
            services: HashMap::new(),
            upstreams: HashMap::new(),
            speeds: HashMap::new(),
            evacuated: HashSet::new(),
            by_address: HashMap::new(),
            verified: HashMap::new(),
            entry_addresses: HashSet::new(),
        }
    }

    /// Applies a new view of the fleet. Load and health of upstreams that are still listed are kept.
    pub fn set_view(&mut self, view: &FleetView, now: Instant) {
        self.evacuated.clone_from(&view.evacuated);
        self.services = view
            .services()
            .map(|record| {
                let forecast = record.engine.as_ref().map(EngineForecast::new);
                let state = ServiceState {
                    record: record.clone(),
                    forecast,
                    upstreams: Vec::new(),
                    subset: EngineSubset::default(),
                };
                (record.service.clone(), state)
            })
            .collect();
        self.by_address.clear();
        for (record, changed) in view.upstreams() {
            let state = self
                .upstreams
                .entry(record.upstream.clone())
                .or_insert_with(|| UpstreamState::new(record.clone()));
            let known = self.verified.get(&record.address).map(|(load, _)| *load);
            if known.is_some_and(|load| state.is_given_up(load, record)) {
                self.verified.remove(&record.address);
            }
            state.set_record(record.clone());
            state.verified = self.verified.get(&record.address).map(|(load, _)| *load);
            let was_cold = !state.cold_for(now).is_zero();
            state.set_cold(record.cold_for, *changed, now);
            if !was_cold && !state.cold_for(now).is_zero() {
                self.cold.begin_period(&record.upstream);
            }
            self.by_address.insert(record.address, record.upstream.clone());
            if let Some(service) = self.services.get_mut(&record.service) {
                service.upstreams.push(record.upstream.clone());
            }
        }
        self.upstreams.retain(|upstream, _| view.upstream(upstream).is_some());
        let by_address = &self.by_address;
        self.verified.retain(|address, (_, reported)| {
            by_address.contains_key(address)
                || now.saturating_duration_since(*reported) < FORGET_TIMEOUT
        });
        for service in self.services.values_mut() {
            service.upstreams.sort_unstable();
            service.subset = subset_of(service, &self.upstreams, &self.evacuated, &self.options);
        }
        self.retain_speeds();
        let upstreams = &self.upstreams;
        self.cold.retain(|upstream| upstreams.contains_key(upstream));
        self.sent.retain(now, |upstream| upstreams.contains_key(upstream));
        let started_ms = |id: &UpstreamId| upstreams.get(id).map(|state| state.record.started_ms);
        self.rate_limits.retain(now, started_ms);
        self.availability.retain(now, started_ms);
    }

    /// Sets the number of entries known to be alive, which are expected to send to the same upstreams.
    pub fn set_live_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Sets the number of live entries in this entry's region, which use all of its engines.
    pub fn set_local_entries(&mut self, entries: usize) {
        self.local_entries = entries;
    }

    /// Sets the addresses on which live entries serve callers, which are those of no upstream.
    pub fn set_entry_addresses(&mut self, addresses: HashSet<SocketAddr>) {
        self.entry_addresses = addresses;
    }

    /// True if this entry uses the upstream while any upstream that it uses can take a request.
    #[must_use]
    pub fn is_in_subset(&self, record: &UpstreamRecord) -> bool {
        self.services
            .get(&record.service)
            .is_some_and(|service| service.subset.upstreams.binary_search(&record.upstream).is_ok())
    }

    /// Expected number of entries that use the same upstream of a service.
    pub(crate) fn users(&self, service: &ServiceState) -> f64 {
        let local = self.local_entries.min(self.entries);
        local as f64 + (self.entries - local) as f64 * service.subset.remote_fraction
    }

    /// Sets the number of entries that may be alive, among which connection limits and the limits of cold upstreams are
    /// divided.
    pub fn set_possible_entries(&mut self, entries: usize) {
        self.possible_entries = entries.max(MIN_ENTRIES);
        self.cold.set_entries(entries);
        self.rate_limits.set_entries(entries);
    }

    /// Records a report of the agent of the upstream at `address`.
    pub fn record_report(
        &mut self,
        address: SocketAddr,
        report: AgentReport,
        now: Instant,
        rng: &mut impl Rng,
    ) {
        let state = self.by_address.get(&address).and_then(|id| self.upstreams.get(id));
        if state.is_some_and(|state| state.is_delayed(&report)) {
            return;
        }
        let known = self.verified.remove(&address).map(|(load, _)| load);
        let verified = VerifiedLoad::after_report(known, &report);
        if let Some(load) = verified {
            self.verified.insert(address, (load, now));
        }
        let state = self.by_address.get(&address).and_then(|id| self.upstreams.get_mut(id));
        if let Some(state) = state {
            state.record_report(report, verified, rng.random(), now);
        }
    }

    /// True if there is a current report of the agent of the upstream at `address`.
    #[must_use]
    pub fn has_report(&self, address: SocketAddr, now: Instant) -> bool {
        let state = self.by_address.get(&address).and_then(|id| self.upstreams.get(id));
        state.is_some_and(|state| state.report(now).is_some())
    }

    /// Forgets what the agents have stated, because this process was paused meanwhile.
    pub fn forget_reports(&mut self) {
        self.verified.clear();
        self.upstreams.values_mut().for_each(UpstreamState::forget_report);
    }

    /// Last load of the upstream at `address` that an agent has verified; `None` if there is none, or if an agent has
    /// contradicted it since.
    #[must_use]
    pub fn verified_load(&self, address: SocketAddr) -> Option<VerifiedLoad> {
        self.verified.get(&address).map(|(load, _)| *load)
    }

    /// Load of an upstream at `now`; the default if the upstream is unknown.
    #[must_use]
    pub fn load_of(&self, upstream: &str, now: Instant) -> UpstreamLoad {
        let Some(state) = self.upstreams.get(upstream) else { return UpstreamLoad::default() };
        let remaining = |until: Option<Instant>| {
            until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
        };
        UpstreamLoad {
            report: state.report(now),
            version: state.version(now),
            in_flight: state.in_flight,
            cold_for: state.cold_for(now),
            ejected: !remaining(state.ejected_until).is_zero(),
            rate_limit: self.rate_limits.limit_of(upstream),
            recent_sends: self.sent.count(upstream, LIMIT_WINDOW, now) as u32,
            leaving: self.availability.is_leaving(upstream, state.record.started_ms),
            wait_time: self.availability.wait_time(upstream, state.record.started_ms, now),
        }
    }

    /// Number of idle connections that this entry may keep to an upstream, within its share of the upstream's limit and
    /// beside the connections of its requests in flight.
    #[must_use]
    pub fn allowed_idle_connections(&self, upstream: &str) -> usize {
        let Some(state) = self.upstreams.get(upstream) else { return 0 };
        let Some(service) = self.services.get(&state.record.service) else { return 0 };
        self.connection_share(&service.record).saturating_sub(state.in_flight) as usize
    }

    /// This entry's share of the connections to an upstream; at least 1.
    fn connection_share(&self, service: &ServiceRecord) -> u32 {
        (service.max_connections / self.possible_entries as u32).max(1)
    }

    /// Marks an upstream as cold until `now + span`.
    pub fn record_cold(&mut self, upstream: &str, span: Duration, now: Instant) {
        let Some(state) = self.upstreams.get_mut(upstream) else { return };
        if state.cold_for(now).is_zero() {
            self.cold.begin_period(&state.record.upstream);
        }
        state.record_cold(span, now);
    }

    /// Records what the response to a request that was sent at `sent_at` states about the limit of its upstream. Returns
    /// the change, if there is one.
    pub fn record_limit(
        &mut self,
        upstream: &UpstreamId,
        statement: LimitStatement,
        sent_at: Instant,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<LimitChange> {
        let started_ms = self.upstreams.get(upstream)?.record.started_ms;
        self.rate_limits.record_statement(upstream, started_ms, statement, sent_at, now, rng)
    }

    /// Records a response that states that its upstream is leaving, after which no request is sent there. Returns true if
    /// that was not known.
    pub fn record_leaving(&mut self, upstream: &UpstreamId, now: Instant) -> bool {
        let Some(state) = self.upstreams.get(upstream) else { return false };
        self.availability.record_leaving(upstream, state.record.started_ms, now)
    }

    /// Records a response by which its upstream asks this entry to send no requests for `retry_after`.
    pub fn record_retry_after(
        &mut self,
        upstream: &UpstreamId,
        retry_after: Duration,
        now: Instant,
    ) {
        let Some(state) = self.upstreams.get(upstream) else { return };
        let started_ms = state.record.started_ms;
        self.availability.record_retry_after(upstream, started_ms, retry_after, now);
    }

    /// Records what another entry knows and uses of the limit of an upstream. Returns the change of what this entry
    /// knows, if there is one. Reports about other processes of the upstream than the listed one are ignored.
    pub fn record_limit_usage(
        &mut self,
        peer: SocketAddr,
        usage: &LimitUsage,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<LimitChange> {
        let state = self.upstreams.get(&usage.upstream)?;
        if state.record.started_ms != usage.started_ms {
            return None;
        }
        self.rate_limits.record_peer(peer, usage, now, rng)
    }

    /// What this entry knows and uses of the limits of upstreams, for the other entries.
    #[must_use]
    pub fn limit_usage(&self, now: Instant) -> Vec<LimitUsage> {
        self.rate_limits.usage(&self.sent, now)
    }

    /// Records that a request is sent to an upstream.
    pub fn record_sent(&mut self, upstream: &UpstreamId, now: Instant) {
        let Some(state) = self.upstreams.get_mut(upstream) else { return };
        state.record_sent(now);
        self.sent.record(upstream, now);
        self.rate_limits.record_sent(upstream, now);
    }

    /// Records how an attempt at an upstream ended.
    pub fn record_outcome(&mut self, upstream: &str, outcome: AttemptOutcome, now: Instant) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.record_outcome(outcome, now);
        }
    }

    /// Chooses the upstream with the lowest expected cost among a few random usable ones.
    pub fn choose(
        &mut self,
        request: &PlacementRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Placement {
        let Some(service) = self.services.get(request.service) else {
            return Placement::refuse(RefusalCause::NoUpstream, rng);
        };
        let cold_rate = service.record.cold_per_second;
        let mut cause = RefusalCause::NoUpstream;
        let mut candidates: Vec<&UpstreamId> = Vec::with_capacity(service.upstreams.len());
        let mut ejected: Vec<&UpstreamId> = Vec::new();
        // Upstreams that may refuse the request, because they are full or about to load other weights.
        let mut full: Vec<&UpstreamId> = Vec::new();
        let mut loading: Vec<&UpstreamId> = Vec::new();
        // Engines that have just loaded weights, and that other entries use before this one.
        let mut starting: Vec<&UpstreamId> = Vec::new();
        let mut limited: Vec<&UpstreamId> = Vec::new();
        let mut shortest_wait: Option<Duration> = None;
        let in_subset = |id: &&UpstreamId| service.subset.upstreams.binary_search(id).is_ok();
        let others = service.upstreams.iter().filter(|id| !in_subset(id));
        for (index, id) in service.subset.upstreams.iter().chain(others).enumerate() {
            let is_found =
                [&candidates, &ejected, &full, &limited].iter().any(|ids| !ids.is_empty());
            if index >= service.subset.upstreams.len() && is_found {
                break;
            }
            let Some(state) = self.upstreams.get(id) else { continue };
            if !self.is_usable(state, service, request, now) {
                continue;
            }
            let wait = self.availability.wait_time(id, state.record.started_ms, now);
            if !wait.is_zero() {
                shortest_wait = Some(shortest_wait.map_or(wait, |shortest| shortest.min(wait)));
                continue;
            }
            let is_limited_by_cold = cold_rate > 0.0
                && !state.cold_for(now).is_zero()
                && !self.cold.may_send(id, cold_rate, &self.sent, now, rng);
            if is_limited_by_cold {
                cause = RefusalCause::Cold;
            } else if !self.rate_limits.may_send(id, &self.sent, now, rng) {
                limited.push(id);
            } else if state.ejected_until.is_some_and(|until| now < until) {
                ejected.push(id);
            } else if !self.begins_before_load(service, request, state, now) {
                loading.push(id);
            } else if request.is_resumed && !self.has_free_slot(service, state, now) {
                full.push(id);
            } else if state.is_starting(now) {
                starting.push(id);
            } else {
                candidates.push(id);
            }
        }
        if !request.is_resumed {
            // A refusal costs an attempt, so an engine that is about to load is used only if the request is predicted to begin
            // before, and never for the last attempt.
            loading.retain(|id| {
                !request.is_last_attempt && self.may_begin_before_load(service, request, id, now)
            });
        }
        // Trying an upstream that may fail or refuse is better than refusing the request.
        for less_certain in [&mut starting, &mut full, &mut ejected, &mut loading] {
            if candidates.is_empty() {
                candidates = std::mem::take(less_certain);
            }
        }
        if candidates.is_empty() && limited.is_empty() {
            return match shortest_wait {
                Some(wait) if cause == RefusalCause::NoUpstream => {
                    let refusal = PlacementRefusal::new(RefusalCause::BackingOff, rng);
                    Placement::Refused(refusal.with_wait(wait))
                }
                _ => Placement::refuse(cause, rng),
            };
        }
        let (mut placement, withheld) = self.pick(request, service, candidates, limited, now, rng);
        if matches!(placement, Placement::Refused(_)) && !starting.is_empty() {
            // An engine that other entries begin to use as well is better than a refusal.
            placement = self.pick(request, service, starting, Vec::new(), now, rng).0;
        }
        if let Some(table) = self.speeds.get_mut(request.service) {
            table.record_choice(now);
        }
        if let Some(upstream) = withheld {
            self.rate_limits.record_withheld(&upstream, now);
        }
        placement
    }

    /// Picks the best candidate. The second value is an upstream that would have been picked if its limit allowed it.
    fn pick(
        &self,
        request: &PlacementRequest<'_>,
        service: &ServiceState,
        candidates: Vec<&UpstreamId>,
        limited: Vec<&UpstreamId>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> (Placement, Option<UpstreamId>) {
        let refusal_cause = if candidates.is_empty() {
            RefusalCause::RateLimited
        } else {
            RefusalCause::Overloaded
        };
        let mut best: Option<(Duration, Duration, &UpstreamState)> = None;
        let mut withheld: Option<(Duration, &UpstreamState)> = None;
        let mut compared = 0;
        let mut upstreams: Vec<(&UpstreamState, bool)> = candidates
            .into_iter()
            .map(|id| (&self.upstreams[id], false))
            .chain(limited.into_iter().map(|id| (&self.upstreams[id], true)))
            .collect();
        upstreams.shuffle(rng);
        let compared_upstreams = self.order_by_capacity(service, request, &mut upstreams, now, rng);
        let (local, remote): (Vec<_>, Vec<_>) =
            upstreams.into_iter().partition(|(state, _)| !self.is_remote(&state.record));
        let limit = compared_upstreams - COMPARED_REMOTE_UPSTREAMS.min(remote.len());
        let ordered = local
            .into_iter()
            .map(|state| (state, limit))
            .chain(remote.into_iter().map(|state| (state, compared_upstreams)));
        for ((state, is_limited), limit) in ordered {
            if compared >= limit {
                continue;
            }
            let Some((delay, cost)) = self.delay_and_cost(service, request, state, now) else {
                continue;
            };
            if is_limited {
                if withheld.is_none_or(|(lowest, _)| cost < lowest) {
                    withheld = Some((cost, state));
                }
                continue;
            }
            if best.is_none_or(|(lowest, ..)| cost < lowest) {
                best = Some((cost, delay, state));
            }
            compared += 1;
        }
        let withheld = withheld
            .filter(|(cost, _)| best.is_none_or(|(lowest, ..)| *cost < lowest))
            .map(|(_, state)| state.record.upstream.clone());
        let placement = match best {
            Some((_, delay, state)) => {
                let (expected_version, evidence) = state.version_with_evidence(now).unzip();
                let time_left = request.time_left(state, now);
                Placement::Upstream {
                    record: state.record.clone(),
                    delay,
                    expected_version,
                    evidence,
                    cancel_at: time_left.map(|left| {
                        now + left.saturating_sub(Self::cancel_margin(service, request, state, now))
                    }),
                    is_certain: self.is_certain(service, request, state, now),
                }
            }
            None => Placement::refuse(refusal_cause, rng),
        };
        (placement, withheld)
    }

    /// Predicted time until the response, or until the first event of a stream, and the cost by which upstreams are
    /// compared; `None` if the upstream has no capacity left for the request.
    fn delay_and_cost(
        &self,
        service: &ServiceState,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
        now: Instant,
    ) -> Option<(Duration, Duration)> {
        let occupancy = state.occupancy(now, self.users(service));
        let Some(forecast) = &service.forecast else {
            return self.plain_delay_and_cost(request, state, occupancy, now);
        };
        let delay = self.expected_delay(service, forecast, request, state, occupancy, now)?;
        Some((delay, delay + self.penalties(state, occupancy)))
    }

    /// Predicted time until the first event at an engine; `None` if the engine has no capacity left for the request.
    fn expected_delay(
        &self,
        service: &ServiceState,
        forecast: &EngineForecast,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
        occupancy: f64,
        now: Instant,
    ) -> Option<Duration> {
        let slots = f64::from(state.record.slots.max(1));
        let mut load = state.engine_load(occupancy, now);
        load.slowdown *= self.forecast_factor(state, now);
        let delay_at =
            |occupancy| forecast.delay(EngineLoad { occupancy, ..load }, request.prompt_tokens);
        let projected =
            state.projected_occupancy(now, self.users(service) * CONCURRENT_ENTRY_FRACTION);
        // The limit compares the load of engines, so that large prompts are not refused more often because of it.
        let is_within_limit = request.delay_limit.is_none_or(|limit| {
            forecast.typical_delay(EngineLoad { occupancy: projected, ..load }) <= limit
        });
        let fits = match request.time_to_target {
            _ if request.is_resumed => true,
            _ if !is_within_limit => false,
            Some(remaining) => delay_at(projected) <= remaining.mul_f64(TARGET_TOLERANCE),
            None => projected + LATE_RESERVED_SLOTS < slots,
        };
        fits.then(|| delay_at(occupancy))
    }

    /// Penalties of an upstream that are added to the predicted delay, expressed as a duration.
    fn penalties(&self, state: &UpstreamState, occupancy: f64) -> Duration {
        let remote = if self.is_remote(&state.record) { REMOTE_PENALTY } else { Duration::ZERO };
        remote
            + OCCUPANCY_PENALTY.mul_f64(occupancy)
            + FAILURE_PENALTY.mul_f64(state.failure_rate())
    }

    fn is_usable(
        &self,
        state: &UpstreamState,
        service: &ServiceState,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> bool {
        let record = &state.record;
        if record.draining
            || self.entry_addresses.contains(&record.address)
            || self.availability.is_leaving(&record.upstream, record.started_ms)
            || self.evacuated.contains(&record.data_centre)
            || request.tried.contains(&record.upstream)
        {
            return false;
        }
        let connection_share = self.connection_share(&service.record);
        let region = self.options.regions.get(&record.data_centre);
        if !request.regions.permits(region) || state.in_flight >= connection_share {
            return false;
        }
        if service.record.engine.is_none() {
            return true;
        }
        state.version(now).is_some()
            && state.report(now).is_none_or(|report| !report.switching)
            && self.begins_in_time(service, request, state, now)
    }

    /// False if the request is likely to wait at the upstream until the upstream's weights are outdated.
    fn begins_in_time(
        &self,
        service: &ServiceState,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
        now: Instant,
    ) -> bool {
        let Some(left) = request.time_left(state, now) else { return true };
        let delay = self.expected_begin(service, request, state, now);
        let cancel_margin = Self::cancel_margin(service, request, state, now);
        delay.mul_f64(BEGIN_TIME_FACTOR) + BEGIN_MARGIN <= left && delay + cancel_margin <= left
    }

    /// False if the request is likely to wait at the upstream until the upstream loads other weights, which refuses it.
    fn begins_before_load(
        &self,
        service: &ServiceState,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
        now: Instant,
    ) -> bool {
        let Some(left) = state.time_to_switch(now) else { return true };
        let delay = self.expected_begin(service, request, state, now);
        delay.mul_f64(BEGIN_TIME_FACTOR) + LOAD_MARGIN <= left
    }

    /// True if the request is predicted to begin before its upstream loads other weights, without a margin.
    fn may_begin_before_load(
        &self,
        service: &ServiceState,
        request: &PlacementRequest<'_>,
        upstream: &UpstreamId,
        now: Instant,
    ) -> bool {
        let Some(state) = self.upstreams.get(upstream) else { return false };
        let left = state.time_to_switch(now);
        left.is_none_or(|left| self.expected_begin(service, request, state, now) <= left)
    }

    /// See [`Placement::Upstream`].
    fn is_certain(
        &self,
        service: &ServiceState,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
        now: Instant,
    ) -> bool {
        state.ejected_until.is_none_or(|until| until <= now)
            && self.begins_before_load(service, request, state, now)
            && (!request.is_resumed || self.has_free_slot(service, state, now))
    }

    /// False if the requests at an engine are expected to take all of its slots.
    fn has_free_slot(&self, service: &ServiceState, state: &UpstreamState, now: Instant) -> bool {
        let slots = f64::from(state.record.slots.max(1));
        service.forecast.is_none() || state.occupancy(now, self.users(service)) + 1.0 <= slots
    }

    /// Predicted time until the request begins at an upstream; zero for services without engines.
    fn expected_begin(
        &self,
        service: &ServiceState,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
        now: Instant,
    ) -> Duration {
        let occupancy = state.occupancy(now, self.users(service));
        Self::begin_delay(service, request, state.engine_load(occupancy, now))
    }

    /// Time before the weights of the upstream are outdated at which the request is cancelled if it has not begun. An engine
    /// cannot drop a request whose prefill it has started before the first token is made.
    fn cancel_margin(
        service: &ServiceState,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
        now: Instant,
    ) -> Duration {
        let idle = EngineLoad { slowdown: state.slowdown(now), ..EngineLoad::default() };
        CANCEL_MARGIN + Self::begin_delay(service, request, idle)
    }

    /// Predicted time until the request begins at an engine with this load; zero for services without engines.
    fn begin_delay(
        service: &ServiceState,
        request: &PlacementRequest<'_>,
        load: EngineLoad,
    ) -> Duration {
        let forecast = service.forecast.as_ref();
        forecast.map_or(Duration::ZERO, |forecast| forecast.delay(load, request.prompt_tokens))
    }

    fn is_remote(&self, record: &UpstreamRecord) -> bool {
        self.options.regions.get(&record.data_centre) != Some(&self.options.region)
    }
}
