//! The messages, as prost derives.

mod fleet;
mod transfer;

use std::time::Duration;

use base::{ContentDigest, DigestError};
use bytes::Bytes;
use prost::{Message, Oneof};
use route::CrashEvidence;

pub use self::{fleet::*, transfer::*};

/// One frame: exactly one message.
#[derive(Clone, Message, PartialEq)]
pub struct Envelope {
    /// The message.
    #[prost(
        oneof = "Payload",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29"
    )]
    pub payload: Option<Payload>,
}

/// Every message that a frame can carry.
#[derive(Clone, Oneof, PartialEq)]
pub enum Payload {
    /// First frame of the side that connects, without MAC.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Asks an agent for its status.
    #[prost(message, tag = "2")]
    StatusRequest(StatusRequest),
    /// Answer to [`StatusRequest`].
    #[prost(message, tag = "3")]
    StatusReply(StatusReply),
    /// Asks an agent to run a request.
    #[prost(message, tag = "4")]
    Forward(Forward),
    /// Start of an answer.
    #[prost(message, tag = "5")]
    Head(Head),
    /// Part of an answer.
    #[prost(message, tag = "6")]
    Body(Body),
    /// End of an answer.
    #[prost(message, tag = "7")]
    End(End),
    /// The request was not answered.
    #[prost(message, tag = "8")]
    Refusal(Refusal),
    /// What the sender has in force; answered in kind.
    #[prost(message, tag = "9")]
    DigestExchange(DigestExchange),
    /// Asks for a document by digest.
    #[prost(message, tag = "10")]
    Pull(Pull),
    /// Changes from one document to another.
    #[prost(message, tag = "11")]
    Delta(Delta),
    /// A whole document.
    #[prost(message, tag = "12")]
    Document(Document),
    /// The peer does not hold what was asked for.
    #[prost(message, tag = "13")]
    NotHeld(NotHeld),
    /// Asks an agent which chunks of a manifest it holds.
    #[prost(message, tag = "14")]
    HaveRequest(HaveRequest),
    /// Answer to [`HaveRequest`].
    #[prost(message, tag = "15")]
    Have(Have),
    /// Asks for a chunk.
    #[prost(message, tag = "16")]
    ChunkRequest(ChunkRequest),
    /// A chunk.
    #[prost(message, tag = "17")]
    ChunkReply(ChunkReply),
    /// Asks for a manifest.
    #[prost(message, tag = "18")]
    ManifestRequest(ManifestRequest),
    /// A manifest.
    #[prost(message, tag = "19")]
    ManifestReply(ManifestReply),
    /// Crash evidence about a request.
    #[prost(message, tag = "20")]
    CrashNotice(CrashNotice),
    /// Acknowledges a message that has no other answer.
    #[prost(message, tag = "21")]
    Ack(Ack),
    /// Asks an entry for the items that the sender lacks.
    #[prost(message, tag = "22")]
    ItemsRequest(ItemsRequest),
    /// Answer to [`ItemsRequest`].
    #[prost(message, tag = "23")]
    ItemsReply(ItemsReply),
    /// Asks an entry what an agent needs to know.
    #[prost(message, tag = "24")]
    BriefRequest(BriefRequest),
    /// Answer to [`BriefRequest`].
    #[prost(message, tag = "25")]
    BriefReply(BriefReply),
    /// Asks an agent for a piece of staged weights.
    #[prost(message, tag = "26")]
    PieceRequest(PieceRequest),
    /// A piece.
    #[prost(message, tag = "27")]
    PieceReply(PieceReply),
    /// Asks an agent for the digests of all pieces of a version.
    #[prost(message, tag = "28")]
    PieceListRequest(PieceListRequest),
    /// Digests of all pieces of a version.
    #[prost(message, tag = "29")]
    PieceListReply(PieceListReply),
}

/// First frame of each side.
#[derive(Clone, Message, PartialEq)]
pub struct Hello {
    /// Version of the protocol.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Random bytes from which both session keys are derived.
    #[prost(bytes = "bytes", tag = "2")]
    pub nonce: Bytes,
    /// Id of the sending host, for logs.
    #[prost(string, tag = "3")]
    pub host: String,
}

/// Asks an agent for its status.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct StatusRequest {
    /// `StatusReply::cache_generation` of the last reply; 0 if none.
    #[prost(uint64, tag = "1")]
    pub cache_generation: u64,
    /// Number of the last cache event that the sender applied; 0 if none.
    #[prost(uint64, tag = "2")]
    pub cache_after: u64,
}

/// An event of an engine's prefix cache.
#[derive(Clone, Message, PartialEq)]
pub struct CacheNotice {
    /// Number of the event; a missing number is a gap.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Prefix of prompts.
    #[prost(string, tag = "2")]
    pub prefix: String,
    /// True if the prefix is no longer cached.
    #[prost(bool, tag = "3")]
    pub evicted: bool,
}

