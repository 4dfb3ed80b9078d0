//! Simulates the transfers of a fleet without a network: links and the origin are rates, messages are delays.

// Each test file uses a part of the simulator.
#![allow(dead_code)]

mod links;
mod notices;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use chunks::{
    ChunkFetch, ChunkManifest, ChunkSet, ChunkSource, ChunkSwarm, FetchFailure, SwarmOptions,
    SwarmPeer, TransferSet, WeightsId, WeightsTransfer,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
const TICK: Duration = Duration::from_millis(100);
const NOTICE_INTERVAL: Duration = Duration::from_millis(40);
const QUERY_INTERVAL: Duration = Duration::from_millis(300);
const CHUNK_TIMEOUT: Duration = Duration::from_millis(900);
const LOCAL_DELAY: Duration = Duration::from_millis(5);
const REMOTE_DELAY: Duration = Duration::from_millis(30);
const MAX_QUEUED: u32 = 3;
/// Share of a link that the agents use for uploads.
const UPLOAD_SHARE: f64 = 0.85;
pub const TOTAL_BYTES: f64 = 2_360_000.0;

/// State of the origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OriginState {
    Up,
    Resets,
    Hangs,
    Full,
    /// Share of the chunks that arrive corrupt.
    Corrupts(f64),
}

#[derive(Clone, Debug)]
pub struct SimOptions {
    pub agents: usize,
    pub regions: usize,
    pub chunks: u32,
    pub origin_mbit: f64,
    pub link_mbit: f64,
    pub region_mbit: f64,
    pub connections: usize,
    pub seed: u64,
}

impl Default for SimOptions {
    fn default() -> Self {
        Self {
            agents: 40,
            regions: 2,
            chunks: 48,
            origin_mbit: 9.9,
            link_mbit: 9.4,
            region_mbit: 25.0,
            connections: 48,
            seed: 1,
        }
    }
}

impl SimOptions {
    /// Transfer time of a chunk on an idle link of a host.
    pub fn chunk_time(&self) -> Duration {
        let rate = self.link_mbit * 1e6 / 8.0;
        Duration::from_secs_f64(TOTAL_BYTES / f64::from(self.chunks) / rate)
    }

    /// Time that the bytes need: over the origin's link or over a host's link, whichever is slower.
    pub fn needed(&self) -> Duration {
        Duration::from_secs_f64(TOTAL_BYTES * 8.0 / 1e6 / self.origin_mbit.min(self.link_mbit))
    }
}

struct Stream {
    to: usize,
    from: Option<usize>,
    weights: WeightsId,
    fetch: ChunkFetch,
    left: f64,
    since: Instant,
    starts: Instant,
    /// The origin does not respond on this connection.
    is_hung: bool,
}

enum Event {
    Failed { to: usize, weights: WeightsId, fetch: ChunkFetch, failure: FetchFailure },
    Notice { to: usize, from: usize, weights: WeightsId, held: ChunkSet, wanted: bool },
}

pub struct SimAgent {
    pub transfers: TransferSet,
    pub peer: SwarmPeer,
    others: Vec<SwarmPeer>,
    /// Time at which the uploads that were accepted will have been sent.
    link_free_at: Instant,
    unannounced: bool,
    last_notice: Option<Instant>,
    last_query: Option<Instant>,
    next_step: Instant,
    pub is_dead: bool,
    /// Time at which each version was complete, by version.
    pub complete: HashMap<u64, Instant>,
}

pub struct FleetSim {
    pub options: SimOptions,
    pub agents: Vec<SimAgent>,
    pub start: Instant,
    pub now: Instant,
    /// States of the origin, with the time since the start from which each one holds.
    pub origin: Vec<(Duration, OriginState)>,
    indices: HashMap<SocketAddr, usize>,
    streams: BTreeMap<u64, Stream>,
    next_stream: u64,
    events: Vec<(Instant, Event)>,
    /// Times of failed calls to the origin.
    pub failed_calls: Vec<Duration>,
    /// Bytes that the origin has sent, by version.
    pub origin_bytes: HashMap<u64, f64>,
    /// Bytes that the origin has sent in each step.
    pub origin_sent: Vec<f64>,
    /// Intact chunks that the origin has sent, by version and chunk.
    origin_chunks: HashMap<(u64, u32), u32>,
    /// Agents that have called the origin, the latest one last.
    callers: Vec<usize>,
    rng: ChaCha8Rng,
}

