//! Speeds of upstreams, as entries report them to one another.

use prost::Message;

/// What an entry has measured at upstreams that share their hosts with other work, sent to the other entries.
#[derive(Clone, Message, PartialEq)]
pub struct SpeedNotice {
    /// Upstreams that have responded to the sender lately.
    #[prost(message, repeated, tag = "1")]
    pub speeds: Vec<UpstreamSpeed>,
}

/// What the sender has measured at an upstream itself.
#[derive(Clone, Message, PartialEq)]
pub struct UpstreamSpeed {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start of the upstream's process in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Mean work time in microseconds; for an engine, the ratio of the observed to the predicted time to the first event,
    /// in millionths.
    #[prost(uint64, tag = "3")]
    pub work_us: u64,
    /// Weight of the measurements; one that was just made has the weight 1.
    #[prost(float, tag = "4")]
    pub weight: f32,
    /// Load per slot from which the upstream slows down.
    #[prost(float, tag = "5")]
    pub knee: f32,
    /// Time since the last response, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub age_ms: u32,
    /// Load that the upstream stated last; absent if it has stated none.
    #[prost(message, optional, tag = "7")]
    pub load: Option<StatedOccupancy>,
}

/// Load that an upstream stated in a response.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct StatedOccupancy {
    /// Number of running requests.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Number of waiting requests.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Number of slots; absent if it was not stated.
    #[prost(uint32, optional, tag = "3")]
    pub slots: Option<u32>,
    /// Duration of work on the host in percent of the usual one; absent if it was not stated.
    #[prost(uint32, optional, tag = "4")]
    pub slowdown_percent: Option<u32>,
    /// Time since the response, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
}
