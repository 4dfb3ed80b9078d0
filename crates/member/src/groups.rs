//! Groups of upstreams that can stand in for one another; an entry needs some of each.

use base::{UpstreamId, rank_by_weight};
use compact_str::CompactString;
use config::{FleetConfig, UpstreamKind};

/// Upstreams that serve the same model or the same service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentGroup {
    /// Id of the model or the service.
    pub name: CompactString,
    /// Upstreams of the group.
    pub upstreams: Vec<UpstreamId>,
}

/// Lists the groups of the preset in force: one for each service, and one for each model with the upstreams that
/// should hold it.
#[must_use]
pub fn agent_groups(config: &FleetConfig) -> Vec<AgentGroup> {
    let services = config.services.iter().map(|service| AgentGroup {
        name: service.id.clone(),
        upstreams: config
            .upstreams
            .iter()
            .filter(|record| record.service.as_ref() == Some(&service.id))
            .map(|record| record.id.clone())
            .collect(),
    });
    let wanted = config.preset_rule().map_or(&[][..], |rule| rule.models.as_slice());
    let models = wanted.iter().map(|wanted| AgentGroup {
        name: wanted.model.clone(),
        upstreams: replicas(config, &wanted.model, wanted.replicas),
    });
    services.chain(models).filter(|group| !group.upstreams.is_empty()).collect()
}

/// The first upstreams in rendezvous order until `count` of them are in service, as the placement does it.
fn replicas(config: &FleetConfig, model: &str, count: u32) -> Vec<UpstreamId> {
    let candidates: Vec<_> =
        config.upstreams.iter().filter(|record| record.kind == UpstreamKind::Model).collect();
    let out: std::collections::HashSet<_> = candidates
        .iter()
        .filter(|record| config.is_out(&record.data_centre))
        .map(|record| record.id.as_str())
        .collect();
    let ids = candidates.iter().map(|record| record.id.as_str());
    let mut in_service = 0;
    let mut chosen = Vec::new();
    for id in rank_by_weight(model.as_bytes(), ids) {
        if in_service >= count {
            break;
        }
        in_service += u32::from(!out.contains(id));
        chosen.push(UpstreamId::from(id));
    }
    chosen
}
