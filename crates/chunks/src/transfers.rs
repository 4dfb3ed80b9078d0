//! Transfers of an agent: usually of one version, and of two while a newer version supersedes an older one.
//!
//! Only one version fits into an engine's staging area, so the chunks of the newer version are buffered in memory. They
//! are also buffered while the engine is still starting and cannot accept them.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use bytes::Bytes;
use fleet::WeightsVersion;

use crate::{
    fetch::FetchId,
    manifest::{ChunkIndex, ChunkSet, WeightsId},
    origin::OriginGate,
    schedule::{DRAIN_TIME, LOAD_TIME},
    swarm::ChunkSwarm,
};

/// The transfer of an older version continues after a newer one is declared if at least `1 / KEEP_DIVISOR` of its
/// chunks have arrived. The first quarter of a transfer is the slow one, because the origin is the only source.
const KEEP_DIVISOR: u32 = 4;
/// Maximum number of chunks that are being staged at the same time.
const MAX_STAGING: usize = 3;
/// Expected duration of the rest of a transfer, as a multiple of its duration on an idle link.
const REMAINING_TIME_FACTOR: f64 = 1.5;

/// Transfer of one version, with its buffered and staged chunks.
#[derive(Debug)]
pub struct WeightsTransfer {
    /// Decides which chunks to fetch from which sources.
    pub swarm: ChunkSwarm,
    /// Time at which the version was declared; `None` if no process observed it.
    pub declared_at: Option<Instant>,
    started: Instant,
    buffered: HashMap<ChunkIndex, Bytes>,
    staged: ChunkSet,
    staging: HashSet<ChunkIndex>,
}

impl WeightsTransfer {
    /// Creates the transfer of a version; `staged` are the chunks that are already in the staging area.
    #[must_use]
    pub fn new(
        swarm: ChunkSwarm,
        staged: ChunkSet,
        declared_at: Option<Instant>,
        now: Instant,
    ) -> Self {
        Self {
            swarm,
            declared_at,
            started: now,
            buffered: HashMap::new(),
            staged,
            staging: HashSet::new(),
        }
    }

    /// Time since the start of the transfer.
    #[must_use]
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Version of the weights.
    #[must_use]
    pub fn version(&self) -> WeightsVersion {
        self.swarm.name().version
    }

    /// Buffers a fetched and verified chunk.
    pub fn record_fetched(&mut self, id: FetchId, bytes: Bytes, now: Instant) {
        if let Some(index) = self.swarm.record_fetched(id, now) {
            self.buffered.insert(index, bytes);
        }
    }

    /// Bytes of a chunk; `None` if it is not buffered in memory.
    #[must_use]
    pub fn buffered(&self, index: ChunkIndex) -> Option<Bytes> {
        self.buffered.get(&index).cloned()
    }

    /// Chunks to write to the staging area now. The caller reports each result to [`WeightsTransfer::record_staged`].
    pub fn next_to_stage(&mut self) -> Vec<(ChunkIndex, Bytes)> {
        let capacity = MAX_STAGING.saturating_sub(self.staging.len());
        let next: Vec<(ChunkIndex, Bytes)> = self
            .buffered
            .iter()
            .filter(|(index, _)| !self.staging.contains(*index))
            .take(capacity)
            .map(|(index, bytes)| (*index, bytes.clone()))
            .collect();
        self.staging.extend(next.iter().map(|(index, _)| *index));
        next
    }

    /// Records whether a chunk could be staged. If not, it stays in memory and is staged again later.
    pub fn record_staged(&mut self, index: ChunkIndex, is_staged: bool) {
        self.staging.remove(&index);
        if is_staged && self.buffered.remove(&index).is_some() {
            self.staged.insert(index);
        }
    }

    /// Records that a chunk in the staging area is missing or corrupt.
    pub fn record_corrupt(&mut self, index: ChunkIndex, now: Instant) {
        self.staged.remove(index);
        if !self.buffered.contains_key(&index) {
            self.swarm.record_corrupt(index, now);
        }
    }

    /// Updates the content of the staging area after a restart of the engine. Chunks that are neither in `staged` nor
    /// buffered are fetched again.
    pub fn reset_staged(&mut self, staged: &ChunkSet, now: Instant) {
        for index in 0..self.swarm.manifest().len() {
            if !staged.contains(index) {
                self.record_corrupt(index, now);
            }
        }
    }

    /// True if every chunk is in the staging area.
    #[must_use]
    pub fn is_staged(&self) -> bool {
        self.staged.count() >= self.swarm.manifest().len()
    }

