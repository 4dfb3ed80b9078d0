//! Guards against stale items that replace newer ones, removed items that reappear, and dropping upstreams that merely
//! could not renew their registration.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use fleet::{
    ClientLimits, DecodeItem, FleetState, ItemError, ItemSource, ItemValue, RawItem, ReceivePeriod,
    RoutingConfig, WatchTimer, WeightsLimits, WeightsState,
};
use proptest::prelude::*;

use crate::support::{TextDecoder, item};

/// Period of items that arrive at the moment of their change.
fn received_at(now: Instant) -> ReceivePeriod {
    ReceivePeriod { begin: now, end: now }
}

fn apply_change(fleet: &mut FleetState, item: RawItem, now: Instant) -> bool {
    fleet.apply(item, ItemSource::Change, &TextDecoder, received_at(now)).is_some()
}

#[test]
fn older_revision_never_replaces_a_newer_one() {
    let now = Instant::now();
    let mut fleet = FleetState::new();
    assert!(apply_change(&mut fleet, item("a", Some("u:draining"), 7), now));
    assert!(!apply_change(&mut fleet, item("a", Some("u:ready"), 5), now));
    assert!(fleet.view().upstream("a").is_some_and(|record| record.draining));
}

#[test]
fn removed_item_does_not_reappear_with_an_old_listing() {
    let now = Instant::now();
    let mut fleet = FleetState::new();
    apply_change(&mut fleet, item("a", Some("u:ready"), 3), now);
    apply_change(&mut fleet, item("a", None, 9), now);
    fleet.advance(9);
    let changes =
        fleet.apply_listing(vec![item("a", Some("u:ready"), 3)], 5, &TextDecoder, received_at(now));
    assert!(changes.is_empty());
    assert!(fleet.view().upstream("a").is_none());
}

#[test]
fn listing_removes_items_that_it_does_not_contain() {
    let now = Instant::now();
    let mut fleet = FleetState::new();
    apply_change(&mut fleet, item("a", Some("u:ready"), 3), now);
    apply_change(&mut fleet, item("b", Some("u:ready"), 12), now);
    fleet.apply_listing(Vec::new(), 10, &TextDecoder, received_at(now));
    let view = fleet.view();
    assert!(view.upstream("a").is_none(), "not listed and older than the listing");
    assert!(view.upstream("b").is_some(), "changed after the listing was started");
}

#[test]
fn undecodable_item_is_dropped_and_others_are_kept() {
    let now = Instant::now();
    let mut fleet = FleetState::new();
    apply_change(&mut fleet, item("a", Some("u:ready"), 3), now);
    apply_change(&mut fleet, item("b", Some("u:ready"), 4), now);
    let change = fleet
        .apply(item("b", Some("garbage"), 5), ItemSource::Change, &TextDecoder, received_at(now))
        .expect("the item is newer");
    assert!(change.error.is_some());
    let view = fleet.view();
    assert!(view.upstream("a").is_some());
    assert!(view.upstream("b").is_none());
}

#[test]
fn lapsed_upstream_is_kept_until_it_could_register_again() {
    let start = Instant::now();
    let mut fleet = FleetState::new();
    apply_change(&mut fleet, item("a", Some("u:ready"), 3), start);
    apply_change(&mut fleet, item("b", Some("u:draining"), 4), start);
    fleet.record_unavailable(start);
    let later = start + Duration::from_millis(500);
    apply_change(&mut fleet, item("a", None, 5), later);
    apply_change(&mut fleet, item("b", None, 6), later);
    assert!(
        fleet.view().upstream("a").is_some(),
        "it may only have been unable to renew its registration"
    );
    assert!(fleet.view().upstream("b").is_none(), "it was already draining");
    assert!(fleet.remove_expired(start + Duration::from_secs(3)));
    assert!(fleet.view().upstream("a").is_none());
}

