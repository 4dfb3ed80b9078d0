//! Settings of the processes, as an adapter builds them.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use balance::ShareOptions;
use base::{DataCentreId, HostId, RegionId, ServiceId};
use serde::{Deserialize, Serialize};

/// Settings that entries and agents share.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CommonSettings {
    /// Name of the process, for logs.
    pub name: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Region of each data centre.
    pub regions: HashMap<DataCentreId, RegionId>,
    /// Address for messages between processes. All processes use the same port.
    pub peer: SocketAddr,
    /// Addresses at which some entries answer processes that start.
    pub seeds: Vec<SocketAddr>,
    /// Secret that all processes of the fleet share.
    pub fleet_secret: String,
    /// Time within which all upstreams are to serve a declared version.
    pub version_bound: Duration,
    /// Speed of the host's link in bytes per second.
    pub link_bytes_per_s: u64,
    /// Address of the metrics; `None` if they are not served.
    pub metrics: Option<SocketAddr>,
    /// Time between the request to stop and the forced end.
    pub grace: Duration,
}

impl CommonSettings {
    /// True if a data centre lies in the region of this host.
    #[must_use]
    pub fn is_own_region(&self, data_centre: &str) -> bool {
        let own = self.regions.get(&self.data_centre);
        own.is_some() && self.regions.get(data_centre) == own
    }

    /// Address for messages of the process on another host.
    #[must_use]
    pub fn peer_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.peer.port())
    }

    /// Region of this host.
    #[must_use]
    pub fn region(&self) -> RegionId {
        self.regions.get(&self.data_centre).cloned().unwrap_or_default()
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntrySettings {
    /// What all processes have.
    pub common: CommonSettings,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for callers that ask which entries to use.
    pub addresses: SocketAddr,
    /// Address at which processes that start find this entry.
    pub control: Option<SocketAddr>,
    /// Limits that all entries share.
    pub shares: ShareOptions,
    /// Longest time for which callers keep an answer about addresses.
    pub max_ttl: Duration,
}

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgentSettings {
    /// What all processes have.
    pub common: CommonSettings,
    /// Address of the engine beside this agent.
    pub engine: SocketAddr,
    /// Service of the engine.
    pub service: ServiceId,
    /// True at the first start of the whole system, when engines hold weights already but start after the agents.
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
