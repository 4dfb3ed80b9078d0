//! Items of a fleet as text.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{DecodeItem, ItemError, ItemValue, RawItem, UpstreamRecord};

/// Decodes "u:STATE" as an upstream at an address derived from its key, "u:STATE:BORN" as one at a common address,
/// "w:N" as a declared version, and anything else as an error.
pub struct TextDecoder;

impl DecodeItem for TextDecoder {
    fn decode(&self, key: &str, value: &Bytes) -> Result<ItemValue, ItemError> {
        let text = std::str::from_utf8(value).map_err(|_| ItemError::new("value is not UTF-8"))?;
        match text.split_once(':') {
            Some(("u", state)) => {
                let (state, started_ms) = state.split_once(':').unwrap_or((state, "0"));
                let started_ms =
                    started_ms.parse().map_err(|_| ItemError::new("start time is not a number"))?;
                let host = if started_ms == 0 { key.as_bytes()[0] } else { 0 };
                Ok(ItemValue::Upstream(Arc::new(UpstreamRecord {
                    upstream: key.into(),
                    service: "chat".into(),
                    address: SocketAddr::from(([127, 0, 0, host], 80)),
                    data_centre: "north".into(),
                    slots: 4,
                    draining: state == "draining",
                    cold_for: Duration::ZERO,
                    weights: Vec::new(),
                    started_ms,
                })))
            }
            Some(("w", version)) => Ok(ItemValue::Declared {
                model: "m".into(),
                version: version.parse().map_err(|_| ItemError::new("version is not a number"))?,
            }),
            _ => Err(ItemError::new("unknown")),
        }
    }
}

/// An item that comes without an age; `None` for a removal.
pub fn item(key: &str, value: Option<&str>, revision: u64) -> RawItem {
    let value = value.map(|text| Bytes::from(text.to_owned()));
    RawItem { key: key.into(), value, revision, age: None }
}
