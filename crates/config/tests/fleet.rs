//! Validation of the fleet configuration and of settings, placement of weights, and differences of configurations.

use config::{
    AgentSettings, ConfigDiff, ConfigError, EntrySettings, FleetConfig, SettingsError,
    wanted_models,
};
use serde_json::{Value, json};

const EXAMPLE: &str = include_str!("../../../examples/fleet.json");

fn example() -> Value {
    serde_json::from_str(EXAMPLE).unwrap()
}

fn fault_keys(document: &Value) -> Vec<String> {
    match FleetConfig::parse(document.to_string().as_bytes()) {
        Err(ConfigError::Invalid { faults }) => {
            faults.iter().map(|fault| fault.key.to_string()).collect()
        }
        other => panic!("expected faults, got {other:?}"),
    }
}

#[test]
fn example_is_valid_and_canonical_bytes_round_trip() {
    let config = FleetConfig::parse(EXAMPLE.as_bytes()).unwrap();
    let reparsed = FleetConfig::parse(&config.canonical_bytes()).unwrap();
    assert_eq!((config.digest(), &config), (reparsed.digest(), &reparsed));
}

/// Guards against a typing error in a key that silently drops the setting.
#[test]
fn unknown_key_is_rejected() {
    let mut document = example();
    document["teams"][0]["shares"] = json!(3);
    let error = FleetConfig::parse(document.to_string().as_bytes()).unwrap_err();
    assert!(matches!(error, ConfigError::Syntax { .. }));
    assert!(error.to_string().contains("unknown field `shares`"), "{error}");
}

#[test]
fn every_broken_rule_is_reported() {
    let mut document = example();
    document["teams"][1]["id"] = json!("survey-north");
    document["upstreams"][0]["data_centre"] = json!("nowhere");
    document["upstreams"][1]["warm_limit"] = json!(1);
    document["presets"][1]["models"][0]["model"] = json!("absent");
    document["models"][0]["current"] = json!("v9");
    assert_eq!(
        fault_keys(&document),
        [
            "teams[1].id",
            "upstreams[0].data_centre",
            "upstreams[1].warm_limit",
            "models[0].current",
            "presets.peak.absent.model",
        ]
    );
}

/// Guards against a publication after which no upstream can serve requests.
#[test]
fn document_with_all_data_centres_out_is_rejected() {
    let mut document = example();
    for index in 0..3 {
        document["data_centres"][index]["out"] = json!(true);
    }
    assert_eq!(fault_keys(&document), ["data_centres"]);
}

#[test]
fn oversized_document_is_rejected_before_it_is_parsed() {
    let error = FleetConfig::parse(&vec![b' '; FleetConfig::MAX_BYTES + 1]).unwrap_err();
    assert!(matches!(error, ConfigError::TooLarge { .. }));
}

/// Guards against weights being moved when a data centre is out of service for a short time.
#[test]
fn data_centre_out_of_service_adds_replicas_and_moves_none() {
    let config = FleetConfig::parse(EXAMPLE.as_bytes()).unwrap();
    let holder = config
        .upstreams
        .iter()
        .find(|record| wanted_models(&config, record).iter().any(|m| m.active));
    let holder = holder.unwrap().clone();
    let mut with_centre_out = config.clone();
    with_centre_out
        .data_centres
        .iter_mut()
        .find(|record| record.id == holder.data_centre)
        .unwrap()
        .out = true;
    let active = |record| wanted_models(&with_centre_out, record).iter().any(|model| model.active);
    assert!(active(&holder));
    assert_eq!(with_centre_out.upstreams.iter().filter(|record| active(record)).count(), 2);
}

#[test]
fn diff_lists_fields_and_transfers() {
    let old = FleetConfig::parse(EXAMPLE.as_bytes()).unwrap();
    let mut new = old.clone();
    new.revision = 2;
    new.models[0].previous = Some("v1".into());
    new.models[0].current = "v2".into();
    let diff = ConfigDiff::new(&old, &new);
    let fields: Vec<_> =
        diff.changes[0].fields.iter().map(|change| change.field.as_str()).collect();
    assert_eq!((diff.changes.len(), fields.as_slice()), (1, ["current", "previous"].as_slice()));
    assert_eq!(
        (diff.transfers, diff.transfer_bytes, diff.is_newer_revision),
        (2, 2 * 67_108_864, true)
    );
}

#[test]
fn example_settings_are_valid() {
    EntrySettings::parse(include_str!("../../../examples/entry.toml")).unwrap();
    AgentSettings::parse(include_str!("../../../examples/agent.toml")).unwrap();
}

#[test]
fn settings_faults_name_the_key_the_value_and_the_allowed_values() {
    let text = include_str!("../../../examples/entry.toml");
    let invalid =
        text.replace("replace-this-secret-on-every-host", "short").replace("\"info\"", "\"loud\"");
    let Err(SettingsError::Invalid { faults }) = EntrySettings::parse(&invalid) else {
        panic!("expected faults")
    };
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "common.fleet_key = (hidden): at least 16 bytes",
            "common.log_level = loud: off, error, warn, info, debug or trace",
        ]
    );
    let objective = format!("{text}\n[objectives.keyed]\nfraction = 1.0\nin_time_ms = 340\n");
    let error = EntrySettings::parse(&objective).unwrap_err().to_string();
    assert!(error.contains("objectives.keyed.fraction = 1: above 0 and below 1"), "{error}");
    let unknown = format!("nonsense = 1\n{text}");
    assert!(EntrySettings::parse(&unknown).unwrap_err().to_string().contains("nonsense"));
    let address = text.replace("127.0.0.1:8100", "localhost");
    assert!(EntrySettings::parse(&address).unwrap_err().to_string().contains("http_listen"));
}
