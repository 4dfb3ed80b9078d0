//! Guards against alarms that are lost, never end, or use unbounded memory.

use std::time::{Duration, Instant};

use base::ContentDigest;
use node::alarm::AlarmRegistry;
use spread::{DocumentKind, GossipReport};

fn refused() -> GossipReport {
    let digest = ContentDigest::of(b"faulty");
    GossipReport::Refused {
        kind: DocumentKind::Config,
        digest,
        fault: "models[0].current".into(),
        from: None,
    }
}

#[test]
fn refused_document_is_an_alarm_until_another_is_in_force() {
    let (registry, now) = (AlarmRegistry::default(), Instant::now());
    registry.set_reader_health(0, Some(0));
    registry.record_report(now, &refused());
    registry.record_report(now + Duration::from_secs(5), &refused());
    let alarms = registry.active_alarms(now + Duration::from_secs(9));
    assert_eq!(alarms.len(), 1);
    assert!(
        alarms[0].contains("was refused: models[0].current (for 9 s, seen 2 times)"),
        "{alarms:?}"
    );
    let digest = ContentDigest::of(b"sound");
    let adopted =
        GossipReport::Adopted { kind: DocumentKind::Config, revision: 2, digest, from: None };
    registry.record_report(now + Duration::from_secs(10), &adopted);
    assert!(registry.active_alarms(now + Duration::from_secs(10)).is_empty());
}

#[test]
fn alarms_expire_and_are_bounded() {
    let (registry, now) = (AlarmRegistry::default(), Instant::now());
    registry.set_reader_health(0, None);
    for number in 0..200 {
        registry.raise(now + Duration::from_millis(number), format!("alarm {number}").into());
    }
    let alarms = registry.active_alarms(now + Duration::from_secs(1));
    assert_eq!(alarms.len(), 64);
    assert!(alarms.iter().any(|alarm| alarm.starts_with("alarm 199 ")));
    assert!(registry.active_alarms(now + Duration::from_secs(3_600)).is_empty());
}

#[test]
fn silent_configuration_service_is_an_alarm() {
    let (registry, now) = (AlarmRegistry::default(), Instant::now());
    assert!(
        registry.active_alarms(now)[0].contains("no read of the configuration service is known")
    );
    registry.set_reader_health(61_000, None);
    assert!(registry.active_alarms(now)[0].contains("for 61 s"));
    registry.set_reader_health(59_000, None);
    assert!(registry.active_alarms(now).is_empty());
}
