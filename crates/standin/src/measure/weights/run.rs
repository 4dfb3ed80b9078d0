//! Measures a transfer to a fleet of hosts on loopback sockets.

use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError, RwLock, atomic::Ordering},
    time::{Duration, Instant},
};

use compact_str::format_compact;
use hyper::{StatusCode, header};
use ports::{HttpWeightSource, WeightSource};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use weights::{
    ChunkManifest, FetchPlan, FetchPlanOptions, PeerRecord, TransferOptions, UploadOptions,
    VerifiedChunk, WantedVersion,
};

use super::{
    fault::FaultKind,
    host::{FleetNet, HostFaults, TransferHost},
    net::PacedLink,
};
use crate::{
    error::StandinError,
    http::{ConnectionSwitch, HttpServer, plain_response},
    platform::{
        catalog::{WeightCatalog, WeightImage},
        weight_store::{StoreFault, StoreOptions, WeightStore},
    },
};

/// Data centres of the fleet and their regions. The first three data centres are in different regions.
const DATA_CENTRES: [(&str, &str); 7] = [
    ("dc-a", "region-1"),
    ("dc-b", "region-2"),
    ("dc-c", "region-3"),
    ("dc-d", "region-1"),
    ("dc-e", "region-2"),
    ("dc-f", "region-3"),
    ("dc-g", "region-1"),
];
/// Rate of the shared links, those of the origin and of each region, as a multiple of the rate of a host's link.
pub(super) const SHARED_LINK_FACTOR: u32 = 2;
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const RUN_TIMEOUT: Duration = Duration::from_secs(90);
/// Number of chunks that the origin corrupts or truncates under the respective fault.
const ORIGIN_FAULT_COUNT: u32 = 3;

/// Options of a transfer.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Number of hosts.
    pub hosts: usize,
    /// Size of the weights in bytes.
    pub size_bytes: usize,
    /// Rate of a host's link in each direction, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Number of chunks.
    pub chunks: usize,
    /// Seed for the weights and for the random choices of the hosts.
    pub seed: u64,
    /// Fault to inject; `None` for a run without faults.
    pub fault: Option<FaultKind>,
    /// Number of times that the fault is injected; 0 without a fault, at most 2.
    pub fault_times: usize,
}

/// Results of a transfer, as observed by the stand-ins.
#[derive(Clone, Debug)]
pub struct RunFigures {
    /// Time until each surviving host held the complete target version, in ascending order.
    pub done: Vec<Duration>,
    /// Bytes sent by the origin.
    pub origin_bytes: u64,
    /// Bytes sent into the region that received the most from other regions.
    pub region_bytes: u64,
    /// Bytes sent by the host that sent the most.
    pub max_upload_bytes: u64,
    /// Hosts whose complete weights differ from the published ones.
    pub corrupt_served: usize,
}

impl RunOptions {
    /// Minimum transfer time: the size divided by the rate of a host's link, which is the slowest on the path.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52 bytes")]
    pub fn min_duration(&self) -> Duration {
        Duration::from_secs_f64(self.size_bytes as f64 / self.link_bytes_per_s as f64)
    }

    /// Interval at which a simulated host checks its timeouts.
    #[must_use]
    pub fn tick(&self) -> Duration {
        (self.min_duration() / 400).max(Duration::from_millis(5))
    }

    pub(super) fn image(&self, version: u64) -> WeightImage {
        let chunk_bytes = self.size_bytes.div_ceil(self.chunks.max(1)).max(1);
        WeightImage::generate(self.seed * 10 + version, self.size_bytes, chunk_bytes)
    }

    #[expect(clippy::cast_precision_loss, reason = "a link speed is far below 2^52 bytes/s")]
    fn shared_link_rate(&self) -> f64 {
        (self.link_bytes_per_s * u64::from(SHARED_LINK_FACTOR)) as f64
    }

    fn plan_options(&self, origins: usize) -> FetchPlanOptions {
        FetchPlanOptions {
            memory_bytes: self.size_bytes as u64 * 2,
            transfer: TransferOptions {
                link_bytes_per_s: self.link_bytes_per_s,
                origins,
                ..TransferOptions::default()
            },
            upload: UploadOptions::default(),
        }
    }
}

