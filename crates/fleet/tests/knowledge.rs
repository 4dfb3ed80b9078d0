//! Guards against knowledge that moves back, forgets removals or drops upstreams that only could not renew their entry.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use fleet::{
    ClientLimits, FactDecoder, FactError, FactSource, FleetFact, FleetKnowledge, RawItem,
    RoutingConfig, UpstreamRecord,
};
use proptest::prelude::*;

/// Reads "u:STATE" as an upstream at an address that follows from its key, "u:STATE:BORN" as one at a common address,
/// "w:N" as a declared version, anything else as an error.
struct TextDecoder;

impl FactDecoder for TextDecoder {
    fn decode(&self, key: &str, value: &Bytes) -> Result<FleetFact, FactError> {
        let text = std::str::from_utf8(value).map_err(|_| FactError::new("no text"))?;
        match text.split_once(':') {
            Some(("u", state)) => {
                let (state, born) = state.split_once(':').unwrap_or((state, "0"));
                let born = born.parse().map_err(|_| FactError::new("no number"))?;
                let host = if born == 0 { key.as_bytes()[0] } else { 0 };
                Ok(FleetFact::Upstream(Arc::new(UpstreamRecord {
                    upstream: key.into(),
                    service: "chat".into(),
                    address: SocketAddr::from(([127, 0, 0, host], 80)),
                    data_centre: "north".into(),
                    slots: 4,
                    draining: state == "draining",
                    cold_for: Duration::ZERO,
                    weights: Vec::new(),
                    born,
                })))
            }
            Some(("w", version)) => Ok(FleetFact::Declared {
                model: "m".into(),
                version: version.parse().map_err(|_| FactError::new("no number"))?,
            }),
            _ => Err(FactError::new("unknown")),
        }
    }
}

fn item(key: &str, value: Option<&str>, revision: u64) -> RawItem {
    let value = value.map(|text| Bytes::from(text.to_owned()));
    RawItem { key: key.into(), value, revision, age: None }
}

fn change(knowledge: &mut FleetKnowledge, item: RawItem, now: Instant) -> bool {
    knowledge.apply(item, FactSource::Change, &TextDecoder, now).is_some()
}

#[test]
fn older_item_never_replaces_newer() {
    let now = Instant::now();
    let mut knowledge = FleetKnowledge::new();
    assert!(change(&mut knowledge, item("a", Some("u:draining"), 7), now));
    assert!(!change(&mut knowledge, item("a", Some("u:ready"), 5), now));
    assert!(knowledge.view().upstream("a").is_some_and(|record| record.draining));
}

#[test]
fn removed_item_does_not_come_back_with_an_old_listing() {
    let now = Instant::now();
    let mut knowledge = FleetKnowledge::new();
    change(&mut knowledge, item("a", Some("u:ready"), 3), now);
    change(&mut knowledge, item("a", None, 9), now);
    knowledge.advance(9);
    let deltas = knowledge.apply_listing(vec![item("a", Some("u:ready"), 3)], 5, &TextDecoder, now);
    assert!(deltas.is_empty());
    assert!(knowledge.view().upstream("a").is_none());
}

#[test]
fn listing_removes_what_it_does_not_name() {
    let now = Instant::now();
    let mut knowledge = FleetKnowledge::new();
    change(&mut knowledge, item("a", Some("u:ready"), 3), now);
    change(&mut knowledge, item("b", Some("u:ready"), 12), now);
    knowledge.apply_listing(Vec::new(), 10, &TextDecoder, now);
    let view = knowledge.view();
    assert!(view.upstream("a").is_none(), "not listed and older than the listing");
    assert!(view.upstream("b").is_some(), "changed after the listing began");
}

#[test]
fn unreadable_item_names_nothing_and_leaves_the_others() {
    let now = Instant::now();
    let mut knowledge = FleetKnowledge::new();
    change(&mut knowledge, item("a", Some("u:ready"), 3), now);
    change(&mut knowledge, item("b", Some("u:ready"), 4), now);
    let delta = knowledge
        .apply(item("b", Some("garbage"), 5), FactSource::Change, &TextDecoder, now)
        .expect("the item is newer");
    assert!(delta.error.is_some());
    let view = knowledge.view();
    assert!(view.upstream("a").is_some());
    assert!(view.upstream("b").is_none());
}

#[test]
fn lapsed_upstream_stays_until_it_had_time_to_register_again() {
    let start = Instant::now();
    let mut knowledge = FleetKnowledge::new();
    change(&mut knowledge, item("a", Some("u:ready"), 3), start);
    change(&mut knowledge, item("b", Some("u:draining"), 4), start);
    knowledge.record_unavailable(start);
    let later = start + Duration::from_millis(500);
    change(&mut knowledge, item("a", None, 5), later);
    change(&mut knowledge, item("b", None, 6), later);
    assert!(knowledge.view().upstream("a").is_some(), "may only have been unable to renew");
    assert!(knowledge.view().upstream("b").is_none(), "it had announced that it leaves");
    assert!(knowledge.expire_lapsed(start + Duration::from_secs(3)));
    assert!(knowledge.view().upstream("a").is_none());
}

