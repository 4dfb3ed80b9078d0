//! Evidence about prompt parts that may crash upstreams, as entries report it to one another.

use prost::Message;

/// Evidence for or against prompt parts, sent to the other entries.
#[derive(Clone, Message, PartialEq)]
pub struct PromptPartNotice {
    /// Upstreams that crashed.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<CrashedUpstream>,
    /// Parts that were suspect, and with which a request has succeeded.
    #[prost(message, repeated, tag = "2")]
    pub successes: Vec<HarmlessPart>,
    /// True if the sender has just started, and asks for the evidence of the receiver.
    #[prost(bool, tag = "3")]
    pub wants_evidence: bool,
}

/// A crash of an upstream.
#[derive(Clone, Message, PartialEq)]
pub struct CrashedUpstream {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start of the upstream's process in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Time since the crash in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Requests of the sender that were in flight.
    #[prost(message, repeated, tag = "4")]
    pub requests: Vec<SuspectRequest>,
}

/// A request that was in flight at a crash.
#[derive(Clone, Message, PartialEq)]
pub struct SuspectRequest {
    /// Ids of the suspect parts of its prompt.
    #[prost(string, repeated, tag = "1")]
    pub parts: Vec<String>,
}

/// A prompt part with which a request has succeeded.
#[derive(Clone, Message, PartialEq)]
pub struct HarmlessPart {
    /// Id of the part.
    #[prost(string, tag = "1")]
    pub part: String,
    /// Time since the success in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}
