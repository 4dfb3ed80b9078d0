//! Deltas: they result in exactly the target document or are rejected.

mod common;

use std::time::Instant;

use base::ContentDigest;
use common::{address, config, document, host_list, new_core};
use config::{FleetConfig, HostList};
use proptest::prelude::*;
use spread::{
    DocumentKind, ExchangeSummary, GossipAction, GossipCore, GossipEvent, GossipReport,
    HeldDocument, PullResponse, ReadResult,
};

fn held(config: &FleetConfig) -> HeldDocument<FleetConfig> {
    HeldDocument::parse(&config.canonical_bytes().into()).unwrap()
}

/// Creates a core that holds the configuration `revision` and a list of three hosts.
fn core_with_revision(revision: u64, now: Instant) -> GossipCore {
    let mut core = new_core(0, Vec::new(), 1, now);
    let hosts = serde_json::to_vec(&host_list(1, 3)).unwrap();
    for (kind, bytes) in
        [(DocumentKind::Config, document(revision)), (DocumentKind::Hosts, hosts.into())]
    {
        core.handle(now, GossipEvent::ReadCompleted(kind, ReadResult::Document(bytes)));
    }
    assert!(core.is_fresh());
    core
}

fn announce(order: (u64, ContentDigest)) -> GossipEvent {
    GossipEvent::ExchangeReceived(ExchangeSummary {
        config: Some(order),
        hosts_version: 1,
        read_age_ms: u64::MAX,
        data_centre: "elan".into(),
        refused: None,
        peer: address(1),
    })
}

fn pulls(actions: &[GossipAction]) -> Vec<Option<ContentDigest>> {
    actions
        .iter()
        .filter_map(|action| match action {
            GossipAction::Pull(_, DocumentKind::Config, base) => Some(*base),
            _ => None,
        })
        .collect()
}

#[test]
fn delta_is_far_smaller_than_the_document() {
    let (old, new) = (held(&config(100)), held(&config(200)));
    let delta = old.delta_to(&new).unwrap();
    assert!(delta.size() < 200, "{} bytes for a change of the revision", delta.size());
    assert_eq!(old.apply(&delta).unwrap().bytes, new.bytes);
}

#[test]
fn delta_with_another_result_is_rejected_and_the_full_document_is_pulled() {
    let now = Instant::now();
    let mut core = core_with_revision(1, now);
    let (old, new) = (held(&config(1)), held(&config(2)));
    let mut delta = old.delta_to(&new).unwrap();
    assert_eq!(pulls(&core.handle(now, announce(new.order()))), [Some(old.digest)]);
    delta.set.pop();
    let response =
        GossipEvent::PullSucceeded(address(1), DocumentKind::Config, PullResponse::Delta(delta));
    let actions = core.handle(now, response);
    assert_eq!(pulls(&actions), [None], "the full document is not pulled");
    assert_eq!(core.config().unwrap().value.revision, 1);
    let full_response = PullResponse::Full(new.bytes.clone());
    core.handle(now, GossipEvent::PullSucceeded(address(1), DocumentKind::Config, full_response));
    assert_eq!(core.config().unwrap().value.revision, 2);
}

#[test]
fn delta_superseded_by_another_adoption_causes_neither_a_fault_nor_a_pull_of_the_full_document() {
    let now = Instant::now();
    let mut core = core_with_revision(1, now);
    let (old, new) = (held(&config(1)), held(&config(2)));
    core.handle(now, announce(new.order()));
    let read = ReadResult::Document(document(2));
    core.handle(now, GossipEvent::ReadCompleted(DocumentKind::Config, read));
    let response = PullResponse::Delta(old.delta_to(&new).unwrap());
    let actions =
        core.handle(now, GossipEvent::PullSucceeded(address(1), DocumentKind::Config, response));
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(core.config().unwrap().value.revision, 2);
}

#[test]
fn delta_that_results_in_an_invalid_document_is_rejected() {
    let now = Instant::now();
    let mut core = core_with_revision(1, now);
    let old = held(&config(1));
    let mut invalid = config(2);
    invalid.upstreams[0].data_centre = "nowhere".into();
    let mut delta = old.delta_to(&held(&config(2))).unwrap();
    delta.target = invalid.digest();
    delta.set.push(spread::DeltaItem {
        path: "upstreams/u0".into(),
        value: serde_json::to_vec(&invalid.upstreams[0]).unwrap(),
    });
    core.handle(now, announce((2, delta.target)));
    let response = PullResponse::Delta(delta);
    let actions =
        core.handle(now, GossipEvent::PullSucceeded(address(1), DocumentKind::Config, response));
    let is_rejection = |action: &GossipAction| {
        matches!(action, GossipAction::Report(GossipReport::Refused { .. }))
    };
    assert!(actions.iter().any(is_rejection));
    assert_eq!(core.config().unwrap().value.revision, 1);
}

#[test]
fn delta_with_unknown_paths_or_invalid_values_is_rejected() {
    let old = held(&config(1));
    for (path, value) in [
        ("machines/u0", "{}"),
        ("upstreams/u0", "7"),
        ("upstreams/new@x", "{}"),
        ("revision", "\"two\""),
        ("", "1"),
    ] {
        let mut delta = spread::DocumentDelta::new(old.digest, old.digest);
        delta.set.push(spread::DeltaItem { path: path.into(), value: value.into() });
        assert!(old.apply(&delta).is_err(), "{path} = {value}");
    }
}

