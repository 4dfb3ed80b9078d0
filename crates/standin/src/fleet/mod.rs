//! A whole fleet on loopback: the stand-ins for the platform, with the entries and agents as tasks of this process.

pub mod layout;
pub mod network;
mod platform;
mod threads;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use base::{HostId, SystemClock};
use compact_str::{CompactString, ToCompactString};
use config::{AgentSettings, EntrySettings, ObjectiveSettings, settings::CommonSettings};
use node::{AgentNode, EntryNode, NodeContext, NodeListeners};
use tokio::runtime::Handle;

pub use self::platform::{FleetPlatform, FleetUpstream, wait_until};
use self::{layout::HostPlan, network::PeerNetwork, platform::POLL_INTERVAL, threads::HostThreads};
use crate::{
    error::StandinError,
    http::lock,
    platform::{engine::EngineOptions, service::ServiceOptions, weight_store::StoreOptions},
};

/// Number of seeds of the fleet, which every node contacts after a start.
const SEED_COUNT: usize = 3;
/// Timeout for rebinding the listeners of a stopped node.
const RESTART_TIMEOUT: Duration = Duration::from_secs(3);

/// Options of a fleet on loopback.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Options of the engines; the concurrency limits are taken from the layout instead.
    pub engine: EngineOptions,
    /// Options of the plain services; the concurrency limits are taken from the layout instead.
    pub service: ServiceOptions,
    /// Options of both the weight store and the origin.
    pub store: StoreOptions,
    /// Bandwidth of a host's link for weight transfers in each direction, in Mbit/s.
    pub link_mbit: u64,
    /// Runs each node on dedicated threads, so that it can be paused; they cost memory.
    pub dedicated_threads: bool,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            engine: EngineOptions::default(),
            service: ServiceOptions::default(),
            store: StoreOptions::default(),
            link_mbit: 1_000,
            dedicated_threads: false,
        }
    }
}

impl FleetOptions {
    /// Bandwidth of a host's link in bytes per second.
    #[must_use]
    pub fn link_bytes_per_second(&self) -> f64 {
        self.link_mbit as f64 * 1e6 / 8.0
    }
}

/// Entries and agents of a fleet with the stand-ins that they use; stops all nodes when dropped.
pub struct StandinFleet {
    /// Stand-ins for the platform and the upstreams.
    pub platform: FleetPlatform,
    /// Simulated network between the hosts.
    pub network: Arc<PeerNetwork>,
    options: FleetOptions,
    entries: Mutex<Vec<Option<EntryNode>>>,
    agents: Mutex<Vec<Option<AgentNode>>>,
    threads: Mutex<HashMap<HostId, HostThreads>>,
    /// Current hosts of the agents that were moved away from their host in the layout, by index.
    moved_agents: Mutex<HashMap<usize, HostPlan>>,
}

