//! Runs the nodes, publishes changes, injects the fault and collects the report.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use config::{FleetConfig, HostList};
use rand::{SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio_util::sync::CancellationToken;

use super::{
    documents,
    fault::ControlFault,
    figures::{ControlReport, in_force_times},
    node::{AdoptionLog, MeasuredNode, NodeSpec, NodeTotals, bind_loopback},
    usage,
};
use crate::{ConfigService, error::StandinError, fleet::network::PeerNetwork, http::lock};

/// Worker threads of each multi-threaded runtime.
const WORKERS: usize = 8;
/// Delay with which the host list shows changes.
const HOST_LIST_LAG: Duration = Duration::from_secs(1);
const SEEDS: usize = 3;
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time to wait, after the last publication, for it to become active on every node.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const OUTAGE_DURATION: Duration = Duration::from_secs(10);
const PAUSE_DURATION: Duration = Duration::from_secs(5);
/// Time from the publication of the invalid document until valid ones are published again.
const FAULTY_DURATION: Duration = Duration::from_secs(5);
/// Time from the restart of a node until the next one is killed.
const RESTART_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a killed node is down.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Publications per change of the host list. At the target size of a fleet, hosts fail, restart and leave about this
/// often.
const CHANGES_PER_HOST_LIST_CHANGE: u64 = 2;
/// Number of revisions by which the older document lags behind the latest one.
const OLDER_REVISIONS: usize = 5;
/// Rate of the relays' links in bytes per second, high enough not to limit the traffic.
const RELAY_RATE: f64 = 1e12;
const RELAY_PORT: u16 = 7_400;

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Number of nodes.
    pub nodes: usize,
    /// Seed for the published changes and for the choice of the hosts affected by a fault.
    pub seed: u64,
    /// Period during which changes are published.
    pub duration: Duration,
    /// Number of published changes per day.
    pub changes_a_day: u64,
    /// Number of upstreams in the configuration.
    pub upstreams: usize,
    /// Number of hosts in the host list. Hosts that do not run are listed as leaving.
    pub listed_hosts: usize,
    /// Fault to inject; `None` for a run without faults.
    pub fault: Option<ControlFault>,
}

/// A node with its addresses and the log of its adoptions.
struct Host {
    spec: NodeSpec,
    handle: Handle,
    node: MeasuredNode,
    log: Arc<Mutex<AdoptionLog>>,
}

struct ControlRun {
    options: ControlOptions,
    service: ConfigService,
    network: Arc<PeerNetwork>,
    hosts: Mutex<Vec<Host>>,
    config: Mutex<FleetConfig>,
    list: Mutex<HostList>,
    /// Revisions of the valid configurations and the times of their publication.
    changes: Mutex<Vec<(u64, Instant)>>,
    published_bytes: Mutex<usize>,
    /// Revision of the invalid document, once it has been published.
    faulty: Mutex<Option<u64>>,
    /// False while no changes may be published.
    publishing: AtomicBool,
    /// Counters of the nodes that were killed.
    retired: Mutex<NodeTotals>,
    /// True while the partitioned data centre cannot reach the platform.
    partitioned: Arc<AtomicBool>,
    fault_targets: Vec<usize>,
}

/// Runs the measurement on separate runtimes and returns the report.
///
/// # Errors
/// Fails if a runtime or a node cannot be started or the nodes do not adopt the first configuration in time.
pub fn measure_control(options: &ControlOptions) -> Result<ControlReport, StandinError> {
    let harness = runtime("harness")?;
    let nodes = runtime("node")?;
    let stop = CancellationToken::new();
    let report = harness.block_on(async {
        let run = ControlRun::start(options.clone(), nodes.handle(), &stop).await?;
        run.measure().await
    });
    stop.cancel();
    nodes.shutdown_background();
    harness.shutdown_background();
    report
}

fn runtime(name: &str) -> Result<Runtime, StandinError> {
    let mut builder = Builder::new_multi_thread();
    let built = builder.worker_threads(WORKERS).thread_name(name).enable_all().build();
    built.map_err(|error| thread_error(&error))
}

fn thread_error(error: &std::io::Error) -> StandinError {
    StandinError::Start { host: "measurement runtime".into(), detail: error.to_string() }
}

