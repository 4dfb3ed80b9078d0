//! Validation of the fleet configuration document.

use std::collections::HashSet;

use compact_str::{CompactString, ToCompactString, format_compact};
use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};

use crate::fleet::{FleetConfig, PresetName, UpstreamKind};

/// Maximum length of an id in bytes.
const MAX_ID_BYTES: usize = 64;

/// Reason why a document is rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The document is larger than [`FleetConfig::MAX_BYTES`].
    #[snafu(display("document has {size} bytes; at most {} are allowed", FleetConfig::MAX_BYTES))]
    TooLarge {
        /// Size of the document in bytes.
        size: usize,
    },
    /// The document is not valid JSON, or has unknown, missing or mistyped fields.
    #[snafu(display("cannot parse document: {source}"))]
    Syntax {
        /// Parser error, with line and column.
        source: serde_json::Error,
    },
    /// Values of the document break rules.
    #[snafu(display("document breaks {} rule(s), the first is: {}", faults.len(), faults[0]))]
    Invalid {
        /// Every broken rule; never empty.
        faults: Vec<ConfigFault>,
    },
}

/// A broken rule, displayed as `key = value: allowed`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Snafu)]
#[snafu(display("{key} = {value}: {allowed}"))]
pub struct ConfigFault {
    /// Path of the key, such as `teams[0].share`.
    pub key: CompactString,
    /// Value that breaks the rule; hidden for secrets.
    pub value: CompactString,
    /// Description of the allowed values.
    pub allowed: CompactString,
}

/// Collects the broken rules of a document.
#[derive(Default)]
struct FaultCollector {
    faults: Vec<ConfigFault>,
}

impl FaultCollector {
    fn push(&mut self, key: CompactString, value: impl ToCompactString, allowed: &str) {
        self.faults.push(ConfigFault {
            key,
            value: value.to_compact_string(),
            allowed: allowed.into(),
        });
    }

    fn require(
        &mut self,
        is_valid: bool,
        key: CompactString,
        value: impl ToCompactString,
        allowed: &str,
    ) {
        if !is_valid {
            self.push(key, value, allowed);
        }
    }

    fn check_ids<'a>(&mut self, section: &str, ids: impl Iterator<Item = &'a str>) {
        let mut seen = HashSet::new();
        for (index, id) in ids.enumerate() {
            let key = format_compact!("{section}[{index}].id");
            let is_well_formed = !id.is_empty()
                && id.len() <= MAX_ID_BYTES
                && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
            self.require(
                is_well_formed,
                key.clone(),
                id,
                "1 to 64 ASCII letters, digits, '-', '_' or '.'",
            );
            self.require(seen.insert(id), key, id, "an id that is unique in the list");
        }
    }
}

/// Parses and checks a document; see [`FleetConfig::parse`].
pub(crate) fn parse(document: &[u8]) -> Result<FleetConfig, ConfigError> {
    ensure!(document.len() <= FleetConfig::MAX_BYTES, TooLargeSnafu { size: document.len() });
    let config: FleetConfig = serde_json::from_slice(document).context(SyntaxSnafu)?;
    let mut collector = FaultCollector::default();
    check_ids(&config, &mut collector);
    check_upstreams(&config, &mut collector);
    check_models(&config, &mut collector);
    check_presets(&config, &mut collector);
    ensure!(collector.faults.is_empty(), InvalidSnafu { faults: collector.faults });
    Ok(config)
}

fn check_ids(config: &FleetConfig, collector: &mut FaultCollector) {
    collector.require(config.revision > 0, "revision".into(), config.revision, "at least 1");
    collector.check_ids("teams", config.teams.iter().map(|record| record.id.as_str()));
    collector
        .check_ids("data_centres", config.data_centres.iter().map(|record| record.id.as_str()));
    collector.check_ids("upstreams", config.upstreams.iter().map(|record| record.id.as_str()));
    collector.check_ids("models", config.models.iter().map(|record| record.id.as_str()));
    collector.check_ids("adapters", config.adapters.iter().map(|record| record.id.as_str()));
    collector.check_ids("services", config.services.iter().map(|record| record.id.as_str()));
    for (index, record) in config.teams.iter().enumerate() {
        collector.require(
            record.share > 0,
            format_compact!("teams[{index}].share"),
            record.share,
            "at least 1",
        );
    }
    let are_all_out =
        !config.data_centres.is_empty() && config.data_centres.iter().all(|record| record.out);
    collector.require(
        !are_all_out,
        "data_centres".into(),
        "all out",
        "at least one data centre in service",
    );
}

