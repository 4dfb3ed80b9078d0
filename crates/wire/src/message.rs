//! Protobuf messages, defined with the derive macros of prost.

mod fleet;
mod limit;
mod load;
mod prompt_part;
mod speed;
mod transfer;

use std::time::Duration;

use base::{ContentDigest, DigestError};
use bytes::Bytes;
use prost::{Message, Oneof};
use route::CrashEvidence;

pub use self::{fleet::*, limit::*, load::LoadReport, prompt_part::*, speed::*, transfer::*};

/// Content of a frame: exactly one message.
#[derive(Clone, Message, PartialEq)]
pub struct Envelope {
    /// The message; `None` if its type is unknown to this version.
    #[prost(
        oneof = "Payload",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31"
    )]
    pub payload: Option<Payload>,
}

/// All messages that can be sent in a frame.
#[derive(Clone, Oneof, PartialEq)]
pub enum Payload {
    /// First frame of each side, sent without MAC.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Requests the status of an agent.
    #[prost(message, tag = "2")]
    StatusRequest(StatusRequest),
    /// Response to [`StatusRequest`].
    #[prost(message, tag = "3")]
    StatusResponse(StatusResponse),
    /// Forwards a caller's request to an agent.
    #[prost(message, tag = "4")]
    Forward(Forward),
    /// Head of a response.
    #[prost(message, tag = "5")]
    Head(Head),
    /// Part of the body of a response.
    #[prost(message, tag = "6")]
    Body(Body),
    /// End of a response.
    #[prost(message, tag = "7")]
    End(End),
    /// Reports that a forwarded request was refused or failed.
    #[prost(message, tag = "8")]
    Refusal(Refusal),
    /// Digests of the documents that the sender has in force; the receiver responds with its own.
    #[prost(message, tag = "9")]
    DigestExchange(DigestExchange),
    /// Requests a document, given the digest of the one that the sender holds.
    #[prost(message, tag = "10")]
    Pull(Pull),
    /// Changes that turn one document into another.
    #[prost(message, tag = "11")]
    Delta(Delta),
    /// A complete document.
    #[prost(message, tag = "12")]
    Document(Document),
    /// Reports that the sender does not hold the requested object.
    #[prost(message, tag = "13")]
    NotHeld(NotHeld),
    /// Requests the set of chunks of a manifest that an agent holds.
    #[prost(message, tag = "14")]
    HeldChunksRequest(HeldChunksRequest),
    /// Response to [`HeldChunksRequest`].
    #[prost(message, tag = "15")]
    HeldChunks(HeldChunks),
    /// Requests a chunk.
    #[prost(message, tag = "16")]
    ChunkRequest(ChunkRequest),
    /// Response to [`ChunkRequest`].
    #[prost(message, tag = "17")]
    ChunkResponse(ChunkResponse),
    /// Requests a manifest.
    #[prost(message, tag = "18")]
    ManifestRequest(ManifestRequest),
    /// Response to [`ManifestRequest`].
    #[prost(message, tag = "19")]
    ManifestResponse(ManifestResponse),
    /// Evidence that a request crashes upstreams.
    #[prost(message, tag = "20")]
    CrashNotice(CrashNotice),
    /// Acknowledges a message that has no other response.
    #[prost(message, tag = "21")]
    Ack(Ack),
    /// Requests the items that the sender lacks from an entry.
    #[prost(message, tag = "22")]
    ItemsRequest(ItemsRequest),
    /// Response to [`ItemsRequest`].
    #[prost(message, tag = "23")]
    ItemsResponse(ItemsResponse),
    /// Requests the assignment of an agent from an entry.
    #[prost(message, tag = "24")]
    BriefRequest(BriefRequest),
    /// Response to [`BriefRequest`].
    #[prost(message, tag = "25")]
    BriefReply(BriefReply),
    /// Requests a chunk of staged weights, identified by model, version and index, from an agent.
    #[prost(message, tag = "26")]
    IndexedChunkRequest(IndexedChunkRequest),
    /// Response to [`IndexedChunkRequest`].
    #[prost(message, tag = "27")]
    IndexedChunkResponse(IndexedChunkResponse),
    /// Requests the digests of all chunks of a version from an agent.
    #[prost(message, tag = "28")]
    ChunkListRequest(ChunkListRequest),
    /// Response to [`ChunkListRequest`].
    #[prost(message, tag = "29")]
    ChunkListResponse(ChunkListResponse),
    /// Requests the configuration in force from an entry that has announced it.
    #[prost(message, tag = "30")]
    ConfigRequest(ConfigRequest),
    /// Response to [`ConfigRequest`].
    #[prost(message, tag = "31")]
    ConfigResponse(ConfigResponse),
}

/// First frame of each side.
#[derive(Clone, Message, PartialEq)]
pub struct Hello {
    /// Protocol version of the sender; see [`PROTOCOL_VERSION`](crate::PROTOCOL_VERSION).
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// 32 random bytes; the session keys of both directions are derived from the nonces of both sides.
    #[prost(bytes = "bytes", tag = "2")]
    pub nonce: Bytes,
    /// Id of the sending host, for logs.
    #[prost(string, tag = "3")]
    pub host: String,
}

