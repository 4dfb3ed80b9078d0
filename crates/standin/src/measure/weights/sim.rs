//! Discrete-event simulation of a transfer: the plans of a whole fleet exchange messages over simulated links.
//!
//! Time is simulated, so neither sockets nor the scheduler of the operating system influence the results, and a run is
//! reproducible from its seed.

mod exchange;
mod faults;
mod message;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use base::{ContentDigest, HostId};
use bytes::Bytes;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use weights::{
    ChunkManifest, ChunkSource, FetchAction, FetchFault, FetchId, FetchPlan, FetchPlanOptions,
    PeerRecord, TransferOptions, UploadOptions, VerifiedChunk, WantedVersion,
};

use self::message::{Event, Message};
use super::{
    fault::FaultKind,
    run::{RunOptions, peer_record},
};

/// One-way delay of a message, within a data centre as well as between data centres.
const MESSAGE_DELAY: Duration = Duration::from_micros(1_500);
/// Maximum simulated duration of a run, in multiples of the minimum transfer time.
const MAX_RUN_FACTOR: f64 = 40.0;

/// Results of a simulated run.
#[derive(Clone, Debug, Default)]
pub struct SimFigures {
    /// Time until each surviving host held the complete target version, in ascending order.
    pub done: Vec<Duration>,
    /// Surviving hosts that did not complete the target version.
    pub unfinished: usize,
    /// Bytes sent by the origin.
    pub origin_bytes: u64,
    /// Bytes sent into the region that received the most from other regions.
    pub region_bytes: u64,
    /// Bytes sent by the host that sent the most.
    pub max_upload_bytes: u64,
    /// Bytes of chunks that arrived after their fetch had been cancelled.
    pub wasted_bytes: u64,
    /// Hosts whose complete weights differ from the published ones.
    pub corrupt_served: usize,
    /// Events handled by the plans of all hosts.
    pub decisions: u64,
    /// Messages between hosts that carry no chunk data.
    pub control_messages: u64,
}

struct SimHost {
    plan: FetchPlan,
    uplink_free_at: Duration,
    downlink_free_at: Duration,
    uploaded: u64,
    cancelled: HashSet<FetchId>,
    alive: bool,
    paused_until: Duration,
    done: Option<Duration>,
    /// Time of the next scheduled tick.
    next_tick: Duration,
}

/// A simulated fleet that transfers weights.
pub struct FleetSim {
    options: RunOptions,
    epoch: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<Event>>,
    next_order: u64,
    hosts: Vec<SimHost>,
    records: Arc<[PeerRecord]>,
    index_by_host: HashMap<HostId, usize>,
    manifests: Vec<(Arc<ChunkManifest>, Bytes)>,
    region_out: HashMap<String, Duration>,
    region_in: HashMap<String, (Duration, u64)>,
    origin_free_at: Duration,
    origin_faults: u32,
    partitioned_region: Option<String>,
    target: usize,
    target_since: Duration,
    figures: SimFigures,
    rng: ChaCha8Rng,
}

