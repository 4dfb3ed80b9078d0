//! Services for which requests compete for capacity in a way that calls for load shedding and waiting.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    time::Duration,
};

use base::ServiceId;
use fleet::RoutingConfig;

/// Urgency of a request: its position among the priorities of the requests for its service. 0 is the most urgent.
pub type RequestRank = u8;
/// Priority of a request: that of its team, or else of its route, and then that of its route. The priority of a team takes
/// precedence, and the priorities of the routes order the requests of teams with the same one.
type RequestPriority = (u8, u8);

/// Which services are contended, according to the configuration and to what their upstreams state.
#[derive(Clone, Debug, Default)]
pub struct ContentionTable {
    /// Shortest latency target of each rank, by service.
    ranks: HashMap<ServiceId, BTreeMap<RequestRank, Duration>>,
    /// Priorities of the requests for a service, sorted, by service. The position is the rank.
    priorities: HashMap<ServiceId, Vec<RequestPriority>>,
    /// Services whose routes have different priorities.
    ranked: HashSet<ServiceId>,
    /// Services with an upstream that shares its host with other work.
    shared_hosts: HashSet<ServiceId>,
}

impl ContentionTable {
    /// Creates a table without services.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a configuration. What upstreams have stated is kept for the services that it still contains.
    pub fn set_config(&mut self, config: &RoutingConfig) {
        let mut teams: BTreeSet<Option<u8>> =
            config.teams.iter().flatten().map(|team| team.priority).collect();
        // Callers without a key have the priority of their route.
        teams.insert(None);
        let mut targets: HashMap<&ServiceId, BTreeMap<RequestPriority, Duration>> = HashMap::new();
        let mut routes: HashMap<&ServiceId, BTreeSet<u8>> = HashMap::new();
        for route in &config.routes {
            for backend in &route.backends {
                routes.entry(&backend.service).or_default().insert(route.priority);
                let targets = targets.entry(&backend.service).or_default();
                for team in &teams {
                    let priority = (team.unwrap_or(route.priority), route.priority);
                    let target = targets.entry(priority).or_insert(route.target_latency);
                    *target = route.target_latency.min(*target);
                }
            }
        }
        self.ranked = routes
            .into_iter()
            .filter(|(_, priorities)| priorities.len() > 1)
            .map(|(service, _)| service.clone())
            .collect();
        self.priorities = targets
            .iter()
            .map(|(service, targets)| ((*service).clone(), targets.keys().copied().collect()))
            .collect();
        self.ranks = targets
            .into_iter()
            .map(|(service, targets)| (service.clone(), (0..).zip(targets.into_values()).collect()))
            .collect();
        let ranks = &self.ranks;
        self.shared_hosts.retain(|service| ranks.contains_key(service));
    }

    /// Records that an upstream of the service states how slow its host is. Returns true if that was not known.
    pub fn record_shared_host(&mut self, service: &ServiceId) -> bool {
        self.ranks.contains_key(service)
            && !self.shared_hosts.contains(service)
            && self.shared_hosts.insert(service.clone())
    }

    /// Services to which routes lead.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.ranks.keys()
    }

    /// True if routes of the service have different priorities.
    #[must_use]
    pub fn is_ranked(&self, service: &str) -> bool {
        self.ranked.contains(service)
    }

    /// True if upstreams of the service share their hosts with other work.
    #[must_use]
    pub fn has_shared_hosts(&self, service: &str) -> bool {
        self.shared_hosts.contains(service)
    }

    /// True if the service is ranked or has shared hosts.
    #[must_use]
    pub fn is_contended(&self, service: &str) -> bool {
        self.is_ranked(service) || self.has_shared_hosts(service)
    }

    /// Rank of a request whose team and route have these priorities. At a service that is not ranked, all requests have
    /// the same rank.
    #[must_use]
    pub fn rank_of(&self, service: &str, team: Option<u8>, route: u8) -> RequestRank {
        let priority = (team.unwrap_or(route), route);
        let priorities = self.priorities.get(service).filter(|_| self.is_ranked(service));
        let position =
            priorities.map_or(0, |known| known.partition_point(|&known| known < priority));
        RequestRank::try_from(position).unwrap_or(RequestRank::MAX)
    }

    /// Shortest latency target of each rank of the service's routes; `None` if no route leads to the service.
    #[must_use]
    pub fn ranks(&self, service: &str) -> Option<&BTreeMap<RequestRank, Duration>> {
        self.ranks.get(service)
    }
}
