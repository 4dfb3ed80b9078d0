//! Size and addresses of a fleet on loopback, and the configuration that describes it.

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

/// Ports of a host; each host has its own loopback address.
const HTTP_PORT: u16 = 7080;
const PEER_PORT: u16 = 7070;
const RELAY_PORT: u16 = 7060;
const ADMIN_PORT: u16 = 7090;
const UPSTREAM_PORT: u16 = 7100;
/// Last address byte of the first agent in a block.
const FIRST_AGENT_HOST: u8 = 100;
/// Last address byte of the first replacement host in a block.
const FIRST_REPLACEMENT_HOST: u8 = 200;
/// Last address bytes of the stand-ins in a block.
const PLATFORM_HOST: u8 = 1;
const STORE_HOST: u8 = 2;
const ORIGIN_HOST: u8 = 3;
/// Maximum number of entries, and of agents, in a block.
const MAX_HOSTS: u32 = 90;
/// Memory of a model engine for weights, in MiB.
const ENGINE_MEMORY_MIB: u64 = 1 << 10;

/// A /24 block of loopback addresses; concurrent fleets on one machine must use different blocks.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackBlock {
    second: u8,
    third: u8,
}

impl LoopbackBlock {
    /// Chooses a random block.
    #[must_use]
    pub fn random() -> Self {
        let mut rng = rand::rng();
        Self { second: rng.random_range(10..250), third: rng.random_range(0..=255) }
    }

    /// Returns the block with this number; different numbers below 61,440 give different blocks.
    #[must_use]
    pub fn from_number(number: u16) -> Self {
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

    /// Address of the origin of the weights.
    #[must_use]
    pub fn origin(self) -> SocketAddr {
        self.address(ORIGIN_HOST, UPSTREAM_PORT)
    }

    /// Address of the naive forwarder that measurements compare with.
    #[must_use]
    pub fn forwarder(self) -> SocketAddr {
        self.address(PLATFORM_HOST, HTTP_PORT)
    }
}

/// Size of a fleet and concurrency limits of its upstreams.
#[derive(Clone, Debug)]
pub struct LayoutOptions {
    /// Ids of the data centres; hosts are assigned to them in turn.
    pub data_centres: Vec<DataCentreId>,
    /// Number of entries.
    pub entries: u32,
    /// Number of model engines.
    pub models: u32,
    /// Number of booking service upstreams.
    pub bookings: u32,
    /// Number of office service upstreams.
    pub offices: u32,
    /// Number of teams; the first two have a larger share.
    pub teams: u32,
    /// Concurrency limit of a cold upstream.
    pub cold_limit: u32,
    /// Concurrency limit of a warm upstream.
    pub warm_limit: u32,
}

impl Default for LayoutOptions {
    /// Current fleet size of the organisation in Ahmedabad.
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

/// Placement and addresses of an entry or agent.
#[derive(Clone, Debug)]
pub struct HostPlan {
    /// Id of the host.
    pub id: CompactString,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Upstream that the agent manages; `None` for entries.
    pub upstream: Option<UpstreamId>,
    /// Service of the upstream; `None` for model engines and entries.
    pub service: Option<CompactString>,
    /// Address that callers send requests to; used by entries only.
    pub http: SocketAddr,
    /// Address that the node listens on for messages of peers.
    pub peer: SocketAddr,
    /// Address of the relay in front of `peer`, published in the host list.
    pub relay: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address of the upstream; used by agents only.
    pub upstream_address: SocketAddr,
}

/// Placement and addresses of all hosts of a fleet.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// Options that the layout was created from.
    pub options: LayoutOptions,
    /// Block that all addresses belong to.
    pub block: LoopbackBlock,
    /// Hosts of the entries.
    pub entries: Vec<HostPlan>,
    /// Hosts of the agents.
    pub agents: Vec<HostPlan>,
}

impl FleetLayout {
    /// Creates a layout that assigns the hosts to the data centres in turn.
    ///
    /// # Panics
    /// Panics if the options contain no data centre, or more than 90 entries or 90 upstreams.
    #[must_use]
    pub fn new(options: LayoutOptions, block: LoopbackBlock) -> Self {
        let upstreams = options.models + options.bookings + options.offices;
        assert!(
            options.entries <= MAX_HOSTS && upstreams <= MAX_HOSTS,
            "more than {MAX_HOSTS} entries or upstreams"
        );
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
                    FIRST_AGENT_HOST + index as u8,
                    block,
                )
            })
            .collect();
        Self { options, block, entries, agents }
    }

    /// Host list with every host in state `live`.
    #[must_use]
    pub fn host_list(&self) -> HostList {
        let entries = self.entries.iter().map(|plan| plan.record(HostRole::Entry));
        let agents = self.agents.iter().map(|plan| plan.record(HostRole::Agent));
        HostList { version: 1, hosts: entries.chain(agents).collect() }
    }

    /// Initial configuration: preset `ordinary` and no models.
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

    /// Plan for a replacement host of the agent of `plan`, with new addresses and the same upstream.
    #[must_use]
    pub fn replacement(&self, plan: &HostPlan) -> HostPlan {
        let position = self.agents.iter().position(|other| other.upstream == plan.upstream);
        let host = FIRST_REPLACEMENT_HOST + position.unwrap_or_default() as u8;
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

    /// Record of this host in the host list, as an agent.
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

/// Adds a model with one version; `replicas` is its number of replicas in each preset, in the order of
/// [`PresetName::ALL`]. Presets with 0 replicas do not include the model.
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

/// Adds a version of a model and makes it current; the version that was current becomes the previous one.
///
/// # Panics
/// Panics if the configuration has no model with this id.
pub fn replace_version(config: &mut FleetConfig, id: &str, name: &str, image: &WeightImage) {
    let model = config.models.iter_mut().find(|record| record.id == id);
    let model = model.expect("the configuration contains the model");
    model.versions.push(version(name, image));
    model.previous = Some(std::mem::replace(&mut model.current, name.into()));
}

/// Takes a data centre out of service, or returns it to service if `out` is false.
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
