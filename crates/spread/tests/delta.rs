//! Deltas: they lead to the exact target or are refused; nothing is taken on trust.

mod common;

use std::time::Instant;

use base::ContentDigest;
use common::{address, config, document, host_list, new_core};
use config::{FleetConfig, HostList};
use proptest::prelude::*;
use spread::{
    DocumentKind, ExchangeSummary, HeldDocument, PullAnswer, ServiceRead, SpreadAction, SpreadCore,
    SpreadEvent, SpreadReport,
};

fn held(config: &FleetConfig) -> HeldDocument<FleetConfig> {
    HeldDocument::parse(&config.canonical_bytes().into()).unwrap()
}

/// A core that holds revision `revision` and the host list of three hosts.
fn core_at(revision: u64, now: Instant) -> SpreadCore {
    let mut core = new_core(0, Vec::new(), 1, now);
    let hosts = serde_json::to_vec(&host_list(1, 3)).unwrap();
    for (kind, bytes) in
        [(DocumentKind::Config, document(revision)), (DocumentKind::Hosts, hosts.into())]
    {
        core.handle(now, SpreadEvent::Read(kind, ServiceRead::Document(bytes)));
    }
    assert!(core.is_fresh());
    core
}

fn offer(order: (u64, ContentDigest)) -> SpreadEvent {
    SpreadEvent::ExchangeReceived(ExchangeSummary {
        config: Some(order),
        hosts_version: 1,
        read_age_ms: u64::MAX,
        data_centre: "elan".into(),
        refused: None,
        peer: address(1),
    })
}

