//! The fleet configuration that operators publish, and the settings of individual processes.
//!
//! Whether a document is accepted depends only on its bytes, so all processes reach the same decision without
//! coordination.

pub mod check;
pub mod diff;
pub mod fleet;
pub mod hosts;
pub mod placement;
pub mod settings;

pub use crate::{
    check::{ConfigError, ConfigFault},
    diff::{ChangeKind, ConfigDiff, FieldChange, ItemChange},
    fleet::{
        AdapterRecord, DataCentreRecord, FencingMode, FleetConfig, ModelRecord, ModelVersion,
        PresetModel, PresetName, PresetRule, ServiceRecord, TeamRecord, UpstreamKind,
        UpstreamRecord,
    },
    hosts::{HostList, HostRecord, HostRole, HostState},
    placement::{WantedModel, replica_upstreams, wanted_models},
    settings::{AgentSettings, EntrySettings, ObjectiveSetting, ObjectiveSettings, SettingsError},
};
