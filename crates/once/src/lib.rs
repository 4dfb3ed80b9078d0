//! At-most-once execution of requests that are not idempotent: the signed request key, and the record that the owner
//! of a key keeps of its requests.
//!
//! A key names one agent incarnation as its owner. Only that process ever runs the request, so no agreement between
//! processes is needed; if it is gone, the outcome of the key is unknown.

mod key;
mod record;

pub use crate::{
    key::{
        KEY_SIGNING_CONTEXT, KeyError, KeyIndex, KeyOwner, KeySigner, MAX_KEY_BYTES, RequestKey,
    },
    record::{
        AttemptId, BeginVerdict, KeyState, RecordError, RecordOptions, RecordedResult,
        RequestRecord, RetainedAnswer, SettledKey,
    },
};
