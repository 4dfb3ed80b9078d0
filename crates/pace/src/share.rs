//! What entries tell one another of the upstreams that they have sent requests to.

use std::time::Duration;

use base::UpstreamId;
use serde::{Deserialize, Serialize};

use crate::occupancy::UpstreamOccupancy;

/// What one entry has measured at an upstream itself. Entries do not pass on what others have told them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SpeedShare {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Start of the upstream's process in Unix milliseconds.
    pub started_ms: u64,
    /// Mean work time at a load below the knee on a host that is not slowed down.
    pub work: Duration,
    /// Weight of the measurements; one that was just made has the weight 1.
    pub weight: f64,
    /// Load per slot from which the upstream slows down.
    pub knee: f64,
    /// Load that the upstream stated last, and its age; `None` if it has stated none.
    pub load: Option<(UpstreamOccupancy, Duration)>,
    /// Time since the last response.
    pub age: Duration,
}
