//! Weights distribution: manifests, verified chunks, transfer policy, activation and rollout of new versions.
//!
//! The crate is sans-I/O: the drivers in `crates/node` execute the returned actions and report the results. The same
//! code therefore runs on real sockets, in the simulated fleet of the stand-ins and in tests.

mod activation;
mod bitmap;
mod fencing;
mod manifest;
mod pacing;
mod plan;
mod ranks;
mod rollout;
mod sources;
mod store;
mod transfer;
mod upload;

pub use crate::{
    activation::{ActivationAction, ActivationControl, ActivationEvent, ActivationOptions},
    bitmap::ChunkSet,
    fencing::{EngineView, FencingNumber, OrderKind, OrderOutcome},
    manifest::{ChunkManifest, ManifestError},
    pacing::{LinkPacer, LiveLoad},
    plan::{FetchPlan, FetchPlanOptions, WantedVersion},
    ranks::{FetchView, PeerRecord},
    rollout::{RolloutGate, RolloutPolicy, RolloutView, UpstreamPhase},
    sources::{ChunkSource, FetchFault},
    store::{ChunkStore, StoreError, VerifiedChunk},
    transfer::{ChunkTransfer, FetchAction, FetchId, TransferOptions},
    upload::{PeerStanding, UploadBudget, UploadOptions, UploadVerdict},
};
