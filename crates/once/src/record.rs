//! The owner's record of requests that must not run twice.
//!
//! The record decides whether an attempt runs, waits for the attempt in progress, or is answered from what is retained.
//! Its memory is bounded: finished records with the oldest issue times are dropped first, and the floor remembers the
//! latest issue time that was dropped. A key at or below the floor that has no record is unknown, because its record may
//! be among those dropped.

use std::{collections::BTreeMap, mem, time::Duration};

use base::{ContentDigest, RefusalReason};
use bytes::Bytes;
use compact_str::CompactString;
use snafu::{OptionExt, Snafu, ensure};

use crate::key::{KeyIndex, KeyOwner, RequestKey};

/// Number that the caller of the record gives an attempt, so that it can be told the result later.
pub type AttemptId = u64;

/// Bounds of a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecordOptions {
    /// Keys that are recorded at most.
    pub max_records: usize,
    /// Bytes of all retained answers at most.
    pub max_bytes: usize,
    /// Bytes of one retained answer at most; a larger answer is delivered once and not retained.
    pub max_answer_bytes: usize,
    /// Attempts that wait for one key at most.
    pub max_waiting: usize,
    /// Time from issue, on the owner's uptime clock, during which a key is honoured.
    pub validity: Duration,
    /// How far an issue time may lie ahead of the owner's uptime. An entry extrapolates the uptime from the last status
    /// reply, so its estimate runs ahead after the owner's host was suspended.
    pub issue_tolerance: Duration,
}

impl Default for RecordOptions {
    fn default() -> Self {
        Self {
            max_records: 16_384,
            max_bytes: 8 << 20,
            max_answer_bytes: 256 << 10,
            max_waiting: 16,
            validity: Duration::from_secs(600),
            issue_tolerance: Duration::from_secs(5),
        }
    }
}

/// Answer that is kept for resent keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetainedAnswer {
    /// HTTP status of the upstream.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: CompactString,
    /// Whole body.
    pub body: Bytes,
}

impl RetainedAnswer {
    fn size(&self) -> usize {
        self.content_type.len() + self.body.len()
    }
}

/// Final result of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordedResult {
    /// The request ran and this is its whole answer.
    Answered(RetainedAnswer),
    /// The request was not run and never will be.
    NotRun(RefusalReason),
    /// The request was sent, and its outcome or its answer is not known.
    Unknown(RefusalReason),
}

/// What to do with an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BeginVerdict {
    /// This attempt runs the request; the key is recorded.
    Run,
    /// Another attempt is in progress; this one is settled together with it.
    Wait,
    /// The result is already recorded.
    Settled(RecordedResult),
    /// Nothing can be said about the key.
    Unknown(RefusalReason),
    /// The key has been used for a request with other content.
    ContentMismatch,
}

/// State of a key as the record knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyState {
    /// Recorded and not yet sent to the upstream.
    Queued,
    /// Sent to the upstream, result not yet known.
    Sent,
    /// Settled.
    Settled(RecordedResult),
    /// No record.
    Unknown(RefusalReason),
}

/// A key that has just been settled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettledKey {
    /// The result for every waiting and later attempt.
    pub result: RecordedResult,
    /// Attempts that waited for it.
    pub waiting: Vec<AttemptId>,
}

/// A step that the state of the key does not allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum RecordError {
    /// The key has no record or is settled.
    #[snafu(display("request key is not in progress"))]
    NotInProgress,
    /// The request was sent before; it may neither be sent again nor be called not run.
    #[snafu(display("request of this key was already sent to the upstream"))]
    AlreadySent,
    /// The request has not been sent, so it has no result.
    #[snafu(display("request of this key was not sent to the upstream"))]
    NotSent,
}

#[derive(Debug)]
enum Progress {
    Queued(Vec<AttemptId>),
    Sent(Vec<AttemptId>),
    Settled(RecordedResult),
}

#[derive(Debug)]
struct KeyRecord {
    content: ContentDigest,
    progress: Progress,
}

impl KeyRecord {
    fn is_settled(&self) -> bool {
        matches!(self.progress, Progress::Settled(_))
    }

    fn size(&self) -> usize {
        match &self.progress {
            Progress::Settled(RecordedResult::Answered(answer)) => answer.size(),
            _ => 0,
        }
    }
}

/// Record of one owner incarnation. All times are the uptime of the owner.
#[derive(Debug)]
pub struct RequestRecord {
    owner: KeyOwner,
    options: RecordOptions,
    records: BTreeMap<KeyIndex, KeyRecord>,
    bytes: usize,
    floor: Option<Duration>,
}

