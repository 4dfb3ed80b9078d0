//! Vocabulary shared by every crate: ids, digests, the clock and request outcomes.
//!
//! It exists so that decision crates agree on these types without depending on one another.

mod clock;
mod digest;
mod outcome;
mod rank;

use compact_str::CompactString;

pub use crate::{
    clock::{Clock, PauseDetector, SystemClock},
    digest::{ContentDigest, DigestError},
    outcome::{Outcome, RefusalReason},
    rank::{rank_by_weight, rendezvous_weight},
};

/// Id of a host, as the host list names it.
pub type HostId = CompactString;
/// Id of a data centre.
pub type DataCentreId = CompactString;
/// Id of a region, a group of data centres.
pub type RegionId = CompactString;
/// Id of a team, the unit of fair sharing among callers.
pub type TeamId = CompactString;
/// Id of an upstream: one model engine or one plain service process.
pub type UpstreamId = CompactString;
/// Id of a model.
pub type ModelId = CompactString;
/// Name of a version of a model.
pub type VersionName = CompactString;
/// Id of a plain service.
pub type ServiceId = CompactString;
/// Revision of the fleet configuration; rises with every publication.
pub type Revision = u64;
/// Random id that a process draws at start; a restart draws a new one.
pub type Incarnation = u64;
/// Id of a request, unique within the entry that issued it.
pub type RequestId = u64;
