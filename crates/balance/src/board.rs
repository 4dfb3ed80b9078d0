//! Chooses an upstream for a request, or refuses the request while it is known that none can serve it.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{DataCentreId, RegionId, ServiceId, UpstreamId};
use fleet::{FleetView, ServiceRecord, UpstreamRecord, WeightsVersion};
use rand::{Rng, RngExt, seq::SliceRandom};
use serde::{Deserialize, Serialize};

use crate::{
    forecast::{EngineForecast, EngineLoad},
    share::{ColdShare, MIN_ENTRIES, ShareOptions},
    upstream::{AgentReport, SendOutcome, UpstreamState},
};

/// Upstreams that are compared for one request. Fewer than all, so that entries with the same picture do not all send
/// to the one upstream that is least loaded in it.
const COMPARED: usize = 4;
/// Upstreams of other regions among them, while those of this region have room: the bytes between regions are scarce.
const REMOTE_COMPARED: usize = 1;
/// Time that one hop to another region counts for: a few milliseconds and the price of its bytes.
const REMOTE_PENALTY: Duration = Duration::from_millis(15);
/// Time that a certain failure counts for.
const FAILURE_PENALTY: Duration = Duration::from_millis(250);
/// Time that each request at an upstream counts for although it delays no other yet: it takes a slot for a second.
const OCCUPANCY_PENALTY: Duration = Duration::from_millis(6);
/// Time that a request at a plain service counts for.
const SERVICE_PENALTY: Duration = Duration::from_millis(10);
/// Time that a usual stream takes. A stream that begins less than this before its engine changes weights is cut and has
/// to be read again elsewhere.
const STREAM_TIME: Duration = Duration::from_millis(1_500);
/// Time that a certain cut counts for: the second reading and the risk of a late event.
const CHANGE_PENALTY: Duration = Duration::from_millis(60);
/// Times of the target within which the first event must be predicted. The prediction with the expected sends of other
/// entries is a pessimistic one, and a caller that is refused earns a fraction at best.
const TARGET_PART: f64 = 1.3;
/// Part of the other entries that is taken to send to the same upstream before its next report: each compares a few
/// upstreams drawn at random, and agents report to entries of their region twice as often.
const CROWD_PART: f64 = 0.5;
/// Slots that must be free for a request that is already late: it earns a fraction, so it only takes what is left over.
const LATE_RESERVE: f64 = 1.0;
/// Requests per slot that may wait at a plain service.
const SERVICE_DEPTH: f64 = 3.0;
/// Shortest and longest delay before a refused caller returns. Callers that are refused together come back apart, and
/// late enough for a burst to pass: a caller returns only once.
const RETRY_RANGE: (Duration, Duration) =
    (Duration::from_millis(900), Duration::from_millis(2_000));
/// The same if no upstream can serve at all: engines need two seconds or more to receive their weights.
const EMPTY_RETRY_RANGE: (Duration, Duration) =
    (Duration::from_millis(1_800), Duration::from_millis(2_600));

/// Properties of the fleet that the board needs besides the view.
#[derive(Clone, Debug, Default)]
pub struct BoardOptions {
    /// Region of each data centre.
    pub regions: HashMap<DataCentreId, RegionId>,
    /// This entry's region.
    pub region: RegionId,
    /// Limits that all entries share.
    pub shares: ShareOptions,
}

/// A request that is to be placed.
#[derive(Clone, Debug)]
pub struct WorkRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Tokens of the prompt; 0 for plain services.
    pub prompt_tokens: u32,
    /// Regions that may serve it, of the route and of the team; empty lists allow all.
    pub allowed_regions: [&'a [RegionId]; 2],
    /// Upstreams that have had the request already.
    pub tried: &'a [UpstreamId],
    /// Oldest version of the weights on which it may begin.
    pub min_version: Option<WeightsVersion>,
    /// Time left until the first event is late; `None` if it already is.
    pub target_left: Option<Duration>,
    /// True for a request that was accepted before and is continued elsewhere: it is never refused for load.
    pub is_continued: bool,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalCause {
    /// No upstream of the service is known to be usable.
    NoUpstream,
    /// Every usable upstream has more work than fits into the target.
    Overloaded,
    /// Only cold upstreams are left, and each has had its share.
    Cold,
}

impl RefusalCause {
    /// Name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::Overloaded => "overloaded",
            Self::Cold => "cold",
        }
    }
}