fn pulls(actions: &[SpreadAction]) -> Vec<Option<ContentDigest>> {
    actions
        .iter()
        .filter_map(|action| match action {
            SpreadAction::Pull(_, DocumentKind::Config, base) => Some(*base),
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
fn delta_with_another_result_is_refused_and_the_whole_document_is_pulled() {
    let now = Instant::now();
    let mut core = core_at(1, now);
    let (old, new) = (held(&config(1)), held(&config(2)));
    let mut delta = old.delta_to(&new).unwrap();
    assert_eq!(pulls(&core.handle(now, offer(new.order()))), [Some(old.digest)]);
    delta.set.pop();
    let answer = SpreadEvent::Pulled(address(1), DocumentKind::Config, PullAnswer::Delta(delta));
    let actions = core.handle(now, answer);
    assert_eq!(pulls(&actions), [None], "the whole document is not pulled");
    assert_eq!(core.config().unwrap().value.revision, 1);
    let whole = PullAnswer::Whole(new.bytes.clone());
    core.handle(now, SpreadEvent::Pulled(address(1), DocumentKind::Config, whole));
    assert_eq!(core.config().unwrap().value.revision, 2);
}

#[test]
fn delta_overtaken_by_another_adoption_is_neither_a_fault_nor_a_reason_to_pull_the_document() {
    let now = Instant::now();
    let mut core = core_at(1, now);
    let (old, new) = (held(&config(1)), held(&config(2)));
    core.handle(now, offer(new.order()));
    let read = ServiceRead::Document(document(2));
    core.handle(now, SpreadEvent::Read(DocumentKind::Config, read));
    let answer = PullAnswer::Delta(old.delta_to(&new).unwrap());
    let actions = core.handle(now, SpreadEvent::Pulled(address(1), DocumentKind::Config, answer));
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(core.config().unwrap().value.revision, 2);
}

#[test]
fn delta_that_leads_to_a_faulty_document_is_refused() {
    let now = Instant::now();
    let mut core = core_at(1, now);
    let old = held(&config(1));
    let mut faulty = config(2);
    faulty.upstreams[0].data_centre = "nowhere".into();
    let mut delta = old.delta_to(&held(&config(2))).unwrap();
    delta.target = faulty.digest();
    delta.set.push(spread::DeltaItem {
        path: "upstreams/u0".into(),
        value: serde_json::to_vec(&faulty.upstreams[0]).unwrap(),
    });
    core.handle(now, offer((2, delta.target)));
    let answer = PullAnswer::Delta(delta);
    let actions = core.handle(now, SpreadEvent::Pulled(address(1), DocumentKind::Config, answer));
    let refused = |action: &SpreadAction| {
        matches!(action, SpreadAction::Report(SpreadReport::Refused { .. }))
    };
    assert!(actions.iter().any(refused));
    assert_eq!(core.config().unwrap().value.revision, 1);
}

#[test]
fn delta_with_unknown_paths_or_values_is_refused() {
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
fn peer_a_few_revisions_behind_gets_one_delta_and_a_stranger_the_document() {
    let now = Instant::now();
    let mut core = core_at(1, now);
    for revision in 2..6 {
        let read = ServiceRead::Document(document(revision));
        core.handle(now, SpreadEvent::Read(DocumentKind::Config, read));
    }
    let base = held(&config(2));
    match core.answer_pull(now, DocumentKind::Config, Some(base.digest)) {
        PullAnswer::Delta(delta) => assert_eq!(base.apply(&delta).unwrap().bytes, document(5)),
        other => panic!("{other:?}"),
    }
    let unknown = Some(ContentDigest::of(b"unknown"));
    let answer = core.answer_pull(now, DocumentKind::Config, unknown);
    assert!(matches!(answer, PullAnswer::Whole(whole) if whole == document(5)));
}

#[test]
fn uploads_of_whole_documents_are_bounded() {
    let now = Instant::now();
    let mut core = core_at(1, now);
    let answers: Vec<_> =
        (0..50).map(|_| core.answer_pull(now, DocumentKind::Config, None)).collect();
    let whole = answers.iter().filter(|answer| matches!(answer, PullAnswer::Whole(_))).count();
    assert!(whole <= 8, "{whole} documents in one second");
}

#[test]
fn host_list_with_duplicate_hosts_is_refused() {
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

fn edited(mut config: FleetConfig, edits: &[Edit]) -> FleetConfig {
    config.revision += 1;
    for edit in edits {
        let count = config.upstreams.len();
        let mut fresh = config
            .upstreams
            .first()
            .cloned()
            .unwrap_or_else(|| self::config(1).upstreams[0].clone());
        match edit {
            Edit::Change(at) if count > 0 => config.upstreams[at % count].warm_limit += 1,
            Edit::Remove(at) if count > 0 => drop(config.upstreams.remove(at % count)),
            Edit::Append(id) | Edit::Insert(_, id) => {
                fresh.id = format!("new{id}").into();
                let at = if let Edit::Insert(at, _) = edit { at % (count + 1) } else { count };
                if config.upstreams.iter().all(|record| record.id != fresh.id) {
                    config.upstreams.insert(at, fresh);
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
        let new = held(&edited(config(1), &edits));
        let delta = old.delta_to(&new).expect("edits keep the order of the items");
        prop_assert_eq!(old.apply(&delta).unwrap().bytes, new.bytes);
    }

    #[test]
    fn any_chain_of_edits_leads_every_peer_to_the_target(steps in proptest::collection::vec(edits(), 1..5)) {
        let now = Instant::now();
        let mut sender = core_at(1, now);
        let mut receiver = core_at(1, now);
        let mut current = config(1);
        for step in &steps {
            current = edited(current, step);
            let read = ServiceRead::Document(current.canonical_bytes().into());
            sender.handle(now, SpreadEvent::Read(DocumentKind::Config, read));
        }
        let mut wanted = pulls(&receiver.handle(now, offer(sender.config().unwrap().order())));
        for _ in 0..steps.len() {
            let Some(base) = wanted.pop() else { break };
            prop_assert!(base.is_some(), "the whole document is pulled");
            let answer = sender.answer_pull(now, DocumentKind::Config, base);
            let event = SpreadEvent::Pulled(address(1), DocumentKind::Config, answer);
            wanted = pulls(&receiver.handle(now, event));
        }
        prop_assert_eq!(&receiver.config().unwrap().bytes, &sender.config().unwrap().bytes);
    }

    #[test]
    fn garbage_from_a_peer_changes_nothing(garbage in proptest::collection::vec(any::<u8>(), 0..200)) {
        let now = Instant::now();
        let mut core = core_at(1, now);
        core.handle(now, offer((9, ContentDigest::of(&garbage))));
        let answer = PullAnswer::Whole(garbage.into());
        core.handle(now, SpreadEvent::Pulled(address(1), DocumentKind::Config, answer));
        prop_assert_eq!(core.config().unwrap().value.revision, 1);
    }
}