/// A model that an engine names as loaded.
#[derive(Clone, Message, PartialEq)]
pub struct ReadyModel {
    /// Id of the model or adapter.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Digest of its manifest.
    #[prost(bytes = "bytes", tag = "2")]
    pub manifest: Bytes,
}

/// Load of one upstream.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct LoadReport {
    /// Concurrent requests that the agent allows now.
    #[prost(uint32, tag = "1")]
    pub limit: u32,
    /// Requests that the upstream works on.
    #[prost(uint32, tag = "2")]
    pub in_use: u32,
    /// Requests that wait in the agent.
    #[prost(uint32, tag = "3")]
    pub queued: u32,
}

/// Status of an agent and its upstream.
#[derive(Clone, Message, PartialEq)]
pub struct StatusReply {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Incarnation of the agent.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Uptime of the agent in milliseconds.
    #[prost(uint64, tag = "3")]
    pub uptime_ms: u64,
    /// Load.
    #[prost(message, required, tag = "4")]
    pub load: LoadReport,
    /// Models that the engine names as loaded.
    #[prost(message, repeated, tag = "5")]
    pub ready: Vec<ReadyModel>,
    /// True if the agent takes no new work.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Revision in force at the agent.
    #[prost(uint64, tag = "7")]
    pub revision: u64,
    /// True if the upstream answers.
    #[prost(bool, tag = "8")]
    pub upstream_up: bool,
    /// Bytes of weights held.
    #[prost(uint64, tag = "9")]
    pub held_bytes: u64,
    /// Bytes of the weights wanted.
    #[prost(uint64, tag = "10")]
    pub wanted_bytes: u64,
    /// Lifetime of the engine's prefix cache; 0 if unknown.
    #[prost(uint64, tag = "11")]
    pub cache_generation: u64,
    /// Cache events after those that the request names.
    #[prost(message, repeated, tag = "12")]
    pub cache_events: Vec<CacheNotice>,
}

/// Asks an agent to run a request.
#[derive(Clone, Message, PartialEq)]
pub struct Forward {
    /// Id that the entry gave the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Team of the caller.
    #[prost(string, tag = "2")]
    pub team: String,
    /// Priority inside the team; higher goes first.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub remaining_ms: u64,
    /// Model to run; empty for a plain service.
    #[prost(string, tag = "5")]
    pub model: String,
    /// Manifest digest that the answer must come from; empty for a plain service.
    #[prost(bytes = "bytes", tag = "6")]
    pub manifest: Bytes,
    /// Service to call; empty for a model.
    #[prost(string, tag = "7")]
    pub service: String,
    /// HTTP method towards the upstream.
    #[prost(string, tag = "8")]
    pub method: String,
    /// Path towards the upstream.
    #[prost(string, tag = "9")]
    pub path: String,
    /// Request key; empty for idempotent requests.
    #[prost(string, tag = "10")]
    pub key: String,
    /// Fingerprint of the content.
    #[prost(bytes = "bytes", tag = "11")]
    pub fingerprint: Bytes,
    /// True if the request may run only while nothing else runs on the upstream.
    #[prost(bool, tag = "12")]
    pub isolated: bool,
    /// Tokens that the caller already has; the answer continues from there.
    #[prost(uint64, tag = "13")]
    pub resume_offset: u64,
    /// Body.
    #[prost(bytes = "bytes", tag = "14")]
    pub body: Bytes,
    /// Revision in force at the entry.
    #[prost(uint64, tag = "15")]
    pub revision: u64,
}

/// Start of an answer.
#[derive(Clone, Message, PartialEq)]
pub struct Head {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// HTTP status of the upstream.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Content type of the answer.
    #[prost(string, tag = "3")]
    pub content_type: String,
    /// Manifest digest that the answer comes from; empty for a plain service.
    #[prost(bytes = "bytes", tag = "4")]
    pub manifest: Bytes,
}

/// Part of an answer.
#[derive(Clone, Message, PartialEq)]
pub struct Body {
    /// Bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
}

/// End of an answer.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct End {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Bytes of all parts together.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// True if the upstream ended the answer properly.
    #[prost(bool, tag = "3")]
    pub complete: bool,
    /// Load after the request.
    #[prost(message, required, tag = "4")]
    pub load: LoadReport,
    /// If not complete: true if the upstream crashed.
    #[prost(bool, tag = "5")]
    pub crashed: bool,
}

/// The request was not answered.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct Refusal {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// `base::Outcome::code`.
    #[prost(uint32, tag = "2")]
    pub outcome: u32,
    /// `base::RefusalReason::code`.
    #[prost(uint32, tag = "3")]
    pub reason: u32,
    /// When a new attempt makes sense, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
    /// True if the upstream crashed with the request in flight.
    #[prost(bool, tag = "5")]
    pub crashed: bool,
    /// Load.
    #[prost(message, required, tag = "6")]
    pub load: LoadReport,
}