#[test]
fn upstream_removed_while_the_store_is_available_is_dropped_at_once() {
    let now = Instant::now();
    let mut fleet = FleetState::new();
    apply_change(&mut fleet, item("a", Some("u:ready"), 3), now);
    apply_change(&mut fleet, item("a", None, 5), now);
    assert!(fleet.view().upstream("a").is_none());
}

/// After all upstreams crash, their old registrations stay in the store for seconds, next to the new ones.
#[test]
fn only_the_newest_process_at_an_address_is_used() {
    let now = Instant::now();
    let mut fleet = FleetState::new();
    apply_change(&mut fleet, item("new", Some("u:ready:200"), 5), now);
    apply_change(&mut fleet, item("old", Some("u:ready:100"), 9), now);
    let view = fleet.view();
    assert!(view.upstream("new").is_some());
    assert!(
        view.upstream("old").is_none(),
        "its process must have ended before the newer one started"
    );
}

#[test]
fn peer_receives_exactly_the_items_it_lacks() {
    let now = Instant::now();
    let mut source = FleetState::new();
    source.apply_listing(vec![item("a", Some("u:ready"), 3)], 4, &TextDecoder, received_at(now));
    apply_change(&mut source, item("a", None, 6), now);
    apply_change(&mut source, item("b", Some("u:ready"), 7), now);
    source.advance(7);
    let (items, is_snapshot) = source.items_after(4, now);
    assert!(!is_snapshot);
    let mut keys: Vec<_> =
        items.iter().map(|item| (item.key.as_str(), item.value.is_some())).collect();
    keys.sort_unstable();
    assert_eq!(keys, [("a", false), ("b", true)]);
    let (items, is_snapshot) = source.items_after(2, now);
    assert!(is_snapshot, "there are no tombstones from before the listing");
    assert_eq!(items.len(), 1);
}

#[test]
fn version_is_required_only_after_the_bound() {
    let start = Instant::now();
    let bound = Duration::from_secs(7);
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut fleet = FleetState::new();
    fleet.apply(item("w", Some("w:1"), 1), ItemSource::Listing, &TextDecoder, received_at(start));
    apply_change(&mut fleet, item("w", Some("w:2"), 2), start);
    apply_change(&mut fleet, item("w", Some("w:3"), 3), start + Duration::from_secs(2));
    let view = fleet.view();
    let state = &view.weights["m"];
    assert_eq!(state.declared(), Some(3));
    // Versions that may still be used 6, 8 and 9 s after the start.
    let allowed = |seconds| {
        let limits = WeightsLimits::new(state, bound);
        [1, 2, 3].into_iter().find(|version| {
            limits.time_left(*version, after(seconds)).is_none_or(|left| !left.is_zero())
        })
    };
    assert_eq!((allowed(6), allowed(8), allowed(9)), (Some(1), Some(2), Some(3)));
    let earlier: Vec<_> = state.earlier(4).collect();
    assert_eq!(earlier, [(2, start)], "version 1 was declared before it could be observed");
    let undated = WeightsState::new(vec![(4, None)]);
    assert_eq!(undated.time_left(3, start, bound), Some(Duration::ZERO));
}

/// Guards against a time limit that ends late because it starts when a declaration is observed instead of when it was
/// made: a watch that begins after a pause returns changes from the whole pause.
#[test]
fn declaration_is_dated_no_later_than_it_can_have_been_made() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut timer = WatchTimer::new(start);
    timer.record_request(at(950));
    timer.record_listing(at(1_000));
    timer.record_request(at(2_800));
    let period = timer.record_watch(at(2_810));
    assert!(period.begin <= at(1_000), "the change may have been made during the pause");

    let mut fleet = FleetState::new();
    fleet.apply(item("w", Some("w:2"), 2), ItemSource::Change, &TextDecoder, period);
    let declared_at = |fleet: &FleetState| fleet.view().weights["m"].declared_at();
    assert_eq!(declared_at(&fleet), Some(period.begin));

    // A peer reports the age at the time at which it responds, which is after the request.
    let request = ReceivePeriod { begin: at(3_000), end: at(3_050) };
    let with_age =
        |age| RawItem { age: Some(Duration::from_millis(age)), ..item("w", Some("w:3"), 3) };
    fleet.apply(with_age(400), ItemSource::Relayed, &TextDecoder, request);
    assert_eq!(declared_at(&fleet), Some(at(2_600)));
    let (items, _) = fleet.items_after(2, at(3_100));
    assert_eq!(items[0].age, Some(Duration::from_millis(500)));
    // A peer that cannot date a change reports no age.
    fleet.apply(item("w", Some("w:4"), 4), ItemSource::Relayed, &TextDecoder, request);
    assert_eq!(declared_at(&fleet), None);
}

