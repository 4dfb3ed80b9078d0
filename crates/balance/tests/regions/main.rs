//! Draws sequences of configuration changes, restarts, restores of the store and steps of a request, and checks that
//! neither an attempt nor an answer about entries leaves the allowed regions, and that no attempt is refused while an
//! upstream is allowed.

mod draw;

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use balance::{LoadBalancer, LoadBalancerOptions, Placement, PlacementRequest};
use base::{ServiceId, UpstreamId};
use bytes::Bytes;
use fleet::{
    ANNOUNCEMENT_WAIT, ConfigStamp, DecodeItem, FleetState, FleetView, ItemError, ItemSource,
    ItemValue, RawItem, ReceivePeriod, RegionPolicy, RouteMatch, UpstreamRecord, revision_in,
};
use member::{CallerLocation, EntryMember, EntryMembership};
use proptest::{collection::vec, prelude::*};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::draw::{
    ConfigDraw, DATA_CENTRES, HOST, KEYS, PATHS, REGIONS, Restriction, Step, config, is_in,
    region_of, region_table, step,
};

static DESK: ServiceId = ServiceId::const_new("desk");

/// Decodes the index of a drawn configuration.
struct IndexDecoder<'a> {
    configs: &'a [ConfigDraw],
    upstreams: &'a [(usize, bool)],
}

impl DecodeItem for IndexDecoder<'_> {
    fn decode(&self, key: &str, value: &Bytes) -> Result<ItemValue, ItemError> {
        let index: usize = String::from_utf8_lossy(value)
            .parse()
            .map_err(|_| ItemError::new("value is not a number"))?;
        Ok(match key {
            "config" => ItemValue::Routing(Arc::new(self.configs[index].record(index as u64 + 1))),
            _ if key.starts_with("i-") => {
                let (data_centre, draining) = self.upstreams[index];
                ItemValue::Upstream(Arc::new(UpstreamRecord {
                    upstream: key.into(),
                    service: DESK.clone(),
                    address: SocketAddr::from(([10, 0, 0, index as u8], 80)),
                    data_centre: DATA_CENTRES[data_centre].into(),
                    slots: 100,
                    draining,
                    cold_for: Duration::ZERO,
                    weights: Vec::new(),
                    started_ms: 1,
                }))
            }
            _ => ItemValue::Evacuated(key.into()),
        })
    }
}

/// A request in progress: what a process keeps of it, and the configurations that restrict it.
struct OpenRequest {
    path: &'static str,
    key: usize,
    policy: RegionPolicy,
    tried: Vec<UpstreamId>,
    binding: Vec<usize>,
}

struct RegionFixture<'a> {
    decoder: IndexDecoder<'a>,
    entries: &'a [usize],
    now: Instant,
    rng: ChaCha8Rng,
    fleet: FleetState,
    view: FleetView,
    balancer: LoadBalancer,
    request: Option<OpenRequest>,
    /// Era and last revision of the store, its configuration, and the evacuated data centres.
    era: u64,
    revision: u64,
    stored: Option<usize>,
    evacuated: BTreeSet<&'static str>,
    /// Configuration that the process must apply, and the era in which it received it.
    in_force: Option<(usize, u64)>,
    /// Newest configuration ever written, which another entry has kept, and the era and revision of its last write.
    newest: Option<(usize, u64, u64)>,
    /// Newest configuration that the process knows to exist, and its era.
    announced: Option<(usize, u64)>,
    /// Era of the last listing of the process.
    listed_era: Option<u64>,
    is_listening: bool,
}

static PEER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

impl<'a> RegionFixture<'a> {
    fn new(
        configs: &'a [ConfigDraw],
        upstreams: &'a [(usize, bool)],
        entries: &'a [usize],
    ) -> Self {
        let mut fixture = Self {
            decoder: IndexDecoder { configs, upstreams },
            entries,
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(1),
            fleet: FleetState::new(),
            view: FleetView::default(),
            balancer: new_balancer(),
            request: None,
            era: 0,
            revision: 1,
            stored: None,
            evacuated: BTreeSet::new(),
            in_force: None,
            newest: None,
            announced: None,
            listed_era: None,
            is_listening: false,
        };
        fixture.list();
        fixture
    }