/// What a process has in force.
#[derive(Clone, Message, PartialEq)]
pub struct DigestExchange {
    /// Revision in force; 0 if none.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Digest of the document in force.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
    /// Version of the host list held.
    #[prost(uint64, tag = "3")]
    pub hosts_version: u64,
    /// Age of the last successful read of the configuration service that the sender knows of in its data centre, in
    /// milliseconds; `u64::MAX` if it knows of none.
    #[prost(uint64, tag = "4")]
    pub read_age_ms: u64,
    /// Data centre of the sender.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Digest of a document that the sender refused and that is newer than the one in force; empty if none.
    #[prost(bytes = "bytes", tag = "6")]
    pub refused_digest: Bytes,
    /// Address for frames of the sender.
    #[prost(string, tag = "7")]
    pub peer: String,
}

/// Kind of a document.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum DocumentKind {
    /// The fleet configuration.
    Config = 0,
    /// The host list.
    Hosts = 1,
}

/// Asks for a document.
#[derive(Clone, Message, PartialEq)]
pub struct Pull {
    /// Kind of the document.
    #[prost(enumeration = "DocumentKind", tag = "1")]
    pub kind: i32,
    /// Digest of the document that the sender holds; empty if none.
    #[prost(bytes = "bytes", tag = "2")]
    pub base: Bytes,
}

/// An item of a document that was set.
#[derive(Clone, Message, PartialEq)]
pub struct DeltaItem {
    /// Path of the item.
    #[prost(string, tag = "1")]
    pub path: String,
    /// JSON of the item.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// Changes from one document to another.
#[derive(Clone, Message, PartialEq)]
pub struct Delta {
    /// Kind of the document.
    #[prost(enumeration = "DocumentKind", tag = "1")]
    pub kind: i32,
    /// Digest of the document that the changes apply to.
    #[prost(bytes = "bytes", tag = "2")]
    pub base: Bytes,
    /// Digest of the result.
    #[prost(bytes = "bytes", tag = "3")]
    pub target: Bytes,
    /// Items set.
    #[prost(message, repeated, tag = "4")]
    pub set: Vec<DeltaItem>,
    /// Paths removed.
    #[prost(string, repeated, tag = "5")]
    pub removed: Vec<String>,
}

/// A whole document.
#[derive(Clone, Message, PartialEq)]
pub struct Document {
    /// Kind of the document.
    #[prost(enumeration = "DocumentKind", tag = "1")]
    pub kind: i32,
    /// Bytes of the document.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// The peer does not hold what was asked for.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct NotHeld {
    /// When a new attempt makes sense, in milliseconds; 0 if never.
    #[prost(uint64, tag = "1")]
    pub retry_after_ms: u64,
}

/// Crash evidence about a request.
#[derive(Clone, Message, PartialEq)]
pub struct CrashNotice {
    /// Fingerprint of the content.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: Bytes,
    /// Crashes of different upstreams with it in flight.
    #[prost(uint32, tag = "2")]
    pub crashes: u32,
    /// True if an upstream crashed while nothing else was in flight on it.
    #[prost(bool, tag = "3")]
    pub isolated: bool,
    /// Age of the last crash in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// True if the request has since run in isolation without a crash.
    #[prost(bool, tag = "5")]
    pub cleared: bool,
    /// Times that the notice may still be passed on.
    #[prost(uint32, tag = "6")]
    pub hops: u32,
    /// Id of the upstream that crashed, so that one crash is counted once.
    #[prost(string, tag = "7")]
    pub upstream: String,
}

impl CrashNotice {
    /// Creates the notice of evidence that may be passed on `hops` times.
    #[must_use]
    pub fn new(evidence: &CrashEvidence, hops: u32) -> Self {
        Self {
            fingerprint: Bytes::copy_from_slice(evidence.fingerprint.as_bytes()),
            crashes: evidence.crashes,
            isolated: evidence.isolated,
            age_ms: u64::try_from(evidence.age.as_millis()).unwrap_or(u64::MAX),
            cleared: evidence.cleared,
            hops,
            upstream: evidence.upstream.to_string(),
        }
    }

    /// The evidence that the notice carries.
    ///
    /// # Errors
    /// Fails if the fingerprint is none.
    pub fn evidence(&self) -> Result<CrashEvidence, DigestError> {
        Ok(CrashEvidence {
            fingerprint: ContentDigest::from_slice(&self.fingerprint)?,
            upstream: self.upstream.as_str().into(),
            crashes: self.crashes,
            isolated: self.isolated,
            age: Duration::from_millis(self.age_ms),
            cleared: self.cleared,
        })
    }
}

/// Acknowledges a message that has no other answer.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct Ack {}
