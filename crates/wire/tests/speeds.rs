//! Tests notices about the speeds of upstreams.

use prost::{Message, Oneof};
use wire::{
    DatagramError, FleetKey, MAX_DATAGRAM_BYTES, Notice, SpeedNotice, StatedOccupancy,
    UpstreamSpeed, open_datagram, seal_datagram,
};

/// Number of upstreams in a notice; must match `pace::MAX_SHARED_UPSTREAMS`.
const SHARED_UPSTREAMS: usize = 16;

fn speed(index: usize) -> UpstreamSpeed {
    UpstreamSpeed {
        upstream: format!("i-{index:010x}-a-long-name"),
        started_ms: 1_800_000_000_000,
        work_us: 60_000_000,
        weight: 3.7,
        knee: 0.66,
        age_ms: 4_999,
        load: Some(StatedOccupancy {
            running: 9_999,
            waiting: 9_999,
            slots: Some(9_999),
            slowdown_percent: Some(9_999),
            age_ms: 4_999,
        }),
    }
}

/// Guards against notices that are fragmented, so that a loss would be more likely.
#[test]
fn largest_notice_fits_into_a_datagram() {
    let notice = Notice::Speeds(SpeedNotice { speeds: (0..SHARED_UPSTREAMS).map(speed).collect() });
    let key = FleetKey::new("a secret of the fleet");
    let bytes = seal_datagram(notice.clone(), &key);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    assert_eq!(open_datagram(&bytes, &key).expect("the datagram is authentic"), notice);
}

/// Notice of a later version.
#[derive(Clone, Oneof, PartialEq)]
enum LaterNotice {
    #[prost(message, tag = "900")]
    Speeds(SpeedNotice),
}

#[derive(Clone, Message, PartialEq)]
struct LaterDatagram {
    #[prost(oneof = "LaterNotice", tags = "900")]
    notice: Option<LaterNotice>,
}

/// Guards against a process that fails on a notice that it does not know, as processes of earlier versions see this one.
#[test]
fn unknown_notice_is_ignored() {
    let notice = LaterNotice::Speeds(SpeedNotice { speeds: vec![speed(1)] });
    let content = LaterDatagram { notice: Some(notice) }.encode_to_vec();
    let key = FleetKey::new("a secret of the fleet");
    let mac = blake3::keyed_hash(&key.derive("wigeonhaven datagrams v1"), &content);
    let bytes = [&content[..], &mac.as_bytes()[..8]].concat();
    assert!(matches!(open_datagram(&bytes, &key), Err(DatagramError::Unknown)));
}