    fn period(&self) -> ReceivePeriod {
        ReceivePeriod { begin: self.now, end: self.now }
    }

    fn raw(&self, key: &str, value: Option<usize>) -> RawItem {
        RawItem {
            key: key.into(),
            value: value.map(|value| Bytes::from(value.to_string())),
            revision: revision_in(self.era, self.revision).expect("the number is small"),
            age: None,
        }
    }

    fn receive(&mut self, item: RawItem) {
        let period = self.period();
        self.fleet.apply(item, ItemSource::Change, &self.decoder, period);
        self.publish();
    }

    fn list(&mut self) {
        let mut items: Vec<RawItem> = (0..self.decoder.upstreams.len())
            .map(|index| self.raw(&format!("i-{index}"), Some(index)))
            .collect();
        items.extend(self.stored.map(|config| self.raw("config", Some(config))));
        items.extend(self.evacuated.iter().map(|centre| self.raw(centre, Some(0))));
        let as_of = revision_in(self.era, self.revision).expect("the number is small");
        let period = self.period();
        self.fleet.apply_listing(items, as_of, &self.decoder, period);
        self.listed_era = Some(self.era);
        self.is_listening &= self.era > 0;
        self.take_effect(self.stored);
        self.publish();
    }

    /// True if the process may not know the restrictions of a request: the store has been restored, and another entry
    /// has kept a newer configuration, or may still announce one.
    fn is_behind(&self) -> bool {
        let Some(listed_era) = self.listed_era else { return false };
        let is_newer = |index: usize| self.in_force.is_none_or(|(known, _)| known < index);
        let is_lost = |(index, era): (usize, u64)| era < listed_era && is_newer(index);
        self.announced.is_some_and(is_lost) || self.is_listening
    }

    fn announce(&mut self) {
        let Some((index, era, revision)) = self.newest else { return };
        let revision = revision_in(era, revision).expect("the number is small");
        let stamp = ConfigStamp { version: index as u64 + 1, revision };
        self.announced = Some((index, era));
        self.fleet.record_announcement(stamp, PEER);
        self.publish();
    }

    fn fetch(&mut self) -> Result<(), TestCaseError> {
        let Some((index, era, revision)) = self.newest else { return Ok(()) };
        if self.fleet.config_source().is_none() {
            return Ok(());
        }
        let revision = revision_in(era, revision).expect("the number is small");
        let item = RawItem { revision, ..self.raw("config", Some(index)) };
        let adopted = self.fleet.adopt_config(item, &self.decoder);
        prop_assert!(matches!(adopted, Ok(true)), "{:?}", adopted);
        self.in_force = Some((index, era));
        self.publish();
        Ok(())
    }

    /// Determines which configuration is in force once the stored one has been received: a store that has been restored
    /// from a copy does not undo a change.
    fn take_effect(&mut self, received: Option<usize>) {
        let Some(received) = received else { return };
        match self.in_force {
            Some((known, era)) if era < self.era && received < known => {}
            _ => self.in_force = Some((received, self.era)),
        }
    }

    fn publish(&mut self) {
        self.view = self.fleet.view();
        self.balancer.set_view(&self.view, self.now);
    }

