//! Records that an owner keeps of the requests with its keys, so that none of them runs twice.
//!
//! They decide whether an attempt runs the request, waits for the attempt in progress, or gets the recorded result.
//! Memory is bounded: settled records with the earliest issue times are evicted first, and the floor is the latest
//! issue time of an evicted record. A key without a record that was issued at or before the floor is unknown, because
//! its record may have been evicted.

use std::{collections::BTreeMap, mem, time::Duration};

use base::{ContentDigest, RefusalReason};
use bytes::Bytes;
use compact_str::CompactString;
use snafu::{OptionExt, Snafu, ensure};

use crate::key::{KeyIndex, KeyOwner, RequestKey};

/// Identifies a waiting attempt when its key is settled; assigned by the caller of [`RequestTable::begin`].
pub type AttemptId = u64;

/// Bounds of a [`RequestTable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecordOptions {
    /// Maximum number of recorded keys.
    pub max_records: usize,
    /// Maximum total size of all retained responses in bytes.
    pub max_bytes: usize,
    /// Maximum size of a retained response in bytes; a larger response is delivered once and not retained.
    pub max_response_bytes: usize,
    /// Maximum number of attempts that wait for one key.
    pub max_waiting: usize,
    /// Validity of a key after its issue, measured by the uptime of the owner.
    pub validity: Duration,
    /// Maximum time by which an issue time may be ahead of the owner's uptime. An entry extrapolates the uptime from
    /// the last status response, so its estimate is ahead after the owner's host was suspended.
    pub issue_tolerance: Duration,
}

impl Default for RecordOptions {
    fn default() -> Self {
        Self {
            max_records: 16_384,
            max_bytes: 8 << 20,
            max_response_bytes: 256 << 10,
            max_waiting: 16,
            validity: Duration::from_secs(600),
            issue_tolerance: Duration::from_secs(5),
        }
    }
}

/// Response of the upstream that is kept for later attempts with the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetainedResponse {
    /// HTTP status of the response.
    pub status: u16,
    /// Content type of the response.
    pub content_type: CompactString,
    /// Complete body of the response.
    pub body: Bytes,
}

impl RetainedResponse {
    fn size(&self) -> usize {
        self.content_type.len() + self.body.len()
    }
}

/// Final result of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordedResult {
    /// The request ran, and this is its complete response.
    Answered(RetainedResponse),
    /// The request has not run and never will.
    NotRun(RefusalReason),
    /// The request was sent, and its outcome or its response is not known.
    Unknown(RefusalReason),
}

/// Decision about an attempt, returned by [`RequestTable::begin`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BeginVerdict {
    /// This attempt has to run the request; the key is now recorded.
    Run,
    /// Another attempt is in progress; this one has to wait and gets the same result.
    Wait,
    /// The key is already settled with this result.
    Settled(RecordedResult),
    /// The outcome of the request is unknown, and this attempt must not run it.
    Unknown(RefusalReason),
    /// The key was already used for a request with different content.
    ContentMismatch,
}

/// State of a key, returned by [`RequestTable::lookup`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyState {
    /// The request is recorded and not yet sent to the upstream.
    Queued,
    /// The request was sent to the upstream, and its result is not yet known.
    Sent,
    /// The key is settled with this result.
    Settled(RecordedResult),
    /// The key has no record, or it is expired or belongs to another owner.
    Unknown(RefusalReason),
}

/// Result of settling a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettledKey {
    /// The result for all waiting and later attempts.
    pub result: RecordedResult,
    /// Attempts that waited for the result.
    pub waiting: Vec<AttemptId>,
}

/// Error for an operation that the state of the key does not allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum RecordError {
    /// The key has no record or is already settled.
    #[snafu(display(
        "request of this key is not in progress: the key has no record or is settled"
    ))]
    NotInProgress,
    /// The request was already sent; it must not be sent again, and must not be reported as not run.
    #[snafu(display("request of this key was already sent to the upstream"))]
    AlreadySent,
    /// The request has not been sent, so it cannot have a result from the upstream.
    #[snafu(display("request of this key has not been sent to the upstream"))]
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
            Progress::Settled(RecordedResult::Answered(response)) => response.size(),
            _ => 0,
        }
    }
}

/// Records of the requests with keys of one owner. All times are uptimes of the owner.
#[derive(Debug)]
pub struct RequestTable {
    owner: KeyOwner,
    options: RecordOptions,
    records: BTreeMap<KeyIndex, KeyRecord>,
    /// Total size of the retained responses.
    bytes: usize,
    floor: Option<Duration>,
}

impl RequestTable {
    /// Creates an empty set of records for keys of `owner`.
    #[must_use]
    pub fn new(owner: KeyOwner, options: RecordOptions) -> Self {
        Self { owner, options, records: BTreeMap::new(), bytes: 0, floor: None }
    }

