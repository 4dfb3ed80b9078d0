//! Groups of interchangeable upstreams. An entry needs to know some members of every group.

use base::{UpstreamId, rank_by_weight};
use compact_str::CompactString;
use config::{FleetConfig, UpstreamKind};

/// Upstreams that serve the same model or the same service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentGroup {
    /// Id of the model or service.
    pub name: CompactString,
    /// Members of the group, including those that are out of service.
    pub upstreams: Vec<UpstreamId>,
}

/// Returns the non-empty groups of a configuration: one for each service, and one for each model of the active preset
/// with the upstreams that the preset assigns to it.
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
    let model_rules = config.preset_rule().map_or(&[][..], |rule| rule.models.as_slice());
    let models = model_rules.iter().map(|rule| AgentGroup {
        name: rule.model.clone(),
        upstreams: replicas(config, &rule.model, rule.replicas),
    });
    services.chain(models).filter(|group| !group.upstreams.is_empty()).collect()
}

/// Returns the upstreams in rendezvous order up to the one at which `count` of them are in service. Model placement
/// selects its hosts in the same way.
fn replicas(config: &FleetConfig, model: &str, count: u32) -> Vec<UpstreamId> {
    let candidates: Vec<_> =
        config.upstreams.iter().filter(|record| record.kind == UpstreamKind::Model).collect();
    let out_of_service: std::collections::HashSet<_> = candidates
        .iter()
        .filter(|record| config.is_out_of_service(&record.data_centre))
        .map(|record| record.id.as_str())
        .collect();
    let ids = candidates.iter().map(|record| record.id.as_str());
    let mut in_service = 0;
    let mut chosen = Vec::new();
    for id in rank_by_weight(model.as_bytes(), ids) {
        if in_service >= count {
            break;
        }
        in_service += u32::from(!out_of_service.contains(id));
        chosen.push(UpstreamId::from(id));
    }
    chosen
}
