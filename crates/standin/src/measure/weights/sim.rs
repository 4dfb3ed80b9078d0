//! The decision core alone: plans of a whole fleet driven by simulated messages over simulated links.
//!
//! Time is simulated, so neither sockets nor the scheduler of the operating system influence the figures, and a run
//! with the same seed repeats exactly.

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
    ChunkManifest, ChunkSource, FetchAction, FetchFault, FetchPlan, FetchPlanOptions, FetchTicket,
    FetchWant, PeerRecord, TransferOptions, UploadOptions, VerifiedChunk,
};

use super::{
    fault::FaultKind,
    run::{RunOptions, WIDE_LINK_FACTOR, peer_record},
};

/// One-way delay of a message inside a data centre or between data centres.
const DELAY: Duration = Duration::from_micros(1_500);
/// Longest simulated time of a run, in shortest durations.
const LONGEST_RUN: f64 = 40.0;

/// What a simulated run showed.
#[derive(Clone, Debug, Default)]
pub struct SimFigures {
    /// Time until each surviving host had all of the wanted version.
    pub done: Vec<Duration>,
    /// Hosts that never had it.
    pub unfinished: usize,
    /// Bytes that the origin sent.
    pub origin_bytes: u64,
    /// Most bytes that passed into one region.
    pub region_bytes: u64,
    /// Most bytes that one host sent.
    pub max_upload_bytes: u64,
    /// Bytes that arrived although the host had them already.
    pub wasted_bytes: u64,
    /// Hosts whose whole bytes differ from the published ones.
    pub corrupt_served: usize,
    /// Decisions taken: polls of plans and events given to them.
    pub decisions: u64,
    /// Messages between hosts that carry no chunk.
    pub control_messages: u64,
}

#[derive(Debug)]
enum Message {
    Tick,
    Have {
        from: usize,
        manifest: ContentDigest,
        bitmap: Bytes,
    },
    HaveReply {
        from: usize,
        manifest: ContentDigest,
        bitmap: Option<Bytes>,
        queued: u32,
    },
    Chunk {
        from: usize,
        manifest: ContentDigest,
        index: u32,
        ticket: FetchTicket,
        bitmap: Bytes,
    },
    UploadDone,
    /// The last byte of a chunk reached the link into the host.
    Arrival(Box<Message>),
    ChunkReply {
        from: Option<usize>,
        manifest: ContentDigest,
        index: u32,
        ticket: FetchTicket,
        data: Result<Bytes, FetchFault>,
        bitmap: Bytes,
        queued: u32,
    },
    Manifest {
        from: usize,
        manifest: ContentDigest,
        ticket: FetchTicket,
    },
    ManifestReply {
        manifest: ContentDigest,
        ticket: FetchTicket,
        result: Result<Arc<ChunkManifest>, FetchFault>,
    },
    Fault(SimFault),
}

#[derive(Clone, Copy, Debug)]
enum SimFault {
    Stall(Duration),
    Die,
    Restart,
    Pause(Duration),
    CutOff(bool),
    Want(usize),
}

struct Event {
    at: Duration,
    order: u64,
    host: usize,
    message: Message,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct SimHost {
    plan: FetchPlan,
    up_free: Duration,
    down_free: Duration,
    uploaded: u64,
    cancelled: HashSet<FetchTicket>,
    alive: bool,
    paused_until: Duration,
    done: Option<Duration>,
    /// Time for which a tick is scheduled.
    next_tick: Duration,
}

/// A simulated fleet.
pub struct FleetSim {
    options: RunOptions,
    epoch: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<Event>>,
    next_order: u64,
    hosts: Vec<SimHost>,
    records: Arc<[PeerRecord]>,
    by_host: HashMap<HostId, usize>,
    manifests: Vec<(Arc<ChunkManifest>, Bytes)>,
    region_out: HashMap<String, Duration>,
    region_in: HashMap<String, (Duration, u64)>,
    origin_free: Duration,
    origin_faults: u32,
    cut_off: Option<String>,
    target: usize,
    target_since: Duration,
    figures: SimFigures,
    rng: ChaCha8Rng,
}

impl FleetSim {
    /// Creates a fleet that begins its transfer at time zero.
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
        let by_host = records.iter().map(|record| record.host.clone()).zip(0..).collect();
        let mut sim = Self {
            epoch: Instant::now(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            next_order: 0,
            hosts,
            by_host,
            manifests,
            region_out: HashMap::new(),
            region_in: HashMap::new(),
            origin_free: Duration::ZERO,
            origin_faults: 0,
            cut_off: None,
            target: 0,
            target_since: Duration::ZERO,
            figures: SimFigures::default(),
            rng,
            records,
            options,
        };
        sim.prepare();
        sim
    }

