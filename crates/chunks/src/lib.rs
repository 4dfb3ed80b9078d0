//! Distribution of weights to the staging areas of engines, in numbered chunks. This crate does no I/O.
//!
//! The engines of the platform accept chunks by number and version. The SHA-256 digests are the only protection of
//! staged data against corruption. The agent of each engine therefore verifies every chunk before staging it, before
//! sending it to another agent, and again right before it orders the engine to load.

mod fetch;
mod load;
mod manifest;
mod neighbours;
mod order;
mod origin;
mod schedule;
mod search;
mod swarm;
mod transfers;
mod verification;

pub use crate::{
    fetch::{ChunkFetch, ChunkSource, FetchFailure, FetchId, SwarmOptions, SwarmPeer},
    load::{EngineLoad, LoadVerdict, LoadVerification, kept_layers},
    manifest::{ChunkDigest, ChunkIndex, ChunkManifest, ChunkSet, WeightsId, verify_chunk},
    neighbours::choose_neighbours,
    order::{LoadOrder, OrderProgress, OrderReport},
    origin::{OriginGate, OriginRole},
    schedule::{DRAIN_TIME, LOAD_TIME, LoadPosition, LoadSchedule},
    search::{ManifestSearch, ManifestSource},
    swarm::ChunkSwarm,
    transfers::{TransferSet, WeightsTransfer},
    verification::StagingVerification,
};
