//! Types of the fleet configuration document.

use std::fmt;

use base::{
    ContentDigest, DataCentreId, HostId, ModelId, RegionId, Revision, ServiceId, TeamId,
    UpstreamId, VersionName,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::check::{self, ConfigError};

/// Configuration of the whole fleet, as published by operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Revision of the document; increases with every publication.
    pub revision: Revision,
    /// The active preset.
    pub preset: PresetName,
    /// Teams and their shares of upstreams that several teams use at the same time.
    pub teams: Vec<TeamRecord>,
    /// All data centres, including those that are out of service.
    pub data_centres: Vec<DataCentreRecord>,
    /// All upstreams that requests may be sent to.
    pub upstreams: Vec<UpstreamRecord>,
    /// Models and their versions.
    pub models: Vec<ModelRecord>,
    /// Adapters of models.
    #[serde(default)]
    pub adapters: Vec<AdapterRecord>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<ServiceRecord>,
    /// Models that each preset places; exactly one rule for each preset.
    pub presets: Vec<PresetRule>,
}

/// Name of a preset, which operators switch by publishing a configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PresetName {
    /// Usual demand.
    Ordinary,
    /// Peak demand.
    Peak,
    /// Maintenance work on the fleet.
    Maintenance,
}

/// A team and its share of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamRecord {
    /// Id of the team.
    pub id: TeamId,
    /// Name of the organisation that the team belongs to.
    pub organisation: CompactString,
    /// Relative weight when several teams compete for an upstream; at least 1.
    pub share: u32,
}

/// A data centre, in service or out of service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreRecord {
    /// Id of the data centre.
    pub id: DataCentreId,
    /// Region of the data centre.
    pub region: RegionId,
    /// True while operators keep it out of service.
    #[serde(default)]
    pub out: bool,
}

/// Kind of process that an upstream is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// An engine that serves models.
    Model,
    /// A plain service, without models.
    Service,
}

/// How an engine handles the fencing number of a load order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingMode {
    /// The engine rejects orders with an outdated fencing number.
    Checked,
    /// The engine ignores the number; the agent sends one order at a time and reads back its result.
    #[default]
    Ignored,
}

/// A registered upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRecord {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Id of the host that it runs on.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Whether it is a model engine or a plain service.
    pub kind: UpstreamKind,
    /// The service that it runs; present only for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// How its engine handles fencing numbers; used only for model engines.
    #[serde(default)]
    pub fencing: FencingMode,
    /// Maximum number of concurrent requests right after a cold start; at least 1.
    pub cold_limit: u32,
    /// Maximum number of concurrent requests once it is warm; at least `cold_limit`.
    pub warm_limit: u32,
    /// Memory for weights in MiB; at least 1 for model engines, unused otherwise.
    #[serde(default)]
    pub memory_mib: u64,
}

/// One version of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// Name of the version, unique within the model.
    pub name: VersionName,
    /// Digest of the manifest that lists its chunks.
    pub manifest: ContentDigest,
    /// Size of the weights in bytes.
    pub size_bytes: u64,
}

/// A model with its versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRecord {
    /// Id of the model.
    pub id: ModelId,
    /// Versions that can be current or previous.
    pub versions: Vec<ModelVersion>,
    /// Version to serve.
    pub current: VersionName,
    /// Version that may still be served while `current` is rolled out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<VersionName>,
}

/// An adapter; it is distributed like a model and loaded together with it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterRecord {
    /// Id of the adapter; no model has the same id.
    pub id: ModelId,
    /// Id of the model that it adapts.
    pub model: ModelId,
    /// Digest of the manifest that lists its chunks.
    pub manifest: ContentDigest,
    /// Size of the weights in bytes.
    pub size_bytes: u64,
}

/// A plain service that upstreams run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRecord {
    /// Id of the service.
    pub id: ServiceId,
    /// True if its requests may be repeated.
    pub idempotent: bool,
}

