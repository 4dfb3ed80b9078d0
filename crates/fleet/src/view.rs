//! Immutable snapshot of the fleet, read by the threads that forward requests.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use base::{DataCentreId, ModelId, RegionId, Revision, ServiceId, UpstreamId};
use compact_str::CompactString;

use crate::{
    record::{
        ClientLimits, RouteRecord, RoutingConfig, ServiceRecord, TeamRecord, UpstreamRecord,
        WeightsVersion,
    },
    region::{RegionPolicy, common_regions},
};

/// Result of looking up a request's route.
#[derive(Clone, Debug)]
pub enum RouteMatch {
    /// The route with the longest matching prefix.
    Found(Arc<RouteRecord>),
    /// No route of the configuration matches the request.
    Unknown,
    /// No configuration has been received yet.
    NoConfig,
}

/// Declared versions of a model's weights, in the order of declaration.
#[derive(Clone, Debug, Default)]
pub struct WeightsState {
    versions: Vec<(WeightsVersion, Option<Instant>)>,
}

impl WeightsState {
    /// Creates the state from versions and the times of their declaration. The time is `None` for a version that was
    /// declared before this process could observe it.
    #[must_use]
    pub fn new(versions: Vec<(WeightsVersion, Option<Instant>)>) -> Self {
        Self { versions }
    }

    /// Newest declared version, which all upstreams have to load.
    #[must_use]
    pub fn declared(&self) -> Option<WeightsVersion> {
        self.versions.last().map(|(version, _)| *version)
    }

    /// Time at which the newest version was declared; `None` if neither this process nor a peer observed it.
    #[must_use]
    pub fn declared_at(&self) -> Option<Instant> {
        self.versions.last().and_then(|(_, seen)| *seen)
    }

    /// The last `limit` versions before the newest one, the oldest first, with the times of their declarations. Versions
    /// whose declaration neither this process nor a peer observed are left out.
    pub fn earlier(&self, limit: usize) -> impl Iterator<Item = (WeightsVersion, Instant)> {
        let earlier = self.versions.split_last().map_or(&[][..], |(_, earlier)| earlier);
        let last = &earlier[earlier.len().saturating_sub(limit)..];
        last.iter().filter_map(|(version, seen)| Some((*version, (*seen)?)))
    }

    /// Time for which requests may still begin to run on `version`, given that each newer version must be in use within
    /// `bound` of its declaration; `None` if no newer version is declared.
    #[must_use]
    pub fn time_left(
        &self,
        version: WeightsVersion,
        now: Instant,
        bound: Duration,
    ) -> Option<Duration> {
        self.versions
            .iter()
            .filter(|(newer, _)| *newer > version)
            .map(|(_, seen)| {
                let elapsed = seen.map(|seen| now.saturating_duration_since(seen));
                elapsed.map_or(Duration::ZERO, |elapsed| bound.saturating_sub(elapsed))
            })
            .min()
    }
}

/// Declared versions of a model's weights, together with the time within which engines must use a declared version.
#[derive(Clone, Copy, Debug)]
pub struct WeightsLimits<'a> {
    state: &'a WeightsState,
    rollout_timeout: Duration,
}

impl<'a> WeightsLimits<'a> {
    /// Creates the limits of weights that must be in use within `rollout_timeout` of their declaration.
    #[must_use]
    pub fn new(state: &'a WeightsState, rollout_timeout: Duration) -> Self {
        Self { state, rollout_timeout }
    }

    /// Time for which requests may still begin to run on `version`; `None` if no newer version is declared.
    #[must_use]
    pub fn time_left(&self, version: WeightsVersion, now: Instant) -> Option<Duration> {
        self.state.time_left(version, now, self.rollout_timeout)
    }
}

/// A configuration with its lookup tables. It is built once per configuration instead of with each view, because
/// building a large one takes milliseconds and upstreams change far more often.
#[derive(Debug)]
pub struct RoutingIndex {
    config: Arc<RoutingConfig>,
    /// Routes by host name, the longest prefix first.
    routes: HashMap<CompactString, Vec<Arc<RouteRecord>>>,
    services: HashMap<ServiceId, Arc<ServiceRecord>>,
    /// Teams by the keys of their callers.
    teams: HashMap<CompactString, Arc<TeamRecord>>,
}

impl RoutingIndex {
    /// Builds the lookup tables of a configuration.
    #[must_use]
    pub fn new(config: Arc<RoutingConfig>) -> Self {
        let mut routes: HashMap<CompactString, Vec<Arc<RouteRecord>>> = HashMap::new();
        for route in &config.routes {
            routes.entry(route.host.clone()).or_default().push(Arc::new(route.clone()));
        }
        for routes in routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = config
            .services
            .iter()
            .map(|service| (service.service.clone(), Arc::new(service.clone())))
            .collect();
        let mut teams = HashMap::new();
        for team in config.teams.iter().flatten() {
            let team = Arc::new(team.clone());
            for key in &team.keys {
                teams.insert(key.clone(), team.clone());
            }
        }
        Self { config, routes, services, teams }
    }