/// Starts a single-threaded runtime on a separate thread, which can be paused by blocking that thread.
fn start_pausable_runtime(stop: &CancellationToken) -> Result<Handle, StandinError> {
    let runtime =
        Builder::new_current_thread().enable_all().build().map_err(|error| thread_error(&error))?;
    let handle = runtime.handle().clone();
    let stop = stop.clone();
    let thread = std::thread::Builder::new().name("node-pausable".into());
    thread
        .spawn(move || runtime.block_on(stop.cancelled()))
        .map_err(|error| thread_error(&error))?;
    Ok(handle)
}

impl ControlRun {
    async fn start(
        options: ControlOptions,
        handle: &Handle,
        stop: &CancellationToken,
    ) -> Result<Self, StandinError> {
        let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let service = ConfigService::start(any, HOST_LIST_LAG).await?;
        let network = PeerNetwork::new(RELAY_RATE);
        let uses_relays = options.fault == Some(ControlFault::Partition);
        let partitioned = Arc::new(AtomicBool::new(false));
        let mut listeners = Vec::new();
        let mut specs: Vec<NodeSpec> = Vec::new();
        for index in 0..options.nodes {
            let (listener, address) = bind_loopback()?;
            let data_centre = documents::data_centre(index);
            let host = documents::host_id(index);
            let peer = if uses_relays { relay_address(index) } else { address };
            if uses_relays {
                let centre = data_centre.clone();
                network.add_host(host.clone(), centre, true, peer, address).await?;
            }
            let in_partition = data_centre == documents::data_centre(0);
            specs.push(NodeSpec {
                host,
                data_centre,
                peer,
                platform: service.address(),
                seeds: specs.iter().take(SEEDS).map(|spec| spec.peer).collect(),
                partitioned: if in_partition { partitioned.clone() } else { Arc::default() },
            });
            listeners.push(listener);
        }
        let config = documents::config(options.upstreams);
        let peers: Vec<_> = specs.iter().map(|spec| spec.peer).collect();
        let list = documents::host_list(&peers, options.listed_hosts);
        service.publish(&config);
        service.set_hosts(&list);
        let fault_targets = fault_targets(&options);
        let mut hosts = Vec::new();
        for (index, (spec, listener)) in specs.into_iter().zip(listeners).enumerate() {
            let is_pausable =
                options.fault == Some(ControlFault::Pause) && fault_targets.contains(&index);
            let handle = if is_pausable { start_pausable_runtime(stop)? } else { handle.clone() };
            let log = Arc::<Mutex<AdoptionLog>>::default();
            let node = MeasuredNode::start(&spec, listener, &handle, &log);
            hosts.push(Host { spec, handle, node, log });
        }
        Ok(Self {
            options,
            service,
            network,
            hosts: Mutex::new(hosts),
            config: Mutex::new(config),
            list: Mutex::new(list),
            changes: Mutex::default(),
            published_bytes: Mutex::default(),
            faulty: Mutex::default(),
            publishing: AtomicBool::new(true),
            retired: Mutex::default(),
            partitioned,
            fault_targets,
        })
    }

    async fn measure(&self) -> Result<ControlReport, StandinError> {
        let started_at = Instant::now();
        let rss_before = usage::resident_mb();
        self.wait_started(started_at).await?;
        let start_s = started_at.elapsed().as_secs_f64();
        let bytes_before = self.node_bytes();
        let (from, totals, calls) = (Instant::now(), self.totals(), self.service.request_count());
        let cpu = usage::thread_seconds("node");
        tokio::join!(self.publish_changes(), self.inject_fault());
        let elapsed = from.elapsed().as_secs_f64();
        let cpu = usage::thread_seconds("node") - cpu;
        let calls = self.service.request_count() - calls;
        let after = self.totals();
        let mut node_bytes: Vec<_> = self
            .node_bytes()
            .into_iter()
            .zip(bytes_before)
            .map(|(after, before)| after.saturating_sub(before))
            .collect();
        node_bytes.sort_unstable();
        let bytes_at =
            |position: usize| node_bytes.get(position).map_or(0.0, |bytes| *bytes as f64);
        let rss_mb = usage::resident_mb() - rss_before - *lock(&self.published_bytes) as f64 / 1e6;
        self.wait_settled().await;
        let logs = self.take_logs();
        let changes = lock(&self.changes).clone();
        let in_force = in_force_times(&changes, &logs);
        let faulty = *lock(&self.faulty);
        let has_faulty = |log: &&AdoptionLog| {
            log.adoptions.iter().any(|(revision, _)| Some(*revision) == faulty)
        };
        let per_node_s = self.options.nodes as f64 * elapsed;
        Ok(ControlReport {
            nodes: self.options.nodes,
            changes: changes.len(),
            in_force_p50_s: rounded(in_force.p50.as_secs_f64()),
            in_force_max_s: rounded(in_force.max.as_secs_f64()),
            not_in_force: in_force.missing,
            reverts: logs.iter().map(|log| log.reverts).sum(),
            faulty_in_force: logs.iter().filter(has_faulty).count(),
            refused: after.refused,
            reads_per_s: rounded(calls as f64 / elapsed),
            peak_reads_per_s: self.service.peak_requests_per_second(),
            bytes_per_node_s: rounded((after.bytes - totals.bytes) as f64 / per_node_s),
            median_node_bytes_s: rounded(bytes_at(self.options.nodes / 2) / elapsed),
            max_node_bytes_s: rounded(bytes_at(self.options.nodes - 1) / elapsed),
            cpu_pct_per_node: rounded(cpu * 100.0 / per_node_s),
            rss_mb_per_node: rounded(rss_mb / self.options.nodes as f64),
            messages_per_node_s: rounded((after.messages - totals.messages) as f64 / per_node_s),
            start_s: rounded(start_s),
            config_bytes: lock(&self.config).canonical_bytes().len(),
            listed_hosts: lock(&self.list).hosts.len(),
            changes_a_day: self.options.changes_a_day,
            fault: self.options.fault.map_or("none", ControlFault::name),
            seed: self.options.seed,
        })
    }

