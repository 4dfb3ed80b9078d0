//! Completeness of answers: token lines are counted against the last line.

use base::ContentDigest;
use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

/// Longest line that is accepted, in bytes; it bounds what is held of an answer.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Why an answer of an engine cannot be passed on.
#[derive(Debug, Snafu)]
pub enum AnswerError {
    /// A line is too long.
    #[snafu(display("answer line exceeds {MAX_LINE_BYTES} bytes"))]
    LineTooLong,
    /// A line has another shape than expected.
    #[snafu(display("answer line cannot be read: {source}"))]
    Malformed {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// A token is missing, doubled or out of order.
    #[snafu(display("token {found:?} where {expected} was expected"))]
    WrongToken {
        /// Index of the token, if the line has one.
        found: Option<u64>,
        /// Index that the answer needs next.
        expected: u64,
    },
    /// The last line states another number of tokens than arrived.
    #[snafu(display("last line states {stated:?} tokens, {expected} arrived"))]
    WrongCount {
        /// Number in the last line.
        stated: Option<u64>,
        /// Number of tokens up to the end of the answer.
        expected: u64,
    },
    /// The answer comes from another version than the one asked for.
    #[snafu(display("answer comes from another manifest"))]
    WrongManifest,
    /// Bytes follow the last line.
    #[snafu(display("bytes after the last line"))]
    AfterEnd,
}

#[derive(Deserialize)]
struct AnswerLine {
    #[serde(default)]
    index: Option<u64>,
    #[serde(default)]
    done: bool,
    #[serde(default)]
    count: Option<u64>,
    #[serde(default)]
    manifest: Option<ContentDigest>,
}

/// Checks the token lines of one answer. It passes on whole lines only, so that an answer can be resumed after any of
/// them.
#[derive(Debug)]
pub struct TokenCheck {
    next_index: u64,
    manifest: ContentDigest,
    pending: BytesMut,
    is_complete: bool,
}

impl TokenCheck {
    /// Creates the check of an answer that starts at token `offset` and has to come from `manifest`.
    #[must_use]
    pub fn new(offset: u64, manifest: ContentDigest) -> Self {
        Self { next_index: offset, manifest, pending: BytesMut::new(), is_complete: false }
    }

    /// Takes a part of the answer and returns the whole lines that are ready to be passed on.
    ///
    /// # Errors
    /// Fails if a line does not belong to the answer; nothing of this part may be passed on then.
    pub fn feed(&mut self, part: &[u8]) -> Result<Bytes, AnswerError> {
        self.pending.extend_from_slice(part);
        let whole = self.pending.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
        let lines = self.pending.split_to(whole).freeze();
        ensure!(self.pending.len() <= MAX_LINE_BYTES, LineTooLongSnafu);
        for line in lines.split(|byte| *byte == b'\n') {
            self.check(line)?;
        }
        Ok(lines)
    }

    /// Takes the end of the body and returns what is left of the answer.
    ///
    /// # Errors
    /// Fails as [`TokenCheck::feed`] does.
    pub fn finish(&mut self) -> Result<Bytes, AnswerError> {
        let last = self.pending.split().freeze();
        self.check(&last)?;
        Ok(last)
    }

    /// True if the last line arrived and its count fits.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    fn check(&mut self, line: &[u8]) -> Result<(), AnswerError> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        ensure!(!self.is_complete, AfterEndSnafu);
        let line: AnswerLine = serde_json::from_slice(line).context(MalformedSnafu)?;
        let expected = self.next_index;
        if line.done {
            ensure!(line.count == Some(expected), WrongCountSnafu { stated: line.count, expected });
            ensure!(line.manifest.is_none_or(|name| name == self.manifest), WrongManifestSnafu);
            self.is_complete = true;
            return Ok(());
        }
        ensure!(line.index == Some(expected), WrongTokenSnafu { found: line.index, expected });
        self.next_index += 1;
        Ok(())
    }
}