#[test]
fn peer_a_few_revisions_behind_gets_one_delta_and_a_peer_with_an_unknown_base_the_full_document() {
    let now = Instant::now();
    let mut core = core_with_revision(1, now);
    for revision in 2..6 {
        let read = ReadResult::Document(document(revision));
        core.handle(now, GossipEvent::ReadCompleted(DocumentKind::Config, read));
    }
    let base = held(&config(2));
    match core.respond_to_pull(now, DocumentKind::Config, Some(base.digest)) {
        PullResponse::Delta(delta) => assert_eq!(base.apply(&delta).unwrap().bytes, document(5)),
        other => panic!("{other:?}"),
    }
    let unknown = Some(ContentDigest::of(b"unknown"));
    let response = core.respond_to_pull(now, DocumentKind::Config, unknown);
    assert!(matches!(response, PullResponse::Full(full_response) if full_response == document(5)));
}

#[test]
fn sends_of_full_documents_per_second_are_limited() {
    let now = Instant::now();
    let mut core = core_with_revision(1, now);
    let responses: Vec<_> =
        (0..50).map(|_| core.respond_to_pull(now, DocumentKind::Config, None)).collect();
    let full_count =
        responses.iter().filter(|response| matches!(response, PullResponse::Full(_))).count();
    assert!(full_count <= 8, "{full_count} full documents in one second");
}

#[test]
fn host_list_with_duplicate_hosts_is_rejected() {
    let mut list = host_list(1, 3);
    list.hosts.push(list.hosts[0].clone());
    let bytes = serde_json::to_vec(&list).unwrap();
    assert!(HeldDocument::<HostList>::parse(&bytes.into()).is_err());
}

#[derive(Clone, Debug)]
enum Edit {
    Change(usize),
    Remove(usize),
    Append(u8),
    Insert(usize, u8),
}

fn edits() -> impl Strategy<Value = Vec<Edit>> {
    let edit = prop_oneof![
        (0..12_usize).prop_map(Edit::Change),
        (0..12_usize).prop_map(Edit::Remove),
        any::<u8>().prop_map(Edit::Append),
        (0..12_usize, any::<u8>()).prop_map(|(at, id)| Edit::Insert(at, id)),
    ];
    proptest::collection::vec(edit, 0..12)
}

fn apply_edits(mut config: FleetConfig, edits: &[Edit]) -> FleetConfig {
    config.revision += 1;
    for edit in edits {
        let count = config.upstreams.len();
        let mut added = config
            .upstreams
            .first()
            .cloned()
            .unwrap_or_else(|| self::config(1).upstreams[0].clone());
        match edit {
            Edit::Change(at) if count > 0 => config.upstreams[at % count].warm_limit += 1,
            Edit::Remove(at) if count > 0 => drop(config.upstreams.remove(at % count)),
            Edit::Append(id) | Edit::Insert(_, id) => {
                added.id = format!("new{id}").into();
                let at = if let Edit::Insert(at, _) = edit { at % (count + 1) } else { count };
                if config.upstreams.iter().all(|record| record.id != added.id) {
                    config.upstreams.insert(at, added);
                }
            }
            Edit::Change(_) | Edit::Remove(_) => {}
        }
    }
    config
}

proptest! {
    #[test]
    fn any_edit_has_an_exact_delta(edits in edits()) {
        let old = held(&config(1));
        let new = held(&apply_edits(config(1), &edits));
        let delta = old.delta_to(&new).expect("edits keep the order of the items");
        prop_assert_eq!(old.apply(&delta).unwrap().bytes, new.bytes);
    }

    #[test]
    fn any_chain_of_edits_can_be_pulled_as_deltas(steps in proptest::collection::vec(edits(), 1..5)) {
        let now = Instant::now();
        let mut sender = core_with_revision(1, now);
        let mut receiver = core_with_revision(1, now);
        let mut current = config(1);
        for step in &steps {
            current = apply_edits(current, step);
            let read = ReadResult::Document(current.canonical_bytes().into());
            sender.handle(now, GossipEvent::ReadCompleted(DocumentKind::Config, read));
        }
        let mut requested_bases = pulls(&receiver.handle(now, announce(sender.config().unwrap().order())));
        for _ in 0..steps.len() {
            let Some(base) = requested_bases.pop() else { break };
            prop_assert!(base.is_some(), "the full document is pulled");
            let response = sender.respond_to_pull(now, DocumentKind::Config, base);
            let event = GossipEvent::PullSucceeded(address(1), DocumentKind::Config, response);
            requested_bases = pulls(&receiver.handle(now, event));
        }
        prop_assert_eq!(&receiver.config().unwrap().bytes, &sender.config().unwrap().bytes);
    }

    #[test]
    fn invalid_bytes_from_a_peer_change_nothing(invalid_bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let now = Instant::now();
        let mut core = core_with_revision(1, now);
        core.handle(now, announce((9, ContentDigest::of(&invalid_bytes))));
        let response = PullResponse::Full(invalid_bytes.into());
        core.handle(now, GossipEvent::PullSucceeded(address(1), DocumentKind::Config, response));
        prop_assert_eq!(core.config().unwrap().value.revision, 1);
    }
}