impl RequestRecord {
    /// Creates the empty record of `owner`.
    #[must_use]
    pub fn new(owner: KeyOwner, options: RecordOptions) -> Self {
        Self { owner, options, records: BTreeMap::new(), bytes: 0, floor: None }
    }

    /// Decides about an attempt with `key` at `uptime`; `content` identifies method, path and body of the request.
    ///
    /// After [`BeginVerdict::Run`] the caller has to call [`mark_sent`](Self::mark_sent) before it sends the request,
    /// and then settle the key.
    pub fn begin(
        &mut self,
        key: &RequestKey,
        content: ContentDigest,
        attempt: AttemptId,
        uptime: Duration,
    ) -> BeginVerdict {
        if *key.owner() != self.owner {
            return BeginVerdict::Unknown(RefusalReason::OwnerGone);
        }
        self.drop_expired(uptime);
        if self.is_expired(key.issued(), uptime) {
            return BeginVerdict::Unknown(RefusalReason::KeyExpired);
        }
        let max_waiting = self.options.max_waiting;
        if let Some(record) = self.records.get_mut(&key.index()) {
            return join(record, content, attempt, max_waiting);
        }
        if self.is_below_floor(key.issued()) {
            return BeginVerdict::Unknown(RefusalReason::KeyExpired);
        }
        if key.issued() > uptime + self.options.issue_tolerance {
            return BeginVerdict::Unknown(RefusalReason::Refreshing);
        }
        while self.records.len() >= self.options.max_records {
            if !self.drop_oldest_settled() {
                // Raising the floor to this key keeps the refusal truthful without a record: the key never runs.
                self.raise_floor(key.issued());
                let refusal = RecordedResult::NotRun(RefusalReason::Overloaded);
                return BeginVerdict::Settled(refusal);
            }
        }
        let record = KeyRecord { content, progress: Progress::Queued(Vec::new()) };
        self.records.insert(key.index(), record);
        BeginVerdict::Run
    }

    /// Records that the request is about to be sent. Call it before the first byte leaves.
    ///
    /// # Errors
    /// Fails if the key is not in progress or was sent before; the request must not be sent then.
    pub fn mark_sent(&mut self, key: &RequestKey) -> Result<(), RecordError> {
        let record = self.records.get_mut(&key.index()).context(NotInProgressSnafu)?;
        match &mut record.progress {
            Progress::Queued(waiting) => {
                record.progress = Progress::Sent(mem::take(waiting));
                Ok(())
            }
            Progress::Sent(_) => AlreadySentSnafu.fail(),
            Progress::Settled(_) => NotInProgressSnafu.fail(),
        }
    }

    /// Settles a key with the whole answer of the upstream.
    ///
    /// An answer above the bounds is not retained; waiting and later attempts then get
    /// [`RefusalReason::AnswerNotRetained`].
    ///
    /// # Errors
    /// Fails if the request is not in progress or was never sent.
    pub fn finish(
        &mut self,
        key: &RequestKey,
        answer: RetainedAnswer,
    ) -> Result<SettledKey, RecordError> {
        let size = answer.size();
        let mut fits = size <= self.options.max_answer_bytes;
        while fits && self.bytes + size > self.options.max_bytes {
            fits = self.drop_oldest_settled();
        }
        let result = if fits {
            RecordedResult::Answered(answer)
        } else {
            RecordedResult::Unknown(RefusalReason::AnswerNotRetained)
        };
        self.settle_sent(key, result)
    }

    /// Settles a key whose request was sent and whose answer was lost.
    ///
    /// # Errors
    /// Fails if the request is not in progress or was never sent.
    pub fn lose(
        &mut self,
        key: &RequestKey,
        reason: RefusalReason,
    ) -> Result<SettledKey, RecordError> {
        self.settle_sent(key, RecordedResult::Unknown(reason))
    }

    /// Settles a key whose request was not sent: it is not run and never will be.
    ///
    /// # Errors
    /// Fails if the key is not in progress or its request was sent.
    pub fn refuse(
        &mut self,
        key: &RequestKey,
        reason: RefusalReason,
    ) -> Result<SettledKey, RecordError> {
        let record = self.records.get(&key.index()).context(NotInProgressSnafu)?;
        ensure!(!matches!(record.progress, Progress::Sent(_)), AlreadySentSnafu);
        self.settle(key, RecordedResult::NotRun(reason))
    }