    fn config(&self) -> Option<&'a ConfigDraw> {
        self.in_force.map(|(index, _)| &self.decoder.configs[index])
    }

    fn run(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Change => {
                let next = self.stored.map_or(0, |stored| stored + 1);
                if next < self.decoder.configs.len() {
                    self.stored = Some(next);
                    self.revision += 1;
                    if self.newest.is_none_or(|(newest, ..)| newest <= next) {
                        self.newest = Some((next, self.era, self.revision));
                    }
                    self.take_effect(Some(next));
                    self.receive(self.raw("config", Some(next)));
                }
            }
            Step::Repeat(index) => {
                if let Some(stored) = self.stored {
                    let older = index.index(stored + 1);
                    let item = RawItem { revision: 1, ..self.raw("config", Some(older)) };
                    self.in_force.get_or_insert((older, 0));
                    self.receive(item);
                }
            }
            Step::Restore(index) => {
                if let Some(stored) = self.stored {
                    self.era += 1;
                    self.stored = Some(index.index(stored + 1));
                    self.list();
                }
            }
            Step::Restart => {
                (self.fleet, self.balancer) = (FleetState::new(), new_balancer());
                (self.request, self.in_force) = (None, None);
                (self.announced, self.listed_era, self.is_listening) = (None, None, true);
                self.fleet.listen_until(self.now + ANNOUNCEMENT_WAIT);
                self.publish();
            }
            Step::Wait => {
                self.now += ANNOUNCEMENT_WAIT;
                self.is_listening = false;
                self.fleet.remove_expired(self.now);
                self.publish();
            }
            Step::Announce => self.announce(),
            Step::Fetch => self.fetch()?,
            Step::List => self.list(),
            Step::Evacuate(centre, on) => {
                let centre = DATA_CENTRES[centre.index(DATA_CENTRES.len())];
                let is_change =
                    if *on { self.evacuated.insert(centre) } else { self.evacuated.remove(centre) };
                if is_change {
                    self.revision += 1;
                    self.receive(self.raw(centre, on.then_some(0)));
                }
            }
            Step::Admit(path, key) => self.admit(path.index(3), key.index(3))?,
            Step::Attempt { is_resumed } => {
                if let Some(upstream) = self.place(*is_resumed)?
                    && let Some(request) = &mut self.request
                {
                    request.tried.push(upstream);
                }
            }
            Step::CheckAlternative => {
                self.place(false)?;
            }
            Step::Resolve(centre) => self.resolve(DATA_CENTRES[centre.index(4)])?,
        }
        Ok(())
    }

    fn admit(&mut self, path: usize, key: usize) -> Result<(), TestCaseError> {
        let path = PATHS[path];
        self.request = None;
        if self.view.is_config_behind() {
            return Ok(());
        }
        match self.view.route(HOST, path) {
            RouteMatch::Found(route) => {
                let team = self.view.team(KEYS[key]);
                if team.is_none() && !route.public {
                    return Ok(());
                }
                let admitted = self.in_force.map(|(index, _)| index);
                let Some(admitted) = admitted else {
                    return Err(TestCaseError::fail("a request is admitted without configuration"));
                };
                let policy = RegionPolicy::new(Some(&route), team.map(|team| &**team));
                let tried = Vec::new();
                self.request =
                    Some(OpenRequest { path, key, policy, tried, binding: vec![admitted] });
            }
            RouteMatch::Unknown => {
                let route = self.config().and_then(|config| config.route(path));
                prop_assert_eq!(route, None);
            }
            RouteMatch::NoConfig => prop_assert!(self.in_force.is_none()),
        }
        Ok(())
    }

    /// Places the open request, and checks the upstream against the configuration by which the request was admitted and
    /// those in force at each attempt.
    fn place(&mut self, is_resumed: bool) -> Result<Option<UpstreamId>, TestCaseError> {
        let is_behind = self.is_behind();
        let Some(request) = &mut self.request else { return Ok(None) };
        let key = KEYS[request.key];
        let current = self.view.region_policy(HOST, request.path, Some(key));
        if !is_behind {
            request.policy.intersect(&current);
        }
        let regions = if is_behind { &current } else { &request.policy };
        let placement_request = PlacementRequest {
            service: &DESK,
            prompt_tokens: 0,
            regions,
            tried: &request.tried,
            weights: None,
            time_to_target: Some(Duration::from_secs(10)),
            delay_limit: None,
            time_to_deadline: None,
            is_resumed,
            is_last_attempt: false,
        };
        let placement = self.balancer.choose(&placement_request, self.now, &mut self.rng);
        request.binding.extend(self.in_force.map(|(index, _)| index));
        let is_usable = |record: &UpstreamRecord| {
            let region = region_of(&record.data_centre);
            !record.draining
                && !self.evacuated.contains(&*record.data_centre)
                && !request.tried.contains(&record.upstream)
                && request.binding.iter().all(|index| {
                    let config = &self.decoder.configs[*index];
                    config.permits(request.path, request.key, region.as_deref())
                })
        };
        match placement {
            Placement::Upstream { record, .. } => {
                prop_assert!(!is_behind, "sent although restrictions may not be known");
                prop_assert!(is_usable(&record), "sent to {:?}", record);
                Ok(Some(record.upstream.clone()))
            }
            Placement::Refused(_) => {
                let is_any_usable = self.view.upstreams().any(|(record, _)| is_usable(record));
                prop_assert!(
                    is_behind || !is_any_usable,
                    "refused although an upstream is allowed"
                );
                Ok(None)
            }
        }
    }

    fn resolve(&self, data_centre: &str) -> Result<(), TestCaseError> {
        let own_region = region_of(data_centre).unwrap_or_default();
        let home_regions =
            self.view.entry_regions(HOST).unwrap_or_else(|| vec![own_region.clone()]);
        let location =
            CallerLocation { data_centre, region: &own_region, home_regions: &home_regions };
        let entries: Vec<EntryMember> =
            self.entries.iter().enumerate().map(|(index, at)| entry(index, *at)).collect();
        let mut membership = EntryMembership::new();
        for member in &entries[1..] {
            membership.record_heartbeat(member.clone(), self.now);
        }
        let mut rng = self.rng.clone();
        let table = region_table();
        let named = membership.addresses_for(&entries[0], &location, &table, self.now, &mut rng);
        let restricted: Vec<&Restriction> = self
            .config()
            .iter()
            .flat_map(|config| config.routes.iter().flatten())
            .filter(|regions| !regions.is_empty())
            .collect();
        let has_route =
            self.config().is_some_and(|config| config.routes.iter().any(Option::is_some));
        let serves_all = |region: Option<&str>| {
            has_route && restricted.iter().all(|regions| is_in(regions, region))
        };
        let serves_any =
            |region: Option<&str>| restricted.iter().any(|regions| is_in(regions, region));
        let is_conflict = !REGIONS.iter().any(|region| serves_all(Some(region)));
        let is_home = |member: &EntryMember| {
            let region = region_of(&member.data_centre);
            let is_served =
                serves_all(region.as_deref()) || is_conflict && serves_any(region.as_deref());
            region.as_ref() == Some(&own_region) || !self.is_behind() && is_served
        };
        if entries.iter().any(is_home) {
            for member in entries.iter().filter(|member| named.contains(&member.caller_address)) {
                prop_assert!(is_home(member), "{} is named", member.data_centre);
            }
        }
        prop_assert!(!named.is_empty());
        Ok(())
    }
}