impl FleetSim {
    /// Creates a fleet whose transfer starts at simulated time zero.
    #[must_use]
    pub fn new(options: RunOptions) -> Self {
        let records: Arc<[PeerRecord]> = (0..options.hosts).map(peer_record).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let manifests = (0..3)
            .map(|_| {
                let mut content = vec![0; options.size_bytes];
                rng.fill_bytes(&mut content);
                let chunk_bytes = options.size_bytes.div_ceil(options.chunks) as u64;
                let manifest = ChunkManifest::build(&content, chunk_bytes);
                (Arc::new(manifest.expect("the sizes are valid")), Bytes::from(content))
            })
            .collect();
        let hosts = (0..options.hosts)
            .map(|index| SimHost::new(&options, &records[index], rng.random()))
            .collect();
        let index_by_host = records.iter().map(|record| record.host.clone()).zip(0..).collect();
        let mut sim = Self {
            epoch: Instant::now(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            next_order: 0,
            hosts,
            index_by_host,
            manifests,
            region_out: HashMap::new(),
            region_in: HashMap::new(),
            origin_free_at: Duration::ZERO,
            origin_faults: 0,
            partitioned_region: None,
            target: 0,
            target_since: Duration::ZERO,
            figures: SimFigures::default(),
            rng,
            records,
            options,
        };
        sim.start_transfer();
        sim
    }

    /// Runs until every surviving host holds the complete target version, or until the maximum duration.
    #[must_use]
    pub fn run(mut self) -> SimFigures {
        let end = self.options.min_duration().mul_f64(MAX_RUN_FACTOR);
        while let Some(Reverse(event)) = self.events.pop() {
            self.now = event.at;
            let faults_left = || self.events.iter().any(|event| event.0.is_fault());
            if self.now > end || self.is_done() && !faults_left() {
                break;
            }
            self.handle_event(event);
        }
        self.finish()
    }

    fn finish(mut self) -> SimFigures {
        let mut done = Vec::new();
        for host in self.hosts.iter().filter(|host| host.alive) {
            match host.done {
                Some(at) => done.push(at - self.target_since),
                None => self.figures.unfinished += 1,
            }
        }
        done.sort_unstable();
        self.figures.done = done;
        self.figures.max_upload_bytes =
            self.hosts.iter().map(|host| host.uploaded).max().unwrap_or(0);
        self.figures.region_bytes =
            self.region_in.values().map(|(_, bytes)| *bytes).max().unwrap_or(0);
        self.figures
    }

    fn set_target(&mut self, version: usize, previous: Option<usize>) {
        self.target = version;
        self.target_since = self.now;
        for host in 0..self.hosts.len() {
            self.hosts[host].done = None;
            self.set_wanted(host, previous);
        }
    }

    fn set_wanted(&mut self, host: usize, previous: Option<usize>) {
        let want = |version: usize, fetch| {
            let manifest = &self.manifests[version].0;
            let size_bytes = manifest.size_bytes();
            WantedVersion {
                manifest: manifest.digest(),
                size_bytes,
                fetch,
                hosts: self.records.clone(),
            }
        };
        let mut wanted = vec![want(self.target, true)];
        wanted.extend(previous.map(|previous| want(previous, false)));
        let now = self.epoch + self.now;
        let actions = self.hosts[host].plan.set_wanted(now, wanted);
        self.execute(host, actions);
        self.push(self.now, host, Message::Tick);
    }

    fn preload(&mut self, host: usize) {
        let (manifest, content) = self.manifests[0].clone();
        let now = self.epoch + self.now;
        let plan = &mut self.hosts[host].plan;
        plan.add_manifest(now, manifest.clone());
        for index in 0..manifest.chunk_count() {
            let chunk = VerifiedChunk::verify(&manifest, index, slice(&manifest, &content, index));
            plan.record_chunk(now, manifest.digest(), index, 0, chunk);
        }
        self.record_completed(host);
    }

    fn is_done(&self) -> bool {
        self.hosts.iter().all(|host| !host.alive || host.done.is_some())
    }

    fn push(&mut self, at: Duration, host: usize, message: Message) {
        let order = self.next_order;
        self.next_order += 1;
        self.events.push(Reverse(Event { at, order, host, message }));
    }

    fn handle_event(&mut self, event: Event) {
        let Event { host, message, .. } = event;
        if let Message::Fault(fault) = message {
            return self.inject(host, fault);
        }
        if !self.hosts[host].alive {
            return self.refuse_message(host, message);
        }
        if let Message::Arrival(response) = message {
            return self.receive_over_link(host, *response);
        }
        let paused_until = self.hosts[host].paused_until;
        if self.now < paused_until {
            return self.push(paused_until, host, message);
        }
        let now = self.epoch + self.now;
        self.figures.decisions += 1;
        match message {
            Message::Tick => {
                if self.hosts[host].next_tick > self.now {
                    return;
                }
            }
            Message::HeldChunks { from, manifest, bitmap } => {
                self.respond_to_have(host, from, manifest, &bitmap);
            }
            Message::HeldChunksResponse { from, manifest, bitmap, queued } => {
                let peer = self.records[from].host.clone();
                let plan = &mut self.hosts[host].plan;
                match bitmap {
                    Some(bitmap) => plan.record_held_chunks(now, manifest, &peer, &bitmap, queued),
                    None => plan.record_held_chunks_failed(now, manifest, &peer),
                }
            }
            Message::Chunk { from, manifest, index, id, bitmap } => {
                self.serve(host, from, manifest, index, id, &bitmap);
                return;
            }
            Message::UploadDone => {
                self.hosts[host].plan.finish_upload();
                return;
            }
            Message::ChunkResponse { from, manifest, index, id, data, bitmap, queued } => {
                self.receive(host, from, manifest, index, id, data, &bitmap, queued);
            }
            Message::Manifest { from, manifest, id } => {
                let held = self.hosts[host].plan.store().manifest(manifest).cloned();
                let result = held.ok_or(FetchFault::NotHeld);
                let response = Message::ManifestResponse { manifest, id, result };
                self.push(self.now + MESSAGE_DELAY, from, response);
                return;
            }
            Message::ManifestResponse { manifest, id, result } => {
                self.hosts[host].plan.record_manifest(now, manifest, id, result);
            }
            Message::Arrival(_) | Message::Fault(_) => {}
        }
        self.poll(host);
    }

    fn poll(&mut self, host: usize) {
        let now = self.epoch + self.now;
        let actions = self.hosts[host].plan.poll(now);
        self.execute(host, actions);
        if self.hosts[host].plan.is_busy() && self.hosts[host].next_tick <= self.now {
            let tick = self.now + self.options.tick();
            self.hosts[host].next_tick = tick;
            self.push(tick, host, Message::Tick);
        }
    }

    fn execute(&mut self, host: usize, actions: Vec<FetchAction>) {
        for action in actions {
            match action {
                FetchAction::Cancel { id } => {
                    self.hosts[host].cancelled.insert(id);
                }
                FetchAction::HeldChunks { manifest, peer } => {
                    let Some(&to) = self.index_by_host.get(&peer) else { continue };
                    if self.is_partitioned(host, to) {
                        continue;
                    }
                    self.figures.control_messages += 2;
                    let bitmap = self.hosts[host].plan.bitmap(manifest);
                    self.push(
                        self.now + MESSAGE_DELAY,
                        to,
                        Message::HeldChunks { from: host, manifest, bitmap },
                    );
                }
                FetchAction::Chunk { manifest, index, source, id } => {
                    self.request(host, manifest, index, source, id);
                }
                FetchAction::Manifest { manifest, source, id } => match source {
                    ChunkSource::Peer(peer) => {
                        let Some(&to) = self.index_by_host.get(&peer) else { continue };
                        if !self.is_partitioned(host, to) {
                            let request = Message::Manifest { from: host, manifest, id };
                            self.push(self.now + MESSAGE_DELAY, to, request);
                        }
                    }
                    ChunkSource::Origin(origin) => {
                        let known = self.manifests.iter().map(|(manifest, _)| manifest);
                        let mut known = known.filter(|known| known.digest() == manifest);
                        let result = match self.origin_fault(origin) {
                            Some(fault) => Err(fault),
                            None => known.next().cloned().ok_or(FetchFault::NotHeld),
                        };
                        let response = Message::ManifestResponse { manifest, id, result };
                        self.push(self.now + MESSAGE_DELAY * 2, host, response);
                    }
                },
            }
        }
    }

    fn record_completed(&mut self, host: usize) {
        let (manifest, content) = &self.manifests[self.target];
        let state = &mut self.hosts[host];
        if state.done.is_none()
            && let Some(parts) = state.plan.store().all_chunks(manifest.digest())
        {
            state.done = Some(self.now);
            self.figures.corrupt_served += usize::from(parts.concat() != content[..]);
        }
    }

    fn content(&self, digest: ContentDigest, index: u32) -> Bytes {
        let known = self.manifests.iter().find(|(manifest, _)| manifest.digest() == digest);
        known.map(|(manifest, content)| slice(manifest, content, index)).unwrap_or_default()
    }

    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52 bytes")]
    fn transmission_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.options.link_bytes_per_s as f64)
    }
}

impl SimHost {
    fn new(options: &RunOptions, record: &PeerRecord, seed: u64) -> Self {
        let plan_options = FetchPlanOptions {
            memory_bytes: options.size_bytes as u64 * 2,
            transfer: TransferOptions {
                link_bytes_per_s: options.link_bytes_per_s,
                origins: 1 + usize::from(options.fault == Some(FaultKind::StoreRefuses)),
                ..TransferOptions::default()
            },
            upload: UploadOptions::default(),
        };
        Self {
            plan: FetchPlan::new(plan_options, record.clone(), seed),
            uplink_free_at: Duration::ZERO,
            downlink_free_at: Duration::ZERO,
            uploaded: 0,
            cancelled: HashSet::new(),
            alive: true,
            paused_until: Duration::ZERO,
            done: None,
            next_tick: Duration::ZERO,
        }
    }
}

fn slice(manifest: &ChunkManifest, content: &Bytes, index: u32) -> Bytes {
    let start = usize::try_from(u64::from(index) * manifest.chunk_bytes()).unwrap_or(usize::MAX);
    let size = usize::try_from(manifest.chunk_size(index)).unwrap_or(0);
    content.slice(start..start + size)
}
