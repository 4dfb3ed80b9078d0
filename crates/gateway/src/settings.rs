//! Settings of the processes, built by an adapter from the platform's own format.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use balance::SharedLimits;
use base::{DataCentreId, HostId, RegionId, ServiceId};
use serde::{Deserialize, Serialize};

/// Settings that entries and agents have in common.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CommonSettings {
    /// Name of the process, used in logs and heartbeats.
    pub name: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Region of each data centre.
    pub regions: HashMap<DataCentreId, RegionId>,
    /// Address on which this process exchanges messages with other processes. All processes use the same port.
    pub peer: SocketAddr,
    /// Addresses of the entries that a starting process contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all processes of the fleet, which authenticates their messages.
    pub fleet_secret: String,
    /// Time within which all upstreams must serve a newly declared version.
    #[serde(rename = "version_bound")]
    pub rollout_timeout: Duration,
    /// Bandwidth of the host's network link in bytes per second.
    pub link_bytes_per_s: u64,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Listening address for metrics; `None` if they are not served.
    pub metrics: Option<SocketAddr>,
    /// Grace period between the request to stop and the forced end of the process.
    #[serde(rename = "grace")]
    pub grace_period: Duration,
}

impl CommonSettings {
    /// True if the data centre is in the region of this host.
    #[must_use]
    pub fn is_local_region(&self, data_centre: &str) -> bool {
        let own = self.regions.get(&self.data_centre);
        own.is_some() && self.regions.get(data_centre) == own
    }

    /// Address for messages to the process on another host.
    #[must_use]
    pub fn peer_address_on(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.peer.port())
    }

    /// Region of this host; empty if its data centre is not listed in `regions`.
    #[must_use]
    pub fn region(&self) -> RegionId {
        self.regions.get(&self.data_centre).cloned().unwrap_or_default()
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntrySettings {
    /// Settings shared with agents.
    pub common: CommonSettings,
    /// Listening address for callers' requests.
    pub callers: SocketAddr,
    /// Listening address for readiness checks.
    pub ready: SocketAddr,
    /// Listening address for address queries.
    pub addresses: SocketAddr,
    /// Listening address on which starting processes can reach this entry, in addition to `common.peer`; `None` if
    /// there is none.
    pub control: Option<SocketAddr>,
    /// Limits that apply to all entries together.
    pub shares: SharedLimits,
    /// Maximum time for which callers may cache the response to an address query.
    pub max_ttl: Duration,
    /// True to place requests by the learned capacity of upstreams, at services whose upstreams share their hosts.
    pub learned_capacity: bool,
}

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgentSettings {
    /// Settings shared with entries.
    pub common: CommonSettings,
    /// Address of the engine on this host.
    pub engine: SocketAddr,
    /// Service to which the engine belongs.
    pub service: ServiceId,
    /// True at the first start of the whole system, when engines already hold weights but start after the agents.
    pub is_first_start: bool,
}

impl AsMut<CommonSettings> for EntrySettings {
    fn as_mut(&mut self) -> &mut CommonSettings {
        &mut self.common
    }
}

impl AsMut<CommonSettings> for AgentSettings {
    fn as_mut(&mut self) -> &mut CommonSettings {
        &mut self.common
    }
}
