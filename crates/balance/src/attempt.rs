//! Decides whether a request may be retried, and which final status its caller receives.

use fleet::RetryPolicy;
use serde::{Deserialize, Serialize};

/// Maximum number of upstreams that cannot be reached before the request fails.
const MAX_CONNECT_FAILURES: u32 = 4;

/// How an attempt ended that produced no response for the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptEnd {
    /// No part of the request was sent.
    NotSent,
    /// The upstream reported that it did not run the request.
    NotRun,
    /// The request was sent and may have run: no response arrived.
    Lost,
    /// The upstream responded with an error.
    Failed,
}

/// Final status of a request for which no upstream returned a usable response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FinalStatus {
    /// The request has not run and will not run later.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Tracks the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLog {
    retry_policy: RetryPolicy,
    max_attempts: u32,
    /// Attempts that were sent, including those that are still open.
    attempts: u32,
    /// Attempts that were sent and whose end is not recorded.
    open: u32,
    /// Attempts that have begun and of which nothing was sent yet.
    connecting: u32,
    connect_failures: u32,
    may_have_run: bool,
}

impl AttemptLog {
    /// Creates the log of a request that may be sent to at most `max_attempts` upstreams; 0 counts as 1.
    #[must_use]
    pub fn new(retry_policy: RetryPolicy, max_attempts: u32) -> Self {
        Self {
            retry_policy,
            max_attempts: max_attempts.max(1),
            attempts: 0,
            open: 0,
            connecting: 0,
            connect_failures: 0,
            may_have_run: false,
        }
    }

    /// Number of upstreams to which the request was sent. Failed connections do not count.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Number of attempts that were sent or may still be sent.
    #[must_use]
    pub fn begun(&self) -> u32 {
        self.attempts + self.connecting
    }

    /// True if another attempt is allowed while the current one, which may have run, is open or after it was lost.
    #[must_use]
    pub fn allows_another(&self) -> bool {
        self.begun() < self.max_attempts && self.retry_policy.is_retryable()
    }

    /// True if the next attempt is the last one that may be sent.
    #[must_use]
    pub fn is_last_attempt(&self) -> bool {
        self.begun() + 1 >= self.max_attempts
    }

    /// Records that an attempt begins. Until [`AttemptLog::end_connecting`] it counts as one that may still be sent.
    pub fn begin_connecting(&mut self) {
        self.connecting += 1;
    }

    /// Records that an attempt is about to be sent, or that it has ended before that.
    pub fn end_connecting(&mut self) {
        self.connecting = self.connecting.saturating_sub(1);
    }

    /// Records that an attempt is being sent. Several may be open at the same time.
    pub fn record_sent(&mut self) {
        self.attempts += 1;
        self.open += 1;
    }

    /// Records that nothing of an attempt was sent, although [`AttemptLog::record_sent`] was called for it.
    pub fn record_unsent(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
        self.open = self.open.saturating_sub(1);
    }

    /// Records the end of an attempt and returns whether the request may be sent to another upstream. If it has already
    /// been sent, the retry must also fit into the retry budget, which the caller of this method checks.
    pub fn record(&mut self, end: AttemptEnd) -> bool {
        if end == AttemptEnd::NotSent {
            self.connect_failures += 1;
            return self.may_retry(end);
        }
        if self.open > 0 {
            self.open -= 1;
        } else {
            self.attempts += 1;
        }
        self.may_have_run |= end != AttemptEnd::NotRun;
        self.may_retry(end)
    }

    /// True if the request may be sent to another upstream after an attempt that ended this way and is already recorded.
    #[must_use]
    pub fn may_retry(&self, end: AttemptEnd) -> bool {
        let is_allowed = match end {
            AttemptEnd::NotSent => self.connect_failures < MAX_CONNECT_FAILURES,
            AttemptEnd::NotRun | AttemptEnd::Lost => {
                !self.may_have_run || self.retry_policy.is_retryable()
            }
            AttemptEnd::Failed => self.retry_policy == RetryPolicy::Idempotent,
        };
        is_allowed && self.attempts < self.max_attempts
    }

    /// Final status if there is no response: `Unknown` as soon as one attempt may have run, even if later upstreams
    /// refused the request.
    #[must_use]
    pub fn final_status(&self) -> FinalStatus {
        if self.may_have_run { FinalStatus::Unknown } else { FinalStatus::NotRun }
    }
}
