//! Types shared by all crates: ids, digests, the clock and request outcomes.
//!
//! With these types in one place, the crates that make decisions do not depend on one another.

mod budget;
mod clock;
mod digest;
mod outcome;
mod rank;
mod transfer;

use compact_str::CompactString;

pub use crate::{
    budget::{ByteBudget, ByteReservation},
    clock::{Clock, PauseDetector, SystemClock},
    digest::{ContentDigest, DigestError},
    outcome::{Outcome, RefusalReason},
    rank::{rank_by_weight, rendezvous_weight},
    transfer::{TransferLimits, TransferTimer},
};

/// Id of a host, as used in the host list.
pub type HostId = CompactString;
/// Id of a data centre.
pub type DataCentreId = CompactString;
/// Id of a region, a group of data centres.
pub type RegionId = CompactString;
/// Id of a team; capacity is shared fairly between the teams that callers belong to.
pub type TeamId = CompactString;
/// Id of an upstream: a model engine or a process of a plain service.
pub type UpstreamId = CompactString;
/// Id of a model or of an adapter.
pub type ModelId = CompactString;
/// Id of a part of a prompt, which several requests may share: hexadecimal digits in lower case.
pub type PromptPartId = CompactString;
/// Name of a version of a model.
pub type VersionName = CompactString;
/// Id of a plain service, as opposed to a model.
pub type ServiceId = CompactString;
/// Revision of the fleet configuration; increases with every publication.
pub type Revision = u64;
/// Random id that a process generates at each start.
pub type Incarnation = u64;
/// Id of a request, unique within the entry that issued it.
pub type RequestId = u64;
