//! Sizes and addresses of a fleet on loopback, and the configuration that describes it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use base::{DataCentreId, UpstreamId};
use compact_str::{CompactString, ToCompactString, format_compact};
use config::{
    DataCentreRecord, FencingMode, FleetConfig, HostList, HostRecord, HostRole, HostState,
    ModelRecord, ModelVersion, PresetModel, PresetName, PresetRule, ServiceRecord, TeamRecord,
    UpstreamKind, UpstreamRecord,
};
use rand::RngExt;

use crate::platform::catalog::WeightImage;

/// Ports of a host on its own loopback address.
const HTTP_PORT: u16 = 7080;
const PEER_PORT: u16 = 7070;
const RELAY_PORT: u16 = 7060;
const ADMIN_PORT: u16 = 7090;
const UPSTREAM_PORT: u16 = 7100;
/// First host number of agents in a block.
const FIRST_AGENT: u8 = 100;
/// First host number of replaced agents in a block.
const FIRST_REPLACEMENT: u8 = 200;
/// Hosts of the stand-ins in a block.
const PLATFORM_HOST: u8 = 1;
const STORE_HOST: u8 = 2;
const ORIGIN_HOST: u8 = 3;
/// Largest number of entries or agents in a block.
const MAX_HOSTS: u32 = 90;
/// Memory of a model engine, in MiB.
const ENGINE_MEMORY_MIB: u64 = 1 << 10;

/// Block of loopback addresses; concurrent fleets on one host use different blocks.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackBlock {
    second: u8,
    third: u8,
}

impl LoopbackBlock {
    /// Draws a block.
    #[must_use]
    pub fn random() -> Self {
        let mut rng = rand::rng();
        Self { second: rng.random_range(10..250), third: rng.random_range(0..=255) }
    }

    /// The block of this number; different numbers below 61,440 give different blocks.
    #[must_use]
    pub fn numbered(number: u16) -> Self {
        let [third, second] = number.to_le_bytes();
        Self { second: 10 + second % 240, third }
    }

    fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host)), port)
    }

    /// Address of the configuration service.
    #[must_use]
    pub fn platform(self) -> SocketAddr {
        self.address(PLATFORM_HOST, UPSTREAM_PORT)
    }

    /// Address of the weight store.
    #[must_use]
    pub fn store(self) -> SocketAddr {
        self.address(STORE_HOST, UPSTREAM_PORT)
    }

    /// Address of the origin.
    #[must_use]
    pub fn origin(self) -> SocketAddr {
        self.address(ORIGIN_HOST, UPSTREAM_PORT)
    }

    /// Address for a forwarder that is not part of the system.
    #[must_use]
    pub fn forwarder(self) -> SocketAddr {
        self.address(PLATFORM_HOST, HTTP_PORT)
    }
}

/// Sizes of a fleet.
#[derive(Clone, Debug)]
pub struct LayoutOptions {
    /// Data centres.
    pub data_centres: Vec<DataCentreId>,
    /// Entries.
    pub entries: u32,
    /// Model engines.
    pub models: u32,
    /// Booking services.
    pub bookings: u32,
    /// Office services.
    pub offices: u32,
    /// Teams.
    pub teams: u32,
    /// Work that a cold upstream bears.
    pub cold_limit: u32,
    /// Work that a warm upstream bears.
    pub warm_limit: u32,
}

impl Default for LayoutOptions {
    /// Today's sizes of the organisation in Ahmedabad.
    fn default() -> Self {
        Self {
            data_centres: ["rajkot-a", "bhuj-a", "surat-a"].map(CompactString::from).to_vec(),
            entries: 8,
            models: 16,
            bookings: 3,
            offices: 1,
            teams: 10,
            cold_limit: 4,
            warm_limit: 16,
        }
    }
}

/// An entry or agent with its addresses.
#[derive(Clone, Debug)]
pub struct HostPlan {
    /// Id of the host.
    pub id: CompactString,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Upstream beside the agent; `None` for entries.
    pub upstream: Option<UpstreamId>,
    /// Service of the upstream; `None` for model engines and entries.
    pub service: Option<CompactString>,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for frames that the process listens on.
    pub peer: SocketAddr,
    /// Address for frames that the host list names.
    pub relay: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address of the upstream.
    pub upstream_address: SocketAddr,
}

/// Hosts of a fleet.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// Sizes.
    pub options: LayoutOptions,
    /// Addresses.
    pub block: LoopbackBlock,
    /// Entries.
    pub entries: Vec<HostPlan>,
    /// Agents.
    pub agents: Vec<HostPlan>,
}

impl FleetLayout {
    /// Spreads the hosts over the data centres.
    ///
    /// # Panics
    /// Panics if the options name no data centre or more hosts than a block has.
    #[must_use]
    pub fn new(options: LayoutOptions, block: LoopbackBlock) -> Self {
        let upstreams = options.models + options.bookings + options.offices;
        assert!(options.entries <= MAX_HOSTS && upstreams <= MAX_HOSTS, "too many hosts");
        let kinds = [
            ("model", None, options.models),
            ("booking", Some("booking"), options.bookings),
            ("office", Some("office"), options.offices),
        ];
        let agents = kinds.into_iter().flat_map(|(kind, service, count)| {
            (1..=count).map(move |number| (format_compact!("{kind}-{number:02}"), service))
        });
        let data_centre =
            |index: usize| options.data_centres[index % options.data_centres.len()].clone();
        let entries = (0..options.entries as usize)
            .map(|index| {
                let id = format_compact!("entry-{:02}", index + 1);
                HostPlan::new(id, data_centre(index), 10 + index as u8, block)
            })
            .collect();
        let agents = agents
            .enumerate()
            .map(|(index, (upstream, service))| HostPlan {
                service: service.map(CompactString::from),
                upstream: Some(upstream.clone()),
                ..HostPlan::new(
                    format_compact!("host-{upstream}"),
                    data_centre(index),
                    FIRST_AGENT + index as u8,
                    block,
                )
            })
            .collect();
        Self { options, block, entries, agents }
    }

