//! Domain types of the knowledge about the fleet.

use std::{net::SocketAddr, time::Duration};

use base::{DataCentreId, ModelId, RegionId, ServiceId, TeamId, UpstreamId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Number of a version of weights; rises with every declaration.
pub type WeightsVersion = u64;

/// How often a request may be run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepeatRule {
    /// Idempotent: may be run again after any failure.
    Idempotent,
    /// May run at most once for each attempt of the caller.
    Once,
    /// A stream of events. It is idempotent only if it may be resumed after the last event that was delivered.
    Stream {
        /// True if another upstream may continue the stream.
        resumable: bool,
    },
}

impl RepeatRule {
    /// True if a request that may have run can be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// True for streams of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service of a route and its share of the traffic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteBackend {
    /// The service.
    pub service: ServiceId,
    /// Relative share.
    pub weight: u32,
}

/// A route: which requests go to which service, under which limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteRecord {
    /// Name, for logs.
    pub name: CompactString,
    /// Host name that callers ask for.
    pub host: CompactString,
    /// Path prefix; begins and ends with a slash.
    pub prefix: CompactString,
    /// How often a request may run.
    pub repeat: RepeatRule,
    /// Longest time that a caller may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// Longest pause between events of a stream that is on time.
    pub target_gap: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their shares; never empty.
    pub backends: Vec<RouteBackend>,
    /// Upstreams to which one attempt of a caller may be sent.
    pub max_attempts: u32,
    /// True if callers need no key.
    pub public: bool,
    /// Regions that may serve the route; empty if all may.
    pub allowed_regions: Vec<RegionId>,
}

/// Costs of an engine's work, from which service times are predicted.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineCosts {
    /// Time of one step of token generation.
    pub step: Duration,
    /// Additional time of a step for each request that is generating.
    pub step_per_request: Duration,
    /// Additional time of a step for each 1,000 tokens of context.
    pub step_per_context: Duration,
    /// Prompt tokens read per second.
    pub read_per_second: f64,
    /// Steps that are executed between two admissions of new work.
    pub stride: u32,
    /// Prompt tokens that are read at most in one pass between the steps of running requests.
    pub chunk: u32,
}

/// A model that an engine can load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineModel {
    /// Id of the model.
    pub model: ModelId,
    /// Time that loading all layers from the staging area takes.
    pub warmup: Duration,
}

/// Properties of the engines of a model service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineRecord {
    /// Requests that an engine runs at the same time.
    pub slots: u32,
    /// Memory for requests, in tokens.
    pub memory_tokens: u64,
    /// Costs of the engine's work.
    pub costs: EngineCosts,
    /// Models that the engines load.
    pub models: Vec<EngineModel>,
    /// Layers of a model.
    pub layers: u32,
    /// Pieces of which the weights consist.
    pub pieces: u32,
    /// Size of a piece in bytes.
    pub piece_bytes: u32,
    /// Mean number of prompt and answer tokens of a request.
    pub usual_tokens: (u32, u32),
}

/// Where weights come from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginRecord {
    /// Address of the origin.
    pub address: SocketAddr,
    /// Data centre in which it stands.
    pub data_centre: DataCentreId,
}

/// A service that routes name.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceRecord {
    /// Id of the service.
    pub service: ServiceId,
    /// Connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// Requests per second that a cold upstream tolerates; 0 if it needs no care.
    pub cold_per_second: f64,
    /// Time during which an upstream is cold after its start.
    pub cold_start: Duration,
    /// Properties of the engines if the service serves models.
    pub engine: Option<EngineRecord>,
    /// Set if the service is the origin of weights.
    pub origin: Option<OriginRecord>,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClientLimits {
    /// Largest head of a request in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Longest time to receive a head.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A team and the keys of its callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamRecord {
    /// Id of the team.
    pub team: TeamId,
    /// Keys that name the team.
    pub keys: Vec<CompactString>,
    /// Rank of the team's requests; takes precedence over that of the route.
    pub priority: Option<u8>,
    /// Regions that may serve the team; empty if all may.
    pub allowed_regions: Vec<RegionId>,
}

/// The operators' configuration: one version of it is in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoutingConfig {
    /// Version; rises with every configuration.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRecord>,
    /// Services.
    pub services: Vec<ServiceRecord>,
    /// Limits for callers.
    pub limits: ClientLimits,
    /// Teams; `None` if callers need no keys at all.
    pub teams: Option<Vec<TeamRecord>>,
}

/// Weights that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedWeights {
    /// The model.
    pub model: ModelId,
    /// Version of its weights.
    pub version: WeightsVersion,
    /// False while only some of the layers are loaded.
    pub complete: bool,
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// Id; mostly new with each start.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: ServiceId,
    /// Its address. It may later belong to another upstream.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// True if it is about to stop.
    pub draining: bool,
    /// Time for which it stays cold, as of the item's revision.
    pub cold_for: Duration,
    /// Weights that it holds.
    pub weights: Vec<LoadedWeights>,
    /// Start of the process in Unix milliseconds; tells two processes with one id apart.
    pub born: u64,
}
