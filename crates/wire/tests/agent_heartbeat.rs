//! Guards against a fleet in which agents and entries of different versions cannot read one another's heartbeats.

use prost::Message;
use wire::AgentHeartbeat;

/// The heartbeat before `weights_in_ms` was added, without contacts.
#[derive(Clone, Message, PartialEq)]
struct OldHeartbeat {
    #[prost(uint64, tag = "1")]
    sequence: u64,
    #[prost(string, tag = "2")]
    upstream: String,
    #[prost(uint64, tag = "5")]
    version: u64,
    #[prost(uint32, optional, tag = "9")]
    change_in_ms: Option<u32>,
    #[prost(uint32, tag = "10")]
    slowdown_percent: u32,
}

fn old() -> OldHeartbeat {
    OldHeartbeat {
        sequence: 7,
        upstream: "10.0.0.1:80".to_owned(),
        version: 2,
        change_in_ms: Some(900),
        slowdown_percent: 100,
    }
}

#[test]
fn heartbeat_of_an_older_agent_has_no_time_of_the_weights() {
    let heartbeat = AgentHeartbeat::decode(old().encode_to_vec().as_slice()).expect("it decodes");
    assert_eq!(heartbeat.weights_in_ms, None);
    assert_eq!((heartbeat.sequence, heartbeat.change_in_ms), (7, Some(900)));
}

/// Zero means that the weights are about to be served, and absence that the time is unknown.
#[test]
fn time_of_the_weights_is_kept_apart_from_an_unknown_time() {
    for weights_in_ms in [None, Some(0), Some(1_200), Some(u32::MAX)] {
        let heartbeat = AgentHeartbeat { weights_in_ms, ..AgentHeartbeat::default() };
        let bytes = heartbeat.encode_to_vec();
        let decoded = AgentHeartbeat::decode(bytes.as_slice()).expect("it decodes");
        assert_eq!(decoded.weights_in_ms, weights_in_ms);
    }
}

#[test]
fn older_entry_reads_the_heartbeat_of_a_newer_agent() {
    let heartbeat = AgentHeartbeat {
        sequence: 7,
        upstream: "10.0.0.1:80".to_owned(),
        version: 2,
        change_in_ms: Some(900),
        slowdown_percent: 100,
        weights_in_ms: Some(2_100),
        ..AgentHeartbeat::default()
    };
    let read = OldHeartbeat::decode(heartbeat.encode_to_vec().as_slice()).expect("it decodes");
    assert_eq!(read, old());
}