    /// Decides about an attempt with `key` at `uptime`. `content` is the digest of the method, path and body of the
    /// request.
    ///
    /// After [`BeginVerdict::Run`], the caller must call [`mark_sent`](Self::mark_sent) before it sends the request,
    /// and must settle the key afterwards.
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
        self.remove_expired(uptime);
        if self.is_expired(key.issued(), uptime) {
            return BeginVerdict::Unknown(RefusalReason::KeyExpired);
        }
        let max_waiting = self.options.max_waiting;
        if let Some(record) = self.records.get_mut(&key.index()) {
            return join_recorded(record, content, attempt, max_waiting);
        }
        if self.is_below_floor(key.issued()) {
            return BeginVerdict::Unknown(RefusalReason::KeyExpired);
        }
        if key.issued() > uptime + self.options.issue_tolerance {
            return BeginVerdict::Unknown(RefusalReason::Refreshing);
        }
        while self.records.len() >= self.options.max_records {
            if !self.evict_oldest_settled() {
                // The refused key gets no record. Raising the floor to its issue time ensures that it never runs.
                self.raise_floor(key.issued());
                let not_run = RecordedResult::NotRun(RefusalReason::Overloaded);
                return BeginVerdict::Settled(not_run);
            }
        }
        let record = KeyRecord { content, progress: Progress::Queued(Vec::new()) };
        self.records.insert(key.index(), record);
        BeginVerdict::Run
    }

    /// Records that the request is about to be sent. Must be called before its first byte is written.
    ///
    /// # Errors
    /// Fails if the request is not in progress or was already sent. The request must not be sent in either case.
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

    /// Settles a key with the complete response of the upstream.
    ///
    /// A response that exceeds the bounds is not retained; waiting and later attempts then get
    /// [`RefusalReason::AnswerNotRetained`].
    ///
    /// # Errors
    /// Fails if the request is not in progress or was never sent.
    pub fn settle_answered(
        &mut self,
        key: &RequestKey,
        response: RetainedResponse,
    ) -> Result<SettledKey, RecordError> {
        let size = response.size();
        let mut fits = size <= self.options.max_response_bytes;
        while fits && self.bytes + size > self.options.max_bytes {
            fits = self.evict_oldest_settled();
        }
        let result = if fits {
            RecordedResult::Answered(response)
        } else {
            RecordedResult::Unknown(RefusalReason::AnswerNotRetained)
        };
        self.settle_sent(key, result)
    }

    /// Settles a key whose request was sent and whose response was lost; the outcome is unknown.
    ///
    /// # Errors
    /// Fails if the request is not in progress or was never sent.
    pub fn settle_unknown(
        &mut self,
        key: &RequestKey,
        reason: RefusalReason,
    ) -> Result<SettledKey, RecordError> {
        self.settle_sent(key, RecordedResult::Unknown(reason))
    }

    /// Settles a key whose request was not sent; it has not run and never will.
    ///
    /// # Errors
    /// Fails if the request is not in progress or was sent.
    pub fn settle_not_run(
        &mut self,
        key: &RequestKey,
        reason: RefusalReason,
    ) -> Result<SettledKey, RecordError> {
        let record = self.records.get(&key.index()).context(NotInProgressSnafu)?;
        ensure!(!matches!(record.progress, Progress::Sent(_)), AlreadySentSnafu);
        self.settle(key, RecordedResult::NotRun(reason))
    }

    /// Settles a key as not run although it was marked as sent. Only allowed if the upstream certainly did not receive
    /// the request, for example because no connection could be opened.
    ///
    /// # Errors
    /// Fails if the request is not in progress or was not marked as sent.
    pub fn settle_undelivered(
        &mut self,
        key: &RequestKey,
        reason: RefusalReason,
    ) -> Result<SettledKey, RecordError> {
        self.settle_sent(key, RecordedResult::NotRun(reason))
    }

    /// Returns the state of `key` at `uptime` without changing any record.
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

    /// Removes `attempt` from the attempts that wait for `key`, because its sender no longer waits for the result.
    pub fn remove_waiting(&mut self, key: &RequestKey, attempt: AttemptId) {
        if let Some(Progress::Queued(waiting) | Progress::Sent(waiting)) =
            self.records.get_mut(&key.index()).map(|record| &mut record.progress)
        {
            waiting.retain(|other| *other != attempt);
        }
    }

    /// Number of recorded keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if no key is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of recorded keys that are not settled.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.records.values().filter(|record| !record.is_settled()).count()
    }

    /// Total size of the retained responses in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Issue time at or before which keys without a record are unknown: the latest issue time of a key whose record was
    /// evicted, or that was refused because no record could be evicted. `None` if there is no such key yet.
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

    /// Removes the expired records up to the first one that is not settled. The floor does not change, because expiry
    /// alone makes their keys unknown.
    fn remove_expired(&mut self, uptime: Duration) {
        while let Some((index, record)) = self.records.first_key_value()
            && self.is_expired(index.issued(), uptime)
            && record.is_settled()
        {
            let index = *index;
            self.remove(index);
        }
    }

    fn evict_oldest_settled(&mut self) -> bool {
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

fn join_recorded(
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
