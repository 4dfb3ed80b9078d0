//! Guards against messages that processes of an older or newer version cannot read.

use prost::Message;
use wire::{BriefReply, DatedVersion, EntryHeartbeat};

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

/// The fields of an assignment that processes had before earlier declarations were added.
#[derive(Clone, Message, PartialEq)]
struct OlderAssignment {
    #[prost(uint64, tag = "4")]
    version: u64,
    #[prost(uint64, optional, tag = "5")]
    declared_ms: Option<u64>,
}

/// Guards against earlier declarations that make assignments unreadable for older processes or unreadable without them.
#[test]
fn assignment_is_read_with_and_without_earlier_declarations() {
    let older = OlderAssignment { version: 3, declared_ms: Some(400) };
    let read = BriefReply::decode(older.encode_to_vec().as_slice()).expect("it is read");
    assert_eq!((read.version, read.declared_ms, read.earlier.len()), (3, Some(400), 0));
    let earlier = vec![DatedVersion { version: 2, age_ms: 4_400 }];
    let size = read.encoded_len();
    let assignment = BriefReply { earlier, ..read };
    assert!(assignment.encoded_len() - size <= 8, "the assignment must stay small");
    let bytes = assignment.encode_to_vec();
    assert_eq!(OlderAssignment::decode(bytes.as_slice()).expect("it is read"), older);
    assert_eq!(BriefReply::decode(bytes.as_slice()).expect("it is read"), assignment);
}