    /// Runs until every surviving host holds the wanted version whole.
    #[must_use]
    pub fn run(mut self) -> SimFigures {
        let end = self.options.bound().mul_f64(LONGEST_RUN);
        while let Some(Reverse(event)) = self.events.pop() {
            self.now = event.at;
            let faults_left = || self.events.iter().any(|event| event.0.is_fault());
            if self.now > end || self.is_done() && !faults_left() {
                break;
            }
            self.take(event);
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

    fn prepare(&mut self) {
        let bound = self.options.bound();
        self.set_target(0, None);
        let Some(fault) = self.options.fault else { return };
        let span = bound.mul_f64(fault.span());
        if fault == FaultKind::OriginDown {
            (0..3.min(self.hosts.len())).for_each(|host| self.fill(host));
        }
        if matches!(fault, FaultKind::Corrupt | FaultKind::Truncate) {
            self.origin_faults = 3;
        }
        for round in 0..self.options.fault_times.min(2) {
            let at = bound.mul_f64(fault.times()[round]);
            let host = self.rng.random_range(0..self.hosts.len());
            let mut add = |at, fault| self.push(at, host, Message::Fault(fault));
            match fault {
                FaultKind::Stall => add(at, SimFault::Stall(span)),
                FaultKind::PeerDies => add(at, SimFault::Die),
                FaultKind::Restart => add(at, SimFault::Restart),
                FaultKind::Pause => add(at, SimFault::Pause(span)),
                FaultKind::Partition => {
                    add(at, SimFault::CutOff(true));
                    add(at + span, SimFault::CutOff(false));
                }
                FaultKind::VersionChange => add(at, SimFault::Want(round + 1)),
                FaultKind::Rollback => {
                    add(at, SimFault::Want(1));
                    add(at + span.mul_f64(0.5), SimFault::Want(0));
                }
                _ => {}
            }
        }
    }

    fn set_target(&mut self, version: usize, previous: Option<usize>) {
        self.target = version;
        self.target_since = self.now;
        for host in 0..self.hosts.len() {
            self.hosts[host].done = None;
            self.set_wants(host, previous);
        }
    }

    fn set_wants(&mut self, host: usize, previous: Option<usize>) {
        let want = |version: usize, fetch| {
            let manifest = &self.manifests[version].0;
            let size_bytes = manifest.size_bytes();
            FetchWant {
                manifest: manifest.digest(),
                size_bytes,
                fetch,
                hosts: self.records.clone(),
            }
        };
        let mut wants = vec![want(self.target, true)];
        wants.extend(previous.map(|previous| want(previous, false)));
        let now = self.epoch + self.now;
        let actions = self.hosts[host].plan.set_wants(now, wants);
        self.execute(host, actions);
        self.push(self.now, host, Message::Tick);
    }

    fn fill(&mut self, host: usize) {
        let (manifest, content) = self.manifests[0].clone();
        let now = self.epoch + self.now;
        let plan = &mut self.hosts[host].plan;
        plan.add_manifest(now, manifest.clone());
        for index in 0..manifest.chunk_count() {
            let chunk = VerifiedChunk::verify(&manifest, index, slice(&manifest, &content, index));
            plan.record_chunk(now, manifest.digest(), index, 0, chunk);
        }
    }

    fn is_done(&self) -> bool {
        self.hosts.iter().all(|host| !host.alive || host.done.is_some())
    }

    fn push(&mut self, at: Duration, host: usize, message: Message) {
        let order = self.next_order;
        self.next_order += 1;
        self.events.push(Reverse(Event { at, order, host, message }));
    }

    fn take(&mut self, event: Event) {
        let Event { host, message, .. } = event;
        if let Message::Fault(fault) = message {
            return self.apply(host, fault);
        }
        if !self.hosts[host].alive {
            return self.refuse(host, message);
        }
        if let Message::Arrival(reply) = message {
            return self.arrive(host, *reply);
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
            Message::Have { from, manifest, bitmap } => {
                self.answer_have(host, from, manifest, &bitmap);
            }
            Message::HaveReply { from, manifest, bitmap, queued } => {
                let peer = self.records[from].host.clone();
                let plan = &mut self.hosts[host].plan;
                match bitmap {
                    Some(bitmap) => plan.record_have(now, manifest, &peer, &bitmap, queued),
                    None => plan.record_have_failed(now, manifest, &peer),
                }
            }
            Message::Chunk { from, manifest, index, ticket, bitmap } => {
                self.serve(host, from, manifest, index, ticket, &bitmap);
                return;
            }
            Message::UploadDone => {
                self.hosts[host].plan.finish_upload();
                return;
            }
            Message::ChunkReply { from, manifest, index, ticket, data, bitmap, queued } => {
                self.receive(host, from, manifest, index, ticket, data, &bitmap, queued);
            }
            Message::Manifest { from, manifest, ticket } => {
                let held = self.hosts[host].plan.store().manifest(manifest).cloned();
                let result = held.ok_or(FetchFault::NotHeld);
                let reply = Message::ManifestReply { manifest, ticket, result };
                self.push(self.now + DELAY, from, reply);
                return;
            }
            Message::ManifestReply { manifest, ticket, result } => {
                self.hosts[host].plan.record_manifest(now, manifest, ticket, result);
            }
            Message::Arrival(_) | Message::Fault(_) => {}
        }
        self.poll(host);
    }

    /// The link into the host carried the bytes while they were sent, unless it was busy.
    fn arrive(&mut self, host: usize, reply: Message) {
        let Message::ChunkReply { data: Ok(data), .. } = &reply else { return };
        let span = self.span(data.len());
        let receiver = &mut self.hosts[host];
        receiver.down_free = self.now.max(receiver.down_free + span);
        let arrived = receiver.down_free;
        self.push(arrived, host, reply);
    }

    /// A dead host does not answer: its connections are refused.
    fn refuse(&mut self, host: usize, message: Message) {
        match message {
            Message::Have { from, manifest, .. } => {
                let reply = Message::HaveReply { from: host, manifest, bitmap: None, queued: 0 };
                self.push(self.now + DELAY, from, reply);
            }
            Message::Chunk { from, manifest, index, ticket, .. } => {
                let data = Err(FetchFault::Unreachable);
                self.reply(Some(host), from, manifest, index, ticket, data, Bytes::new(), 0);
            }
            Message::Manifest { from, manifest, ticket } => {
                let result = Err(FetchFault::Unreachable);
                let reply = Message::ManifestReply { manifest, ticket, result };
                self.push(self.now + DELAY, from, reply);
            }
            _ => {}
        }
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
                FetchAction::Cancel { ticket } => {
                    self.hosts[host].cancelled.insert(ticket);
                }
                FetchAction::Have { manifest, peer } => {
                    let Some(&to) = self.by_host.get(&peer) else { continue };
                    if self.is_cut(host, to) {
                        continue;
                    }
                    self.figures.control_messages += 2;
                    let bitmap = self.hosts[host].plan.bitmap(manifest);
                    self.push(self.now + DELAY, to, Message::Have { from: host, manifest, bitmap });
                }
                FetchAction::Chunk { manifest, index, source, ticket } => {
                    self.request(host, manifest, index, source, ticket);
                }
                FetchAction::Manifest { manifest, source, ticket } => match source {
                    ChunkSource::Peer(peer) => {
                        let Some(&to) = self.by_host.get(&peer) else { continue };
                        if !self.is_cut(host, to) {
                            let ask = Message::Manifest { from: host, manifest, ticket };
                            self.push(self.now + DELAY, to, ask);
                        }
                    }
                    ChunkSource::Origin(origin) => {
                        let known = self.manifests.iter().map(|(manifest, _)| manifest);
                        let mut known = known.filter(|known| known.digest() == manifest);
                        let result = match self.origin_fault(origin) {
                            Some(fault) => Err(fault),
                            None => known.next().cloned().ok_or(FetchFault::NotHeld),
                        };
                        let reply = Message::ManifestReply { manifest, ticket, result };
                        self.push(self.now + DELAY * 2, host, reply);
                    }
                },
            }
        }
    }

