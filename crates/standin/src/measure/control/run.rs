//! Runs the nodes, publishes changes, lets a fault happen and collects the figures.

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
    figures::{ControlReport, evaluate},
    node::{HostTrack, MeasuredNode, NodePlace, NodeTotals, bind_loopback},
    usage,
};
use crate::{ConfigService, error::StandinError, fleet::network::PeerNetwork, http::lock};

/// Threads of each runtime.
const WORKERS: usize = 8;
/// Lag of the host list.
const HOST_LAG: Duration = Duration::from_secs(1);
const SEEDS: usize = 3;
const START_LIMIT: Duration = Duration::from_secs(60);
/// Time after the last publication in which it has to be in force.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
const SERVICE_OUTAGE: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_secs(5);
const FAULTY_SPAN: Duration = Duration::from_secs(5);
const RESTART_INTERVAL: Duration = Duration::from_millis(250);
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Publications after which the host list changes once, as often as hosts fail, restart and leave at the target size.
const CHANGES_PER_HOST_CHANGE: u64 = 2;
/// Publications that the older value lies behind.
const OLDER_STEPS: usize = 5;
/// Rate of the relays' links, in bytes a second; it does not slow anything down.
const RELAY_RATE: f64 = 1e12;
const RELAY_PORT: u16 = 7_400;

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Nodes.
    pub nodes: usize,
    /// Seed of publications and of the hosts that a fault hits.
    pub seed: u64,
    /// Time in which changes are published.
    pub span: Duration,
    /// Rate of publications.
    pub changes_a_day: u64,
    /// Upstreams in the configuration.
    pub upstreams: usize,
    /// Hosts in the host list; those that do not run are listed as leaving.
    pub listed_hosts: usize,
    /// Fault.
    pub fault: Option<ControlFault>,
}

/// A node with its place and its record.
struct Host {
    place: NodePlace,
    handle: Handle,
    node: MeasuredNode,
    track: Arc<Mutex<HostTrack>>,
}

struct ControlRun {
    options: ControlOptions,
    service: ConfigService,
    network: Arc<PeerNetwork>,
    hosts: Mutex<Vec<Host>>,
    config: Mutex<FleetConfig>,
    list: Mutex<HostList>,
    /// Good configurations with the time of publication.
    changes: Mutex<Vec<(u64, Instant)>>,
    published_bytes: Mutex<usize>,
    faulty: Mutex<Option<u64>>,
    publishing: AtomicBool,
    retired: Mutex<NodeTotals>,
    cut_off: Arc<AtomicBool>,
    victims: Vec<usize>,
}

/// Runs the measurement.
///
/// # Errors
/// Fails if a runtime or a node cannot be started or the nodes do not reach the first configuration.
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
    StandinError::Start { host: "measuring runtime".into(), detail: error.to_string() }
}

