//! Choice of the upstreams of a service that an entry uses.

use std::collections::{HashMap, HashSet};

use base::{DataCentreId, UpstreamId};

use super::{LoadBalancerOptions, ServiceState};
use crate::{
    subset::{EngineCandidate, EngineSubset, choose_engines},
    upstream::UpstreamState,
};

/// Chooses the upstreams of a service that this entry uses, among those that are in service. Services without engines
/// have few upstreams and no reports, so all of them are used.
pub(super) fn subset_of(
    service: &ServiceState,
    upstreams: &HashMap<UpstreamId, UpstreamState>,
    evacuated: &HashSet<DataCentreId>,
    options: &LoadBalancerOptions,
) -> EngineSubset {
    if service.record.engine.is_none() {
        return EngineSubset { upstreams: service.upstreams.clone(), remote_fraction: 1.0 };
    }
    let candidates: Vec<EngineCandidate> = service
        .upstreams
        .iter()
        .filter_map(|id| upstreams.get(id))
        .filter(|state| !state.record.draining && !evacuated.contains(&state.record.data_centre))
        .map(|state| EngineCandidate {
            upstream: state.record.upstream.clone(),
            address: state.record.address,
            region: options.regions.get(&state.record.data_centre).cloned(),
        })
        .collect();
    choose_engines(&options.entry, &options.region, &candidates)
}
