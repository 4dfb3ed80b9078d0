//! Generates the documents that the measurement publishes: configurations, their changes, and the host list.

use std::net::SocketAddr;

use base::{ContentDigest, DataCentreId, HostId};
use compact_str::format_compact;
use config::{
    DataCentreRecord, FencingMode, FleetConfig, HostList, HostRecord, HostRole, HostState,
    ModelRecord, ModelVersion, PresetModel, PresetName, PresetRule, TeamRecord, UpstreamKind,
    UpstreamRecord,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const DATA_CENTRES: [(&str, &str); 7] = [
    ("rajkot-a", "saurashtra"),
    ("bhuj-a", "saurashtra"),
    ("surat-a", "south-gujarat"),
    ("bannau", "wales"),
    ("elan", "wales"),
    ("eryri", "wales"),
    ("surat-b", "south-gujarat"),
];
const MODELS: usize = 40;
/// One in this many changes removes an upstream and inserts a new one at a random position of the list.
const CHANGES_PER_REPLACEMENT: u32 = 10;

pub(super) fn data_centre(index: usize) -> DataCentreId {
    DATA_CENTRES[index % DATA_CENTRES.len()].0.into()
}

pub(super) fn host_id(index: usize) -> HostId {
    format_compact!("host-{index}")
}

/// Builds the first configuration, with the given number of upstreams.
pub(super) fn config(upstreams: usize) -> FleetConfig {
    let model = |index: usize| ModelRecord {
        id: format_compact!("model-{index}"),
        versions: vec![ModelVersion {
            name: "v1".into(),
            manifest: ContentDigest::of(&index.to_le_bytes()),
            size_bytes: 1 << 30,
        }],
        current: "v1".into(),
        previous: None,
    };
    let preset_model = |index: usize| PresetModel {
        model: format_compact!("model-{index}"),
        replicas: 4,
        priority: 0,
        floor: 1,
    };
    FleetConfig {
        revision: 1,
        preset: PresetName::Ordinary,
        teams: (0..20)
            .map(|index| TeamRecord {
                id: format_compact!("team-{index}"),
                organisation: "sahyog".into(),
                share: 1,
            })
            .collect(),
        data_centres: DATA_CENTRES
            .into_iter()
            .map(|(id, region)| DataCentreRecord {
                id: id.into(),
                region: region.into(),
                out: false,
            })
            .collect(),
        upstreams: (0..upstreams).map(|index| upstream(index as u64)).collect(),
        models: (0..MODELS).map(model).collect(),
        adapters: Vec::new(),
        services: Vec::new(),
        presets: PresetName::ALL
            .into_iter()
            .map(|id| PresetRule { id, models: (0..MODELS).map(preset_model).collect() })
            .collect(),
    }
}

fn upstream(number: u64) -> UpstreamRecord {
    UpstreamRecord {
        id: format_compact!("upstream-{number}"),
        host: format_compact!("worker-{number}"),
        data_centre: DATA_CENTRES[number as usize % DATA_CENTRES.len()].0.into(),
        kind: UpstreamKind::Model,
        service: None,
        fencing: FencingMode::Checked,
        cold_limit: 2,
        warm_limit: 16,
        memory_mib: 80_000,
    }
}

/// Produces the next revision. Usually the limit of one upstream changes; sometimes an upstream is replaced.
pub(super) fn change_config(config: &mut FleetConfig, rng: &mut ChaCha8Rng) {
    config.revision += 1;
    let index = rng.random_range(0..config.upstreams.len());
    if rng.random_range(0..CHANGES_PER_REPLACEMENT) == 0 {
        config.upstreams.remove(index);
        let position = rng.random_range(0..=config.upstreams.len());
        // Offset by 1,000,000 so that the new id differs from all ids of the first configuration.
        config.upstreams.insert(position, upstream(1_000_000 + config.revision));
    } else {
        config.upstreams[index].warm_limit = rng.random_range(2..64);
    }
}

/// Builds a host list of the running nodes, padded to `listed` hosts. The padding hosts are listed as leaving, so that
/// nothing connects to them.
pub(super) fn host_list(peers: &[SocketAddr], listed: usize) -> HostList {
    let record = |index: usize| {
        let running = peers.get(index);
        HostRecord {
            id: host_id(index),
            data_centre: data_centre(index),
            role: HostRole::Agent,
            upstream: Some(format_compact!("upstream-{index}")),
            http: None,
            peer: running.copied().unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 9))),
            state: if running.is_some() { HostState::Live } else { HostState::Leaving },
        }
    };
    HostList { version: 1, hosts: (0..listed.max(peers.len())).map(record).collect() }
}