impl FleetSim {
    pub fn new(options: SimOptions) -> Self {
        let now = Instant::now();
        let peers: Vec<SwarmPeer> = (0..options.agents)
            .map(|index| {
                let region = format!("r{}", index % options.regions);
                let address = [10, 0, (index / 250) as u8, (index % 250) as u8];
                SwarmPeer {
                    address: SocketAddr::from((address, 7_700)),
                    data_centre: region.as_str().into(),
                    region: region.as_str().into(),
                }
            })
            .collect();
        let agents = peers
            .iter()
            .map(|peer| SimAgent {
                transfers: TransferSet::new(),
                peer: peer.clone(),
                others: peers.iter().filter(|other| *other != peer).cloned().collect(),
                link_free_at: now,
                unannounced: false,
                last_notice: None,
                last_query: None,
                next_step: now,
                is_dead: false,
                complete: HashMap::new(),
            })
            .collect();
        Self {
            agents,
            start: now,
            now,
            origin: Vec::new(),
            indices: peers.iter().enumerate().map(|(at, peer)| (peer.address, at)).collect(),
            streams: BTreeMap::new(),
            next_stream: 0,
            events: Vec::new(),
            failed_calls: Vec::new(),
            origin_bytes: HashMap::new(),
            origin_sent: Vec::new(),
            origin_chunks: HashMap::new(),
            callers: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// An agent learns of a version that was declared at `declared`.
    pub fn begin(&mut self, agent: usize, version: u64, declared: Instant) {
        let name = WeightsId { model: "m".into(), version };
        let digests = vec![[0; 32]; self.options.chunks as usize];
        let manifest = Arc::new(ChunkManifest { name, digests });
        let item = &mut self.agents[agent];
        let options = SwarmOptions::default();
        let mut swarm =
            ChunkSwarm::new(manifest, item.peer.clone(), ChunkSet::new(), options, self.now);
        swarm.update_peers(&item.others, Some("r0".into()), self.now);
        let transfer = WeightsTransfer::new(swarm, ChunkSet::new(), Some(declared), self.now);
        let gate = item.transfers.gate();
        let mut transfer = transfer;
        transfer.swarm.set_gate(gate);
        item.transfers.begin(transfer, 1);
        item.next_step = self.now;
        self.cancel_dropped(agent);
    }

    /// An agent restarts and loses its transfers.
    pub fn restart(&mut self, agent: usize) {
        self.agents[agent].transfers = TransferSet::new();
        self.agents[agent].complete.clear();
        self.cancel_dropped(agent);
    }

    /// All agents learn of a version now.
    pub fn declare(&mut self, version: u64) {
        let declared = self.now;
        for agent in 0..self.agents.len() {
            self.begin(agent, version, declared);
        }
    }

    pub fn run_until(&mut self, at: Duration) {
        while self.elapsed() < at {
            self.step();
        }
    }

    /// Runs until all live agents hold the version.
    pub fn run_to_complete(&mut self, version: u64, limit: Duration) -> Duration {
        while self
            .agents
            .iter()
            .any(|agent| !agent.is_dead && !agent.complete.contains_key(&version))
        {
            assert!(self.elapsed() < limit, "version {version} is not complete after {limit:?}");
            self.step();
        }
        self.elapsed()
    }

    /// Copies of a version that the origin has sent.
    pub fn copies(&self, version: u64) -> f64 {
        self.origin_bytes.get(&version).copied().unwrap_or_default() / TOTAL_BYTES
    }

    /// Number of intact chunks of a version that the origin has sent more than once.
    pub fn repeated_chunks(&self, version: u64) -> usize {
        let sent = self.origin_chunks.iter();
        sent.filter(|((sent, _), count)| *sent == version && **count > 1).count()
    }

    /// Time from `from` until the origin sends at four fifths of its rate.
    pub fn full_rate_after(&self, from: Duration) -> Option<Duration> {
        let rate = self.options.origin_mbit * 1e6 / 8.0 * STEP.as_secs_f64();
        let skipped = (from.as_millis() / STEP.as_millis()) as usize;
        let steps = self.origin_sent.iter().skip(skipped).position(|sent| *sent > 0.8 * rate)?;
        Some(STEP * steps as u32)
    }

    /// Stops the `count` agents that have called the origin most often.
    pub fn stop_callers(&mut self, count: usize) {
        let mut calls = vec![(0, 0); self.agents.len()];
        for caller in &self.callers {
            calls[*caller] = (calls[*caller].0 + 1, *caller);
        }
        calls.sort_unstable();
        for (_, agent) in calls.into_iter().rev().take(count) {
            self.agents[agent].is_dead = true;
            self.streams.retain(|_, stream| stream.to != agent);
        }
    }

    /// Most failed calls to the origin in any second of a period.
    pub fn most_failed(&self, from: Duration, to: Duration) -> usize {
        let second = Duration::from_secs(1);
        self.failed_calls
            .iter()
            .filter(|at| **at >= from && **at < to)
            .map(|at| {
                self.failed_calls
                    .iter()
                    .filter(|other| *other >= at && **other < *at + second)
                    .count()
            })
            .max()
            .unwrap_or_default()
    }

    fn origin_state(&self) -> OriginState {
        let elapsed = self.elapsed();
        let states = self.origin.iter().rev();
        states
            .clone()
            .find(|(from, _)| *from <= elapsed)
            .map_or(OriginState::Up, |(_, state)| *state)
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver_events();
        for agent in 0..self.agents.len() {
            if !self.agents[agent].is_dead && self.now >= self.agents[agent].next_step {
                self.agents[agent].next_step = self.now + TICK;
                self.start_fetches(agent);
                let item = &mut self.agents[agent];
                let next = item.transfers.next_at(self.now).unwrap_or(item.next_step);
                item.next_step = item.next_step.min(next);
                self.send_notices(agent);
            }
        }
        self.move_bytes();
    }

    fn deliver_events(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.events).into_iter().partition(|(at, _)| *at <= now);
        self.events = later;
        let due: Vec<(Instant, Event)> = due;
        for (_, event) in due {
            match event {
                Event::Failed { to, weights, fetch, failure } => {
                    self.fail(to, &weights, fetch, failure);
                }
                Event::Notice { to, from, weights, held, wanted } => {
                    let sender = self.agents[from].peer.address;
                    let agent = &mut self.agents[to];
                    let Some(transfer) = agent.transfers.get_mut(&weights) else { continue };
                    transfer.swarm.record_peer_chunks(sender, held, now);
                    if !transfer.swarm.is_complete() {
                        agent.next_step = now;
                    }
                    let own = transfer.swarm.held().clone();
                    if wanted && own.count() > 0 {
                        self.notify(to, from, &weights, own, false);
                    }
                }
            }
        }
    }

    fn fail(&mut self, to: usize, weights: &WeightsId, fetch: ChunkFetch, failure: FetchFailure) {
        let agent = &mut self.agents[to];
        if let Some(transfer) = agent.transfers.get_mut(weights) {
            transfer.swarm.record_failed(fetch.id, failure, self.now, &mut self.rng);
        }
        agent.transfers.share_gate(weights);
        agent.next_step = self.now;
        if fetch.source == ChunkSource::Origin && failure != FetchFailure::Corrupt {
            self.failed_calls.push(self.elapsed());
        }
    }

    fn start_fetches(&mut self, index: usize) {
        let mut fetches = Vec::new();
        let chunk_time = self.options.chunk_time();
        if self.agents[index].transfers.drop_superseded(chunk_time, self.now).is_some() {
            self.cancel_dropped(index);
        }
        let mut has_priority = true;
        for transfer in self.agents[index].transfers.iter_mut() {
            let weights = transfer.swarm.name().clone();
            let next = transfer.swarm.next_fetches(has_priority, self.now, &mut self.rng);
            fetches.extend(next.into_iter().map(|fetch| (weights.clone(), fetch)));
            has_priority &= transfer.swarm.is_complete();
        }
        for (weights, fetch) in fetches {
            self.start_fetch(index, weights, fetch);
        }
    }

    /// The agent closes the connections of fetches of versions that it no longer transfers.
    fn cancel_dropped(&mut self, index: usize) {
        let agent = &self.agents[index];
        self.streams.retain(|_, stream| {
            stream.to != index || agent.transfers.get(&stream.weights).is_some()
        });
    }

    fn start_fetch(&mut self, to: usize, weights: WeightsId, fetch: ChunkFetch) {
        let from = match fetch.source {
            ChunkSource::Origin => None,
            ChunkSource::Peer(peer) => Some(self.indices[&peer]),
        };
        let state = self.origin_state();
        let chunk_bytes = TOTAL_BYTES / f64::from(self.options.chunks);
        let chunk_time = Duration::from_secs_f64(
            chunk_bytes / (self.options.link_mbit * 1e6 / 8.0 * UPLOAD_SHARE),
        );
        let mut is_hung = false;
        let mut failure = None;
        if let Some(from) = from {
            let peer = &self.agents[from];
            let is_held = peer
                .transfers
                .get(&weights)
                .is_some_and(|transfer| transfer.swarm.held().contains(fetch.index));
            if peer.is_dead {
                is_hung = true;
            } else if !is_held {
                failure = Some(FetchFailure::Failed);
            } else if peer.link_free_at.saturating_duration_since(self.now)
                > chunk_time * MAX_QUEUED
            {
                failure = Some(FetchFailure::Busy);
            }
        } else {
            self.callers.push(to);
            let open = self.streams.values().filter(|stream| stream.from.is_none()).count();
            match state {
                OriginState::Resets | OriginState::Full => failure = Some(FetchFailure::Failed),
                OriginState::Hangs => is_hung = true,
                _ if open >= self.options.connections => failure = Some(FetchFailure::Failed),
                _ => {}
            }
        }
        if let Some(failure) = failure {
            let event = Event::Failed { to, weights, fetch, failure };
            self.events.push((self.now + LOCAL_DELAY, event));
            return;
        }
        let is_local =
            from.is_none_or(|from| self.agents[from].peer.region == self.agents[to].peer.region);
        let delay = if is_local { LOCAL_DELAY } else { 2 * REMOTE_DELAY };
        let mut starts = self.now + delay;
        self.next_stream += 1;
        if let Some(from) = from
            && !is_hung
        {
            let free_at = &mut self.agents[from].link_free_at;
            starts += free_at.saturating_duration_since(self.now);
            *free_at = (*free_at).max(self.now) + chunk_time;
        }
        let left = chunk_bytes;
        let stream = Stream { to, from, weights, fetch, left, since: self.now, starts, is_hung };
        self.streams.insert(self.next_stream, stream);
    }

    fn move_bytes(&mut self) {
        let state = self.origin_state();
        let sent = self.share_links(state);
        self.origin_sent.push(sent);
        let mut ended: Vec<u64> = self
            .streams
            .iter()
            .filter(|(_, stream)| {
                stream.left <= 0.5
                    || self.now - stream.since >= CHUNK_TIMEOUT
                    || (stream.from.is_none() && state == OriginState::Resets)
            })
            .map(|(id, _)| *id)
            .collect();
        ended.sort_unstable();
        for id in ended {
            let stream = self.streams.remove(&id).expect("the id is from the map");
            let is_corrupt = match state {
                OriginState::Corrupts(share) if stream.from.is_none() => {
                    self.rng.random_bool(share)
                }
                _ => false,
            };
            if stream.left > 0.5 || is_corrupt {
                let failure = if is_corrupt { FetchFailure::Corrupt } else { FetchFailure::Failed };
                self.fail(stream.to, &stream.weights, stream.fetch, failure);
                continue;
            }
            if stream.from.is_none() {
                let chunk = (stream.weights.version, stream.fetch.index);
                *self.origin_chunks.entry(chunk).or_default() += 1;
            }
            let now = self.now;
            let agent = &mut self.agents[stream.to];
            agent.next_step = now;
            agent.unannounced = true;
            if let Some(transfer) = agent.transfers.get_mut(&stream.weights) {
                transfer.record_fetched(stream.fetch.id, Bytes::new(), now);
                if transfer.swarm.is_complete() {
                    agent.complete.entry(stream.weights.version).or_insert(now);
                }
            }
        }
    }
}
