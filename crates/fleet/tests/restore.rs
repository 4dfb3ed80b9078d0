//! A store that comes back from a copy: what this process knows of the lost changes must not be undone, and what is
//! written again must take effect although it gets revisions that were given out before.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use fleet::{
    ANNOUNCEMENT_WAIT, ClientLimits, ConfigStamp, DecodeItem, FleetState, ItemError, ItemSource,
    ItemValue, RawItem, ReceivePeriod, RoutingConfig, UpstreamRecord, era_and_number, revision_in,
};

/// Decodes "u:STATE:BORN" as an upstream, "c:VERSION" as a configuration, "w:VERSION" as a declaration and "e" as an
/// evacuation of the data centre that the key names.
struct TextDecoder;

impl DecodeItem for TextDecoder {
    fn decode(&self, key: &str, value: &Bytes) -> Result<ItemValue, ItemError> {
        let text = std::str::from_utf8(value).map_err(|_| ItemError::new("not UTF-8"))?;
        let parts: Vec<&str> = text.split(':').collect();
        let number = |text: &str| text.parse().map_err(|_| ItemError::new("not a number"));
        match parts[..] {
            ["u", state, born] => Ok(ItemValue::Upstream(Arc::new(UpstreamRecord {
                upstream: key.into(),
                service: "chat".into(),
                address: SocketAddr::from(([127, 0, 0, key.as_bytes()[0]], 80)),
                data_centre: "north".into(),
                slots: 4,
                draining: state == "draining",
                cold_for: Duration::ZERO,
                weights: Vec::new(),
                started_ms: number(born)?,
            }))),
            ["c", version] => Ok(ItemValue::Routing(Arc::new(RoutingConfig {
                version: number(version)?,
                routes: Vec::new(),
                services: Vec::new(),
                limits: ClientLimits {
                    max_header_bytes: 1,
                    max_body_bytes: 1,
                    header_timeout: Duration::ZERO,
                    idle_timeout: Duration::ZERO,
                },
                teams: None,
            }))),
            ["w", version] => {
                Ok(ItemValue::Declared { model: "m".into(), version: number(version)? })
            }
            ["e"] => Ok(ItemValue::Evacuated(key.into())),
            _ => Err(ItemError::new("unknown")),
        }
    }
}

/// Fleet state at a time that the test moves on.
struct RestoreFixture {
    fleet: FleetState,
    now: Instant,
}

impl RestoreFixture {
    /// State after the given items were listed, the last one at revision 10.
    fn new(items: &[(&str, &str)]) -> Self {
        let mut fixture = Self { fleet: FleetState::new(), now: Instant::now() };
        fixture.list(0, 10, items);
        fixture
    }

    fn list(&mut self, era: u64, as_of: u64, items: &[(&str, &str)]) {
        let items = items.iter().map(|(key, value)| raw(era, key, Some(value), as_of)).collect();
        let period = ReceivePeriod { begin: self.now, end: self.now };
        let as_of = revision_in(era, as_of).expect("the number is small");
        self.fleet.apply_listing(items, as_of, &TextDecoder, period);
    }

    fn change(&mut self, era: u64, revision: u64, key: &str, value: Option<&str>) {
        let period = ReceivePeriod { begin: self.now, end: self.now };
        let item = raw(era, key, value, revision);
        self.fleet.advance(item.revision);
        self.fleet.apply(item, ItemSource::Change, &TextDecoder, period);
    }

    fn wait(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.fleet.remove_expired(self.now);
    }

    fn has_upstream(&self, key: &str) -> bool {
        self.fleet.view().upstream(key).is_some_and(|record| !record.draining)
    }

    fn config_version(&self) -> Option<u64> {
        self.fleet.view().config().map(|config| config.version)
    }

    fn declared(&self) -> Option<u64> {
        self.fleet.view().weights.get("m").and_then(|state| state.declared())
    }