/// A runtime on a thread of its own, which a pause can bring to a stand.
fn pausable(stop: &CancellationToken) -> Result<Handle, StandinError> {
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
        let service = ConfigService::start(any, HOST_LAG).await?;
        let network = PeerNetwork::new(RELAY_RATE);
        let relayed = options.fault == Some(ControlFault::Partition);
        let cut_off = Arc::new(AtomicBool::new(false));
        let mut listeners = Vec::new();
        let mut places: Vec<NodePlace> = Vec::new();
        for index in 0..options.nodes {
            let (listener, address) = bind_loopback()?;
            let data_centre = documents::data_centre(index);
            let host = documents::host_id(index);
            let peer = if relayed { relay_address(index) } else { address };
            if relayed {
                let centre = data_centre.clone();
                network.add_host(host.clone(), centre, true, peer, address).await?;
            }
            let in_partition = data_centre == documents::data_centre(0);
            places.push(NodePlace {
                host,
                data_centre,
                peer,
                platform: service.address(),
                seeds: places.iter().take(SEEDS).map(|place| place.peer).collect(),
                cut_off: if in_partition { cut_off.clone() } else { Arc::default() },
            });
            listeners.push(listener);
        }
        let config = documents::config(options.upstreams);
        let peers: Vec<_> = places.iter().map(|place| place.peer).collect();
        let list = documents::host_list(&peers, options.listed_hosts);
        service.publish(&config);
        service.set_hosts(&list);
        let victims = victims(&options);
        let mut hosts = Vec::new();
        for (index, (place, listener)) in places.into_iter().zip(listeners).enumerate() {
            let pauses = options.fault == Some(ControlFault::Pause) && victims.contains(&index);
            let handle = if pauses { pausable(stop)? } else { handle.clone() };
            let track = Arc::<Mutex<HostTrack>>::default();
            let node = MeasuredNode::start(&place, listener, &handle, &track);
            hosts.push(Host { place, handle, node, track });
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
            cut_off,
            victims,
        })
    }

    async fn measure(&self) -> Result<ControlReport, StandinError> {
        let began = Instant::now();
        let rss_before = usage::resident_mb();
        self.wait_started(began).await?;
        let start_s = began.elapsed().as_secs_f64();
        let bytes_before = self.node_bytes();
        let (from, totals, calls) = (Instant::now(), self.totals(), self.service.calls());
        let cpu = usage::thread_seconds("node");
        tokio::join!(self.publish_changes(), self.inject_fault());
        let elapsed = from.elapsed().as_secs_f64();
        let cpu = usage::thread_seconds("node") - cpu;
        let calls = self.service.calls() - calls;
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
        let tracks = self.take_tracks();
        let changes = lock(&self.changes).clone();
        let in_force = evaluate(&changes, &tracks);
        let faulty = *lock(&self.faulty);
        let holds_faulty = |track: &&HostTrack| {
            track.adoptions.iter().any(|(revision, _)| Some(*revision) == faulty)
        };
        let per_node_s = self.options.nodes as f64 * elapsed;
        Ok(ControlReport {
            nodes: self.options.nodes,
            changes: changes.len(),
            in_force_p50_s: rounded(in_force.p50.as_secs_f64()),
            in_force_max_s: rounded(in_force.max.as_secs_f64()),
            not_in_force: in_force.missing,
            reverts: tracks.iter().map(|track| track.reverts).sum(),
            faulty_in_force: tracks.iter().filter(holds_faulty).count(),
            refused: after.refused,
            reads_per_s: rounded(calls as f64 / elapsed),
            peak_reads_per_s: self.service.peak_calls_per_second(),
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

    fn take_tracks(&self) -> Vec<HostTrack> {
        lock(&self.hosts).iter().map(|host| std::mem::take(&mut *lock(&host.track))).collect()
    }

    fn all_at(&self, revision: u64) -> bool {
        lock(&self.hosts).iter().all(|host| {
            host.node.view.get().is_some_and(|view| view.fresh && view.config.revision >= revision)
        })
    }

    async fn wait_started(&self, began: Instant) -> Result<(), StandinError> {
        while !self.all_at(1) {
            if began.elapsed() > START_LIMIT {
                let what = "first configuration on every node".into();
                return Err(StandinError::NotReached { what, seconds: START_LIMIT.as_secs() });
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        Ok(())
    }

    async fn wait_settled(&self) {
        let began = Instant::now();
        let last = lock(&self.changes).last().map_or(0, |change| change.0);
        while !self.all_at(last) && began.elapsed() < SETTLE_LIMIT {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    async fn publish_changes(&self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.options.seed);
        let began = Instant::now();
        let interval = Duration::from_secs_f64(86_400.0 / self.options.changes_a_day as f64);
        let mut ticks = tokio::time::interval(interval);
        let mut count = 0;
        loop {
            ticks.tick().await;
            if began.elapsed() >= self.options.span {
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
            if count % CHANGES_PER_HOST_CHANGE == 0 {
                self.change_list(|_| {});
            }
        }
    }

    fn change_list(&self, change: impl FnOnce(&mut HostList)) {
        let mut list = lock(&self.list);
        change(&mut list);
        list.version += 1;
        self.service.set_hosts(&list);
    }

    async fn inject_fault(&self) {
        let Some(fault) = self.options.fault else { return };
        tokio::time::sleep(self.options.span / 3).await;
        let from = Instant::now();
        match fault {
            ControlFault::ServiceDown => {
                self.service.set_down(true);
                tokio::time::sleep(SERVICE_OUTAGE).await;
                self.service.set_down(false);
                self.record_outage(from, |_| true);
            }
            ControlFault::ServiceStale => {
                self.service.set_stale(true);
                tokio::time::sleep(SERVICE_OUTAGE).await;
                self.service.set_stale(false);
                self.record_outage(from, |_| true);
            }
            ControlFault::OlderValue => {
                self.service.serve_older(OLDER_STEPS);
                tokio::time::sleep(SERVICE_OUTAGE).await;
                self.service.serve_older(0);
                self.record_outage(from, |_| true);
            }
            ControlFault::Partition => self.partition(from).await,
            ControlFault::Pause => self.pause(from).await,
            ControlFault::FaultyDocument => self.publish_faulty().await,
            ControlFault::Restart => self.restart_victims().await,
        }
    }

    /// Records that hosts could not know of changes from `from` until now.
    fn record_outage(&self, from: Instant, hit: impl Fn(&NodePlace) -> bool) {
        let until = Instant::now();
        for host in lock(&self.hosts).iter().filter(|host| hit(&host.place)) {
            lock(&host.track).outages.push((from, until));
        }
    }

    async fn partition(&self, from: Instant) {
        let centre = documents::data_centre(0);
        self.network.set_separated(&centre, true);
        self.cut_off.store(true, Ordering::Relaxed);
        tokio::time::sleep(SERVICE_OUTAGE).await;
        self.network.set_separated(&centre, false);
        self.cut_off.store(false, Ordering::Relaxed);
        self.record_outage(from, |place| place.data_centre == centre);
    }

    async fn pause(&self, from: Instant) {
        {
            let hosts = lock(&self.hosts);
            for index in &self.victims {
                // Blocks the thread that runs the whole node.
                hosts[*index].handle.spawn(async { std::thread::sleep(PAUSE) });
            }
        }
        tokio::time::sleep(PAUSE).await;
        let paused: Vec<_> = self.victims.iter().map(|index| documents::host_id(*index)).collect();
        self.record_outage(from, |place| paused.contains(&place.host));
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
        tokio::time::sleep(FAULTY_SPAN).await;
        self.publishing.store(true, Ordering::Relaxed);
    }

    async fn restart_victims(&self) {
        for index in &self.victims {
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
        let seeds = hosts.iter().take(SEEDS).map(|host| host.place.peer).collect();
        let host = &mut hosts[index];
        host.place.peer = address;
        host.place.seeds = seeds;
        lock(&host.track).outages.push((killed, Instant::now()));
        host.node = MeasuredNode::start(&host.place, listener, &host.handle, &host.track);
        let id = host.place.host.clone();
        self.change_list(|list| {
            if let Some(record) = list.hosts.iter_mut().find(|record| record.id == id) {
                record.peer = address;
            }
        });
        Ok(())
    }
}

/// The hosts that a fault hits: a tenth, at least one.
fn victims(options: &ControlOptions) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut indexes: Vec<_> = (0..options.nodes).collect();
    indexes.shuffle(&mut rng);
    indexes.truncate((options.nodes / 10).max(1));
    indexes
}

/// Address of a relay; the second byte keeps runs that happen at the same time apart.
fn relay_address(index: usize) -> std::net::SocketAddr {
    let run = 64 + u8::try_from(std::process::id() % 128).unwrap_or(0);
    let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
    std::net::SocketAddr::from(([127, run, high, low], RELAY_PORT))
}

fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
