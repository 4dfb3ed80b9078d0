//! The fleet configuration that operators publish, and the settings of single processes.
//!
//! Accepting a document is a pure function of its bytes, so that all processes take the same decision without talking
//! to one another.

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