    fn is_evacuated(&self, data_centre: &str) -> bool {
        self.fleet.view().evacuated.contains(data_centre)
    }
}

fn raw(era: u64, key: &str, value: Option<&str>, number: u64) -> RawItem {
    let revision = revision_in(era, number).expect("the number is small");
    let value = value.map(|text| Bytes::from(text.to_owned()));
    RawItem { key: key.into(), value, revision, age: None }
}

#[test]
fn revisions_are_ordered_by_era_first() {
    let before = revision_in(0, 900).expect("the number is small");
    let after = revision_in(1, 3).expect("the number is small");
    assert!(before < after);
    assert_eq!(era_and_number(after), (1, 3));
    assert_eq!(revision_in(0, u64::MAX), None);
    assert_eq!(revision_in(u64::MAX, 1), None);
}

/// Guards against a process that ignores the listing of a restored store because its revision is lower, and from then
/// on all changes up to the revision that it had known.
#[test]
fn changes_with_reused_revisions_take_effect() {
    let mut fixture = RestoreFixture::new(&[("op/config", "c:3"), ("a", "u:ready:1")]);
    fixture.change(0, 11, "op/config", Some("c:4"));
    fixture.change(0, 12, "b", Some("u:ready:2"));
    fixture.list(1, 10, &[("op/config", "c:3"), ("a", "u:ready:1")]);
    assert_eq!(fixture.fleet.as_of().map(era_and_number), Some((1, 10)));
    fixture.change(1, 11, "op/config", Some("c:5"));
    fixture.change(1, 12, "c", Some("u:ready:3"));
    assert_eq!(fixture.config_version(), Some(5));
    assert!(fixture.has_upstream("c"));
}

/// Guards against a configuration or a version of the weights that goes back to the one in the copy, also when what
/// was lost is written again step by step.
#[test]
fn configuration_and_weights_do_not_go_back() {
    let mut fixture = RestoreFixture::new(&[("op/config", "c:3"), ("op/version/m", "w:1")]);
    fixture.change(0, 11, "op/config", Some("c:4"));
    fixture.change(0, 12, "op/config", Some("c:6"));
    fixture.change(0, 13, "op/version/m", Some("w:2"));
    for copy in [&[("op/config", "c:3"), ("op/version/m", "w:1")][..], &[]] {
        let era = fixture.fleet.as_of().map_or(0, |as_of| era_and_number(as_of).0) + 1;
        fixture.list(era, 10, copy);
        assert_eq!((fixture.config_version(), fixture.declared()), (Some(6), Some(2)));
        fixture.change(era, 11, "op/config", Some("c:4"));
        assert_eq!(fixture.config_version(), Some(6));
        fixture.change(era, 12, "op/config", Some("c:6"));
        fixture.change(era, 13, "op/version/m", Some("w:2"));
        assert_eq!((fixture.config_version(), fixture.declared()), (Some(6), Some(2)));
    }
    fixture.change(2, 14, "op/config", Some("c:7"));
    assert_eq!(fixture.config_version(), Some(7));
}

/// Guards against dropping upstreams that registered after the copy was made, and against keeping those that do not
/// register again.
#[test]
fn upstreams_that_are_missing_in_the_copy_may_register_again() {
    let mut fixture = RestoreFixture::new(&[("a", "u:ready:1")]);
    fixture.change(0, 11, "b", Some("u:ready:2"));
    fixture.change(0, 12, "c", Some("u:ready:3"));
    fixture.change(0, 13, "d", Some("u:draining:4"));
    fixture.list(1, 10, &[("a", "u:ready:1")]);
    assert!(fixture.has_upstream("a") && fixture.has_upstream("b") && fixture.has_upstream("c"));
    assert!(fixture.fleet.view().upstream("d").is_none(), "it was about to stop");
    fixture.wait(1_500);
    fixture.change(1, 11, "b", Some("u:ready:2"));
    fixture.wait(1_000);
    assert!(fixture.has_upstream("b"));
    assert!(!fixture.has_upstream("c"), "it has not registered again");
}

