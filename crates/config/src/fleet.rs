//! Types of the fleet configuration document.

use std::fmt;

use base::{
    ContentDigest, DataCentreId, HostId, ModelId, RegionId, Revision, ServiceId, TeamId,
    UpstreamId, VersionName,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::check::{self, ConfigError};

/// One published configuration of the whole fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Rises with every publication.
    pub revision: Revision,
    /// The preset in force.
    pub preset: PresetName,
    /// Teams and their shares.
    pub teams: Vec<TeamRecord>,
    /// Data centres, with those that are out of service.
    pub data_centres: Vec<DataCentreRecord>,
    /// Registered upstreams.
    pub upstreams: Vec<UpstreamRecord>,
    /// Models and their versions.
    pub models: Vec<ModelRecord>,
    /// Adapters of models.
    #[serde(default)]
    pub adapters: Vec<AdapterRecord>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<ServiceRecord>,
    /// What each preset wants.
    pub presets: Vec<PresetRule>,
}

/// Name of a preset; operators switch between these three.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PresetName {
    /// Ordinary days.
    Ordinary,
    /// Peaks of demand.
    Peak,
    /// Maintenance.
    Maintenance,
}

/// A team and its share of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamRecord {
    /// Id of the team.
    pub id: TeamId,
    /// Organisation that the team belongs to.
    pub organisation: CompactString,
    /// Relative weight when upstreams are contended; at least 1.
    pub share: u32,
}

/// A data centre and whether operators have taken it out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreRecord {
    /// Id of the data centre.
    pub id: DataCentreId,
    /// Region of the data centre.
    pub region: RegionId,
    /// True while operators have taken it out of service.
    #[serde(default)]
    pub out: bool,
}

/// What an upstream runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// What an engine does with the fencing number of a load order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingMode {
    /// The engine refuses an order with an old fencing number.
    Checked,
    /// The engine ignores the number; the agent keeps one order in flight and reads the outcome back.
    #[default]
    Ignored,
}

/// A registered upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRecord {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Host that it runs on.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Model engine or plain service.
    pub kind: UpstreamKind,
    /// The service that it runs; only for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// What its engine does with fencing numbers; only for model engines.
    #[serde(default)]
    pub fencing: FencingMode,
    /// Concurrent requests that it bears just after a cold start; at least 1.
    pub cold_limit: u32,
    /// Concurrent requests that it bears when warm; at least `cold_limit`.
    pub warm_limit: u32,
    /// Memory for weights in MiB; only for model engines.
    #[serde(default)]
    pub memory_mib: u64,
}

/// One version of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// Name of the version.
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
    /// Registered versions.
    pub versions: Vec<ModelVersion>,
    /// Version to serve.
    pub current: VersionName,
    /// Version that may still serve while `current` is rolled out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<VersionName>,
}

/// An adapter; it is distributed like a model and loaded beside it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterRecord {
    /// Id of the adapter.
    pub id: ModelId,
    /// Model that it adapts.
    pub model: ModelId,
    /// Digest of the manifest that lists its chunks.
    pub manifest: ContentDigest,
    /// Size of the weights in bytes.
    pub size_bytes: u64,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRecord {
    /// Id of the service.
    pub id: ServiceId,
    /// True if its calls may be repeated.
    pub idempotent: bool,
}

/// What a preset wants of one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PresetModel {
    /// Id of the model.
    pub model: ModelId,
    /// Upstreams that should hold the model.
    pub replicas: u32,
    /// Order of transfers and of placement; higher goes first.
    #[serde(default)]
    pub priority: u32,
    /// Ready upstreams that a change of version must keep.
    #[serde(default)]
    pub floor: u32,
}

/// The models that a preset wants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PresetRule {
    /// Name of the preset.
    pub id: PresetName,
    /// Models that it wants.
    pub models: Vec<PresetModel>,
}

impl FleetConfig {
    /// Largest document that is accepted, in bytes; the configuration service holds no larger value.
    pub const MAX_BYTES: usize = 1 << 20;

    /// Parses and checks a document.
    ///
    /// # Errors
    /// Fails if the document is too large, is no JSON of this shape, or breaks a rule; lists every broken rule.
    pub fn parse(document: &[u8]) -> Result<Self, ConfigError> {
        check::parse(document)
    }

    /// Canonical bytes of the document: compact JSON in field order.
    ///
    /// # Panics
    /// Never: every field serialises.
    #[must_use]
    pub fn canonical_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a fleet configuration serialises to JSON")
    }

    /// Digest of the canonical bytes.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        ContentDigest::of(&self.canonical_bytes())
    }

    /// True if the data centre is registered and operators have taken it out.
    #[must_use]
    pub fn is_out(&self, data_centre: &str) -> bool {
        self.data_centres.iter().any(|record| record.id == data_centre && record.out)
    }

    /// Region of a data centre, if it is registered.
    #[must_use]
    pub fn region_of(&self, data_centre: &str) -> Option<&RegionId> {
        self.data_centres
            .iter()
            .find(|record| record.id == data_centre)
            .map(|record| &record.region)
    }

    /// The registered upstream of this id.
    #[must_use]
    pub fn upstream(&self, id: &str) -> Option<&UpstreamRecord> {
        self.upstreams.iter().find(|record| record.id == id)
    }

    /// The registered model of this id.
    #[must_use]
    pub fn model(&self, id: &str) -> Option<&ModelRecord> {
        self.models.iter().find(|record| record.id == id)
    }

    /// The registered service of this id.
    #[must_use]
    pub fn service(&self, id: &str) -> Option<&ServiceRecord> {
        self.services.iter().find(|record| record.id == id)
    }

    /// The registered team of this id.
    #[must_use]
    pub fn team(&self, id: &str) -> Option<&TeamRecord> {
        self.teams.iter().find(|record| record.id == id)
    }

    /// Rule of the preset in force.
    #[must_use]
    pub fn preset_rule(&self) -> Option<&PresetRule> {
        self.presets.iter().find(|rule| rule.id == self.preset)
    }
}

impl ModelRecord {
    /// The version of this name.
    #[must_use]
    pub fn version(&self, name: &str) -> Option<&ModelVersion> {
        self.versions.iter().find(|version| version.name == name)
    }

    /// The version to serve.
    #[must_use]
    pub fn current_version(&self) -> Option<&ModelVersion> {
        self.version(&self.current)
    }

    /// The version that may still serve during a change.
    #[must_use]
    pub fn previous_version(&self) -> Option<&ModelVersion> {
        self.previous.as_ref().and_then(|name| self.version(name))
    }
}

impl PresetName {
    /// All presets.
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