fn new_balancer() -> LoadBalancer {
    LoadBalancer::new(LoadBalancerOptions {
        regions: region_table(),
        region: "r0".into(),
        ..LoadBalancerOptions::default()
    })
}

fn entry(index: usize, data_centre: usize) -> EntryMember {
    EntryMember {
        name: format!("e{index}").into(),
        incarnation: 1,
        sequence: 1,
        data_centre: DATA_CENTRES[data_centre].into(),
        caller_address: SocketAddr::from(([10, 0, 1, index as u8], 8_005)),
        peer: SocketAddr::from(([10, 0, 1, index as u8], 7_700)),
        ready: true,
        leaving: false,
        revision: 1,
        assignment_digest: 1,
        store_age: None,
        state_age: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against an attempt, of any kind and in any state of the configuration, at an upstream in a region that a
    /// configuration does not allow, and against entries named to callers although their region is not allowed.
    #[test]
    fn no_path_leaves_the_allowed_regions(
        configs in vec(config(), 1..5),
        upstreams in vec((0..DATA_CENTRES.len(), proptest::bool::weighted(0.1)), 1..8),
        entries in vec(0..DATA_CENTRES.len(), 1..6),
        steps in vec(step(), 1..40),
    ) {
        let mut fixture = RegionFixture::new(&configs, &upstreams, &entries);
        for step in &steps {
            fixture.run(step)?;
            let version = fixture.view.config().map(|config| config.version);
            prop_assert_eq!(version, fixture.in_force.map(|(index, _)| index as u64 + 1));
            prop_assert_eq!(fixture.view.is_config_behind(), fixture.is_behind());
        }
    }
}