    /// Host list with every host live.
    #[must_use]
    pub fn host_list(&self) -> HostList {
        let entries = self.entries.iter().map(|plan| plan.record(HostRole::Entry));
        let agents = self.agents.iter().map(|plan| plan.record(HostRole::Agent));
        HostList { version: 1, hosts: entries.chain(agents).collect() }
    }

    /// Configuration without models, in preset `ordinary`.
    #[must_use]
    pub fn config(&self) -> FleetConfig {
        let region = CompactString::const_new("gujarat");
        let data_centres = self.options.data_centres.iter().map(|id| DataCentreRecord {
            id: id.clone(),
            region: region.clone(),
            out: false,
        });
        let teams = (1..=self.options.teams).map(|number| TeamRecord {
            id: format_compact!("team-{number:02}"),
            organisation: CompactString::const_new("sahyog"),
            share: if number <= 2 { 4 } else { 1 },
        });
        let services = [("booking", false), ("office", true)];
        FleetConfig {
            revision: 1,
            preset: PresetName::Ordinary,
            teams: teams.collect(),
            data_centres: data_centres.collect(),
            upstreams: self.agents.iter().filter_map(|plan| self.upstream(plan)).collect(),
            models: Vec::new(),
            adapters: Vec::new(),
            services: services
                .map(|(id, idempotent)| ServiceRecord { id: id.to_compact_string(), idempotent })
                .to_vec(),
            presets: PresetName::ALL.map(|id| PresetRule { id, models: Vec::new() }).to_vec(),
        }
    }

    /// Another host for the agent of `plan`, with other addresses.
    #[must_use]
    pub fn replacement(&self, plan: &HostPlan) -> HostPlan {
        let position = self.agents.iter().position(|other| other.upstream == plan.upstream);
        let host = FIRST_REPLACEMENT + position.unwrap_or_default() as u8;
        let new = HostPlan::new(
            format_compact!("{}-b", plan.id),
            plan.data_centre.clone(),
            host,
            self.block,
        );
        HostPlan {
            upstream: plan.upstream.clone(),
            service: plan.service.clone(),
            upstream_address: plan.upstream_address,
            ..new
        }
    }

    fn upstream(&self, plan: &HostPlan) -> Option<UpstreamRecord> {
        let is_model = plan.service.is_none();
        Some(UpstreamRecord {
            id: plan.upstream.clone()?,
            host: plan.id.clone(),
            data_centre: plan.data_centre.clone(),
            kind: if is_model { UpstreamKind::Model } else { UpstreamKind::Service },
            service: plan.service.clone(),
            fencing: if is_model { FencingMode::Checked } else { FencingMode::Ignored },
            cold_limit: self.options.cold_limit,
            warm_limit: self.options.warm_limit,
            memory_mib: if is_model { ENGINE_MEMORY_MIB } else { 0 },
        })
    }
}

impl HostPlan {
    fn new(id: CompactString, data_centre: DataCentreId, host: u8, block: LoopbackBlock) -> Self {
        Self {
            id,
            data_centre,
            upstream: None,
            service: None,
            http: block.address(host, HTTP_PORT),
            peer: block.address(host, PEER_PORT),
            relay: block.address(host, RELAY_PORT),
            admin: block.address(host, ADMIN_PORT),
            upstream_address: block.address(host, UPSTREAM_PORT),
        }
    }

    /// Record of an agent in the host list.
    #[must_use]
    pub fn agent_record(&self) -> HostRecord {
        self.record(HostRole::Agent)
    }

    fn record(&self, role: HostRole) -> HostRecord {
        HostRecord {
            id: self.id.clone(),
            data_centre: self.data_centre.clone(),
            role,
            upstream: self.upstream.clone(),
            http: (role == HostRole::Entry).then_some(self.http),
            peer: self.relay,
            state: HostState::Live,
        }
    }
}

/// Adds a model with one version, and wants `replicas` of it in every preset.
pub fn add_model(config: &mut FleetConfig, id: &str, image: &WeightImage, replicas: [u32; 3]) {
    config.models.push(ModelRecord {
        id: id.into(),
        versions: vec![version("v1", image)],
        current: "v1".into(),
        previous: None,
    });
    for (rule, replicas) in config.presets.iter_mut().zip(replicas) {
        if replicas > 0 {
            rule.models.push(PresetModel {
                model: id.into(),
                replicas,
                priority: 1,
                floor: replicas / 2,
            });
        }
    }
}

/// Makes another version of a model the current one; the version so far becomes the previous one.
///
/// # Panics
/// Panics if the model is not registered.
pub fn replace_version(config: &mut FleetConfig, id: &str, name: &str, image: &WeightImage) {
    let model = config.models.iter_mut().find(|record| record.id == id);
    let model = model.expect("the model is registered");
    model.versions.push(version(name, image));
    model.previous = Some(std::mem::replace(&mut model.current, name.into()));
}

/// Takes a data centre out, or brings it back.
pub fn set_out(config: &mut FleetConfig, data_centre: &str, out: bool) {
    for record in &mut config.data_centres {
        if record.id == data_centre {
            record.out = out;
        }
    }
}

fn version(name: &str, image: &WeightImage) -> ModelVersion {
    ModelVersion {
        name: name.into(),
        manifest: image.digest,
        size_bytes: image.weights.len() as u64,
    }
}
