//! Decides whether a request may be sent once more, and what its caller may be told in the end.

use fleet::RepeatRule;
use serde::{Deserialize, Serialize};

/// Upstreams that are tried in vain before a request is given up, if none of them could be reached.
const MAX_UNREACHED: u32 = 4;

/// How one attempt at an upstream ended without an answer for the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptEnd {
    /// Nothing was sent.
    NotSent,
    /// The upstream stated that it did not run the request.
    NotRun,
    /// The request was sent and nothing states that it did not run.
    Lost,
    /// The upstream answered with a failure of its own.
    Failed,
}

/// What the caller may be told when no upstream has answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FinalStatus {
    /// The request has not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Attempts of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLog {
    repeat: RepeatRule,
    max_sends: u32,
    sends: u32,
    unreached: u32,
    lost: bool,
}

impl AttemptLog {
    /// Creates the log of a request that may be sent to `max_sends` upstreams.
    #[must_use]
    pub fn new(repeat: RepeatRule, max_sends: u32) -> Self {
        Self { repeat, max_sends: max_sends.max(1), sends: 0, unreached: 0, lost: false }
    }

    /// Upstreams to which it was sent.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// True if a send now is the last that is allowed.
    #[must_use]
    pub fn is_last(&self) -> bool {
        self.sends + 1 >= self.max_sends || !self.repeat.is_repeatable()
    }

    /// Records the end of an attempt; true if the request may be sent to another upstream. The retry budget decides
    /// besides if it was sent before.
    pub fn record(&mut self, end: AttemptEnd) -> bool {
        match end {
            AttemptEnd::NotSent => {
                self.unreached += 1;
                return self.unreached < MAX_UNREACHED && self.sends < self.max_sends;
            }
            AttemptEnd::NotRun => self.sends += 1,
            AttemptEnd::Lost => {
                self.sends += 1;
                self.lost = true;
            }
            AttemptEnd::Failed => {
                self.sends += 1;
                self.lost = true;
                if self.repeat != RepeatRule::Idempotent {
                    return false;
                }
            }
        }
        let may_repeat = !self.lost || self.repeat.is_repeatable();
        may_repeat && self.sends < self.max_sends
    }

    /// What the caller may be told if no answer came. One attempt whose end is unknown outweighs later refusals.
    #[must_use]
    pub fn final_status(&self) -> FinalStatus {
        if self.lost { FinalStatus::Unknown } else { FinalStatus::NotRun }
    }
}
