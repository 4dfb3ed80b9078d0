//! The platform's list of live and leaving hosts. It lags behind the actual state of the hosts.

use std::net::SocketAddr;

use base::{DataCentreId, HostId, UpstreamId};
use serde::{Deserialize, Serialize};

/// One version of the host list, as the platform publishes it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// Version of the list; increases with every change.
    pub version: u64,
    /// Hosts that are live or leaving; dead hosts are removed eventually.
    pub hosts: Vec<HostRecord>,
}

/// Process of this system that runs on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// `wigeon-entry`.
    Entry,
    /// `wigeon-agent`.
    Agent,
}

/// State of a host, as reported by the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to leave; accepts no new work.
    Leaving,
}

/// A host in the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostRecord {
    /// Id of the host, unique in the list.
    pub id: HostId,
    /// Data centre that the host is in.
    pub data_centre: DataCentreId,
    /// Process of this system that runs on it.
    pub role: HostRole,
    /// Upstream on the same host; agents only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// Address for HTTP requests of callers; entries only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub http: Option<SocketAddr>,
    /// Address for messages from other processes of this system.
    pub peer: SocketAddr,
    /// Whether the host is in service or about to leave.
    pub state: HostState,
}

impl HostList {
    /// Maximum size of a host list in bytes; 6,720 hosts of about 250 bytes each need less than half of it.
    pub const MAX_BYTES: usize = 4 << 20;

    /// Returns the host whose agent manages this upstream.
    #[must_use]
    pub fn agent_for_upstream(&self, upstream: &str) -> Option<&HostRecord> {
        self.hosts.iter().find(|record| record.upstream.as_deref() == Some(upstream))
    }

    /// Returns the hosts that run an entry.
    pub fn entries(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.iter().filter(|record| record.role == HostRole::Entry)
    }

    /// Returns the hosts that run an agent.
    pub fn agents(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.iter().filter(|record| record.role == HostRole::Agent)
    }
}