fn check_upstreams(config: &FleetConfig, collector: &mut FaultCollector) {
    let data_centres: HashSet<_> = config.data_centres.iter().map(|record| &record.id).collect();
    let services: HashSet<_> = config.services.iter().map(|record| &record.id).collect();
    for (index, record) in config.upstreams.iter().enumerate() {
        let key = |field: &str| format_compact!("upstreams[{index}].{field}");
        let known = data_centres.contains(&record.data_centre);
        collector.require(
            known,
            key("data_centre"),
            &record.data_centre,
            "the id of a data centre in data_centres",
        );
        collector.require(
            record.cold_limit > 0,
            key("cold_limit"),
            record.cold_limit,
            "at least 1",
        );
        let ordered = record.warm_limit >= record.cold_limit;
        collector.require(ordered, key("warm_limit"), record.warm_limit, "at least cold_limit");
        match (record.kind, &record.service) {
            (UpstreamKind::Model, Some(service)) => {
                collector.push(key("service"), service, "absent for kind model")
            }
            (UpstreamKind::Model, None) => {
                collector.require(
                    record.memory_mib > 0,
                    key("memory_mib"),
                    record.memory_mib,
                    "at least 1 for kind model",
                );
            }
            (UpstreamKind::Service, None) => {
                collector.push(key("service"), "", "the id of a service in services")
            }
            (UpstreamKind::Service, Some(service)) => {
                collector.require(
                    services.contains(service),
                    key("service"),
                    service,
                    "the id of a service in services",
                );
            }
        }
    }
}

fn check_models(config: &FleetConfig, collector: &mut FaultCollector) {
    for (index, record) in config.models.iter().enumerate() {
        let key = |field: &str| format_compact!("models[{index}].{field}");
        let mut names = HashSet::new();
        for version in &record.versions {
            collector.require(
                names.insert(&version.name),
                key("versions"),
                &version.name,
                "version names that are unique in the model",
            );
            collector.require(
                version.size_bytes > 0,
                key("versions.size_bytes"),
                version.size_bytes,
                "at least 1",
            );
        }
        collector.require(
            names.contains(&record.current),
            key("current"),
            &record.current,
            "the name of a version of this model",
        );
        if let Some(previous) = &record.previous {
            let allowed = names.contains(previous) && *previous != record.current;
            collector.require(
                allowed,
                key("previous"),
                previous,
                "the name of a version of this model other than current",
            );
        }
    }
    for (index, record) in config.adapters.iter().enumerate() {
        let known = config.model(&record.model).is_some();
        collector.require(
            known,
            format_compact!("adapters[{index}].model"),
            &record.model,
            "the id of a model in models",
        );
        let is_model = config.model(&record.id).is_some();
        collector.require(
            !is_model,
            format_compact!("adapters[{index}].id"),
            &record.id,
            "an id that differs from the ids of all models",
        );
    }
}

fn check_presets(config: &FleetConfig, collector: &mut FaultCollector) {
    for name in PresetName::ALL {
        let count = config.presets.iter().filter(|rule| rule.id == name).count();
        collector.require(
            count == 1,
            format_compact!("presets.{name}"),
            count,
            "exactly one rule for each preset",
        );
    }
    for rule in &config.presets {
        let mut models = HashSet::new();
        for wanted in &rule.models {
            let key = |field: &str| format_compact!("presets.{}.{}.{field}", rule.id, wanted.model);
            let known = config.model(&wanted.model).is_some();
            collector.require(known, key("model"), &wanted.model, "the id of a model in models");
            collector.require(
                models.insert(&wanted.model),
                key("model"),
                &wanted.model,
                "each model at most once",
            );
            collector.require(wanted.replicas > 0, key("replicas"), wanted.replicas, "at least 1");
            collector.require(
                wanted.floor <= wanted.replicas,
                key("floor"),
                wanted.floor,
                "at most replicas",
            );
        }
    }
}