    /// Settles a key that was marked as sent while it is proven that the upstream did not receive the request, for
    /// example because no connection could be opened.
    ///
    /// # Errors
    /// Fails if the request is not in progress or was not marked as sent.
    pub fn refuse_undelivered(
        &mut self,
        key: &RequestKey,
        reason: RefusalReason,
    ) -> Result<SettledKey, RecordError> {
        self.settle_sent(key, RecordedResult::NotRun(reason))
    }

    /// State of `key` at `uptime`.
    #[must_use]
    pub fn lookup(&self, key: &RequestKey, uptime: Duration) -> KeyState {
        if *key.owner() != self.owner {
            return KeyState::Unknown(RefusalReason::OwnerGone);
        }
        if self.is_expired(key.issued(), uptime) {
            return KeyState::Unknown(RefusalReason::KeyExpired);
        }
        match self.records.get(&key.index()).map(|record| &record.progress) {
            Some(Progress::Queued(_)) => KeyState::Queued,
            Some(Progress::Sent(_)) => KeyState::Sent,
            Some(Progress::Settled(result)) => KeyState::Settled(result.clone()),
            None => KeyState::Unknown(RefusalReason::KeyExpired),
        }
    }

    /// Stops settling `attempt` together with `key`, because whoever sent it has gone.
    pub fn forget_waiting(&mut self, key: &RequestKey, attempt: AttemptId) {
        if let Some(Progress::Queued(waiting) | Progress::Sent(waiting)) =
            self.records.get_mut(&key.index()).map(|record| &mut record.progress)
        {
            waiting.retain(|other| *other != attempt);
        }
    }

    /// Recorded keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if no key is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Keys that are not settled.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.records.values().filter(|record| !record.is_settled()).count()
    }

    /// Bytes of retained answers.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Latest issue time among dropped records; keys at or before it that have no record are unknown.
    #[must_use]
    pub fn floor(&self) -> Option<Duration> {
        self.floor
    }

    fn settle_sent(
        &mut self,
        key: &RequestKey,
        result: RecordedResult,
    ) -> Result<SettledKey, RecordError> {
        let record = self.records.get(&key.index()).context(NotInProgressSnafu)?;
        ensure!(!matches!(record.progress, Progress::Queued(_)), NotSentSnafu);
        self.settle(key, result)
    }

    fn settle(
        &mut self,
        key: &RequestKey,
        result: RecordedResult,
    ) -> Result<SettledKey, RecordError> {
        let record = self.records.get_mut(&key.index()).context(NotInProgressSnafu)?;
        let waiting = match &mut record.progress {
            Progress::Queued(waiting) | Progress::Sent(waiting) => mem::take(waiting),
            Progress::Settled(_) => return NotInProgressSnafu.fail(),
        };
        record.progress = Progress::Settled(result.clone());
        self.bytes += record.size();
        Ok(SettledKey { result, waiting })
    }

    fn is_expired(&self, issued: Duration, uptime: Duration) -> bool {
        issued.saturating_add(self.options.validity) < uptime
    }

    fn is_below_floor(&self, issued: Duration) -> bool {
        self.floor.is_some_and(|floor| issued <= floor)
    }

    fn raise_floor(&mut self, issued: Duration) {
        self.floor = self.floor.max(Some(issued));
    }

    /// Drops settled records whose validity has ended. Expiry alone makes their keys unknown, so the floor stays.
    fn drop_expired(&mut self, uptime: Duration) {
        while let Some((index, record)) = self.records.first_key_value()
            && self.is_expired(index.issued(), uptime)
            && record.is_settled()
        {
            let index = *index;
            self.remove(index);
        }
    }

    fn drop_oldest_settled(&mut self) -> bool {
        let oldest = self.records.iter().find(|(_, record)| record.is_settled());
        let Some(index) = oldest.map(|(index, _)| *index) else {
            return false;
        };
        self.remove(index);
        self.raise_floor(index.issued());
        true
    }

    fn remove(&mut self, index: KeyIndex) {
        if let Some(record) = self.records.remove(&index) {
            self.bytes -= record.size();
        }
    }
}

fn join(
    record: &mut KeyRecord,
    content: ContentDigest,
    attempt: AttemptId,
    max_waiting: usize,
) -> BeginVerdict {
    if record.content != content {
        return BeginVerdict::ContentMismatch;
    }
    match &mut record.progress {
        Progress::Settled(result) => BeginVerdict::Settled(result.clone()),
        Progress::Queued(waiting) | Progress::Sent(waiting) if waiting.len() < max_waiting => {
            waiting.push(attempt);
            BeginVerdict::Wait
        }
        Progress::Queued(_) | Progress::Sent(_) => BeginVerdict::Unknown(RefusalReason::Overloaded),
    }
}
