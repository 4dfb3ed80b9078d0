//! Which weights an upstream should hold: a pure function of the configuration, so that every process agrees.

use base::{ContentDigest, ModelId, rendezvous_weight};

use crate::fleet::{FleetConfig, PresetModel, PresetRule, UpstreamKind, UpstreamRecord};

/// Bytes in a MiB.
const MIB: u64 = 1 << 20;

/// Weights that an upstream should hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedModel {
    /// Model or adapter.
    pub model: ModelId,
    /// Manifest of the version to hold.
    pub manifest: ContentDigest,
    /// Size in bytes.
    pub size_bytes: u64,
    /// Order of transfers; higher goes first.
    pub priority: u32,
    /// Ready upstreams that a change of version must keep.
    pub floor: u32,
    /// True if the preset in force wants it served here; false if it is fetched ahead for another preset.
    pub active: bool,
}

/// Lists what `upstream` should hold, the most urgent first, within its memory.
///
/// The preset in force comes first. Models of the other presets follow as far as memory allows, so that switching the
/// preset is a load order and not a transfer.
#[must_use]
pub fn wanted_models(config: &FleetConfig, upstream: &UpstreamRecord) -> Vec<WantedModel> {
    let mut wanted = Vec::new();
    if upstream.kind != UpstreamKind::Model {
        return wanted;
    }
    let in_force = config.presets.iter().filter(|rule| rule.id == config.preset);
    let others = config.presets.iter().filter(|rule| rule.id != config.preset);
    let mut memory_left = upstream.memory_mib.saturating_mul(MIB);
    for rule in in_force.chain(others) {
        add_rule(config, upstream, rule, &mut memory_left, &mut wanted);
    }
    wanted
}

fn add_rule(
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
    for entry in models {
        if !is_replica(config, upstream, entry) {
            continue;
        }
        for model in weights_of(config, entry, active) {
            let held = wanted.iter().any(|other: &WantedModel| other.manifest == model.manifest);
            if !held && model.size_bytes <= *memory_left {
                *memory_left -= model.size_bytes;
                wanted.push(model);
            }
        }
    }
}

/// The current version of the model, then its adapters.
fn weights_of(config: &FleetConfig, entry: &PresetModel, active: bool) -> Vec<WantedModel> {
    let version = config.model(&entry.model).and_then(|record| record.current_version());
    let base = version.map(|version| (&entry.model, version.manifest, version.size_bytes));
    let adapters = config.adapters.iter().filter(|record| record.model == entry.model);
    base.into_iter()
        .chain(adapters.map(|record| (&record.id, record.manifest, record.size_bytes)))
        .map(|(model, manifest, size_bytes)| WantedModel {
            model: model.clone(),
            manifest,
            size_bytes,
            priority: entry.priority,
            floor: entry.floor,
            active,
        })
        .collect()
}

fn is_replica(config: &FleetConfig, upstream: &UpstreamRecord, entry: &PresetModel) -> bool {
    replica_upstreams(config, entry).iter().any(|record| record.id == upstream.id)
}

/// The first `replicas` upstreams in rendezvous order, in that order.
///
/// Upstreams of data centres that are out keep their rank: their weights stay in place for the return. Replicas that
/// are missing meanwhile are taken by the next ranks.
#[must_use]
pub fn replica_upstreams<'a>(
    config: &'a FleetConfig,
    entry: &PresetModel,
) -> Vec<&'a UpstreamRecord> {
    let models = config.upstreams.iter().filter(|record| record.kind == UpstreamKind::Model);
    let mut ranked: Vec<_> = models
        .map(|record| (rendezvous_weight(entry.model.as_bytes(), &record.id), record))
        .collect();
    ranked.sort_unstable_by(|(left, left_record), (right, right_record)| {
        (right, &right_record.id).cmp(&(left, &left_record.id))
    });
    let mut in_service = 0;
    let mut replicas = Vec::new();
    for (_, record) in ranked {
        if in_service >= entry.replicas {
            break;
        }
        replicas.push(record);
        in_service += u32::from(!config.is_out(&record.data_centre));
    }
    replicas
}