/// A refusal and when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// Delay after which the caller may return.
    pub retry_after: Duration,
}

/// Load of an upstream as this entry knows it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// Last report of the agent, if it is current.
    pub report: Option<AgentReport>,
    /// Requests of this entry there.
    pub in_flight: u32,
    /// Time for which it stays cold.
    pub cold_for: Duration,
    /// True if it is left alone because it failed lately.
    pub suspended: bool,
}

/// Result of a choice.
#[derive(Clone, Debug)]
pub enum Placement {
    /// Send it there.
    Upstream {
        /// The upstream.
        record: Arc<UpstreamRecord>,
        /// Predicted time until the upstream answers, or until the first event of a stream.
        delay: Duration,
    },
    /// Refuse it.
    Refused(PlacementRefusal),
}

#[derive(Debug)]
struct ServiceState {
    record: Arc<ServiceRecord>,
    forecast: Option<EngineForecast>,
    upstreams: Vec<UpstreamId>,
}

/// Everything that an entry knows of its upstreams.
#[derive(Debug)]
pub struct LoadBoard {
    options: BoardOptions,
    /// Entries that are alive.
    entries: usize,
    /// Entries that may be alive, also out of sight.
    sharers: usize,
    cold: ColdShare,
    services: HashMap<ServiceId, ServiceState>,
    upstreams: HashMap<UpstreamId, UpstreamState>,
    evacuated: HashSet<DataCentreId>,
    by_address: HashMap<SocketAddr, UpstreamId>,
}

impl LoadBoard {
    /// Creates an empty board.
    #[must_use]
    pub fn new(options: BoardOptions) -> Self {
        Self {
            cold: ColdShare::new(options.shares),
            options,
            entries: 1,
            sharers: MIN_ENTRIES,
            services: HashMap::new(),
            upstreams: HashMap::new(),
            evacuated: HashSet::new(),
            by_address: HashMap::new(),
        }
    }

    /// Takes over a new view of the fleet.
    pub fn set_view(&mut self, view: &FleetView, now: Instant) {
        self.evacuated.clone_from(&view.evacuated);
        self.services = view
            .services()
            .map(|record| {
                let forecast = record.engine.as_ref().map(EngineForecast::new);
                let state =
                    ServiceState { record: record.clone(), forecast, upstreams: Vec::new() };
                (record.service.clone(), state)
            })
            .collect();
        self.by_address.clear();
        for (record, changed) in view.upstreams() {
            let state = self
                .upstreams
                .entry(record.upstream.clone())
                .or_insert_with(|| UpstreamState::new(record.clone()));
            state.set_record(record.clone());
            let cold_until = changed.unwrap_or(now) + record.cold_for;
            state.cold_until =
                (!record.cold_for.is_zero() && cold_until > now).then_some(cold_until);
            self.by_address.insert(record.address, record.upstream.clone());
            if let Some(service) = self.services.get_mut(&record.service) {
                service.upstreams.push(record.upstream.clone());
            }
        }
        self.upstreams.retain(|upstream, _| view.upstream(upstream).is_some());
        for service in self.services.values_mut() {
            service.upstreams.sort_unstable();
        }
        let upstreams = &self.upstreams;
        self.cold.retain(|upstream| upstreams.contains_key(upstream));
    }

    /// Sets the number of entries that are known.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Sets the number of entries among which the limits of cold upstreams are divided.
    pub fn set_sharers(&mut self, entries: usize) {
        self.sharers = entries.max(MIN_ENTRIES);
        self.cold.set_entries(entries);
    }