    /// Expected time until this agent holds all chunks; `None` if they depend on an origin that does not respond.
    /// `chunk_time` is the transfer time of a chunk on an idle host link, `origin_chunk_time` that on the origin's link.
    #[must_use]
    pub fn remaining(
        &self,
        chunk_time: Duration,
        origin_chunk_time: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let swarm = &self.swarm;
        if swarm.lacks_origin(now) {
            return None;
        }
        let from_peers = chunk_time.mul_f64(f64::from(self.missing()) * REMAINING_TIME_FACTOR);
        let from_origin = origin_chunk_time * swarm.missing_in_fleet();
        Some(from_peers.max(from_origin))
    }

    fn missing(&self) -> u32 {
        self.swarm.manifest().len().saturating_sub(self.swarm.held().count())
    }

    fn should_continue(&self) -> bool {
        self.swarm.held().count() * KEEP_DIVISOR >= self.swarm.manifest().len()
    }
}

/// All transfers of an agent, the oldest version first.
#[derive(Debug, Default)]
pub struct TransferSet {
    transfers: Vec<WeightsTransfer>,
    /// Version that stays in the staging area because the engine may still accept the order to load it.
    held: Option<WeightsId>,
}

impl TransferSet {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the transfer of a version that is newer than all others. An older transfer of the same model continues
    /// only if at least a quarter of its chunks have arrived. `loaded` is the version that the engine serves.
    pub fn begin(&mut self, transfer: WeightsTransfer, loaded: WeightsVersion) {
        let held = self.held.as_ref();
        self.transfers.retain(|older| {
            held == Some(older.swarm.name())
                || older.version() > loaded
                    && older.swarm.name().model == transfer.swarm.name().model
                    && older.should_continue()
        });
        // Of several older versions, the one that is nearest to completion can be loaded first.
        let best = self
            .transfers
            .iter()
            .min_by_key(|older| (held != Some(older.swarm.name()), older.missing()));
        let kept = best.map(WeightsTransfer::version);
        self.transfers.retain(|older| Some(older.version()) == kept);
        self.transfers.push(transfer);
    }

