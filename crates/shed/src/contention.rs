//! Services for which requests compete for capacity in a way that calls for load shedding and waiting.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use base::ServiceId;
use fleet::RoutingConfig;

/// Urgency of a request: the priority of its team, or else of its route. 0 is the most urgent.
pub type RequestRank = u8;

/// Which services are contended, according to the configuration and to what their upstreams state.
#[derive(Clone, Debug, Default)]
pub struct ContentionTable {
    /// Shortest latency target of each rank, by service.
    ranks: HashMap<ServiceId, BTreeMap<RequestRank, Duration>>,
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
        self.ranks.clear();
        for route in &config.routes {
            for backend in &route.backends {
                let ranks = self.ranks.entry(backend.service.clone()).or_default();
                let target = ranks.entry(route.priority).or_insert(route.target_latency);
                *target = route.target_latency.min(*target);
            }
        }
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
        self.ranks.get(service).is_some_and(|ranks| ranks.len() > 1)
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

    /// Shortest latency target of each rank of the service's routes; `None` if no route leads to the service.
    #[must_use]
    pub fn ranks(&self, service: &str) -> Option<&BTreeMap<RequestRank, Duration>> {
        self.ranks.get(service)
    }
}