    fn origin_fault(&self, origin: usize) -> Option<FetchFault> {
        match self.options.fault {
            Some(FaultKind::OriginDown) => Some(FetchFault::Unreachable),
            Some(FaultKind::StoreRefuses) if origin == 0 => {
                Some(FetchFault::RetryAfter(Duration::from_secs(1)))
            }
            _ => None,
        }
    }

    fn request(
        &mut self,
        host: usize,
        manifest: ContentDigest,
        index: u32,
        source: ChunkSource,
        ticket: FetchTicket,
    ) {
        match source {
            ChunkSource::Peer(peer) => {
                let Some(&to) = self.by_host.get(&peer) else { return };
                if !self.is_cut(host, to) {
                    let bitmap = self.hosts[host].plan.bitmap(manifest);
                    let ask = Message::Chunk { from: host, manifest, index, ticket, bitmap };
                    self.push(self.now + DELAY, to, ask);
                }
            }
            ChunkSource::Origin(origin) => {
                if let Some(fault) = self.origin_fault(origin) {
                    let data = Err(fault);
                    return self.reply(None, host, manifest, index, ticket, data, Bytes::new(), 0);
                }
                let mut data = self.content(manifest, index);
                let span = self.span(data.len()) / WIDE_LINK_FACTOR;
                self.origin_free = self.origin_free.max(self.now) + span;
                self.figures.origin_bytes += data.len() as u64;
                if self.origin_faults > 0 {
                    self.origin_faults -= 1;
                    data = self.damaged(&data);
                }
                let sent = self.origin_free;
                self.deliver(sent, None, host, manifest, index, ticket, data);
            }
        }
    }