/// Guards against a date that lies long before the declaration, so that engines with the older version go unused, and
/// against one that lies after it, because the process was paused while the response to its watch had arrived.
#[test]
fn watch_dates_its_changes_by_the_last_time_it_was_waiting() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut timer = WatchTimer::new(start);
    timer.record_request(at(0));
    (1..=20).for_each(|check| timer.record_waiting(at(check * 100)));
    let period = timer.record_watch(at(2_050));
    assert!(period.begin < at(1_950), "the response takes time to arrive");
    assert!(period.length() <= Duration::from_millis(400));

    timer.record_request(at(3_000));
    (1..=5).for_each(|check| timer.record_waiting(at(3_000 + check * 100)));
    // Paused from 3.5 to 8 s. The first check afterwards may come before the response is read.
    timer.record_waiting(at(8_000));
    let period = timer.record_watch(at(8_001));
    assert!(period.begin <= at(3_500), "the change may have been made during the pause");
}

/// Guards against a date that lies after the declaration: a watch that begins after a pause is answered at once, with
/// changes from the pause, but a large configuration among them takes longer to arrive than the interval between checks.
/// Requests then began on weights whose time limit had passed.
#[test]
fn response_that_arrives_slowly_does_not_prove_that_its_watch_was_waiting() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut timer = WatchTimer::new(start);
    timer.record_request(at(950));
    timer.record_listing(at(1_000));
    timer.record_request(at(2_800));
    timer.record_waiting(at(2_900));
    let period = timer.record_watch(at(2_930));
    assert!(period.begin <= at(1_000), "the change may have been made during the pause");

    // The same with a body that takes half a second.
    let mut timer = WatchTimer::new(start);
    timer.record_request(at(950));
    timer.record_listing(at(1_000));
    timer.record_request(at(2_800));
    (1..=5).for_each(|check| timer.record_waiting(at(2_800 + check * 100)));
    timer.record_response_head(at(2_810));
    let period = timer.record_watch(at(3_320));
    assert!(period.begin <= at(1_000), "the change may have been made during the pause");

    // The watch was waiting until the head of the response arrived.
    timer.record_request(at(3_400));
    (1..=9).for_each(|check| timer.record_waiting(at(3_400 + check * 100)));
    timer.record_response_head(at(3_910));
    let period = timer.record_watch(at(4_320));
    assert!(period.begin <= at(3_710), "the response takes time to arrive");
    assert!(period.begin >= at(3_500), "the watch was still waiting");
}

/// Guards against dates that lie ever longer before the declaration while many changes arrive, because no watch waits long
/// enough to show when it was still waiting.
#[test]
fn watches_that_return_at_once_date_their_changes_by_the_previous_one() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut timer = WatchTimer::new(start);
    for round in 0..40 {
        timer.record_request(at(round * 250));
        let period = timer.record_watch(at(round * 250 + 10));
        assert!(period.length() <= Duration::from_millis(260), "{:?}", period.length());
    }
}

/// Guards against an outage of the store after which a declaration seems to have been made long ago, so that all engines
/// with the older version go unused at once. Time limits count while the store is available.
#[test]
fn declaration_during_an_outage_of_the_store_counts_from_its_end() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut timer = WatchTimer::new(start);
    for requested in [2, 5, 8] {
        timer.record_request(at(requested));
        timer.record_failure();
    }
    timer.record_request(at(9));
    let period = timer.record_watch(at(9));
    assert_eq!(
        period.begin,
        at(8),
        "the store was unavailable after the last failed request began"
    );
}

