//! Settings of single processes, read from TOML files.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use base::{DataCentreId, HostId, UpstreamId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::check::ConfigFault;

/// Shortest fleet key that is accepted, in bytes.
const MIN_FLEET_KEY_BYTES: usize = 16;

/// Why settings are rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read settings {}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The text is no TOML of the expected shape; names the key, the value and what is allowed.
    #[snafu(display("cannot read settings: {source}"))]
    Syntax {
        /// What the parser said.
        source: toml::de::Error,
    },
    /// Values break rules.
    #[snafu(display("settings break {} rule(s); first: {}", faults.len(), faults[0]))]
    Invalid {
        /// Every broken rule; never empty.
        faults: Vec<ConfigFault>,
    },
}

/// Settings that entries and agents share.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CommonSettings {
    /// Id of this host.
    pub host: HostId,
    /// Data centre of this host.
    pub data_centre: DataCentreId,
    /// Address for frames of other processes of this system.
    pub peer_listen: SocketAddr,
    /// Address of the read-only administration API.
    pub admin_listen: SocketAddr,
    /// Peers that are asked first after a start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Base address of the platform's configuration service and host list.
    pub platform: SocketAddr,
    /// Secret of the fleet; at least 16 bytes.
    pub fleet_key: CompactString,
    /// StatsD address for metrics.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Log level: off, error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: CompactString,
    /// Longest wait for work in progress at a planned stop, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
}

/// Settings of `wigeon-entry`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address for callers' HTTP requests.
    pub http_listen: SocketAddr,
    /// What every process has.
    pub common: CommonSettings,
    /// Time to live of address answers, in milliseconds.
    #[serde(default = "default_address_ttl_ms")]
    pub address_ttl_ms: u64,
    /// Agents that this entry probes at most.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// Largest request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Service-level objectives that replace the defaults.
    #[serde(default)]
    pub objectives: ObjectiveSettings,
}

/// Service-level objectives of the kinds of request; absent ones keep their defaults.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectiveSettings {
    /// Of model requests.
    pub model: Option<ObjectiveSetting>,
    /// Of idempotent calls.
    pub idempotent: Option<ObjectiveSetting>,
    /// Of keyed calls.
    pub keyed: Option<ObjectiveSetting>,
}

/// One service-level objective.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveSetting {
    /// Fraction of requests to answer in time; above 0 and below 1.
    pub fraction: f64,
    /// Time to the first token of a model answer, or to the whole answer of a call, in milliseconds.
    pub in_time_ms: u64,
}

/// Settings of `wigeon-agent`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Id of the upstream beside this agent.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub upstream_address: SocketAddr,
    /// What every process has.
    pub common: CommonSettings,
    /// Addresses of the weight store of this organisation and, last, of the origin.
    pub weight_sources: Vec<SocketAddr>,
    /// Memory for chunks, in MiB.
    #[serde(default = "default_memory_mib")]
    pub memory_mib: u64,
    /// Speed of this host's link that transfers may use each way, in Mbit/s.
    #[serde(default = "default_link_mbit")]
    pub link_mbit: u64,
    /// Requests that wait at most.
    #[serde(default = "default_queue_length")]
    pub queue_length: usize,
}

fn default_log_level() -> CompactString {
    CompactString::const_new("info")
}

fn default_drain_ms() -> u64 {
    30_000
}

fn default_address_ttl_ms() -> u64 {
    2_000
}

/// Two probes a second of 24 agents cost some 14 KB/s with packet headers, which leaves room within 19 KB/s for control.
fn default_subset() -> usize {
    24
}

fn default_max_body_bytes() -> usize {
    1 << 20
}

fn default_memory_mib() -> u64 {
    1_024
}

fn default_link_mbit() -> u64 {
    1_000
}

fn default_queue_length() -> usize {
    64
}

impl CommonSettings {
    /// Longest wait for work in progress at a planned stop.
    #[must_use]
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    fn check(&self, faults: &mut Vec<ConfigFault>) {
        require(faults, !self.host.is_empty(), "common.host", &self.host, "a host id");
        require(
            faults,
            !self.data_centre.is_empty(),
            "common.data_centre",
            &self.data_centre,
            "a data centre id",
        );
        let long_enough = self.fleet_key.len() >= MIN_FLEET_KEY_BYTES;
        require(faults, long_enough, "common.fleet_key", "(hidden)", "at least 16 bytes");
        let known_level = self.log_level.parse::<LogLevel>().is_ok();
        let allowed = "off, error, warn, info, debug or trace";
        require(faults, known_level, "common.log_level", &self.log_level, allowed);
        require(faults, self.drain_ms > 0, "common.drain_ms", "0", "at least 1");
    }
}

/// Log level as the settings name it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct LogLevel;

impl std::str::FromStr for LogLevel {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        ["off", "error", "warn", "info", "debug", "trace"].contains(&text).then_some(Self).ok_or(())
    }
}

impl ObjectiveSettings {
    fn check(&self, faults: &mut Vec<ConfigFault>) {
        let kinds = [("model", self.model), ("idempotent", self.idempotent), ("keyed", self.keyed)];
        for (kind, setting) in kinds {
            let Some(setting) = setting else { continue };
            let fraction = setting.fraction > 0.0 && setting.fraction < 1.0;
            let key = format!("objectives.{kind}.fraction");
            require(faults, fraction, &key, &setting.fraction.to_string(), "above 0 and below 1");
            let key = format!("objectives.{kind}.in_time_ms");
            require(faults, setting.in_time_ms > 0, &key, "0", "at least 1");
        }
    }
}

impl EntrySettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    /// Fails if the text is no TOML of this shape or a value breaks a rule.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).context(SyntaxSnafu)?;
        let mut faults = Vec::new();
        settings.common.check(&mut faults);
        require(&mut faults, settings.address_ttl_ms > 0, "address_ttl_ms", "0", "at least 1");
        require(&mut faults, settings.subset > 0, "subset", "0", "at least 1");
        require(&mut faults, settings.max_body_bytes > 0, "max_body_bytes", "0", "at least 1");
        settings.objectives.check(&mut faults);
        finish(settings, faults)
    }
}

impl AgentSettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    /// Fails if the text is no TOML of this shape or a value breaks a rule.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).context(SyntaxSnafu)?;
        let mut faults = Vec::new();
        settings.common.check(&mut faults);
        require(
            &mut faults,
            !settings.upstream.is_empty(),
            "upstream",
            &settings.upstream,
            "an upstream id",
        );
        require(&mut faults, settings.memory_mib > 0, "memory_mib", "0", "at least 1");
        require(&mut faults, settings.link_mbit > 0, "link_mbit", "0", "at least 1");
        require(&mut faults, settings.queue_length > 0, "queue_length", "0", "at least 1");
        finish(settings, faults)
    }
}

/// Reads a settings file.
///
/// # Errors
/// Fails if the file cannot be read.
pub fn read_file(path: &std::path::Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}

fn require(faults: &mut Vec<ConfigFault>, holds: bool, key: &str, value: &str, allowed: &str) {
    if !holds {
        faults.push(ConfigFault { key: key.into(), value: value.into(), allowed: allowed.into() });
    }
}

fn finish<T>(settings: T, faults: Vec<ConfigFault>) -> Result<T, SettingsError> {
    if faults.is_empty() { Ok(settings) } else { Err(SettingsError::Invalid { faults }) }
}
