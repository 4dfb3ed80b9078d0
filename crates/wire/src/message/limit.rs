//! Limits that upstreams state for the requests of all entries together, as entries report them to one another.

use prost::Message;

/// What an entry knows and uses of the limits of upstreams, sent to the other entries.
#[derive(Clone, Message, PartialEq)]
pub struct LimitNotice {
    /// Upstreams with a limit that is in force or has ended recently.
    #[prost(message, repeated, tag = "1")]
    pub limits: Vec<UpstreamLimit>,
}

/// Limit of an upstream, and what the sender uses of it.
#[derive(Clone, Message, PartialEq)]
pub struct UpstreamLimit {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start of the upstream's process in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Requests per second from all entries together; absent if the limit has ended.
    #[prost(double, optional, tag = "3")]
    pub per_second: Option<f64>,
    /// Time since the response that stated the limit or showed its end, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Requests that the sender sent to the upstream in the last 4 s.
    #[prost(uint32, tag = "5")]
    pub sent: u32,
    /// Requests in the last 4 s that the sender would have sent there without the limit.
    #[prost(uint32, tag = "6")]
    pub withheld: u32,
}
