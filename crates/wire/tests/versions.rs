//! Guards against messages that processes of an older or newer version cannot read.

use prost::Message;
use wire::EntryHeartbeat;

/// The fields of a heartbeat that processes had before the version of the configuration was added.
#[derive(Clone, Message, PartialEq)]
struct OlderHeartbeat {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "9")]
    head: u64,
    #[prost(uint32, optional, tag = "13")]
    state_age_ms: Option<u32>,
}

/// Guards against a heartbeat of an older process that cannot be decoded, or that counts as one with version 0.
#[test]
fn heartbeat_without_configuration_version_is_read() {
    let older = OlderHeartbeat { name: "e-1".into(), head: 7, state_age_ms: Some(3) };
    let read = EntryHeartbeat::decode(older.encode_to_vec().as_slice()).expect("it is read");
    assert_eq!((read.name.as_str(), read.head, read.state_age_ms), ("e-1", 7, Some(3)));
    assert_eq!((read.config_version, read.config_revision), (None, 0));
}

/// Guards against a new field that makes heartbeats unreadable for older processes.
#[test]
fn older_process_reads_a_heartbeat_with_configuration_version() {
    let heartbeat = EntryHeartbeat {
        name: "e-1".into(),
        head: 7,
        state_age_ms: Some(3),
        config_version: Some(2),
        config_revision: 5,
        ..EntryHeartbeat::default()
    };
    let read = OlderHeartbeat::decode(heartbeat.encode_to_vec().as_slice()).expect("it is read");
    assert_eq!(read, OlderHeartbeat { name: "e-1".into(), head: 7, state_age_ms: Some(3) });
}