    fn answer_have(&mut self, host: usize, from: usize, manifest: ContentDigest, bitmap: &[u8]) {
        let now = self.epoch + self.now;
        let asker = self.records[from].host.clone();
        let lies = self.is_victim(host, FaultKind::PeerLies);
        let plan = &mut self.hosts[host].plan;
        if !bitmap.is_empty() {
            plan.record_have(now, manifest, &asker, bitmap, 0);
        }
        let mut bitmap = plan.bitmap(manifest);
        if lies {
            bitmap = vec![0xff; bitmap.len()].into();
        }
        let queued = plan.queued_uploads();
        if !self.is_cut(host, from) {
            let reply = Message::HaveReply { from: host, manifest, bitmap: Some(bitmap), queued };
            self.push(self.now + DELAY, from, reply);
        }
    }

    fn serve(
        &mut self,
        host: usize,
        from: usize,
        manifest: ContentDigest,
        index: u32,
        ticket: FetchTicket,
        bitmap: &[u8],
    ) {
        let now = self.epoch + self.now;
        let asker = self.records[from].host.clone();
        let lies = self.is_victim(host, FaultKind::PeerLies);
        let plan = &mut self.hosts[host].plan;
        plan.record_have(now, manifest, &asker, bitmap, 0);
        let decision = if lies {
            Err(FetchFault::NotHeld)
        } else {
            plan.serve_chunk(now, manifest, index, &asker, bitmap)
        };
        match decision {
            Ok(mut data) => {
                let span = self.span(data.len());
                let server = &mut self.hosts[host];
                server.up_free = server.up_free.max(self.now) + span;
                server.uploaded += data.len() as u64;
                let mut sent = server.up_free;
                self.push(sent, host, Message::UploadDone);
                let (out, into) = (&self.records[host].region, &self.records[from].region);
                if out != into {
                    let span = span / WIDE_LINK_FACTOR;
                    let free = self.region_out.entry(out.to_string()).or_default();
                    *free = (*free).max(self.now) + span;
                    sent = sent.max(*free);
                    let free = self.region_in.entry(into.to_string()).or_default();
                    *free = (free.0.max(self.now) + span, free.1 + data.len() as u64);
                    sent = sent.max(free.0);
                }
                if self.is_victim(host, FaultKind::Corrupt)
                    || self.is_victim(host, FaultKind::Truncate)
                {
                    data = self.damaged(&data);
                }
                self.deliver(sent, Some(host), from, manifest, index, ticket, data);
            }
            Err(fault) => {
                let plan = &self.hosts[host].plan;
                let (bitmap, queued) = (plan.bitmap(manifest), plan.queued_uploads());
                self.reply(Some(host), from, manifest, index, ticket, Err(fault), bitmap, queued);
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn deliver(
        &mut self,
        sent: Duration,
        from: Option<usize>,
        to: usize,
        manifest: ContentDigest,
        index: u32,
        ticket: FetchTicket,
        data: Bytes,
    ) {
        let (bitmap, queued) = match from {
            Some(from) => {
                let plan = &self.hosts[from].plan;
                (plan.bitmap(manifest), plan.queued_uploads())
            }
            None => (Bytes::new(), 0),
        };
        let data = Ok(data);
        let reply = Message::ChunkReply { from, manifest, index, ticket, data, bitmap, queued };
        self.push(sent + DELAY, to, Message::Arrival(Box::new(reply)));
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn reply(
        &mut self,
        from: Option<usize>,
        to: usize,
        manifest: ContentDigest,
        index: u32,
        ticket: FetchTicket,
        data: Result<Bytes, FetchFault>,
        bitmap: Bytes,
        queued: u32,
    ) {
        self.figures.control_messages += 2;
        let message = Message::ChunkReply { from, manifest, index, ticket, data, bitmap, queued };
        self.push(self.now + DELAY, to, message);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn receive(
        &mut self,
        host: usize,
        from: Option<usize>,
        digest: ContentDigest,
        index: u32,
        ticket: FetchTicket,
        data: Result<Bytes, FetchFault>,
        bitmap: &[u8],
        queued: u32,
    ) {
        let now = self.epoch + self.now;
        let bytes = data.as_ref().map_or(0, |data| data.len() as u64);
        if self.hosts[host].cancelled.remove(&ticket) {
            self.figures.wasted_bytes += bytes;
            return;
        }
        if let Some(from) = from.filter(|from| !bitmap.is_empty() && !self.is_cut(host, *from)) {
            let peer = self.records[from].host.clone();
            self.hosts[host].plan.record_have(now, digest, &peer, bitmap, queued);
        }
        let Some(manifest) = self.hosts[host].plan.store().manifest(digest).cloned() else {
            return;
        };
        let chunk = data.and_then(|data| VerifiedChunk::verify(&manifest, index, data));
        let actions = self.hosts[host].plan.record_chunk(now, digest, index, ticket, chunk);
        self.execute(host, actions);
        self.note_done(host);
    }

    fn note_done(&mut self, host: usize) {
        let (manifest, content) = &self.manifests[self.target];
        let state = &mut self.hosts[host];
        if state.done.is_none()
            && let Some(parts) = state.plan.store().whole(manifest.digest())
        {
            state.done = Some(self.now);
            self.figures.corrupt_served += usize::from(parts.concat() != content[..]);
        }
    }

    fn apply(&mut self, host: usize, fault: SimFault) {
        match fault {
            SimFault::Stall(span) => {
                let state = &mut self.hosts[host];
                state.up_free = state.up_free.max(self.now) + span;
                state.down_free = state.down_free.max(self.now) + span;
            }
            SimFault::Die => self.hosts[host].alive = false,
            SimFault::Restart => {
                let seed = self.rng.random();
                let (up_free, down_free) = (self.hosts[host].up_free, self.hosts[host].down_free);
                let uploaded = self.hosts[host].uploaded;
                let fresh = SimHost::new(&self.options, &self.records[host], seed);
                self.hosts[host] = SimHost { up_free, down_free, uploaded, ..fresh };
                self.set_wants(host, None);
            }
            SimFault::Pause(span) => self.hosts[host].paused_until = self.now + span,
            SimFault::CutOff(cut) => {
                self.cut_off = cut.then(|| self.records[host].region.to_string());
            }
            SimFault::Want(version) => self.set_target(version, Some(self.target)),
        }
    }

    fn is_victim(&self, host: usize, fault: FaultKind) -> bool {
        self.options.fault == Some(fault) && host < self.options.fault_times
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.records[from].region, &self.records[to].region);
        self.cut_off.as_ref().is_some_and(|region| (from == region) != (to == region))
    }

    fn damaged(&self, data: &Bytes) -> Bytes {
        let mut bytes = data.to_vec();
        if self.options.fault == Some(FaultKind::Truncate) {
            bytes.truncate(bytes.len() / 2);
        } else if let Some(byte) = bytes.last_mut() {
            *byte ^= 1;
        }
        bytes.into()
    }

    fn content(&self, digest: ContentDigest, index: u32) -> Bytes {
        let known = self.manifests.iter().find(|(manifest, _)| manifest.digest() == digest);
        known.map(|(manifest, content)| slice(manifest, content, index)).unwrap_or_default()
    }

    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52 bytes")]
    fn span(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.options.link_bytes_per_s as f64)
    }
}

impl Event {
    fn is_fault(&self) -> bool {
        matches!(self.message, Message::Fault(_))
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
            up_free: Duration::ZERO,
            down_free: Duration::ZERO,
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
