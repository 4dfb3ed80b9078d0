//! Distribution of weights in numbered pieces to the staging areas of engines, decided without I/O.
//!
//! Engines of the users' platform take pieces that are named by number and version and checked by SHA-256; nothing else
//! guards what lies staged. The agent beside each engine therefore verifies every piece before it is staged, before it
//! is passed on, and once more right before the engine is told to load.

mod list;
mod plan;
mod swarm;
mod transfers;

pub use crate::{
    list::{PieceDigest, PieceIndex, PieceList, PieceSet, WeightsName, verify_piece},
    plan::{SwitchPlan, SwitchView},
    swarm::{FetchTicket, PieceSource, PieceSwarm, SwarmFetch, SwarmOptions, SwarmPeer},
    transfers::{TransferSet, TransferSlot},
};