    /// True if the configuration names the service.
    pub(crate) fn has_service(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Configuration from which the tables were built.
    #[must_use]
    pub fn config(&self) -> &Arc<RoutingConfig> {
        &self.config
    }
}

/// Snapshot of the state of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Highest revision among the items in the snapshot.
    pub revision: Revision,
    /// Data centres whose upstreams must not receive new requests.
    pub evacuated: HashSet<DataCentreId>,
    /// Declared weights by model.
    pub weights: HashMap<ModelId, WeightsState>,
    routing: Option<Arc<RoutingIndex>>,
    is_config_behind: bool,
    upstreams: HashMap<UpstreamId, (Arc<UpstreamRecord>, Option<Instant>)>,
}

impl FleetView {
    /// Replaces the routing configuration.
    pub fn set_routing(&mut self, routing: Arc<RoutingIndex>) {
        self.routing = Some(routing);
    }

    /// Sets whether another process uses a newer configuration that a restore of the store has lost.
    pub fn set_config_behind(&mut self, is_behind: bool) {
        self.is_config_behind = is_behind;
    }

    /// True if another process uses a newer configuration, so that the restrictions of a request may not be known.
    #[must_use]
    pub fn is_config_behind(&self) -> bool {
        self.is_config_behind
    }

    /// Replaces the upstreams. Each comes with the time at which the change of its record was observed, if it was.
    pub fn set_upstreams(&mut self, upstreams: Vec<(Arc<UpstreamRecord>, Option<Instant>)>) {
        self.upstreams = upstreams
            .into_iter()
            .map(|(record, changed)| (record.upstream.clone(), (record, changed)))
            .collect();
    }

    /// Routing configuration in force; `None` until one has been received.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<RoutingConfig>> {
        self.routing.as_ref().map(|routing| routing.config())
    }

    /// Limits for callers; `None` until a configuration has been received.
    #[must_use]
    pub fn limits(&self) -> Option<ClientLimits> {
        self.config().map(|config| config.limits)
    }

    /// Finds the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> RouteMatch {
        if self.routing.is_none() {
            return RouteMatch::NoConfig;
        }
        self.routes_for_host(host)
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
            .map_or(RouteMatch::Unknown, |route| RouteMatch::Found(route.clone()))
    }

    /// Routes of a host name, the longest prefix first; empty if there are none.
    #[must_use]
    pub fn routes_for_host(&self, host: &str) -> &[Arc<RouteRecord>] {
        let routing = self.routing.as_ref();
        routing.and_then(|routing| routing.routes.get(host)).map_or(&[], Vec::as_slice)
    }

    /// Regions that may serve a request according to the configuration in force. A route or team that it does not
    /// contain restricts nothing. No region may while the configuration is behind that of another process.
    #[must_use]
    pub fn region_policy(&self, host: &str, path: &str, key: Option<&str>) -> RegionPolicy {
        if self.is_config_behind {
            return RegionPolicy::nowhere();
        }
        let route = match self.route(host, path) {
            RouteMatch::Found(route) => Some(route),
            RouteMatch::Unknown | RouteMatch::NoConfig => None,
        };
        let team = key.and_then(|key| self.team(key));
        RegionPolicy::new(route.as_deref(), team.map(|team| &**team))
    }

    /// Regions whose entries are named to callers of a host, whichever of its routes they need; empty if all are.
    /// `None` if the configuration in force has no route of the host, or is behind that of another process.
    #[must_use]
    pub fn entry_regions(&self, host: &str) -> Option<Vec<RegionId>> {
        if self.is_config_behind {
            return None;
        }
        let routes = self.routes_for_host(host);
        (!routes.is_empty()).then(|| common_regions(routes))
    }

    /// True if callers need keys.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        self.config().is_some_and(|config| config.teams.is_some())
    }

    /// Team to which a caller's key belongs.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&Arc<TeamRecord>> {
        self.routing.as_ref().and_then(|routing| routing.teams.get(key))
    }

    /// Looks up a service by id.
    #[must_use]
    pub fn service(&self, service: &str) -> Option<&Arc<ServiceRecord>> {
        self.routing.as_ref().and_then(|routing| routing.services.get(service))
    }

    /// Iterates over all services in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRecord>> {
        self.routing.iter().flat_map(|routing| routing.services.values())
    }

    /// Iterates over all upstreams in arbitrary order, each with the time at which the change of its record was
    /// observed, if it was.
    pub fn upstreams(&self) -> impl Iterator<Item = &(Arc<UpstreamRecord>, Option<Instant>)> {
        self.upstreams.values()
    }

    /// Looks up an upstream by id.
    #[must_use]
    pub fn upstream(&self, upstream: &str) -> Option<&Arc<UpstreamRecord>> {
        self.upstreams.get(upstream).map(|(record, _)| record)
    }
}