/// Guards against a time limit that ends late because the host was suspended: the monotonic clock stands still
/// meanwhile.
#[test]
fn declaration_gets_older_while_the_host_is_suspended() {
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let suspension = Duration::from_secs(3);
    let mut fleet = FleetState::new();
    fleet.record_suspended(Duration::from_secs(1));
    apply_change(&mut fleet, item("w", Some("w:2"), 2), now);
    assert_eq!(fleet.record_suspended(Duration::from_secs(1) + suspension), suspension);
    assert_eq!(fleet.record_suspended(Duration::from_secs(1) + suspension), Duration::ZERO);
    assert_eq!(fleet.view().weights["m"].declared_at(), Some(now - suspension));

    let mut timer = WatchTimer::new(start);
    timer.record_request(now);
    timer.record_waiting(now + Duration::from_millis(100));
    timer.record_suspension(suspension);
    let period = timer.record_watch(now + Duration::from_millis(150));
    assert!(period.begin <= now - suspension, "the change may have been made meanwhile");
}

/// Guards against the use of a version whose successor was declared unseen: an entry that starts reads only the newest
/// declaration from the store, and its date says nothing about the limit of the version before the previous one.
#[test]
fn version_before_an_unseen_declaration_is_not_used() {
    let now = Instant::now() + Duration::from_secs(10);
    let bound = Duration::from_secs(8);
    let mut fleet = FleetState::new();
    fleet.apply(item("w", Some("w:3"), 3), ItemSource::Listing, &TextDecoder, received_at(now));
    assert!(fleet.improve_date(&"m".into(), 3, received_at(now), Duration::from_secs(2)));
    let time_left =
        |fleet: &FleetState, version| fleet.view().weights["m"].time_left(version, now, bound);
    assert_eq!(time_left(&fleet, 2), Some(Duration::from_secs(6)));
    assert_eq!(time_left(&fleet, 1), Some(Duration::ZERO));

    // A process that followed the store until 3 s ago has missed no declaration before that.
    let mut fleet = FleetState::new();
    fleet.set_unseen_since(
        now.checked_sub(Duration::from_secs(3)).expect("the clock is old enough"),
    );
    fleet.apply(item("w", Some("w:3"), 3), ItemSource::Relayed, &TextDecoder, received_at(now));
    assert_eq!(time_left(&fleet, 2), Some(Duration::from_secs(5)));
    assert_eq!(time_left(&fleet, 1), Some(Duration::from_secs(5)));

    // An observed declaration may skip version numbers.
    apply_change(&mut fleet, item("w", Some("w:7"), 7), now);
    assert_eq!(time_left(&fleet, 3), Some(bound));
    assert_eq!(time_left(&fleet, 7), None);
}

/// Guards against an entry that starts during a rollout, cannot date the declaration, and leaves all engines with the
/// older version unused although the other entries know the date.
#[test]
fn date_of_a_declaration_is_improved_by_a_peer() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let mut fleet = FleetState::new();
    fleet.apply(item("w", Some("w:2"), 2), ItemSource::Listing, &TextDecoder, received_at(now));
    let (limit, model) = (Duration::from_millis(400), "m".into());
    assert_eq!(fleet.poorly_dated(limit, start), [("m".into(), 2)]);
    assert!(fleet.poorly_dated(limit, now).is_empty(), "the rollout is over");

    let period = ReceivePeriod { begin: now, end: now + Duration::from_millis(20) };
    assert!(fleet.improve_date(&model, 2, period, Duration::from_secs(3)));
    assert_eq!(fleet.view().weights["m"].declared_at(), Some(start + Duration::from_secs(2)));
    assert!(fleet.poorly_dated(limit, start).is_empty());
    assert!(
        !fleet.improve_date(&model, 2, period, Duration::from_secs(4)),
        "an earlier date is worse"
    );
    assert!(!fleet.improve_date(&model, 3, period, Duration::ZERO), "the version is not known");
}

