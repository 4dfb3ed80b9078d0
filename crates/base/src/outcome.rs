//! Request outcomes, as reported to callers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request was executed, as far as is known when it has ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete response was delivered.
    Answered,
    /// No attempt ran the request, and none will.
    NotRun,
    /// The request may have run; the caller has to resend it with the same key or check for its effects.
    Unknown,
}

/// Reason why a request was refused or its outcome is unknown.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The upstream is at its limit and the queue is full.
    Overloaded,
    /// The deadline passed before the request reached the upstream.
    DeadlineExceeded,
    /// The agent or its data centre does not accept new work.
    Draining,
    /// No upstream is ready for this model or service.
    NoUpstream,
    /// The upstream is not ready: its model is not loaded or it is not reachable.
    NotReady,
    /// The request crashed upstreams and is refused until the entry in the crash table expires.
    CrashSuspect,
    /// The process was paused and has not refreshed its state yet.
    Refreshing,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The key belongs to an incarnation that no longer exists.
    OwnerGone,
    /// The owner of the key cannot be reached.
    OwnerUnreachable,
    /// The key has expired, and its record may have been deleted.
    KeyExpired,
    /// The request ran, but its response was too large to be stored for a resend.
    AnswerNotRetained,
    /// The connection to the upstream broke after the request was sent.
    ConnectionLost,
    /// The upstream crashed while the request was in flight.
    UpstreamCrashed,
    /// The response is incomplete or does not belong to the request.
    InvalidAnswer,
}

impl Outcome {
    const ALL: [Self; 3] = [Self::Answered, Self::NotRun, Self::Unknown];

    /// Returns the code that represents the outcome in messages.
    #[must_use]
    pub fn code(self) -> u32 {
        self as u32
    }

    /// Returns the outcome with this code, or `None` if the code is not known.
    #[must_use]
    pub fn from_code(code: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|outcome| outcome.code() == code)
    }
}

impl RefusalReason {
    const ALL: [Self; 15] = [
        Self::Overloaded,
        Self::DeadlineExceeded,
        Self::Draining,
        Self::NoUpstream,
        Self::NotReady,
        Self::CrashSuspect,
        Self::Refreshing,
        Self::RetryBudget,
        Self::OwnerGone,
        Self::OwnerUnreachable,
        Self::KeyExpired,
        Self::AnswerNotRetained,
        Self::ConnectionLost,
        Self::UpstreamCrashed,
        Self::InvalidAnswer,
    ];

    /// Returns the code that represents the reason in messages.
    #[must_use]
    pub fn code(self) -> u32 {
        self as u32
    }

    /// Returns the reason with this code, or `None` if the code is not known.
    #[must_use]
    pub fn from_code(code: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.code() == code)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        })
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Overloaded => "overloaded",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Draining => "draining",
            Self::NoUpstream => "no_upstream",
            Self::NotReady => "not_ready",
            Self::CrashSuspect => "crash_suspect",
            Self::Refreshing => "refreshing",
            Self::RetryBudget => "retry_budget",
            Self::OwnerGone => "owner_gone",
            Self::OwnerUnreachable => "owner_unreachable",
            Self::KeyExpired => "key_expired",
            Self::AnswerNotRetained => "answer_not_retained",
            Self::ConnectionLost => "connection_lost",
            Self::UpstreamCrashed => "upstream_crashed",
            Self::InvalidAnswer => "invalid_answer",
        })
    }
}
