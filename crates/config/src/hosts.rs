//! The platform's list of live and leaving hosts. It lags behind the truth.

use std::net::SocketAddr;

use base::{DataCentreId, HostId, UpstreamId};
use serde::{Deserialize, Serialize};

/// One version of the host list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// Rises with every change.
    pub version: u64,
    /// Hosts that are live or leaving; dead hosts are absent, eventually.
    pub hosts: Vec<HostRecord>,
}

/// Which process of this system runs on the host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// `wigeon-entry`.
    Entry,
    /// `wigeon-agent`.
    Agent,
}

/// State of a host in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to leave; takes no new work.
    Leaving,
}

/// One host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostRecord {
    /// Id of the host.
    pub id: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Role of the process on it.
    pub role: HostRole,
    /// Upstream beside the agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// HTTP address for callers; entries only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub http: Option<SocketAddr>,
    /// Address for frames of other processes of this system.
    pub peer: SocketAddr,
    /// Live or leaving.
    pub state: HostState,
}

impl HostList {
    /// Largest host list that is accepted, in bytes: 6,720 hosts of about 250 bytes each, with room to spare.
    pub const MAX_BYTES: usize = 4 << 20;

    /// The agent beside this upstream.
    #[must_use]
    pub fn agent_of(&self, upstream: &str) -> Option<&HostRecord> {
        self.hosts.iter().find(|record| record.upstream.as_deref() == Some(upstream))
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.iter().filter(|record| record.role == HostRole::Entry)
    }

    /// All agents.
    pub fn agents(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.iter().filter(|record| record.role == HostRole::Agent)
    }
}