    /// Takes over the report of the agent beside the upstream at `address`.
    pub fn record_report(
        &mut self,
        address: SocketAddr,
        report: AgentReport,
        now: Instant,
        rng: &mut impl Rng,
    ) {
        let state = self.by_address.get(&address).and_then(|id| self.upstreams.get_mut(id));
        if let Some(state) = state {
            state.record_report(report, rng.random(), now);
        }
    }

    /// True if the agent beside the upstream at `address` has reported lately.
    #[must_use]
    pub fn has_report(&self, address: SocketAddr, now: Instant) -> bool {
        let state = self.by_address.get(&address).and_then(|id| self.upstreams.get(id));
        state.is_some_and(|state| state.report(now).is_some())
    }

    /// What is known of the load of an upstream at `now`.
    #[must_use]
    pub fn load_of(&self, upstream: &str, now: Instant) -> UpstreamLoad {
        let Some(state) = self.upstreams.get(upstream) else { return UpstreamLoad::default() };
        let left = |until: Option<Instant>| {
            until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
        };
        UpstreamLoad {
            report: state.report(now),
            in_flight: state.in_flight,
            cold_for: left(state.cold_until),
            suspended: !left(state.suspended_until).is_zero(),
        }
    }

    /// Records that an upstream is cold for `span` from now on.
    pub fn record_cold(&mut self, upstream: &str, span: Duration, now: Instant) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.cold_until = Some(now + span);
        }
    }

    /// Records that a request leaves for an upstream.
    pub fn record_sent(&mut self, upstream: &UpstreamId, now: Instant) {
        let Some(state) = self.upstreams.get_mut(upstream) else { return };
        state.record_sent(now);
        if state.cold_until.is_some_and(|until| now < until) {
            self.cold.record(upstream, now);
        }
    }

    /// Records how a send ended.
    pub fn record_outcome(&mut self, upstream: &str, outcome: SendOutcome, now: Instant) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.record_outcome(outcome, now);
        }
    }

    /// Chooses an upstream.
    pub fn choose(
        &mut self,
        work: &WorkRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Placement {
        let Some(service) = self.services.get(work.service) else {
            return refuse(RefusalCause::NoUpstream, rng);
        };
        let cold_rate = service.record.cold_per_second;
        let mut cause = RefusalCause::NoUpstream;
        let mut candidates: Vec<&UpstreamId> = Vec::with_capacity(service.upstreams.len());
        let mut suspended: Vec<&UpstreamId> = Vec::new();
        for id in &service.upstreams {
            let Some(state) = self.upstreams.get(id) else { continue };
            if !self.is_usable(state, service, work, now) {
                continue;
            }
            let is_cold = state.cold_until.is_some_and(|until| now < until);
            if is_cold && cold_rate > 0.0 && !self.cold.has_room(id, cold_rate, now, rng) {
                cause = RefusalCause::Cold;
            } else if state.suspended_until.is_some_and(|until| now < until) {
                suspended.push(id);
            } else {
                candidates.push(id);
            }
        }
        if candidates.is_empty() {
            // Every upstream failed lately: trying one is better than refusing all.
            candidates = suspended;
        }
        if candidates.is_empty() {
            return refuse(cause, rng);
        }
        self.pick(work, service, candidates, now, rng)
    }

    fn pick(
        &self,
        work: &WorkRequest<'_>,
        service: &ServiceState,
        mut candidates: Vec<&UpstreamId>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Placement {
        let mut best: Option<(Duration, Duration, &UpstreamState)> = None;
        let mut compared = 0;
        candidates.shuffle(rng);
        let (local, remote): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .map(|id| &self.upstreams[id])
            .partition(|state| !self.is_remote(&state.record));
        let wanted = COMPARED - REMOTE_COMPARED.min(remote.len());
        let stages = local
            .into_iter()
            .map(|state| (state, wanted))
            .chain(remote.into_iter().map(|state| (state, COMPARED)));
        for (state, wanted) in stages {
            if compared >= wanted {
                continue;
            }
            let occupancy = state.occupancy(now, self.entries as f64);
            let Some(delay) = self.expected_delay(service, work, state, occupancy, now) else {
                continue;
            };
            let cost = delay + self.penalties(state, occupancy, now);
            if best.is_none_or(|(lowest, ..)| cost < lowest) {
                best = Some((cost, delay, state));
            }
            compared += 1;
        }
        match best {
            Some((_, delay, state)) => Placement::Upstream { record: state.record.clone(), delay },
            None => refuse(RefusalCause::Overloaded, rng),
        }
    }

    /// Time until the upstream answers, or until the first event of a stream; `None` if that is too long.
    fn expected_delay(
        &self,
        service: &ServiceState,
        work: &WorkRequest<'_>,
        state: &UpstreamState,
        occupancy: f64,
        now: Instant,
    ) -> Option<Duration> {
        let slots = f64::from(state.record.slots.max(1));
        let Some(forecast) = &service.forecast else {
            let has_room = occupancy <= slots * SERVICE_DEPTH;
            return has_room.then(|| SERVICE_PENALTY.mul_f64(occupancy));
        };
        let load = EngineLoad { occupancy, unread: state.unread(now), pace: state.pace(now) };
        let delay_at =
            |occupancy| forecast.first_event(EngineLoad { occupancy, ..load }, work.prompt_tokens);
        let crowded = state.crowded_occupancy(now, self.entries as f64 * CROWD_PART);
        let has_room = match work.target_left {
            _ if work.is_continued => true,
            Some(left) => delay_at(crowded) <= left.mul_f64(TARGET_PART),
            None => crowded + LATE_RESERVE < slots,
        };
        has_room.then(|| delay_at(occupancy))
    }

    /// What speaks against an upstream besides the delay, as a time.
    fn penalties(&self, state: &UpstreamState, occupancy: f64, now: Instant) -> Duration {
        let remote = if self.is_remote(&state.record) { REMOTE_PENALTY } else { Duration::ZERO };
        let cut = state.change_in(now).map_or(0.0, |left| {
            1.0 - left.as_secs_f64().min(STREAM_TIME.as_secs_f64()) / STREAM_TIME.as_secs_f64()
        });
        remote
            + OCCUPANCY_PENALTY.mul_f64(occupancy)
            + CHANGE_PENALTY.mul_f64(cut)
            + FAILURE_PENALTY.mul_f64(state.failing())
    }

    fn is_usable(
        &self,
        state: &UpstreamState,
        service: &ServiceState,
        work: &WorkRequest<'_>,
        now: Instant,
    ) -> bool {
        let record = &state.record;
        if record.draining
            || self.evacuated.contains(&record.data_centre)
            || work.tried.contains(&record.upstream)
        {
            return false;
        }
        let connections = service.record.max_connections / self.sharers as u32;
        if !self.is_allowed(record, work) || state.in_flight >= connections.max(1) {
            return false;
        }
        if service.record.engine.is_none() {
            return true;
        }
        match state.report(now) {
            Some(report) => {
                !report.switching
                    && report.version > 0
                    && work.min_version.is_none_or(|version| report.version >= version)
            }
            None => record.weights.iter().any(|weights| {
                weights.complete
                    && work.min_version.is_none_or(|version| weights.version >= version)
            }),
        }
    }

    fn is_allowed(&self, record: &UpstreamRecord, work: &WorkRequest<'_>) -> bool {
        let region = self.options.regions.get(&record.data_centre);
        work.allowed_regions.iter().all(|allowed| {
            allowed.is_empty() || region.is_some_and(|region| allowed.contains(region))
        })
    }

    fn is_remote(&self, record: &UpstreamRecord) -> bool {
        self.options.regions.get(&record.data_centre) != Some(&self.options.region)
    }
}

fn refuse(cause: RefusalCause, rng: &mut impl Rng) -> Placement {
    let (shortest, longest) = match cause {
        RefusalCause::NoUpstream => EMPTY_RETRY_RANGE,
        RefusalCause::Overloaded | RefusalCause::Cold => RETRY_RANGE,
    };
    let retry_after = rng.random_range(shortest..longest);
    Placement::Refused(PlacementRefusal { cause, retry_after })
}
