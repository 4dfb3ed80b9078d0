//! Load that an upstream states in a response.

use serde::{Deserialize, Serialize};

/// Load of an upstream at the time of a response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamOccupancy {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait.
    pub waiting: u32,
    /// Number of requests that the upstream runs at the same time; `None` if it is not stated.
    pub slots: Option<u32>,
    /// Duration of work on the upstream's host at this moment, in percent of the usual one. Only upstreams that share
    /// their host with other work state it.
    pub slowdown_percent: Option<u32>,
}