/// Guards against using upstreams again that the copy contains, although they are known to stop or to have ended since.
#[test]
fn upstreams_that_stopped_after_the_copy_are_not_used_again() {
    let copy = [("a", "u:ready:1"), ("b", "u:ready:1"), ("c", "u:ready:1")];
    let mut fixture = RestoreFixture::new(&copy);
    fixture.change(0, 11, "a", Some("u:draining:1"));
    fixture.change(0, 12, "b", None);
    fixture.change(0, 13, "c", Some("u:ready:5"));
    fixture.list(1, 10, &copy);
    assert!(!fixture.has_upstream("a") && !fixture.has_upstream("b"));
    let started = fixture.fleet.view().upstream("c").map(|record| record.started_ms);
    assert_eq!(started, Some(5), "the later process is the one that runs");

    fixture.change(1, 11, "b", Some("u:ready:1"));
    assert!(fixture.has_upstream("b"), "it has registered again, so it runs");
    fixture.change(1, 12, "a", Some("u:draining:1"));
    fixture.change(1, 13, "c", Some("u:ready:5"));
    fixture.wait(10_000);
    assert!(!fixture.has_upstream("a") && fixture.has_upstream("c"));
}

/// Guards against an upstream that stays unused for ever because it had registered again before the listing.
#[test]
fn upstream_that_is_still_listed_after_a_while_is_used() {
    let mut fixture = RestoreFixture::new(&[("a", "u:ready:1")]);
    fixture.change(0, 11, "a", None);
    fixture.list(1, 11, &[("a", "u:ready:1")]);
    assert!(!fixture.has_upstream("a"));
    fixture.wait(4_000);
    assert!(fixture.has_upstream("a"));
}

/// Guards against sending requests to an evacuated data centre until the operators repeat the evacuation, and against
/// emptying one again that they had taken back.
#[test]
fn evacuations_stay_as_they_are_until_they_are_written_again() {
    let mut fixture = RestoreFixture::new(&[("north", "e")]);
    fixture.change(0, 11, "south", Some("e"));
    fixture.change(0, 12, "north", None);
    fixture.list(1, 10, &[("north", "e")]);
    assert!(fixture.is_evacuated("south") && !fixture.is_evacuated("north"));
    fixture.wait(2_000);
    fixture.change(1, 11, "south", Some("e"));
    fixture.change(1, 12, "north", None);
    fixture.wait(20_000);
    assert!(fixture.is_evacuated("south") && !fixture.is_evacuated("north"));
}

/// Guards against a process that was cut off during the restore and gets only the changes of the new era from a peer,
/// because the revisions look as if it knew all before them.
#[test]
fn peer_of_an_earlier_era_gets_a_complete_snapshot() {
    let mut ahead = RestoreFixture::new(&[("a", "u:ready:1")]);
    let mut behind = RestoreFixture::new(&[("a", "u:ready:1")]);
    behind.change(0, 11, "b", Some("u:ready:2"));
    ahead.list(1, 10, &[("a", "u:ready:1")]);
    ahead.change(1, 11, "c", Some("u:ready:3"));
    let after = behind.fleet.as_of().expect("it was listed");
    let (items, is_snapshot) = ahead.fleet.items_after(after, ahead.now);
    assert!(is_snapshot);
    let period = ReceivePeriod { begin: behind.now, end: behind.now };
    let as_of = ahead.fleet.as_of().expect("it was listed");
    behind.fleet.apply_listing(items, as_of, &TextDecoder, period);
    assert!(behind.has_upstream("a") && behind.has_upstream("b") && behind.has_upstream("c"));
    assert_eq!(behind.fleet.as_of(), ahead.fleet.as_of());
    behind.wait(2_500);
    assert!(!behind.has_upstream("b"), "it has not registered again");
}

