//! Rules of the fleet configuration document.

use std::collections::HashSet;

use compact_str::{CompactString, ToCompactString, format_compact};
use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};

use crate::fleet::{FleetConfig, PresetName, UpstreamKind};

/// Longest id that is accepted, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Why a document is rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The document is larger than [`FleetConfig::MAX_BYTES`].
    #[snafu(display("document has {size} bytes; at most {} are allowed", FleetConfig::MAX_BYTES))]
    TooLarge {
        /// Size of the document in bytes.
        size: usize,
    },
    /// The document is no JSON of the expected shape.
    #[snafu(display("document cannot be read: {source}"))]
    Syntax {
        /// What the parser said, with line and column.
        source: serde_json::Error,
    },
    /// The document breaks rules.
    #[snafu(display("document breaks {} rule(s); first: {}", faults.len(), faults[0]))]
    Invalid {
        /// Every broken rule; never empty.
        faults: Vec<ConfigFault>,
    },
}

/// One broken rule: the key, the value found and what is allowed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Snafu)]
#[snafu(display("{key} = {value}: {allowed}"))]
pub struct ConfigFault {
    /// Path of the key.
    pub key: CompactString,
    /// Value found.
    pub value: CompactString,
    /// What is allowed.
    pub allowed: CompactString,
}

/// Collects broken rules while a document is checked.
#[derive(Default)]
struct FaultList {
    faults: Vec<ConfigFault>,
}

impl FaultList {
    fn push(&mut self, key: CompactString, value: impl ToCompactString, allowed: &str) {
        self.faults.push(ConfigFault {
            key,
            value: value.to_compact_string(),
            allowed: allowed.into(),
        });
    }

    fn require(
        &mut self,
        holds: bool,
        key: CompactString,
        value: impl ToCompactString,
        allowed: &str,
    ) {
        if !holds {
            self.push(key, value, allowed);
        }
    }

    fn check_ids<'a>(&mut self, section: &str, ids: impl Iterator<Item = &'a str>) {
        let mut seen = HashSet::new();
        for (index, id) in ids.enumerate() {
            let key = format_compact!("{section}[{index}].id");
            let well_formed = !id.is_empty()
                && id.len() <= MAX_ID_BYTES
                && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
            self.require(
                well_formed,
                key.clone(),
                id,
                "1 to 64 ASCII letters, digits, '-', '_' or '.'",
            );
            self.require(seen.insert(id), key, id, "an id that no other item of the list has");
        }
    }
}

/// Parses and checks a document; see [`FleetConfig::parse`].
pub(crate) fn parse(document: &[u8]) -> Result<FleetConfig, ConfigError> {
    ensure!(document.len() <= FleetConfig::MAX_BYTES, TooLargeSnafu { size: document.len() });
    let config: FleetConfig = serde_json::from_slice(document).context(SyntaxSnafu)?;
    let mut list = FaultList::default();
    check_ids(&config, &mut list);
    check_upstreams(&config, &mut list);
    check_models(&config, &mut list);
    check_presets(&config, &mut list);
    ensure!(list.faults.is_empty(), InvalidSnafu { faults: list.faults });
    Ok(config)
}

fn check_ids(config: &FleetConfig, list: &mut FaultList) {
    list.require(config.revision > 0, "revision".into(), config.revision, "at least 1");
    list.check_ids("teams", config.teams.iter().map(|record| record.id.as_str()));
    list.check_ids("data_centres", config.data_centres.iter().map(|record| record.id.as_str()));
    list.check_ids("upstreams", config.upstreams.iter().map(|record| record.id.as_str()));
    list.check_ids("models", config.models.iter().map(|record| record.id.as_str()));
    list.check_ids("adapters", config.adapters.iter().map(|record| record.id.as_str()));
    list.check_ids("services", config.services.iter().map(|record| record.id.as_str()));
    for (index, record) in config.teams.iter().enumerate() {
        list.require(
            record.share > 0,
            format_compact!("teams[{index}].share"),
            record.share,
            "at least 1",
        );
    }
    let all_out =
        !config.data_centres.is_empty() && config.data_centres.iter().all(|record| record.out);
    list.require(!all_out, "data_centres".into(), "all out", "at least one data centre in service");
}

fn check_upstreams(config: &FleetConfig, list: &mut FaultList) {
    let data_centres: HashSet<_> = config.data_centres.iter().map(|record| &record.id).collect();
    let services: HashSet<_> = config.services.iter().map(|record| &record.id).collect();
    for (index, record) in config.upstreams.iter().enumerate() {
        let key = |field: &str| format_compact!("upstreams[{index}].{field}");
        let known = data_centres.contains(&record.data_centre);
        list.require(
            known,
            key("data_centre"),
            &record.data_centre,
            "a data centre of the list data_centres",
        );
        list.require(record.cold_limit > 0, key("cold_limit"), record.cold_limit, "at least 1");
        let ordered = record.warm_limit >= record.cold_limit;
        list.require(ordered, key("warm_limit"), record.warm_limit, "at least cold_limit");
        match (record.kind, &record.service) {
            (UpstreamKind::Model, Some(service)) => {
                list.push(key("service"), service, "absent for kind model")
            }
            (UpstreamKind::Model, None) => {
                list.require(
                    record.memory_mib > 0,
                    key("memory_mib"),
                    record.memory_mib,
                    "at least 1 for kind model",
                );
            }
            (UpstreamKind::Service, None) => {
                list.push(key("service"), "", "a service of the list services")
            }
            (UpstreamKind::Service, Some(service)) => {
                list.require(
                    services.contains(service),
                    key("service"),
                    service,
                    "a service of the list services",
                );
            }
        }
    }
}

fn check_models(config: &FleetConfig, list: &mut FaultList) {
    for (index, record) in config.models.iter().enumerate() {
        let key = |field: &str| format_compact!("models[{index}].{field}");
        let mut names = HashSet::new();
        for version in &record.versions {
            list.require(
                names.insert(&version.name),
                key("versions"),
                &version.name,
                "version names that differ",
            );
            list.require(
                version.size_bytes > 0,
                key("versions.size_bytes"),
                version.size_bytes,
                "at least 1",
            );
        }
        list.require(
            names.contains(&record.current),
            key("current"),
            &record.current,
            "a version of this model",
        );
        if let Some(previous) = &record.previous {
            let allowed = names.contains(previous) && *previous != record.current;
            list.require(
                allowed,
                key("previous"),
                previous,
                "a version of this model other than current",
            );
        }
    }
    for (index, record) in config.adapters.iter().enumerate() {
        let known = config.model(&record.model).is_some();
        list.require(
            known,
            format_compact!("adapters[{index}].model"),
            &record.model,
            "a model of the list models",
        );
        let is_model = config.model(&record.id).is_some();
        list.require(
            !is_model,
            format_compact!("adapters[{index}].id"),
            &record.id,
            "an id that no model has",
        );
    }
}

fn check_presets(config: &FleetConfig, list: &mut FaultList) {
    for name in PresetName::ALL {
        let count = config.presets.iter().filter(|rule| rule.id == name).count();
        list.require(
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
            list.require(known, key("model"), &wanted.model, "a model of the list models");
            list.require(
                models.insert(&wanted.model),
                key("model"),
                &wanted.model,
                "each model once",
            );
            list.require(wanted.replicas > 0, key("replicas"), wanted.replicas, "at least 1");
            list.require(
                wanted.floor <= wanted.replicas,
                key("floor"),
                wanted.floor,
                "at most replicas",
            );
        }
    }
}