#[test]
fn upstream_that_vanishes_in_calm_times_is_gone_at_once() {
    let now = Instant::now();
    let mut knowledge = FleetKnowledge::new();
    change(&mut knowledge, item("a", Some("u:ready"), 3), now);
    change(&mut knowledge, item("a", None, 5), now);
    assert!(knowledge.view().upstream("a").is_none());
}

/// After a crash of all upstreams their old entries stay in the store for seconds beside the new ones.
#[test]
fn only_the_process_started_last_is_used_at_an_address() {
    let now = Instant::now();
    let mut knowledge = FleetKnowledge::new();
    change(&mut knowledge, item("new", Some("u:ready:200"), 5), now);
    change(&mut knowledge, item("old", Some("u:ready:100"), 9), now);
    let view = knowledge.view();
    assert!(view.upstream("new").is_some());
    assert!(view.upstream("old").is_none(), "its process ended before the other one started");
}

#[test]
fn peer_receives_exactly_what_it_lacks() {
    let now = Instant::now();
    let mut source = FleetKnowledge::new();
    source.apply_listing(vec![item("a", Some("u:ready"), 3)], 4, &TextDecoder, now);
    change(&mut source, item("a", None, 6), now);
    change(&mut source, item("b", Some("u:ready"), 7), now);
    source.advance(7);
    let (items, is_snapshot) = source.items_after(4, now);
    assert!(!is_snapshot);
    let mut keys: Vec<_> =
        items.iter().map(|item| (item.key.as_str(), item.value.is_some())).collect();
    keys.sort_unstable();
    assert_eq!(keys, [("a", false), ("b", true)]);
    let (items, is_snapshot) = source.items_after(2, now);
    assert!(is_snapshot, "removals before the listing are not known");
    assert_eq!(items.len(), 1);
}

#[test]
fn version_is_required_only_after_its_time() {
    let start = Instant::now();
    let bound = Duration::from_secs(7);
    let mut knowledge = FleetKnowledge::new();
    knowledge.apply(item("w", Some("w:1"), 1), FactSource::Listing, &TextDecoder, start);
    change(&mut knowledge, item("w", Some("w:2"), 2), start);
    change(&mut knowledge, item("w", Some("w:3"), 3), start + Duration::from_secs(2));
    let view = knowledge.view();
    let state = &view.weights["m"];
    assert_eq!(state.declared(), Some(3));
    let allowed = |seconds| state.oldest_allowed(start + Duration::from_secs(seconds), bound);
    assert_eq!((allowed(6), allowed(8), allowed(9)), (Some(1), Some(2), Some(3)));
}

proptest! {
    /// Whatever order, loss and repetition items arrive in, the newest of each key wins.
    #[test]
    fn order_of_arrival_does_not_matter(
        arrivals in prop::collection::vec((0_usize..4, 1_u64..40, any::<bool>()), 1..80)
    ) {
        let now = Instant::now();
        let mut knowledge = FleetKnowledge::new();
        let mut newest = [(0_u64, false); 4];
        for (key, revision, is_present) in arrivals {
            // One revision belongs to one change, so its content follows from it.
            let is_present = is_present && revision % 2 == 0;
            if revision % 2 == 1 || is_present {
                let value = is_present.then_some("u:ready");
                change(&mut knowledge, item(&key.to_string(), value, revision), now);
                if revision > newest[key].0 {
                    newest[key] = (revision, is_present);
                }
            }
        }
        let view = knowledge.view();
        for (key, (_, is_present)) in newest.iter().enumerate() {
            prop_assert_eq!(view.upstream(&key.to_string()).is_some(), *is_present);
        }
    }
}

/// Reads "c:VERSION" as a configuration, anything else as an error.
struct ConfigDecoder;

impl FactDecoder for ConfigDecoder {
    fn decode(&self, _: &str, value: &Bytes) -> Result<FleetFact, FactError> {
        let text = std::str::from_utf8(value).map_err(|_| FactError::new("no text"))?;
        let version = text.strip_prefix("c:").and_then(|version| version.parse().ok());
        Ok(FleetFact::Routing(Arc::new(RoutingConfig {
            version: version.ok_or_else(|| FactError::new("unknown"))?,
            routes: Vec::new(),
            services: Vec::new(),
            limits: ClientLimits {
                max_header_bytes: 1,
                max_body_bytes: 1,
                header_timeout: Duration::ZERO,
                idle_timeout: Duration::ZERO,
            },
            teams: None,
        })))
    }
}

/// Guards against a configuration with a typing error that takes all routes away.
#[test]
fn configuration_that_cannot_be_read_leaves_the_last_one_in_force() {
    let mut knowledge = FleetKnowledge::new();
    let now = Instant::now();
    let mut apply = |revision, value: Option<&'static str>| {
        let value = value.map(|text| Bytes::from_static(text.as_bytes()));
        let item = RawItem { key: "config".into(), value, revision, age: None };
        knowledge.apply(item, FactSource::Change, &ConfigDecoder, now);
        knowledge.view().config().map(|config| config.version)
    };
    assert_eq!(apply(1, Some("c:7")), Some(7));
    assert_eq!(apply(2, Some("broken")), Some(7));
    assert_eq!(apply(3, Some("c:8")), Some(8));
    assert_eq!(apply(4, None), None, "a configuration that was removed is in force no longer");
}