/// Requests the status of an agent.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct StatusRequest {
    /// `cache_generation` of the last [`StatusResponse`] that the sender received; 0 if none.
    #[prost(uint64, tag = "1")]
    pub cache_generation: u64,
    /// Sequence number of the last cache event that the sender applied; 0 if none.
    #[prost(uint64, tag = "2")]
    pub cache_after: u64,
}

/// An event of an engine's prefix cache.
#[derive(Clone, Message, PartialEq)]
pub struct CacheNotice {
    /// Sequence number of the event; a gap means that events are missing.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Hash of the prefix of prompts.
    #[prost(string, tag = "2")]
    pub prefix: String,
    /// True if the prefix was evicted, false if it was added.
    #[prost(bool, tag = "3")]
    pub evicted: bool,
}

/// A model that an engine reports as loaded.
#[derive(Clone, Message, PartialEq)]
pub struct ReadyModel {
    /// Id of the model or adapter.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Digest of the manifest of its weights.
    #[prost(bytes = "bytes", tag = "2")]
    pub manifest: Bytes,
}

/// Response to [`StatusRequest`]: status of an agent and its upstream.
#[derive(Clone, Message, PartialEq)]
pub struct StatusResponse {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Incarnation of the agent process; changes on a restart.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Uptime of the agent in milliseconds.
    #[prost(uint64, tag = "3")]
    pub uptime_ms: u64,
    /// Current load.
    #[prost(message, required, tag = "4")]
    pub load: LoadReport,
    /// Models that the engine reports as loaded.
    #[prost(message, repeated, tag = "5")]
    pub ready: Vec<ReadyModel>,
    /// True if the agent accepts no new requests.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Configuration revision in force at the agent.
    #[prost(uint64, tag = "7")]
    pub revision: u64,
    /// True if the upstream responds to status requests.
    #[prost(bool, tag = "8")]
    pub upstream_up: bool,
    /// Size of the weights that the agent holds, in bytes.
    #[prost(uint64, tag = "9")]
    pub held_bytes: u64,
    /// Size of the weights that the agent should hold, in bytes.
    #[prost(uint64, tag = "10")]
    pub wanted_bytes: u64,
    /// Identifies the lifetime of the engine's prefix cache; 0 if unknown.
    #[prost(uint64, tag = "11")]
    pub cache_generation: u64,
    /// Cache events after the one given in the request.
    #[prost(message, repeated, tag = "12")]
    pub cache_events: Vec<CacheNotice>,
}

/// Forwards a caller's request to an agent.
#[derive(Clone, Message, PartialEq)]
pub struct Forward {
    /// Id that the entry assigned to the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Team of the caller.
    #[prost(string, tag = "2")]
    pub team: String,
    /// Priority within the team; requests with a higher number go first.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub remaining_ms: u64,
    /// Model to run; empty for a plain service.
    #[prost(string, tag = "5")]
    pub model: String,
    /// Digest of the manifest that must serve the request; empty for a plain service.
    #[prost(bytes = "bytes", tag = "6")]
    pub manifest: Bytes,
    /// Service to call; empty for a model.
    #[prost(string, tag = "7")]
    pub service: String,
    /// HTTP method of the request to the upstream.
    #[prost(string, tag = "8")]
    pub method: String,
    /// Path of the request to the upstream.
    #[prost(string, tag = "9")]
    pub path: String,
    /// Key that prevents repeated execution of the request; empty for idempotent requests.
    #[prost(string, tag = "10")]
    pub key: String,
    /// Fingerprint of the content, which identifies equal requests in crash evidence.
    #[prost(bytes = "bytes", tag = "11")]
    pub fingerprint: Bytes,
    /// True if the request may only run while no other request is in progress at the upstream, because it is suspected
    /// of crashing upstreams.
    #[prost(bool, tag = "12")]
    pub isolated: bool,
    /// Number of tokens that the caller has already received; the response continues after them.
    #[prost(uint64, tag = "13")]
    pub resume_offset: u64,
    /// Body of the request.
    #[prost(bytes = "bytes", tag = "14")]
    pub body: Bytes,
    /// Configuration revision in force at the entry.
    #[prost(uint64, tag = "15")]
    pub revision: u64,
}

/// Head of a response.
#[derive(Clone, Message, PartialEq)]
pub struct Head {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// HTTP status code of the upstream.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Content type of the response.
    #[prost(string, tag = "3")]
    pub content_type: String,
    /// Digest of the manifest that serves the response; empty for a plain service.
    #[prost(bytes = "bytes", tag = "4")]
    pub manifest: Bytes,
}

/// Part of the body of a response.
#[derive(Clone, Message, PartialEq)]
pub struct Body {
    /// Bytes of this part.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
}

