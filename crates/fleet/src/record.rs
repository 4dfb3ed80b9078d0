//! Records that make up the state of the fleet.

use std::{net::SocketAddr, time::Duration};

use base::{DataCentreId, ModelId, RegionId, ServiceId, TeamId, UpstreamId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Version number of a model's weights; increases with every declaration.
pub type WeightsVersion = u64;

/// Whether a request may be retried after it may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RetryPolicy {
    /// The request may be run again after any failure.
    Idempotent,
    /// The request may run at most once each time the caller sends it.
    Once,
    /// The response is a stream of events. It may be retried only if another upstream can resume it after the last
    /// delivered event.
    Stream {
        /// True if another upstream may resume the stream.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// True if a request that may have run may be sent again.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// True if the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that serves a route, with its share of the route's traffic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteBackend {
    /// Service that receives the share.
    pub service: ServiceId,
    /// Share relative to the sum of the weights of all backends.
    pub weight: u32,
}

/// A route: maps requests by host name and path to services and sets their limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteRecord {
    /// Name of the route in logs.
    pub name: CompactString,
    /// Host name in the request.
    pub host: CompactString,
    /// Path prefix; begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether requests of the route may be retried.
    pub repeat: RetryPolicy,
    /// Maximum time that a caller waits for the response.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// Maximum time between two events of a stream that is on time; `None` if there is no such target.
    pub target_gap: Option<Duration>,
    /// Priority of requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve the route, with their shares; never empty.
    pub backends: Vec<RouteBackend>,
    /// Maximum number of upstreams to which one request of a caller is sent.
    pub max_attempts: u32,
    /// True if callers need no key.
    pub public: bool,
    /// Regions that may serve the route; empty if all may.
    pub allowed_regions: Vec<RegionId>,
}

/// Performance of an engine, from which latencies are predicted.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineCosts {
    /// Time of one step of token generation.
    pub step: Duration,
    /// Additional time of a step for each request that is generating.
    pub step_per_request: Duration,
    /// Additional time of a step for each 1,000 tokens of context.
    pub step_per_context: Duration,
    /// Prefill rate of an otherwise idle engine, in prompt tokens per second.
    #[serde(rename = "read_per_second")]
    pub prefill_per_second: f64,
    /// Number of steps between two admissions of new requests.
    pub stride: u32,
    /// Maximum number of prompt tokens in the prefill of one pass, between the steps of running requests.
    #[serde(rename = "chunk")]
    pub prefill_chunk: u32,
}

/// A model that an engine can load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineModel {
    /// Id of the model whose weights the engine loads.
    pub model: ModelId,
    /// Time to load all layers from the staging area.
    pub warmup: Duration,
}

/// Properties of the engines of a model service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineRecord {
    /// Maximum number of requests that an engine runs at the same time.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub memory_tokens: u64,
    /// Performance of the engine.
    pub costs: EngineCosts,
    /// Models that the engines may load.
    pub models: Vec<EngineModel>,
    /// Number of layers of a model.
    pub layers: u32,
    /// Number of chunks in one version of the weights.
    #[serde(rename = "pieces")]
    pub chunks: u32,
    /// Size of a chunk in bytes.
    #[serde(rename = "piece_bytes")]
    pub chunk_bytes: u32,
    /// Mean number of prompt tokens and of response tokens of a request.
    #[serde(rename = "usual_tokens")]
    pub mean_tokens: (u32, u32),
}

/// The origin, from which weights are downloaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginRecord {
    /// Address of the origin.
    pub address: SocketAddr,
    /// Data centre in which the origin runs.
    pub data_centre: DataCentreId,
}

/// A service, to which routes refer by its id.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceRecord {
    /// Id of the service.
    pub service: ServiceId,
    /// Maximum number of connections to one upstream from all entries together.
    pub max_connections: u32,
    /// Requests per second that a cold upstream tolerates; 0 for no limit.
    pub cold_per_second: f64,
    /// Duration of the cold period of an upstream after its start.
    pub cold_start: Duration,
    /// Properties of the engines; `None` if the service does not serve models.
    pub engine: Option<EngineRecord>,
    /// The origin of weights; `None` for all other services.
    pub origin: Option<OriginRecord>,
}

/// Limits for the connections and requests of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClientLimits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// Timeout after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A team, whose callers are identified by their keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamRecord {
    /// Id of the team.
    pub team: TeamId,
    /// Keys that identify callers of the team.
    pub keys: Vec<CompactString>,
    /// Priority of the team's requests; overrides that of the route. `None` to use the route's.
    pub priority: Option<u8>,
    /// Regions that may serve the team; empty if all may.
    pub allowed_regions: Vec<RegionId>,
}

/// The operators' configuration. Exactly one version is in force at a time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoutingConfig {
    /// Version number; increases with every change of the configuration.
    pub version: u64,
    /// Routes; among those of a host name, the one with the longest matching prefix is used.
    pub routes: Vec<RouteRecord>,
    /// Services to which the routes refer, and the origin of weights.
    pub services: Vec<ServiceRecord>,
    /// Limits for the connections and requests of callers.
    pub limits: ClientLimits,
    /// Teams that may send requests; `None` if callers need no keys.
    pub teams: Option<Vec<TeamRecord>>,
}

/// Weights that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedWeights {
    /// Model to which the weights belong.
    pub model: ModelId,
    /// Version of the weights.
    pub version: WeightsVersion,
    /// True if all layers are loaded.
    pub complete: bool,
}

/// An upstream as registered in the platform's store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// Id; usually new with each start of the process.
    pub upstream: UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ServiceId,
    /// Address of the upstream. Another upstream may reuse it later.
    pub address: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: DataCentreId,
    /// Maximum number of requests that the upstream runs at the same time.
    pub slots: u32,
    /// True if the upstream is about to stop and accepts no new requests.
    pub draining: bool,
    /// Remaining time for which the upstream is cold, as of the item's revision.
    pub cold_for: Duration,
    /// Weights that the upstream has loaded.
    pub weights: Vec<LoadedWeights>,
    /// Start of the process in Unix milliseconds; distinguishes processes with the same id.
    #[serde(rename = "born")]
    pub started_ms: u64,
}
