//! Which regions may serve a request.

use std::sync::Arc;

use base::RegionId;

use crate::record::{RouteRecord, TeamRecord};

/// Regions that may serve a request, according to its route and its team. This is the only place where their
/// restrictions are evaluated.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegionPolicy {
    /// Allowed regions, possibly none; `None` if every region is allowed.
    allowed: Option<Vec<RegionId>>,
}

impl RegionPolicy {
    /// Policy that allows every region.
    pub const UNRESTRICTED: Self = Self { allowed: None };

    /// Policy that allows no region, for a request whose restrictions are not known.
    #[must_use]
    pub fn nowhere() -> Self {
        Self { allowed: Some(Vec::new()) }
    }

    /// Creates the policy of a request of a route and a team. Where both are restricted, both restrictions apply.
    #[must_use]
    pub fn new(route: Option<&RouteRecord>, team: Option<&TeamRecord>) -> Self {
        let mut policy = Self::UNRESTRICTED;
        if let Some(route) = route {
            policy.restrict(&route.allowed_regions);
        }
        if let Some(team) = team {
            policy.restrict(&team.allowed_regions);
        }
        policy
    }

    /// Allows only those regions that `other` allows as well.
    pub fn intersect(&mut self, other: &Self) {
        let Some(others) = &other.allowed else { return };
        match &mut self.allowed {
            Some(allowed) => allowed.retain(|region| others.contains(region)),
            None => self.allowed = Some(others.clone()),
        }
    }

    /// True if a host in `region` may serve the request; `None` stands for an unknown region, which only a request
    /// without restrictions may use.
    #[must_use]
    pub fn permits(&self, region: Option<&RegionId>) -> bool {
        match &self.allowed {
            Some(allowed) => region.is_some_and(|region| allowed.contains(region)),
            None => true,
        }
    }

    /// Applies the regions of a record, where an empty list allows every region.
    fn restrict(&mut self, regions: &[RegionId]) {
        if !regions.is_empty() {
            self.intersect(&Self { allowed: Some(regions.to_vec()) });
        }
    }
}

/// Regions that may serve all `routes`, or those that may serve any of them if there is no such region. Empty if no route
/// is restricted.
pub(crate) fn common_regions(routes: &[Arc<RouteRecord>]) -> Vec<RegionId> {
    let mut common = RegionPolicy::UNRESTRICTED;
    for route in routes {
        common.intersect(&RegionPolicy::new(Some(route), None));
    }
    match common.allowed {
        Some(regions) if regions.is_empty() => {
            let mut regions: Vec<_> =
                routes.iter().flat_map(|route| &route.allowed_regions).cloned().collect();
            regions.sort_unstable();
            regions.dedup();
            regions
        }
        Some(regions) => regions,
        None => Vec::new(),
    }
}
