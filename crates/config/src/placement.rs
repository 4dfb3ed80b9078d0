//! Placement of weights on upstreams: a pure function of the configuration, so all processes agree on it.

use base::{ContentDigest, ModelId, rendezvous_weight};

use crate::fleet::{FleetConfig, PresetModel, PresetRule, UpstreamKind, UpstreamRecord};

const MIB: u64 = 1 << 20;

/// Weights of a model or adapter that an upstream should hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedModel {
    /// Id of the model or adapter.
    pub model: ModelId,
    /// Manifest of the version to hold.
    pub manifest: ContentDigest,
    /// Size of the weights in bytes.
    pub size_bytes: u64,
    /// Transfer priority; higher values are transferred first.
    pub priority: u32,
    /// Minimum number of ready upstreams during a rollout of another version.
    pub floor: u32,
    /// True if the active preset serves it on this upstream; false if it is prefetched for another preset.
    pub active: bool,
}

/// Lists the weights that `upstream` should hold, most urgent first, limited to its memory.
///
/// Models of the active preset come first. Models of the other presets follow as far as memory allows, so that a switch
/// of the preset needs only a load order and no transfer.
#[must_use]
pub fn wanted_models(config: &FleetConfig, upstream: &UpstreamRecord) -> Vec<WantedModel> {
    let mut wanted = Vec::new();
    if upstream.kind != UpstreamKind::Model {
        return wanted;
    }
    let active_rule = config.presets.iter().filter(|rule| rule.id == config.preset);
    let other_rules = config.presets.iter().filter(|rule| rule.id != config.preset);
    let mut memory_left = upstream.memory_mib.saturating_mul(MIB);
    for rule in active_rule.chain(other_rules) {
        add_models_of_rule(config, upstream, rule, &mut memory_left, &mut wanted);
    }
    wanted
}

fn add_models_of_rule(
    config: &FleetConfig,
    upstream: &UpstreamRecord,
    rule: &PresetRule,
    memory_left: &mut u64,
    wanted: &mut Vec<WantedModel>,
) {
    let active = rule.id == config.preset;
    let mut models: Vec<_> = rule.models.iter().collect();
    models.sort_by(|left, right| {
        right.priority.cmp(&left.priority).then_with(|| left.model.cmp(&right.model))
    });
    for preset_model in models {
        if !is_replica(config, upstream, preset_model) {
            continue;
        }
        for model in weights_for(config, preset_model, active) {
            let is_listed =
                wanted.iter().any(|other: &WantedModel| other.manifest == model.manifest);
            if !is_listed && model.size_bytes <= *memory_left {
                *memory_left -= model.size_bytes;
                wanted.push(model);
            }
        }
    }
}

/// Returns the weights of the model's current version, followed by its adapters.
fn weights_for(config: &FleetConfig, preset_model: &PresetModel, active: bool) -> Vec<WantedModel> {
    let version = config.model(&preset_model.model).and_then(|record| record.current_version());
    let model_weights =
        version.map(|version| (&preset_model.model, version.manifest, version.size_bytes));
    let adapters = config.adapters.iter().filter(|record| record.model == preset_model.model);
    model_weights
        .into_iter()
        .chain(adapters.map(|record| (&record.id, record.manifest, record.size_bytes)))
        .map(|(model, manifest, size_bytes)| WantedModel {
            model: model.clone(),
            manifest,
            size_bytes,
            priority: preset_model.priority,
            floor: preset_model.floor,
            active,
        })
        .collect()
}

fn is_replica(config: &FleetConfig, upstream: &UpstreamRecord, preset_model: &PresetModel) -> bool {
    replica_upstreams(config, preset_model).iter().any(|record| record.id == upstream.id)
}

/// Returns the upstreams that hold the replicas of a model, in rendezvous order.
///
/// Upstreams in data centres that are out of service keep their rank and their weights, so that nothing has to be
/// transferred when they return. They do not count as replicas meanwhile; the next ranks are added instead.
#[must_use]
pub fn replica_upstreams<'a>(
    config: &'a FleetConfig,
    preset_model: &PresetModel,
) -> Vec<&'a UpstreamRecord> {
    let models = config.upstreams.iter().filter(|record| record.kind == UpstreamKind::Model);
    let mut ranked: Vec<_> = models
        .map(|record| (rendezvous_weight(preset_model.model.as_bytes(), &record.id), record))
        .collect();
    ranked.sort_unstable_by(|(left, left_record), (right, right_record)| {
        (right, &right_record.id).cmp(&(left, &left_record.id))
    });
    let mut in_service = 0;
    let mut replicas = Vec::new();
    for (_, record) in ranked {
        if in_service >= preset_model.replicas {
            break;
        }
        replicas.push(record);
        in_service += u32::from(!config.is_out_of_service(&record.data_centre));
    }
    replicas
}