/// Placement of one model in a preset.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PresetModel {
    /// Id of the model.
    pub model: ModelId,
    /// Number of upstreams that should hold the model; at least 1.
    pub replicas: u32,
    /// Priority in transfers and placement; higher values come first.
    #[serde(default)]
    pub priority: u32,
    /// Minimum number of ready upstreams during a rollout of another version; at most `replicas`.
    #[serde(default)]
    pub floor: u32,
}

/// The models that a preset places.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PresetRule {
    /// Name of the preset that the rule belongs to.
    pub id: PresetName,
    /// Models to place; each model appears at most once.
    pub models: Vec<PresetModel>,
}

impl FleetConfig {
    /// Maximum size of a document in bytes; the configuration service does not store larger values.
    pub const MAX_BYTES: usize = 1 << 20;

    /// Parses and checks a document.
    ///
    /// # Errors
    /// Fails if the document is larger than [`FleetConfig::MAX_BYTES`], does not have the expected JSON structure, or
    /// breaks a rule. The error lists every broken rule.
    pub fn parse(document: &[u8]) -> Result<Self, ConfigError> {
        check::parse(document)
    }

    /// Serialises the document to its canonical form: compact JSON with fields in declaration order.
    ///
    /// # Panics
    /// Never: every field can be serialised.
    #[must_use]
    pub fn canonical_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a fleet configuration serialises to JSON")
    }

    /// Computes the digest of the canonical bytes.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        ContentDigest::of(&self.canonical_bytes())
    }

    /// Returns true if the data centre is listed and out of service.
    #[must_use]
    pub fn is_out_of_service(&self, data_centre: &str) -> bool {
        self.data_centres.iter().any(|record| record.id == data_centre && record.out)
    }

    /// Returns the region of a data centre, or `None` if it is not listed.
    #[must_use]
    pub fn region_of(&self, data_centre: &str) -> Option<&RegionId> {
        self.data_centres
            .iter()
            .find(|record| record.id == data_centre)
            .map(|record| &record.region)
    }

    /// Finds an upstream by id.
    #[must_use]
    pub fn upstream(&self, id: &str) -> Option<&UpstreamRecord> {
        self.upstreams.iter().find(|record| record.id == id)
    }

    /// Finds a model by id.
    #[must_use]
    pub fn model(&self, id: &str) -> Option<&ModelRecord> {
        self.models.iter().find(|record| record.id == id)
    }

    /// Finds a plain service by id.
    #[must_use]
    pub fn service(&self, id: &str) -> Option<&ServiceRecord> {
        self.services.iter().find(|record| record.id == id)
    }

    /// Finds a team by id.
    #[must_use]
    pub fn team(&self, id: &str) -> Option<&TeamRecord> {
        self.teams.iter().find(|record| record.id == id)
    }

    /// Returns the rule of the active preset.
    #[must_use]
    pub fn preset_rule(&self) -> Option<&PresetRule> {
        self.presets.iter().find(|rule| rule.id == self.preset)
    }
}

impl ModelRecord {
    /// Finds a version by name.
    #[must_use]
    pub fn version(&self, name: &str) -> Option<&ModelVersion> {
        self.versions.iter().find(|version| version.name == name)
    }

    /// Returns the version to serve.
    #[must_use]
    pub fn current_version(&self) -> Option<&ModelVersion> {
        self.version(&self.current)
    }

    /// Returns the version that may still be served during a rollout, if any.
    #[must_use]
    pub fn previous_version(&self) -> Option<&ModelVersion> {
        self.previous.as_ref().and_then(|name| self.version(name))
    }
}

impl PresetName {
    /// All preset names, each of which needs a rule in the configuration.
    pub const ALL: [Self; 3] = [Self::Ordinary, Self::Peak, Self::Maintenance];
}

impl fmt::Display for PresetName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Ordinary => "ordinary",
            Self::Peak => "peak",
            Self::Maintenance => "maintenance",
        })
    }
}
