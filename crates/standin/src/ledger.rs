//! What callers sent and what they were told.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use compact_str::CompactString;

use crate::http::lock;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Tokens from a model.
    Model,
    /// A prompt that crashes the engine that runs it.
    Poison,
    /// A call that may be repeated.
    Office,
    /// A call that must not be repeated.
    Booking,
}

/// What one attempt told the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Told {
    /// The whole answer, which is correct.
    Answered,
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    Unknown,
    /// The answer ended without its last line.
    Broken,
    /// The connection failed before an answer started.
    NoAnswer,
    /// No answer came until well after the deadline.
    Silent,
    /// The caller made a mistake, says the entry.
    Fault(u16),
    /// The answer is complete, but not the answer to this request.
    Wrong(String),
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Id of the attempt in the body; resends with the same key have the same id.
    pub attempt: CompactString,
    /// When it was sent.
    pub sent_at: Instant,
    /// Tokens received.
    pub tokens: u64,
    /// What the caller was told.
    pub told: Told,
    /// Why, as the entry says.
    pub reason: CompactString,
}

/// One request with all its attempts.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Team of the caller.
    pub team: CompactString,
    /// Kind.
    pub kind: RequestKind,
    /// Prompt, or reference of a service call; unique unless the kind is `Poison`.
    pub reference: CompactString,
    /// When the first attempt was sent.
    pub started_at: Instant,
    /// Time until the caller stopped trying or had its answer.
    pub duration: Duration,
    /// Attempts in order.
    pub attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// What the last attempt told; a caller that could send nothing knows that nothing was run.
    #[must_use]
    pub fn verdict(&self) -> Told {
        self.attempts.last().map_or(Told::NotRun, |attempt| attempt.told.clone())
    }
}

/// All requests of a measurement.
#[derive(Debug, Default)]
pub struct CallLedger {
    records: Mutex<Vec<RequestRecord>>,
}

impl CallLedger {
    /// Adds a request that has ended.
    pub fn push(&self, record: RequestRecord) {
        lock(&self.records).push(record);
    }

    /// Number of requests that have ended.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.records).len()
    }

    /// True if no request has ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Copy of all records.
    #[must_use]
    pub fn records(&self) -> Vec<RequestRecord> {
        lock(&self.records).clone()
    }
}
