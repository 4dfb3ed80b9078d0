//! Records of the requests that simulated callers sent and of the outcomes that they received.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use compact_str::CompactString;

use crate::http::lock;

/// Kind of a simulated request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// A request for tokens from a model.
    Model,
    /// A model request whose prompt crashes the engine that runs it.
    Poison,
    /// A request to the office service, which is idempotent.
    Office,
    /// A request to the booking service, which is not idempotent.
    Booking,
}

/// Result of one attempt as the caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The response is complete and correct.
    Answered,
    /// The entry reported that the request was not run.
    NotRun,
    /// The entry reported that the request may have been run.
    Unknown,
    /// The response ended without its last line.
    Broken,
    /// The connection failed before a response started.
    NoAnswer,
    /// No response arrived until well after the deadline.
    Silent,
    /// The entry rejected the request as a caller error, with this HTTP status.
    Fault(u16),
    /// The response is complete but does not match the request; the text describes the difference.
    Wrong(String),
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Id of the attempt in the request body; retries with the same key have the same id.
    pub attempt: CompactString,
    /// Time at which the attempt was sent.
    pub sent_at: Instant,
    /// Number of tokens received.
    pub tokens: u64,
    /// Result of the attempt.
    pub result: AttemptResult,
    /// Reason that the entry gave; empty if none.
    pub reason: CompactString,
}

/// One request with all its attempts.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Team of the caller.
    pub team: CompactString,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Prompt, or reference of a service request; unique unless the kind is `Poison`.
    pub reference: CompactString,
    /// Time at which the first attempt was sent.
    pub started_at: Instant,
    /// Time until the caller had the response or stopped retrying.
    pub duration: Duration,
    /// Attempts in the order in which they were sent.
    pub attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Result of the last attempt; `NotRun` if the caller could not send any attempt.
    #[must_use]
    pub fn verdict(&self) -> AttemptResult {
        self.attempts.last().map_or(AttemptResult::NotRun, |attempt| attempt.result.clone())
    }
}

/// Finished requests of a measurement.
#[derive(Debug, Default)]
pub struct RequestLedger {
    records: Mutex<Vec<RequestRecord>>,
}

impl RequestLedger {
    /// Adds a finished request.
    pub fn push(&self, record: RequestRecord) {
        lock(&self.records).push(record);
    }

    /// Number of finished requests.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.records).len()
    }

    /// True if no request has finished.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns a copy of all records.
    #[must_use]
    pub fn records(&self) -> Vec<RequestRecord> {
        lock(&self.records).clone()
    }
}