impl StandinFleet {
    /// Starts all agents and entries of the layout of `platform`.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn start(
        platform: FleetPlatform,
        options: FleetOptions,
    ) -> Result<Self, StandinError> {
        let network = PeerNetwork::new(options.link_bytes_per_second());
        let layout = &platform.layout;
        for plan in layout.entries.iter().chain(&layout.agents) {
            let (host, data_centre) = (plan.id.clone(), plan.data_centre.clone());
            let is_agent = plan.upstream.is_some();
            network.add_host(host, data_centre, is_agent, plan.relay, plan.peer).await?;
        }
        let (entries, agents) = (layout.entries.len(), layout.agents.len());
        let fleet = Self {
            platform,
            network,
            options,
            entries: Mutex::new((0..entries).map(|_| None).collect()),
            agents: Mutex::new((0..agents).map(|_| None).collect()),
            threads: Mutex::default(),
            moved_agents: Mutex::default(),
        };
        for index in 0..agents {
            fleet.start_agent(index)?;
        }
        for index in 0..entries {
            fleet.start_entry(index)?;
        }
        Ok(fleet)
    }

    /// Addresses that callers use, one for each entry.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.platform.layout.entries.iter().map(|plan| plan.http).collect()
    }

    /// Stops an entry gracefully and restarts it at the same addresses.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn restart_entry(&self, index: usize) -> Result<(), StandinError> {
        self.drain_entry(index).await;
        retry_start(|| self.start_entry(index)).await
    }

    /// Stops an agent gracefully and restarts it at the same addresses.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn restart_agent(&self, index: usize) -> Result<(), StandinError> {
        self.drain_agent(index).await;
        retry_start(|| self.start_agent(index)).await
    }

    /// Starts the entry with this index of the layout.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub fn start_entry(&self, index: usize) -> Result<(), StandinError> {
        let plan = &self.platform.layout.entries[index];
        let settings = EntrySettings {
            http_listen: plan.http,
            common: self.common_settings(plan),
            address_ttl_ms: 2_000,
            subset: 64,
            max_body_bytes: 1 << 20,
            objectives: ObjectiveSettings::default(),
        };
        let listeners = bind_listeners(plan, &settings.common, Some(plan.http))?;
        let node = EntryNode::start(self.node_context(&plan.id)?, settings, listeners);
        lock(&self.entries)[index] = Some(node);
        Ok(())
    }

    /// Starts the agent with this index on its current host.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub fn start_agent(&self, index: usize) -> Result<(), StandinError> {
        let plan = &self.agent_plan(index);
        let settings = AgentSettings {
            upstream: plan.upstream.clone().unwrap_or_default(),
            upstream_address: plan.upstream_address,
            common: self.common_settings(plan),
            weight_sources: vec![self.platform.store.address(), self.platform.origin.address()],
            memory_mib: 512,
            link_mbit: self.options.link_mbit,
            queue_length: 64,
        };
        let listeners = bind_listeners(plan, &settings.common, None)?;
        let node = AgentNode::start(self.node_context(&plan.id)?, settings, listeners);
        lock(&self.agents)[index] = Some(node);
        Ok(())
    }

    /// Host that an agent currently runs on.
    #[must_use]
    pub fn agent_plan(&self, index: usize) -> HostPlan {
        let moved = lock(&self.moved_agents).get(&index).cloned();
        moved.unwrap_or_else(|| self.platform.layout.agents[index].clone())
    }

    /// Kills an agent and starts a replacement for the same upstream, on a new host with new addresses. The host list
    /// shows the new host after its delay.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn replace_agent(&self, index: usize) -> Result<(), StandinError> {
        self.kill_agent(index);
        let old = self.agent_plan(index);
        let new = self.platform.layout.replacement(&old);
        let (host, data_centre) = (new.id.clone(), new.data_centre.clone());
        self.network.add_host(host, data_centre, true, new.relay, new.peer).await?;
        lock(&self.moved_agents).insert(index, new.clone());
        self.platform.change_hosts(|list| {
            list.hosts.retain(|record| record.id != old.id);
            list.hosts.push(new.agent_record());
        });
        self.start_agent(index)
    }

    /// Blocks the threads of a host for `duration`, like a suspended process. Has no effect without
    /// [`FleetOptions::dedicated_threads`].
    pub fn pause_host(&self, host: &str, duration: Duration) {
        if let Some(threads) = lock(&self.threads).get(host) {
            threads.pause(duration);
        }
    }

    fn node_context(&self, host: &HostId) -> Result<NodeContext, StandinError> {
        let clock = Arc::new(SystemClock);
        if !self.options.dedicated_threads {
            return Ok(NodeContext::new(clock, Handle::current(), Handle::current()));
        }
        let mut threads = lock(&self.threads);
        if !threads.contains_key(host) {
            threads.insert(host.clone(), HostThreads::new(host)?);
        }
        Ok(threads[host].context(clock))
    }

    /// Stops an entry gracefully.
    pub async fn drain_entry(&self, index: usize) {
        let node = lock(&self.entries)[index].take();
        if let Some(node) = node {
            node.drain().await;
        }
    }

    /// Stops an agent gracefully.
    pub async fn drain_agent(&self, index: usize) {
        if let Some(node) = self.take_agent(index) {
            node.drain().await;
        }
    }

    /// Stops an entry without a graceful shutdown, like a crash.
    pub fn kill_entry(&self, index: usize) {
        if let Some(node) = lock(&self.entries)[index].take() {
            node.kill();
        }
    }

    /// Stops an agent without a graceful shutdown, like a crash.
    pub fn kill_agent(&self, index: usize) {
        if let Some(node) = lock(&self.agents)[index].take() {
            node.kill();
        }
    }

    /// Removes an agent from the fleet and returns it, so that the caller can stop it concurrently with other steps.
    #[must_use]
    pub fn take_agent(&self, index: usize) -> Option<AgentNode> {
        lock(&self.agents)[index].take()
    }

    /// Stops all entries and agents immediately and closes the network.
    pub fn stop(&self) {
        for index in 0..self.platform.layout.entries.len() {
            self.kill_entry(index);
        }
        for index in 0..self.platform.layout.agents.len() {
            self.kill_agent(index);
        }
        self.network.stop();
    }

    fn common_settings(&self, plan: &HostPlan) -> CommonSettings {
        let layout = &self.platform.layout;
        // Hosts are assigned to data centres in turn, so these seeds span several data centres. A start therefore
        // succeeds while one of them is unreachable.
        let seeds = layout.agents.iter().chain(&layout.entries).step_by(5).take(SEED_COUNT);
        // A process recognises that it is a seed by its own address, not by that of its relay.
        let address = |seed: &HostPlan| if seed.id == plan.id { plan.peer } else { seed.relay };
        let seeds = seeds.map(address).collect();
        CommonSettings {
            host: plan.id.clone(),
            data_centre: plan.data_centre.clone(),
            peer_listen: plan.peer,
            admin_listen: plan.admin,
            seeds,
            platform: self.platform.config_service.address(),
            fleet_key: CompactString::const_new("stand-in fleet key, not a secret"),
            statsd: None,
            log_level: CompactString::const_new("warn"),
            drain_ms: 30_000,
        }
    }
}

/// Retries a start until the listeners can be bound: a stopped node in the same process releases them only when its
/// tasks are next polled.
async fn retry_start(start: impl Fn() -> Result<(), StandinError>) -> Result<(), StandinError> {
    let deadline = Instant::now() + RESTART_TIMEOUT;
    loop {
        match start() {
            Err(_) if Instant::now() < deadline => tokio::time::sleep(POLL_INTERVAL).await,
            outcome => return outcome,
        }
    }
}

impl Drop for StandinFleet {
    fn drop(&mut self) {
        self.stop();
    }
}

fn bind_listeners(
    plan: &HostPlan,
    common: &CommonSettings,
    http: Option<SocketAddr>,
) -> Result<NodeListeners, StandinError> {
    NodeListeners::bind(common, http).map_err(|error| StandinError::Start {
        host: plan.id.to_string(),
        detail: error.to_compact_string().into(),
    })
}