/// End of a response.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct End {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Total size of all parts in bytes.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// True if the upstream completed the response.
    #[prost(bool, tag = "3")]
    pub complete: bool,
    /// Load after the end of the request.
    #[prost(message, required, tag = "4")]
    pub load: LoadReport,
    /// True if the response is incomplete because the upstream crashed.
    #[prost(bool, tag = "5")]
    pub crashed: bool,
}

/// Reports that a forwarded request was refused or failed.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct Refusal {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Outcome of the request, as encoded by `base::Outcome::code`.
    #[prost(uint32, tag = "2")]
    pub outcome: u32,
    /// Reason of the refusal, as encoded by `base::RefusalReason::code`.
    #[prost(uint32, tag = "3")]
    pub reason: u32,
    /// Delay before a retry may succeed, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
    /// True if the upstream crashed while the request was in flight.
    #[prost(bool, tag = "5")]
    pub crashed: bool,
    /// Current load.
    #[prost(message, required, tag = "6")]
    pub load: LoadReport,
}

/// Versions of the documents that a process has in force.
#[derive(Clone, Message, PartialEq)]
pub struct DigestExchange {
    /// Configuration revision in force; 0 if none.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Digest of the configuration document in force.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
    /// Version of the host list that the sender holds.
    #[prost(uint64, tag = "3")]
    pub hosts_version: u64,
    /// Age of the last successful read of the configuration service known to the sender in its data centre, in
    /// milliseconds; `u64::MAX` if it knows of none.
    #[prost(uint64, tag = "4")]
    pub read_age_ms: u64,
    /// Data centre of the sender.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Digest of a document that is newer than the one in force but was refused by the sender; empty if none.
    #[prost(bytes = "bytes", tag = "6")]
    pub refused_digest: Bytes,
    /// Address at which the sender accepts frames.
    #[prost(string, tag = "7")]
    pub peer: String,
}

/// Type of a document that is distributed to the fleet.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum DocumentKind {
    /// Fleet configuration.
    Config = 0,
    /// Host list.
    Hosts = 1,
}

/// Requests a document, or the changes since the one that the sender holds.
#[derive(Clone, Message, PartialEq)]
pub struct Pull {
    /// Type of the document.
    #[prost(enumeration = "DocumentKind", tag = "1")]
    pub kind: i32,
    /// Digest of the document that the sender holds, as the base of a [`Delta`]; empty if none.
    #[prost(bytes = "bytes", tag = "2")]
    pub base: Bytes,
}

/// An item that a [`Delta`] adds or changes.
#[derive(Clone, Message, PartialEq)]
pub struct DeltaItem {
    /// Path of the item in the document.
    #[prost(string, tag = "1")]
    pub path: String,
    /// New value of the item, as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// Changes that turn one document into another.
#[derive(Clone, Message, PartialEq)]
pub struct Delta {
    /// Type of the document.
    #[prost(enumeration = "DocumentKind", tag = "1")]
    pub kind: i32,
    /// Digest of the document to which the changes apply.
    #[prost(bytes = "bytes", tag = "2")]
    pub base: Bytes,
    /// Digest of the document after the changes.
    #[prost(bytes = "bytes", tag = "3")]
    pub target: Bytes,
    /// Items that are added or changed.
    #[prost(message, repeated, tag = "4")]
    pub set: Vec<DeltaItem>,
    /// Paths of the items that are removed.
    #[prost(string, repeated, tag = "5")]
    pub removed: Vec<String>,
}

/// A complete document.
#[derive(Clone, Message, PartialEq)]
pub struct Document {
    /// Type of the document.
    #[prost(enumeration = "DocumentKind", tag = "1")]
    pub kind: i32,
    /// Content of the document.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// Reports that the sender does not hold the requested object.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct NotHeld {
    /// Delay before a retry may succeed, in milliseconds; 0 if a retry is pointless.
    #[prost(uint64, tag = "1")]
    pub retry_after_ms: u64,
}

/// Evidence that a request crashes upstreams.
#[derive(Clone, Message, PartialEq)]
pub struct CrashNotice {
    /// Fingerprint of the content of the request.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: Bytes,
    /// Number of different upstreams that crashed while the request was in flight.
    #[prost(uint32, tag = "2")]
    pub crashes: u32,
    /// True if an upstream crashed while no other request was in flight.
    #[prost(bool, tag = "3")]
    pub isolated: bool,
    /// Age of the last crash in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// True if the request has since completed in isolation without a crash.
    #[prost(bool, tag = "5")]
    pub cleared: bool,
    /// Number of times that the notice may still be forwarded.
    #[prost(uint32, tag = "6")]
    pub hops: u32,
    /// Id of the upstream that crashed, used to count each crash only once.
    #[prost(string, tag = "7")]
    pub upstream: String,
}

impl CrashNotice {
    /// Creates a notice that may be forwarded `hops` times.
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

    /// Extracts the evidence from the notice.
    ///
    /// # Errors
    /// Fails if the fingerprint is not a valid digest.
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

/// Acknowledges a message that has no other response.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct Ack {}
