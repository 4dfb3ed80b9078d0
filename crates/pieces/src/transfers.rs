//! The versions that an agent is bringing in: mostly one, two while a newer version overtakes an older one.
//!
//! Only one version fits into an engine's staging area, so the pieces of the newer one wait in memory. They also wait
//! there until an engine that is still starting can take them.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use bytes::Bytes;
use fleet::WeightsVersion;

use crate::{
    list::{PieceIndex, PieceSet, WeightsName},
    swarm::{FetchTicket, PieceSwarm},
};

/// Part of an older version that must be there for its transfer to go on when a newer one is declared: the first of
/// four quarters is the slow one, in which the origin is the only source.
const KEEP_PART: u32 = 4;
/// Pieces that are put into the staging area at the same time.
const MAX_STAGING: usize = 3;
/// Duration of the rest of a transfer, in times that its bytes take on an idle link.
const REST_FACTOR: f64 = 1.5;

/// Transfer of one version with the pieces that are in memory and those that lie staged.
#[derive(Debug)]
pub struct TransferSlot {
    /// What to fetch from where.
    pub swarm: PieceSwarm,
    /// When the version was declared, if anyone saw it.
    pub declared_at: Option<Instant>,
    started: Instant,
    buffered: HashMap<PieceIndex, Bytes>,
    staged: PieceSet,
    staging: HashSet<PieceIndex>,
}

impl TransferSlot {
    /// Creates the slot; `staged` are the pieces that lie in the staging area already.
    #[must_use]
    pub fn new(
        swarm: PieceSwarm,
        staged: PieceSet,
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

    /// Time since the transfer began.
    #[must_use]
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Version of the weights.
    #[must_use]
    pub fn version(&self) -> WeightsVersion {
        self.swarm.name().version
    }

    /// Takes a verified piece.
    pub fn record_fetched(&mut self, ticket: FetchTicket, bytes: Bytes) {
        if let Some(index) = self.swarm.record_fetched(ticket) {
            self.buffered.insert(index, bytes);
        }
    }

    /// A piece that is in memory.
    #[must_use]
    pub fn buffered(&self, index: PieceIndex) -> Option<Bytes> {
        self.buffered.get(&index).cloned()
    }

    /// Pieces to put into the staging area now.
    pub fn next_to_stage(&mut self) -> Vec<(PieceIndex, Bytes)> {
        let room = MAX_STAGING.saturating_sub(self.staging.len());
        let chosen: Vec<(PieceIndex, Bytes)> = self
            .buffered
            .iter()
            .filter(|(index, _)| !self.staging.contains(*index))
            .take(room)
            .map(|(index, bytes)| (*index, bytes.clone()))
            .collect();
        self.staging.extend(chosen.iter().map(|(index, _)| *index));
        chosen
    }

    /// Records whether a piece could be staged; one that could not stays in memory.
    pub fn record_staged(&mut self, index: PieceIndex, is_staged: bool) {
        self.staging.remove(&index);
        if is_staged && self.buffered.remove(&index).is_some() {
            self.staged.insert(index);
        }
    }

    /// Records that a piece is not, or not whole, in the staging area.
    pub fn record_spoilt(&mut self, index: PieceIndex) {
        self.staged.remove(index);
        if !self.buffered.contains_key(&index) {
            self.swarm.record_spoilt(index);
        }
    }

    /// Replaces what is known of the staging area, after a restart of the engine.
    pub fn reset_staged(&mut self, staged: &PieceSet) {
        for index in 0..self.swarm.list().len() {
            if !staged.contains(index) {
                self.record_spoilt(index);
            }
        }
    }

    /// True if every piece lies in the staging area.
    #[must_use]
    pub fn is_staged(&self) -> bool {
        self.staged.count() >= self.swarm.list().len()
    }

    fn is_worth_finishing(&self) -> bool {
        self.swarm.held().count() * KEEP_PART >= self.swarm.list().len()
    }
}

/// All transfers of an agent, the oldest version first.
#[derive(Debug, Default)]
pub struct TransferSet {
    slots: Vec<TransferSlot>,
}

impl TransferSet {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins the transfer of a version that is newer than all others. An older one goes on only if much of it is there.
    pub fn begin(&mut self, slot: TransferSlot, loaded: WeightsVersion) {
        self.slots.retain(|older| {
            older.version() > loaded
                && older.swarm.name().model == slot.swarm.name().model
                && older.is_worth_finishing()
        });
        if self.slots.len() > 1 {
            self.slots.drain(..self.slots.len() - 1);
        }
        self.slots.push(slot);
    }

    /// Drops versions that the engine has left behind, and those that a newer one has overtaken completely.
    pub fn settle(&mut self, loaded: WeightsVersion) {
        let Some(newest) = self.slots.last() else { return };
        let version = newest.version();
        let is_overtaken = newest.swarm.is_complete();
        self.slots
            .retain(|slot| slot.version() == version || (slot.version() > loaded && !is_overtaken));
    }

    /// Frees the staging area for a newer version once the engine has accepted the order to load an older one.
    pub fn release_staging(&mut self, name: &WeightsName) {
        if self.slots.len() > 1 {
            self.remove(name);
        }
    }

    /// Drops the oldest version in favour of a newer one if that will be there in time: changing twice costs the
    /// running requests twice. `due` is the moment by which the older version must be in use, `piece_time` what a piece
    /// takes on an idle link.
    pub fn skip_oldest(&mut self, due: Instant, piece_time: Duration, now: Instant) -> bool {
        let [_, newer] = self.slots.as_slice() else { return false };
        if !newer.swarm.is_all_in_fleet() {
            return false;
        }
        let missing = newer.swarm.list().len().saturating_sub(newer.swarm.held().count());
        if now + piece_time.mul_f64(f64::from(missing) * REST_FACTOR) > due {
            return false;
        }
        self.slots.remove(0);
        true
    }

    /// The version whose pieces go to the staging area.
    pub fn staging(&mut self) -> Option<&mut TransferSlot> {
        self.slots.first_mut()
    }

    /// The newest version.
    #[must_use]
    pub fn newest(&self) -> Option<&TransferSlot> {
        self.slots.last()
    }

    /// Slots, the oldest version first.
    pub fn slots_mut(&mut self) -> impl Iterator<Item = &mut TransferSlot> {
        self.slots.iter_mut()
    }

    /// The transfer of these weights.
    #[must_use]
    pub fn get(&self, name: &WeightsName) -> Option<&TransferSlot> {
        self.slots.iter().find(|slot| slot.swarm.name() == name)
    }

    /// The transfer of these weights.
    pub fn get_mut(&mut self, name: &WeightsName) -> Option<&mut TransferSlot> {
        self.slots.iter_mut().find(|slot| slot.swarm.name() == name)
    }

    /// Forgets the transfer of these weights.
    pub fn remove(&mut self, name: &WeightsName) {
        self.slots.retain(|slot| slot.swarm.name() != name);
    }
}
