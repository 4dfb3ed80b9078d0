//! Limits that upstreams state in their responses for the requests of all entries together.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::UpstreamId;
use serde::{Deserialize, Serialize};

/// Period in which requests are counted against a stated limit; the platform judges limits over such periods.
pub(crate) const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time for which a limit that has ended, or one of an upstream that is no longer listed, is remembered.
const FORGET_TIMEOUT: Duration = Duration::from_secs(10);

/// What the head of a response states about the limit of its upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub enum LimitStatement {
    /// The response states no limit.
    #[default]
    Absent,
    /// The upstream takes this many requests per second from all entries together; finite and not negative.
    PerSecond(f64),
    /// The response states a limit that cannot be read.
    Unreadable,
}

/// Change of what this entry knows about the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Requests per second before; `None` if there was no limit.
    pub before: Option<f64>,
    /// Requests per second now; `None` if the limit has ended.
    pub after: Option<f64>,
    /// True if the upstream stated a limit that cannot be read. The limit before it stays in force.
    pub unreadable: bool,
}

#[derive(Clone, Copy, Debug)]
struct LimitState {
    /// Start of the upstream's process; a process that starts later has no limit until it states one.
    started_ms: u64,
    /// Requests per second; `None` if no limit is in force.
    per_second: Option<f64>,
    /// Time of the response that made the last readable statement.
    stated_at: Instant,
    /// The last statement could not be read.
    unreadable: bool,
}

/// Limits of all upstreams, as this entry knows them.
#[derive(Debug, Default)]
pub(crate) struct RateLimits {
    known: HashMap<UpstreamId, LimitState>,
}

impl RateLimits {
    /// Limit of an upstream in requests per second; `None` if it has stated none.
    pub(crate) fn limit_of(&self, upstream: &str) -> Option<f64> {
        self.known.get(upstream)?.per_second
    }

    /// Records what a response states. `sent_at` is the time at which its request was sent. A response that states no
    /// limit ends the known one only if its request was sent after that was last stated: responses on different
    /// connections may overtake one another.
    pub(crate) fn record_statement(
        &mut self,
        upstream: &UpstreamId,
        started_ms: u64,
        statement: LimitStatement,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.known.get(upstream).filter(|known| known.started_ms == started_ms);
        let before = known.and_then(|known| known.per_second);
        let was_unreadable = known.is_some_and(|known| known.unreadable);
        let stated_at = known.map(|known| known.stated_at);
        let state = match statement {
            LimitStatement::Absent => {
                let is_later = stated_at.is_some_and(|at| at < sent_at);
                if before.is_none() && !was_unreadable || before.is_some() && !is_later {
                    return None;
                }
                LimitState { started_ms, per_second: None, stated_at: now, unreadable: false }
            }
            LimitStatement::PerSecond(per_second) => LimitState {
                started_ms,
                per_second: Some(per_second),
                stated_at: now,
                unreadable: false,
            },
            LimitStatement::Unreadable => LimitState {
                started_ms,
                per_second: before,
                stated_at: stated_at.unwrap_or(now),
                unreadable: true,
            },
        };
        self.known.insert(upstream.clone(), state);
        let unreadable = state.unreadable && !was_unreadable;
        let after = state.per_second;
        (before != after || unreadable).then_some(LimitChange { before, after, unreadable })
    }

    /// Removes limits that ended some time ago, and those of upstreams that are neither listed nor were recently.
    /// `started_ms` returns the start of the process of a listed upstream.
    pub(crate) fn retain(&mut self, now: Instant, started_ms: impl Fn(&UpstreamId) -> Option<u64>) {
        self.known.retain(|upstream, known| {
            let is_recent = now.saturating_duration_since(known.stated_at) <= FORGET_TIMEOUT;
            match started_ms(upstream) {
                Some(started_ms) if started_ms != known.started_ms => false,
                Some(_) => is_recent || known.per_second.is_some(),
                None => is_recent,
            }
        });
    }
}
