//! Distribution of weights: manifests, verified chunks, transfer policy, activation and rolling changes of version.
//!
//! Everything here is sans-I/O. The shells in `crates/node` carry out the actions and report what happened, so that the
//! same decisions run on sockets, in the simulated fleet of the stand-ins and in tests.

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
    plan::{FetchPlan, FetchPlanOptions, FetchWant},
    ranks::{FetchView, PeerRecord},
    rollout::{RolloutGate, RolloutPolicy, RolloutView, UpstreamPhase},
    sources::{ChunkSource, FetchFault},
    store::{ChunkStore, StoreError, VerifiedChunk},
    transfer::{ChunkTransfer, FetchAction, FetchTicket, TransferOptions},
    upload::{PeerStanding, UploadBudget, UploadOptions, UploadVerdict},
};
