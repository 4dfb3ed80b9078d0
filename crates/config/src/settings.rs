//! Settings of individual processes, read from TOML files.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use base::{DataCentreId, HostId, UpstreamId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::check::ConfigFault;

/// Minimum length of the fleet key in bytes.
const MIN_FLEET_KEY_BYTES: usize = 16;

/// Reason why settings are rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read settings {}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not valid TOML, or has unknown, missing or mistyped keys.
    #[snafu(display("cannot parse settings: {source}"))]
    Syntax {
        /// Parser error, with the position and the key.
        source: toml::de::Error,
    },
    /// Values of the settings break rules.
    #[snafu(display("settings break {} rule(s), the first is: {}", faults.len(), faults[0]))]
    Invalid {
        /// Every broken rule; never empty.
        faults: Vec<ConfigFault>,
    },
}

/// Settings common to entries and agents.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CommonSettings {
    /// Id of the host that the process runs on.
    pub host: HostId,
    /// Data centre that the host is in.
    pub data_centre: DataCentreId,
    /// Address for messages from other processes of this system.
    pub peer_listen: SocketAddr,
    /// Listen address of the read-only administration API.
    pub admin_listen: SocketAddr,
    /// Peers that are contacted first after a start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's configuration service and host list.
    pub platform: SocketAddr,
    /// Secret shared by all processes of the fleet; at least 16 bytes.
    pub fleet_key: CompactString,
    /// StatsD address for metrics; no metrics are sent if it is absent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Log level: off, error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: CompactString,
    /// Timeout for work in progress at a planned stop, in milliseconds; at least 1.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
}

/// Settings of `wigeon-entry`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Listen address for HTTP requests of callers.
    pub http_listen: SocketAddr,
    /// Settings common to entries and agents.
    pub common: CommonSettings,
    /// Time to live of address responses, in milliseconds; at least 1.
    #[serde(default = "default_address_ttl_ms")]
    pub address_ttl_ms: u64,
    /// Maximum number of agents that this entry probes; at least 1.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// Maximum size of a request body in bytes; at least 1.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Service-level objectives that override the defaults.
    #[serde(default)]
    pub objectives: ObjectiveSettings,
}

/// Service-level objectives by kind of request; absent ones keep their defaults.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectiveSettings {
    /// Objective for model requests.
    pub model: Option<ObjectiveSetting>,
    /// Objective for idempotent requests to plain services.
    pub idempotent: Option<ObjectiveSetting>,
    /// Objective for keyed requests to plain services.
    pub keyed: Option<ObjectiveSetting>,
}

/// A service-level objective: a fraction of requests and the time limit that they must meet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveSetting {
    /// Fraction of requests that must meet the time limit; above 0 and below 1.
    pub fraction: f64,
    /// Time limit in milliseconds, at least 1: to the first token of a model response, or to the complete response of a
    /// plain service.
    pub in_time_ms: u64,
}

/// Settings of `wigeon-agent`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Id of the upstream that this agent manages.
    pub upstream: UpstreamId,
    /// Address to which the agent sends requests for the upstream.
    pub upstream_address: SocketAddr,
    /// Settings common to entries and agents.
    pub common: CommonSettings,
    /// Addresses to fetch weights from: the weight store of this organisation and, last, the origin.
    pub weight_sources: Vec<SocketAddr>,
    /// Memory for chunks of weights in MiB; at least 1.
    #[serde(default = "default_memory_mib")]
    pub memory_mib: u64,
    /// Bandwidth of the host's link that transfers may use in each direction, in Mbit/s; at least 1.
    #[serde(default = "default_link_mbit")]
    pub link_mbit: u64,
    /// Maximum number of waiting requests; at least 1.
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

/// Probing 24 agents twice a second takes about 14 KB/s including packet headers, which leaves the rest of the
/// 19 KB/s budget to other control traffic.
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
    /// Returns the timeout for work in progress at a planned stop.
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
        let is_long_enough = self.fleet_key.len() >= MIN_FLEET_KEY_BYTES;
        require(faults, is_long_enough, "common.fleet_key", "(hidden)", "at least 16 bytes");
        let is_known_level = self.log_level.parse::<LogLevel>().is_ok();
        let allowed = "off, error, warn, info, debug or trace";
        require(faults, is_known_level, "common.log_level", &self.log_level, allowed);
        require(faults, self.drain_ms > 0, "common.drain_ms", "0", "at least 1");
    }
}

/// Marker for a valid log level name; parsing fails for any other text.
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
            let is_valid_fraction = setting.fraction > 0.0 && setting.fraction < 1.0;
            let key = format!("objectives.{kind}.fraction");
            require(
                faults,
                is_valid_fraction,
                &key,
                &setting.fraction.to_string(),
                "above 0 and below 1",
            );
            let key = format!("objectives.{kind}.in_time_ms");
            require(faults, setting.in_time_ms > 0, &key, "0", "at least 1");
        }
    }
}

impl EntrySettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    /// Fails if the text is not TOML with the expected keys or a value breaks a rule.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).context(SyntaxSnafu)?;
        let mut faults = Vec::new();
        settings.common.check(&mut faults);
        require(&mut faults, settings.address_ttl_ms > 0, "address_ttl_ms", "0", "at least 1");
        require(&mut faults, settings.subset > 0, "subset", "0", "at least 1");
        require(&mut faults, settings.max_body_bytes > 0, "max_body_bytes", "0", "at least 1");
        settings.objectives.check(&mut faults);
        into_result(settings, faults)
    }
}

impl AgentSettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    /// Fails if the text is not TOML with the expected keys or a value breaks a rule.
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
        into_result(settings, faults)
    }
}

/// Reads a settings file.
///
/// # Errors
/// Fails if the file cannot be read or is not UTF-8.
pub fn read_file(path: &std::path::Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}

fn require(faults: &mut Vec<ConfigFault>, is_valid: bool, key: &str, value: &str, allowed: &str) {
    if !is_valid {
        faults.push(ConfigFault { key: key.into(), value: value.into(), allowed: allowed.into() });
    }
}

fn into_result<T>(settings: T, faults: Vec<ConfigFault>) -> Result<T, SettingsError> {
    if faults.is_empty() { Ok(settings) } else { Err(SettingsError::Invalid { faults }) }
}