struct Fleet {
    options: RunOptions,
    net: Arc<FleetNet>,
    records: Arc<[PeerRecord]>,
    images: Vec<Arc<WeightImage>>,
    origin: WeightStore,
    refusing_store: Option<HttpServer>,
    hosts: Vec<Option<TransferHost>>,
    /// Time at which each host completed the target version.
    done: Vec<Option<Instant>>,
    /// Number of times that a host completed a version whose bytes differ from the published ones.
    corrupt: usize,
    /// Index of the version that the hosts are to hold.
    target: usize,
    started: Instant,
    /// Time at which `target` was last changed.
    target_since: Instant,
    rng: ChaCha8Rng,
}

/// Runs a transfer and returns its results.
///
/// # Errors
/// Fails if a socket cannot be opened or the transfer does not complete in time.
pub async fn run_fleet(options: &RunOptions) -> Result<RunFigures, StandinError> {
    let mut fleet = Fleet::start(options).await?;
    fleet.set_up_faults().await;
    fleet.start_transfer();
    let mut events = fleet.schedule_faults();
    loop {
        let elapsed = fleet.started.elapsed();
        while let Some(entry) = events.first_entry().filter(|entry| *entry.key() <= elapsed) {
            let event = entry.remove();
            for fault in event {
                fleet.inject(fault).await?;
            }
        }
        fleet.record_completed();
        if events.is_empty() && fleet.is_done() {
            return Ok(fleet.figures());
        }
        if fleet.started.elapsed() > RUN_TIMEOUT {
            let (what, seconds) = ("complete weights on every host".into(), RUN_TIMEOUT.as_secs());
            return Err(StandinError::NotReached { what, seconds });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[derive(Clone, Copy, Debug)]
enum FaultEvent {
    Stall(usize, Duration),
    Kill(usize),
    Restart(usize),
    Pause(usize, bool),
    PartitionRegion(Option<usize>),
    SetTarget(usize),
}

impl Fleet {
    async fn start(options: &RunOptions) -> Result<Self, StandinError> {
        let catalog = Arc::new(WeightCatalog::default());
        let images: Vec<_> = (0..3).map(|version| catalog.add(options.image(version))).collect();
        let origin = start_origin(options, catalog).await?;
        let refusing_store = match options.fault {
            Some(FaultKind::StoreRefuses) => Some(start_refusing_store().await?),
            _ => None,
        };
        let records: Vec<_> = (0..options.hosts).map(peer_record).collect();
        #[expect(clippy::cast_precision_loss, reason = "a link speed is far below 2^52 bytes/s")]
        let rate = options.link_bytes_per_s as f64;
        let shared_rate = options.shared_link_rate();
        let links = |rate: f64| (0..options.hosts).map(|_| PacedLink::new(rate)).collect();
        let chunks = images
            .iter()
            .map(|image| (image.digest, u32::try_from(image.chunks.len()).unwrap_or(u32::MAX)));
        let net = Arc::new(FleetNet {
            by_host: records
                .iter()
                .enumerate()
                .map(|(index, record)| (record.host.clone(), index))
                .collect(),
            faults: (0..options.hosts).map(|_| HostFaults::default()).collect(),
            up: links(rate),
            down: links(rate),
            regions: DATA_CENTRES
                .iter()
                .map(|(_, region)| (*region).to_owned())
                .map(|region| (region, (PacedLink::new(shared_rate), PacedLink::new(shared_rate))))
                .collect::<HashMap<_, _>>(),
            addresses: RwLock::new(vec![SocketAddr::from((Ipv4Addr::LOCALHOST, 0)); options.hosts]),
            partitioned_region: Mutex::new(None),
            chunks: Mutex::new(chunks.collect()),
            records: records.clone(),
        });
        let mut fleet = Self {
            options: options.clone(),
            net,
            records: records.into(),
            images,
            origin,
            refusing_store,
            hosts: (0..options.hosts).map(|_| None).collect(),
            done: vec![None; options.hosts],
            corrupt: 0,
            target: 0,
            started: Instant::now(),
            target_since: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        };
        for index in 0..options.hosts {
            fleet.start_host(index).await?;
        }
        Ok(fleet)
    }

    async fn start_host(&mut self, index: usize) -> Result<(), StandinError> {
        let mut sources: Vec<Arc<dyn WeightSource>> = Vec::new();
        if let Some(store) = &self.refusing_store {
            sources.push(Arc::new(HttpWeightSource::new(store.address())));
        }
        sources.push(Arc::new(HttpWeightSource::new(self.origin.address())));
        let options = self.options.plan_options(sources.len());
        let plan = FetchPlan::new(options, self.records[index].clone(), self.rng.random());
        let rate = self.options.link_bytes_per_s;
        let host =
            TransferHost::start(&self.net, index, plan, sources, rate).await.map_err(|source| {
                StandinError::Bind { address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), source }
            })?;
        self.hosts[index] = Some(host);
        Ok(())
    }

    /// Sets up the faults that are active from the start.
    async fn set_up_faults(&mut self) {
        let affected_hosts = self.options.fault_times;
        match self.options.fault {
            Some(FaultKind::Corrupt) => {
                self.origin.set_fault(StoreFault::Corrupt, ORIGIN_FAULT_COUNT);
                (0..affected_hosts)
                    .for_each(|host| self.net.faults[host].corrupts.store(true, Ordering::Relaxed));
            }
            Some(FaultKind::Truncate) => {
                self.origin.set_fault(StoreFault::Truncate, ORIGIN_FAULT_COUNT);
                (0..affected_hosts).for_each(|host| {
                    self.net.faults[host].truncates.store(true, Ordering::Relaxed)
                });
            }
            Some(FaultKind::PeerLies) => {
                (0..affected_hosts)
                    .for_each(|host| self.net.faults[host].lies.store(true, Ordering::Relaxed));
            }
            Some(FaultKind::OriginDown) => {
                // The first three hosts are in three different regions.
                for host in 0..3.min(self.options.hosts) {
                    self.preload(host);
                }
                self.origin.set_down(true);
            }
            _ => {}
        }
    }

    fn preload(&self, host: usize) {
        let image = &self.images[0];
        let Some(host) = &self.hosts[host] else { return };
        host.driver.set_wanted(vec![self.want(0, true)]);
        let manifest = ChunkManifest::parse(&image.manifest, image.digest);
        let manifest = Arc::new(manifest.expect("the catalogue holds valid manifests"));
        let now = Instant::now();
        let mut plan = host.driver.lock_plan();
        plan.add_manifest(now, manifest.clone());
        for index in 0..manifest.chunk_count() {
            let data = image.chunk(index as usize).expect("the index is in range");
            let chunk = VerifiedChunk::verify(&manifest, index, data);
            plan.record_chunk(now, image.digest, index, 0, chunk);
        }
    }

    fn want(&self, version: usize, fetch: bool) -> WantedVersion {
        let image = &self.images[version];
        WantedVersion {
            manifest: image.digest,
            size_bytes: image.weights.len() as u64,
            fetch,
            hosts: self.records.clone(),
        }
    }

    fn start_transfer(&mut self) {
        self.started = Instant::now();
        self.target_since = self.started;
        self.set_target(0, None);
    }

    fn set_target(&mut self, version: usize, previous: Option<usize>) {
        self.target = version;
        self.done.fill(None);
        let mut wanted = vec![self.want(version, true)];
        wanted.extend(previous.map(|previous| self.want(previous, false)));
        for host in self.hosts.iter().flatten() {
            host.driver.set_wanted(wanted.clone());
        }
    }

    fn schedule_faults(&mut self) -> BTreeMap<Duration, Vec<FaultEvent>> {
        let mut events: BTreeMap<Duration, Vec<FaultEvent>> = BTreeMap::new();
        let Some(fault) = self.options.fault else { return events };
        let min_duration = self.options.min_duration();
        let duration = min_duration.mul_f64(fault.duration());
        for round in 0..self.options.fault_times.min(2) {
            let at = min_duration.mul_f64(fault.injection_times()[round]);
            let host = self.rng.random_range(0..self.options.hosts);
            let mut add = |at: Duration, fault| events.entry(at).or_default().push(fault);
            match fault {
                FaultKind::Stall => add(at, FaultEvent::Stall(host, duration)),
                FaultKind::PeerDies => add(at, FaultEvent::Kill(host)),
                FaultKind::Restart => add(at, FaultEvent::Restart(host)),
                FaultKind::Pause => {
                    add(at, FaultEvent::Pause(host, true));
                    add(at + duration, FaultEvent::Pause(host, false));
                }
                FaultKind::Partition => {
                    add(at, FaultEvent::PartitionRegion(Some(host)));
                    add(at + duration, FaultEvent::PartitionRegion(None));
                }
                FaultKind::VersionChange => add(at, FaultEvent::SetTarget(round + 1)),
                FaultKind::Rollback => {
                    add(at, FaultEvent::SetTarget(1));
                    add(at + duration.mul_f64(0.5), FaultEvent::SetTarget(0));
                }
                _ => {}
            }
        }
        events
    }

    async fn inject(&mut self, fault: FaultEvent) -> Result<(), StandinError> {
        match fault {
            FaultEvent::Stall(host, duration) => {
                let until = Instant::now() + duration;
                self.net.up[host].block(until);
                self.net.down[host].block(until);
            }
            FaultEvent::Kill(host) => {
                if let Some(host) = self.hosts[host].take() {
                    host.kill();
                }
            }
            FaultEvent::Restart(host) => {
                if let Some(old) = self.hosts[host].take() {
                    old.kill();
                }
                self.done[host] = None;
                self.start_host(host).await?;
                let want = self.want(self.target, true);
                if let Some(host) = &self.hosts[host] {
                    host.driver.set_wanted(vec![want]);
                }
            }
            FaultEvent::Pause(host, paused) => {
                self.net.faults[host].paused.store(paused, Ordering::Relaxed);
                if let Some(host) = self.hosts[host].as_ref().filter(|_| !paused) {
                    host.driver.resume();
                }
            }
            FaultEvent::PartitionRegion(host) => {
                let region = host.map(|host| self.records[host].region.to_string());
                *self.net.partitioned_region.lock().unwrap_or_else(PoisonError::into_inner) =
                    region;
            }
            FaultEvent::SetTarget(version) => {
                let previous = self.target;
                self.set_target(version, Some(previous));
                self.target_since = Instant::now();
            }
        }
        Ok(())
    }

    /// Records the hosts that now hold the complete target version, and compares their bytes with the published ones.
    fn record_completed(&mut self) {
        let image = &self.images[self.target];
        for (host, done) in self.hosts.iter().zip(&mut self.done) {
            let Some(host) = host.as_ref().filter(|_| done.is_none()) else { continue };
            let whole = host.driver.lock_plan().store().all_chunks(image.digest);
            if let Some(parts) = whole {
                *done = Some(Instant::now());
                self.corrupt += usize::from(!matches_concatenation(&parts, &image.weights));
            }
        }
    }

    fn is_done(&self) -> bool {
        let mut hosts = self.hosts.iter().zip(&self.done);
        hosts.all(|(host, done)| host.is_none() || done.is_some())
    }

    fn figures(&self) -> RunFigures {
        let done = self.hosts.iter().zip(&self.done).filter(|(host, _)| host.is_some());
        let mut done: Vec<_> = done
            .filter_map(|(_, done)| Some((*done)?.saturating_duration_since(self.target_since)))
            .collect();
        done.sort_unstable();
        for host in self.hosts.iter().flatten() {
            host.kill();
        }
        RunFigures {
            done,
            origin_bytes: self.origin.sent_bytes(),
            region_bytes: self
                .net
                .regions
                .values()
                .map(|(_, into)| into.booked_bytes())
                .max()
                .unwrap_or(0),
            max_upload_bytes: self.net.up.iter().map(|link| link.booked_bytes()).max().unwrap_or(0),
            corrupt_served: self.corrupt,
        }
    }
}

fn matches_concatenation(parts: &[bytes::Bytes], weights: &[u8]) -> bool {
    let mut rest = weights;
    parts.iter().all(|part| {
        let head = rest.split_off(..part.len().min(rest.len()));
        head.is_some_and(|head| head == &part[..])
    }) && rest.is_empty()
}

pub(super) fn peer_record(index: usize) -> PeerRecord {
    let (data_centre, region) = DATA_CENTRES[index % DATA_CENTRES.len()];
    PeerRecord {
        host: format_compact!("host-{index:04}"),
        data_centre: data_centre.into(),
        region: region.into(),
    }
}

pub(super) async fn start_origin(
    options: &RunOptions,
    catalog: Arc<WeightCatalog>,
) -> Result<WeightStore, StandinError> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let store =
        StoreOptions { bytes_per_second: options.shared_link_rate(), max_backlog: RUN_TIMEOUT };
    WeightStore::start(address, catalog, store).await
}

/// Starts a weight store that refuses every request with status 429 and a retry delay of one second.
async fn start_refusing_store() -> Result<HttpServer, StandinError> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    HttpServer::start(address, ConnectionSwitch::new(), |_| {
        Box::pin(async {
            let mut refusal = plain_response(StatusCode::TOO_MANY_REQUESTS, "");
            refusal.headers_mut().insert(header::RETRY_AFTER, 1.into());
            refusal
        })
    })
    .await
}
