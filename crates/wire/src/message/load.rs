//! Load of an upstream, as agents report it with statuses and responses.

use prost::Message;

/// Load of an upstream and its agent.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct LoadReport {
    /// Current limit of the agent on concurrent requests.
    #[prost(uint32, tag = "1")]
    pub limit: u32,
    /// Number of requests in progress at the upstream.
    #[prost(uint32, tag = "2")]
    pub in_use: u32,
    /// Number of requests waiting in the queue of the agent.
    #[prost(uint32, tag = "3")]
    pub queued: u32,
    /// Number of the measurement, which increases within an incarnation of the agent; 0 if the agent does not number
    /// its measurements.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
}