    fn totals(&self) -> NodeTotals {
        let mut totals = *lock(&self.retired);
        for host in lock(&self.hosts).iter() {
            totals.add(NodeTotals::of(&host.node.counters));
        }
        totals
    }

    fn node_bytes(&self) -> Vec<u64> {
        lock(&self.hosts).iter().map(|host| NodeTotals::of(&host.node.counters).bytes).collect()
    }

    fn take_logs(&self) -> Vec<AdoptionLog> {
        lock(&self.hosts).iter().map(|host| std::mem::take(&mut *lock(&host.log))).collect()
    }

    fn all_reached(&self, revision: u64) -> bool {
        lock(&self.hosts).iter().all(|host| {
            host.node.view.get().is_some_and(|view| view.fresh && view.config.revision >= revision)
        })
    }

    async fn wait_started(&self, started_at: Instant) -> Result<(), StandinError> {
        while !self.all_reached(1) {
            if started_at.elapsed() > START_TIMEOUT {
                let what = "the first configuration on every node".into();
                return Err(StandinError::NotReached { what, seconds: START_TIMEOUT.as_secs() });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn wait_settled(&self) {
        let started_at = Instant::now();
        let last = lock(&self.changes).last().map_or(0, |change| change.0);
        while !self.all_reached(last) && started_at.elapsed() < SETTLE_TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn publish_changes(&self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.options.seed);
        let started_at = Instant::now();
        let interval = Duration::from_secs_f64(86_400.0 / self.options.changes_a_day as f64);
        let mut ticks = tokio::time::interval(interval);
        let mut count = 0;
        loop {
            ticks.tick().await;
            if started_at.elapsed() >= self.options.duration {
                return;
            }
            if !self.publishing.load(Ordering::Relaxed) {
                continue;
            }
            let (revision, bytes) = {
                let mut config = lock(&self.config);
                documents::change_config(&mut config, &mut rng);
                (config.revision, config.canonical_bytes())
            };
            *lock(&self.published_bytes) += bytes.len();
            let published = Instant::now();
            self.service.publish_bytes(revision, bytes);
            lock(&self.changes).push((revision, published));
            count += 1;
            if count % CHANGES_PER_HOST_LIST_CHANGE == 0 {
                self.change_host_list(|_| {});
            }
        }
    }

    fn change_host_list(&self, change: impl FnOnce(&mut HostList)) {
        let mut list = lock(&self.list);
        change(&mut list);
        list.version += 1;
        self.service.set_hosts(&list);
    }

    async fn inject_fault(&self) {
        let Some(fault) = self.options.fault else { return };
        tokio::time::sleep(self.options.duration / 3).await;
        let from = Instant::now();
        match fault {
            ControlFault::ServiceDown => {
                self.service.set_down(true);
                tokio::time::sleep(OUTAGE_DURATION).await;
                self.service.set_down(false);
                self.record_outage(from, |_| true);
            }
            ControlFault::ServiceStale => {
                self.service.set_stale(true);
                tokio::time::sleep(OUTAGE_DURATION).await;
                self.service.set_stale(false);
                self.record_outage(from, |_| true);
            }
            ControlFault::OlderValue => {
                self.service.serve_older(OLDER_REVISIONS);
                tokio::time::sleep(OUTAGE_DURATION).await;
                self.service.serve_older(0);
                self.record_outage(from, |_| true);
            }
            ControlFault::Partition => self.partition(from).await,
            ControlFault::Pause => self.pause(from).await,
            ControlFault::FaultyDocument => self.publish_faulty().await,
            ControlFault::Restart => self.restart_fault_targets().await,
        }
    }

    /// Records an outage from `from` until now for the hosts that `is_affected` selects.
    fn record_outage(&self, from: Instant, is_affected: impl Fn(&NodeSpec) -> bool) {
        let until = Instant::now();
        for host in lock(&self.hosts).iter().filter(|host| is_affected(&host.spec)) {
            lock(&host.log).outages.push((from, until));
        }
    }

    async fn partition(&self, from: Instant) {
        let centre = documents::data_centre(0);
        self.network.set_separated(&centre, true);
        self.partitioned.store(true, Ordering::Relaxed);
        tokio::time::sleep(OUTAGE_DURATION).await;
        self.network.set_separated(&centre, false);
        self.partitioned.store(false, Ordering::Relaxed);
        self.record_outage(from, |spec| spec.data_centre == centre);
    }

    async fn pause(&self, from: Instant) {
        {
            let hosts = lock(&self.hosts);
            for index in &self.fault_targets {
                // Blocks the only thread of the node's runtime.
                hosts[*index].handle.spawn(async { std::thread::sleep(PAUSE_DURATION) });
            }
        }
        tokio::time::sleep(PAUSE_DURATION).await;
        let paused: Vec<_> =
            self.fault_targets.iter().map(|index| documents::host_id(*index)).collect();
        self.record_outage(from, |spec| paused.contains(&spec.host));
    }

    async fn publish_faulty(&self) {
        self.publishing.store(false, Ordering::Relaxed);
        let (revision, bytes) = {
            let mut config = lock(&self.config);
            config.revision += 1;
            let mut faulty = config.clone();
            faulty.upstreams[0].data_centre = "unknown".into();
            (config.revision, faulty.canonical_bytes())
        };
        *lock(&self.faulty) = Some(revision);
        self.service.publish_bytes(revision, bytes);
        tokio::time::sleep(FAULTY_DURATION).await;
        self.publishing.store(true, Ordering::Relaxed);
    }

    async fn restart_fault_targets(&self) {
        for index in &self.fault_targets {
            let killed = Instant::now();
            {
                let hosts = lock(&self.hosts);
                hosts[*index].node.kill();
                lock(&self.retired).add(NodeTotals::of(&hosts[*index].node.counters));
            }
            tokio::time::sleep(RESTART_DELAY).await;
            if self.replace(*index, killed).is_err() {
                return;
            }
            tokio::time::sleep(RESTART_INTERVAL).await;
        }
    }

    fn replace(&self, index: usize, killed: Instant) -> Result<(), StandinError> {
        let (listener, address) = bind_loopback()?;
        let mut hosts = lock(&self.hosts);
        let seeds = hosts.iter().take(SEEDS).map(|host| host.spec.peer).collect();
        let host = &mut hosts[index];
        host.spec.peer = address;
        host.spec.seeds = seeds;
        lock(&host.log).outages.push((killed, Instant::now()));
        host.node = MeasuredNode::start(&host.spec, listener, &host.handle, &host.log);
        let id = host.spec.host.clone();
        self.change_host_list(|list| {
            if let Some(record) = list.hosts.iter_mut().find(|record| record.id == id) {
                record.peer = address;
            }
        });
        Ok(())
    }
}

/// Chooses the hosts affected by a fault: a tenth of all, at least one.
fn fault_targets(options: &ControlOptions) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut indexes: Vec<_> = (0..options.nodes).collect();
    indexes.shuffle(&mut rng);
    indexes.truncate((options.nodes / 10).max(1));
    indexes
}

/// Address of a relay. The second byte is derived from the process id, so that concurrent runs use different addresses.
fn relay_address(index: usize) -> std::net::SocketAddr {
    let run = 64 + u8::try_from(std::process::id() % 128).unwrap_or(0);
    let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
    std::net::SocketAddr::from(([127, run, high, low], RELAY_PORT))
}

fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