proptest! {
    /// The newest revision of each key wins, even if items arrive out of order or repeatedly, or are lost.
    #[test]
    fn order_of_arrival_does_not_matter(
        arrivals in prop::collection::vec((0_usize..4, 1_u64..40, any::<bool>()), 1..80)
    ) {
        let now = Instant::now();
        let mut fleet = FleetState::new();
        let mut newest = [(0_u64, false); 4];
        for (key, revision, is_present) in arrivals {
            // Each revision belongs to exactly one change, so the content is derived from the revision.
            let is_present = is_present && revision % 2 == 0;
            if revision % 2 == 1 || is_present {
                let value = is_present.then_some("u:ready");
                apply_change(&mut fleet, item(&key.to_string(), value, revision), now);
                if revision > newest[key].0 {
                    newest[key] = (revision, is_present);
                }
            }
        }
        let view = fleet.view();
        for (key, (_, is_present)) in newest.iter().enumerate() {
            prop_assert_eq!(view.upstream(&key.to_string()).is_some(), *is_present);
        }
    }
}

/// Decodes "c:VERSION" as a configuration and anything else as an error.
struct ConfigDecoder;

impl DecodeItem for ConfigDecoder {
    fn decode(&self, _: &str, value: &Bytes) -> Result<ItemValue, ItemError> {
        let text = std::str::from_utf8(value).map_err(|_| ItemError::new("value is not UTF-8"))?;
        let version = text.strip_prefix("c:").and_then(|version| version.parse().ok());
        Ok(ItemValue::Routing(Arc::new(RoutingConfig {
            version: version.ok_or_else(|| ItemError::new("unknown"))?,
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

/// Guards against a configuration with a syntax error that removes all routes.
#[test]
fn invalid_configuration_keeps_the_previous_one_in_force() {
    let mut fleet = FleetState::new();
    let now = Instant::now();
    let mut apply = |revision, value: Option<&'static str>| {
        let value = value.map(|text| Bytes::from_static(text.as_bytes()));
        let item = RawItem { key: "config".into(), value, revision, age: None };
        fleet.apply(item, ItemSource::Change, &ConfigDecoder, received_at(now));
        fleet.view().config().map(|config| config.version)
    };
    assert_eq!(apply(1, Some("c:7")), Some(7));
    assert_eq!(apply(2, Some("broken")), Some(7));
    assert_eq!(apply(3, Some("c:8")), Some(8));
    assert_eq!(apply(4, None), None, "a removed configuration is no longer in force");
}

/// Items that cannot be decoded, listed at `as_of`; their values have `size` bytes.
fn list_unreadable(state: &mut FleetState, as_of: u64, size: usize) -> usize {
    let value = "x".repeat(size);
    let listed = (1..=24).map(|number| item(&format!("i-{number}"), Some(&value), as_of));
    let period = received_at(Instant::now());
    let changes = state.apply_listing(listed.collect(), as_of, &TextDecoder, period);
    changes.iter().filter(|change| change.error.is_some()).count()
}

#[test]
fn known_error_is_reported_at_each_listing() {
    let mut state = FleetState::new();
    assert_eq!(list_unreadable(&mut state, 24, 8), 24);
    assert_eq!(list_unreadable(&mut state, 48, 8), 0);
}

/// Guards against a state that is too large to be passed on to other entries, because of values that no process uses.
#[test]
fn unreadable_values_fill_transfers_to_other_entries() {
    let mut state = FleetState::new();
    list_unreadable(&mut state, 24, 1 << 20);
    let (items, _) = state.items_after(0, Instant::now());
    assert_eq!(items.len(), 24);
    let bytes: usize = items.iter().filter_map(|item| item.value.as_ref().map(Bytes::len)).sum();
    assert!(bytes < 1 << 20, "{bytes} bytes");
}
