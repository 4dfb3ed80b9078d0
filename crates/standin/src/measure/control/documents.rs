//! Documents of the measurement: a configuration of any size and its changes, and the host list.

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
/// One change in this many adds an upstream in the middle of the list and removes another.
const MOVES: u32 = 10;

pub(super) fn data_centre(index: usize) -> DataCentreId {
    DATA_CENTRES[index % DATA_CENTRES.len()].0.into()
}

pub(super) fn host_id(index: usize) -> HostId {
    format_compact!("host-{index}")
}

/// A configuration with this many upstreams.
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
    let wanted = |index: usize| PresetModel {
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
            .map(|id| PresetRule { id, models: (0..MODELS).map(wanted).collect() })
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

/// Makes the next revision: mostly one upstream's limit changes, sometimes an upstream is exchanged for a new one.
pub(super) fn change_config(config: &mut FleetConfig, rng: &mut ChaCha8Rng) {
    config.revision += 1;
    let index = rng.random_range(0..config.upstreams.len());
    if rng.random_range(0..MOVES) == 0 {
        config.upstreams.remove(index);
        let place = rng.random_range(0..=config.upstreams.len());
        // Revisions are above every number that the first configuration used.
        config.upstreams.insert(place, upstream(1_000_000 + config.revision));
    } else {
        config.upstreams[index].warm_limit = rng.random_range(2..64);
    }
}

/// A host list with the running nodes; further hosts up to `listed` are leaving, so nothing connects to them.
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
