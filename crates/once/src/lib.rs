//! At-most-once execution of requests that are not idempotent: signed request keys, and the records that the owner of
//! the keys keeps of their requests.
//!
//! A key names one incarnation of an agent as its owner. Only that process ever runs the request, so processes do not
//! need to coordinate. If the owner is gone, the outcome of the request is unknown.

mod key;
mod record;

pub use crate::{
    key::{
        KEY_SIGNING_CONTEXT, KeyError, KeyIndex, KeyOwner, KeySigner, MAX_KEY_BYTES, RequestKey,
    },
    record::{
        AttemptId, BeginVerdict, KeyState, RecordError, RecordOptions, RecordedResult,
        RequestTable, RetainedResponse, SettledKey,
    },
};
