//! Derives the weights that an agent should hold, and the peers to share transfers with, from the view of the fleet.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use base::{ContentDigest, HostId, ModelId, UpstreamId};
use config::{
    AgentSettings, FleetConfig, HostRecord, PresetModel, UpstreamRecord, WantedModel,
    replica_upstreams, wanted_models,
};
use weights::{PeerRecord, WantedVersion};

use crate::view::FleetView;

/// A model that this upstream should serve under the preset in force.
#[derive(Clone, Debug)]
pub(super) struct ServedModel {
    pub model: ModelId,
    pub manifest: ContentDigest,
    /// Minimum number of ready upstreams to keep during a rollout.
    pub floor: u32,
    /// Upstreams of the model, in the order in which they switch versions.
    pub order: Vec<UpstreamId>,
}

/// Weights to fetch and models to serve according to one view.
#[derive(Clone, Debug, Default)]
pub(super) struct WantedWeights {
    pub fetch: Vec<WantedVersion>,
    pub served: Vec<ServedModel>,
}

impl WantedWeights {
    pub fn from_view(view: &FleetView, settings: &AgentSettings) -> Self {
        let config = &view.config;
        let Some(record) = config.upstream(&settings.upstream) else { return Self::default() };
        let models = wanted_models(config, record);
        let agents: HashMap<&str, &HostRecord> = view
            .hosts
            .agents()
            .filter_map(|host| host.upstream.as_ref().map(|upstream| (upstream.as_str(), host)))
            .collect();
        let mut wanted = Self::default();
        for model in &models {
            let upstreams = model_upstreams(config, model);
            let hosts = peer_records(config, &agents, &upstreams);
            if model.active {
                wanted.served.push(ServedModel {
                    model: model.model.clone(),
                    manifest: model.manifest,
                    floor: model.floor,
                    order: upstreams.iter().map(|upstream| upstream.id.clone()).collect(),
                });
            }
            wanted.fetch.push(WantedVersion {
                manifest: model.manifest,
                size_bytes: model.size_bytes,
                fetch: true,
                hosts,
            });
        }
        wanted.add_previous(config, &models);
        wanted
    }

    /// Keeps the previous versions as far as memory allows, so that a rollback only needs a load order and no transfer.
    fn add_previous(&mut self, config: &FleetConfig, models: &[WantedModel]) {
        for model in models {
            let previous = config.model(&model.model).and_then(|record| record.previous_version());
            if let Some(version) = previous {
                self.fetch.push(WantedVersion {
                    manifest: version.manifest,
                    size_bytes: version.size_bytes,
                    fetch: false,
                    hosts: Arc::default(),
                });
            }
        }
    }
}

/// Peer address of `host` in the host list of `view`; `None` if it is not listed.
pub(super) fn peer_address(view: &FleetView, host: &HostId) -> Option<std::net::SocketAddr> {
    view.hosts.hosts.iter().find(|record| record.id == *host).map(|record| record.peer)
}

/// Upstreams that hold the model under any preset, without duplicates: first those of the preset in force, then those
/// of the others, each in rendezvous order.
fn model_upstreams<'a>(config: &'a FleetConfig, model: &WantedModel) -> Vec<&'a UpstreamRecord> {
    let base = config.adapters.iter().find(|adapter| adapter.id == model.model);
    let base = base.map_or(&model.model, |adapter| &adapter.model);
    let in_force = config.presets.iter().filter(|rule| rule.id == config.preset);
    let others = config.presets.iter().filter(|rule| rule.id != config.preset);
    let entries = in_force.chain(others).flat_map(|rule| &rule.models);
    let mut seen = HashSet::new();
    entries
        .filter(|entry: &&PresetModel| entry.model == *base)
        .flat_map(|entry| replica_upstreams(config, entry))
        .filter(|record| seen.insert(record.id.as_str()))
        .collect()
}

fn peer_records(
    config: &FleetConfig,
    agents: &HashMap<&str, &HostRecord>,
    upstreams: &[&UpstreamRecord],
) -> Arc<[PeerRecord]> {
    upstreams
        .iter()
        .filter_map(|upstream| agents.get(upstream.id.as_str()))
        .map(|host| peer_record(config, host))
        .collect()
}

fn peer_record(config: &FleetConfig, host: &HostRecord) -> PeerRecord {
    let region = config.region_of(&host.data_centre).unwrap_or(&host.data_centre);
    PeerRecord {
        host: host.id.clone(),
        data_centre: host.data_centre.clone(),
        region: region.clone(),
    }
}