/// Stamp of a configuration that another process received with this revision.
fn stamp(version: u64, era: u64, number: u64) -> ConfigStamp {
    ConfigStamp { version, revision: revision_in(era, number).expect("the number is small") }
}

static PEER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_700);

/// Guards against a process that starts after a restore and serves by the older configuration of the copy, and against
/// one that returns to it after it fetched the newer one.
#[test]
fn lost_configuration_is_fetched_and_kept() {
    for copy in [&[("op/config", "c:3")][..], &[]] {
        let mut fixture = RestoreFixture { fleet: FleetState::new(), now: Instant::now() };
        fixture.list(1, 10, copy);
        assert!(fixture.fleet.record_announcement(stamp(6, 0, 12), PEER));
        assert!(fixture.fleet.view().is_config_behind());
        assert_eq!(fixture.fleet.config_source(), Some(PEER));
        let adopted =
            fixture.fleet.adopt_config(raw(0, "op/config", Some("c:6"), 12), &TextDecoder);
        assert!(adopted.is_ok_and(|is_new| is_new));
        assert!(!fixture.fleet.view().is_config_behind());
        fixture.list(2, 10, copy);
        fixture.change(2, 11, "op/config", Some("c:5"));
        assert_eq!(fixture.config_version(), Some(6));
        fixture.change(2, 12, "op/config", Some("c:7"));
        assert_eq!(fixture.config_version(), Some(7));
    }
}

/// Guards against refusals where nothing was lost: a change that is under way, an operator who goes back to a lower
/// version, and a configuration that operators have written again.
#[test]
fn configuration_that_the_store_still_delivers_is_not_missing() {
    let mut fixture = RestoreFixture::new(&[("op/config", "c:3")]);
    assert!(!fixture.fleet.record_announcement(stamp(4, 0, 11), PEER), "it is under way");
    fixture.change(0, 11, "op/config", Some("c:4"));
    fixture.change(0, 12, "op/config", Some("c:3"));
    assert!(!fixture.fleet.record_announcement(stamp(4, 0, 11), PEER), "it was taken back");
    let mut restarted = RestoreFixture { fleet: FleetState::new(), now: Instant::now() };
    restarted.list(1, 10, &[("op/config", "c:3")]);
    assert!(restarted.fleet.record_announcement(stamp(4, 0, 11), PEER));
    restarted.change(1, 11, "op/config", Some("c:4"));
    assert!(!restarted.fleet.view().is_config_behind(), "it was written again");
}

/// Guards against a newer configuration that a process overlooks because the one that announces it got it from another
/// process, under the revision that the older configuration has in the store.
#[test]
fn configuration_kept_under_the_revision_of_the_copy_is_missing() {
    let mut fixture = RestoreFixture { fleet: FleetState::new(), now: Instant::now() };
    fixture.list(1, 10, &[("op/config", "c:3")]);
    assert!(fixture.fleet.record_announcement(stamp(6, 1, 10), PEER));
}

/// Guards against a process that uses the configuration of a restored store before others could announce a newer one,
/// and against a delay where the store was never restored, or is restored after the process has listed it.
#[test]
fn process_that_starts_after_a_restore_listens_first() {
    for (eras, is_behind) in [(&[0][..], false), (&[1][..], true), (&[0, 1][..], false)] {
        let mut fixture = RestoreFixture { fleet: FleetState::new(), now: Instant::now() };
        fixture.fleet.listen_until(fixture.now + ANNOUNCEMENT_WAIT);
        eras.iter().for_each(|era| fixture.list(*era, 10, &[("op/config", "c:3")]));
        assert_eq!(fixture.fleet.view().is_config_behind(), is_behind);
        fixture.now += ANNOUNCEMENT_WAIT;
        assert_eq!(fixture.fleet.remove_expired(fixture.now), is_behind);
        assert!(!fixture.fleet.view().is_config_behind());
    }
}