    /// Drops the older version unless it will have been loaded before the newer one arrives, so that the engine serves
    /// it for longer than its chunks delay the newer version:
    ///
    /// * If the older version depends on an origin that does not respond, it is dropped, because the newer one is
    ///   fetched first when the origin returns.
    /// * If only the newer version depends on such an origin, the older one continues.
    /// * Otherwise the older one continues if its remaining time and the time to load it are shorter than the remaining
    ///   time of the newer one.
    ///
    /// `chunk_time` is the transfer time of a chunk on an idle host link. Returns the version that was dropped.
    pub fn drop_superseded(&mut self, chunk_time: Duration, now: Instant) -> Option<WeightsId> {
        let [older, newer] = self.transfers.as_slice() else { return None };
        if older.swarm.is_complete() || self.held.as_ref() == Some(older.swarm.name()) {
            return None;
        }
        let origin_time = older.swarm.origin_chunk_time().unwrap_or(chunk_time);
        let continues = match (
            older.remaining(chunk_time, origin_time, now),
            newer.remaining(chunk_time, origin_time, now),
        ) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(older), Some(newer)) => older + LOAD_TIME < newer,
        };
        (!continues).then(|| self.transfers.remove(0).swarm.name().clone())
    }

    /// Expected time until this agent holds all chunks of the newest version; `None` if there is no transfer or the
    /// origin does not respond.
    #[must_use]
    pub fn newest_remaining(&self, chunk_time: Duration, now: Instant) -> Option<Duration> {
        let newest = self.transfers.last()?;
        let origin_time = newest.swarm.origin_chunk_time().unwrap_or(chunk_time);
        newest.remaining(chunk_time, origin_time, now)
    }

    /// Next time after `now` at which a fetch becomes possible without an event; `None` if there is none.
    #[must_use]
    pub fn next_at(&self, now: Instant) -> Option<Instant> {
        self.transfers.iter().filter_map(|transfer| transfer.swarm.next_at(now)).min()
    }

    /// What this agent knows about the origin from its transfers.
    #[must_use]
    pub fn gate(&self) -> OriginGate {
        self.transfers.last().map(|transfer| transfer.swarm.gate()).unwrap_or_default()
    }

    /// Copies what the transfer of a version has learned about the origin to the other transfers, so that they do not
    /// call an origin that is known to be down.
    pub fn share_gate(&mut self, weights: &WeightsId) {
        let Some(gate) = self.get(weights).map(|transfer| transfer.swarm.gate()) else { return };
        self.transfers.iter_mut().for_each(|transfer| transfer.swarm.set_gate(gate));
    }

    /// Drops versions that are not newer than `loaded`, except the newest one, and all older versions once the newest
    /// one is complete.
    pub fn prune(&mut self, loaded: WeightsVersion) {
        let Some(newest) = self.transfers.last() else { return };
        let version = newest.version();
        let is_replaced = newest.swarm.is_complete();
        let held = self.held.as_ref();
        self.transfers.retain(|item| {
            held == Some(item.swarm.name())
                || item.version() == version
                || (item.version() > loaded && !is_replaced)
        });
    }

    /// Keeps a version, and its chunks in the staging area, until [`release_staging`](Self::release_staging) or
    /// [`end_hold`](Self::end_hold): the engine may still accept the order to load it and takes what is staged then, and the
    /// staged chunks show whether the load is valid.
    pub fn hold_staging(&mut self, weights: &WeightsId) {
        self.held = Some(weights.clone());
    }

    /// Ends the effect of [`hold_staging`](Self::hold_staging). The version stays until another call drops it.
    pub fn end_hold(&mut self) {
        self.held = None;
    }

    /// Frees the staging area for a newer version once the load of the older version has been verified.
    pub fn release_staging(&mut self, weights: &WeightsId) {
        self.held = None;
        if self.transfers.len() > 1 {
            self.remove(weights);
        }
    }

    /// Drops the oldest version, which is staged, if loading it would not keep the engine in service, because each switch
    /// of weights takes the engine out of service until its requests have ended and the weights are loaded. That is the
    /// case if the newer version will arrive before `deadline`, the latest time to order the load of the older one, or if
    /// the older version would be served for less time than its switch takes. An engine that serves nothing (`is_serving` is false) gains from any time. `chunk_time` is the
    /// transfer time of a chunk on an idle link. Returns whether a version was dropped.
    pub fn skip_oldest(
        &mut self,
        is_serving: bool,
        deadline: Instant,
        chunk_time: Duration,
        now: Instant,
    ) -> bool {
        let [older, newer] = self.transfers.as_slice() else { return false };
        if self.held.as_ref() == Some(older.swarm.name()) || !newer.swarm.fleet_has_all() {
            return false;
        }
        let remaining = chunk_time.mul_f64(f64::from(newer.missing()) * REMAINING_TIME_FACTOR);
        let min_gain = if is_serving { (DRAIN_TIME + LOAD_TIME) * 2 } else { LOAD_TIME };
        if remaining > min_gain && now + remaining > deadline {
            return false;
        }
        self.transfers.remove(0);
        true
    }

    /// True if a staged version must not be loaded yet, because the manifest of the newer version `wanted` is still
    /// being requested and its `chunk_count` chunks can arrive before `deadline`.
    #[must_use]
    pub fn awaits_newer(
        &self,
        wanted: &WeightsId,
        chunk_count: u32,
        deadline: Instant,
        chunk_time: Duration,
        now: Instant,
    ) -> bool {
        let Some(newest) = self.transfers.last() else { return false };
        let time = chunk_time.mul_f64(f64::from(chunk_count) * REMAINING_TIME_FACTOR);
        newest.version() < wanted.version
            && !newest.swarm.gate().is_closed()
            && now + time <= deadline
    }

    /// Transfer of the oldest version, whose chunks are written to the staging area.
    pub fn staging(&mut self) -> Option<&mut WeightsTransfer> {
        self.transfers.first_mut()
    }

    /// Transfer of the newest version.
    #[must_use]
    pub fn newest(&self) -> Option<&WeightsTransfer> {
        self.transfers.last()
    }

    /// Iterates over all transfers, the oldest version first.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut WeightsTransfer> {
        self.transfers.iter_mut()
    }

    /// Looks up the transfer of a version.
    #[must_use]
    pub fn get(&self, weights: &WeightsId) -> Option<&WeightsTransfer> {
        self.transfers.iter().find(|transfer| transfer.swarm.name() == weights)
    }

    /// Looks up the transfer of a version for modification.
    pub fn get_mut(&mut self, weights: &WeightsId) -> Option<&mut WeightsTransfer> {
        self.transfers.iter_mut().find(|transfer| transfer.swarm.name() == weights)
    }

    /// Removes the transfer of a version.
    pub fn remove(&mut self, weights: &WeightsId) {
        self.transfers.retain(|transfer| transfer.swarm.name() != weights);
    }
}
