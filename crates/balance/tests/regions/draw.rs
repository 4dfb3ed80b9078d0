//! Drawn configurations and steps.

use std::{collections::HashMap, time::Duration};

use base::{DataCentreId, RegionId};
use fleet::{ClientLimits, RetryPolicy, RouteRecord, RoutingConfig, ServiceRecord, TeamRecord};
use proptest::{
    prelude::*,
    sample::{Index, subsequence},
};

use crate::DESK;

pub(crate) const HOST: &str = "h";
pub(crate) const PREFIXES: [&str; 3] = ["/", "/a/", "/a/b/"];
pub(crate) const PATHS: [&str; 3] = ["/x", "/a/x", "/a/b/x"];
pub(crate) const KEYS: [&str; 3] = ["k0", "k1", "unknown"];
pub(crate) const REGIONS: [&str; 3] = ["r0", "r1", "r2"];
/// The region of the last data centre is not known.
pub(crate) const DATA_CENTRES: [&str; 5] = ["d0", "d1", "d2", "d3", "unlisted"];

pub(crate) fn region_of(data_centre: &str) -> Option<RegionId> {
    match data_centre {
        "d0" | "d3" => Some("r0".into()),
        "d1" => Some("r1".into()),
        "d2" => Some("r2".into()),
        _ => None,
    }
}

pub(crate) fn region_table() -> HashMap<DataCentreId, RegionId> {
    DATA_CENTRES.iter().filter_map(|centre| Some(((*centre).into(), region_of(centre)?))).collect()
}

/// Regions of a route or team; empty if it is not restricted.
pub(crate) type Restriction = Vec<&'static str>;

/// A configuration as drawn: restrictions of the routes and teams that exist.
#[derive(Clone, Debug)]
pub(crate) struct ConfigDraw {
    pub(crate) routes: [Option<Restriction>; 3],
    public: bool,
    teams: [Option<Restriction>; 2],
}

impl ConfigDraw {
    pub(crate) fn record(&self, version: u64) -> RoutingConfig {
        let names = |regions: &Restriction| regions.iter().map(|name| (*name).into()).collect();
        let routes = PREFIXES.iter().zip(&self.routes).filter_map(|(prefix, regions)| {
            Some(RouteRecord {
                name: (*prefix).into(),
                host: HOST.into(),
                prefix: (*prefix).into(),
                repeat: RetryPolicy::Idempotent,
                timeout: Duration::from_secs(1),
                target_latency: Duration::from_millis(100),
                target_gap: None,
                priority: 0,
                backends: Vec::new(),
                max_attempts: 2,
                public: self.public,
                allowed_regions: names(regions.as_ref()?),
            })
        });
        let teams = KEYS.iter().zip(&self.teams).filter_map(|(key, regions)| {
            Some(TeamRecord {
                team: (*key).into(),
                keys: vec![(*key).into()],
                priority: None,
                allowed_regions: names(regions.as_ref()?),
            })
        });
        RoutingConfig {
            version,
            routes: routes.collect(),
            services: vec![ServiceRecord {
                service: DESK.clone(),
                max_connections: 4_000,
                cold_per_second: 0.0,
                cold_start: Duration::ZERO,
                engine: None,
                origin: None,
            }],
            limits: ClientLimits {
                max_header_bytes: 1,
                max_body_bytes: 1,
                header_timeout: Duration::ZERO,
                idle_timeout: Duration::ZERO,
            },
            teams: Some(teams.collect()),
        }
    }

    /// Index of the route of a path: that with the longest matching prefix.
    pub(crate) fn route(&self, path: &str) -> Option<usize> {
        let matches = |index: &usize| path.starts_with(PREFIXES[*index]);
        (0..3).rev().filter(|index| self.routes[*index].is_some()).find(matches)
    }

    /// True if route and team of a request allow `region`.
    pub(crate) fn permits(&self, path: &str, key: usize, region: Option<&str>) -> bool {
        let of_route = self.route(path).and_then(|index| self.routes[index].as_ref());
        let of_team = self.teams.get(key).and_then(Option::as_ref);
        [of_route, of_team].into_iter().flatten().all(|regions| is_in(regions, region))
    }
}

pub(crate) fn is_in(regions: &Restriction, region: Option<&str>) -> bool {
    regions.is_empty() || region.is_some_and(|region| regions.contains(&region))
}

#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// The operator writes the next configuration, and the entry receives it.
    Change,
    /// The entry receives a configuration again that it knows already, or that has been replaced.
    Repeat(Index),
    /// The store comes back from a copy that contains this configuration.
    Restore(Index),
    /// The process is started again, knows nothing and listens for announcements.
    Restart,
    /// The time for which a process that has started listens for announcements passes.
    Wait,
    /// An entry that has kept the newest configuration announces it.
    Announce,
    /// The process fetches a configuration that it lacks from the entry that announced it.
    Fetch,
    /// The process lists the store.
    List,
    Evacuate(Index, bool),
    /// A caller sends a request with this path and key.
    Admit(Index, Index),
    /// The request is sent to an upstream, first or again: after a failure, or to resume its stream.
    Attempt {
        is_resumed: bool,
    },
    /// The entry checks whether another upstream can take the request.
    CheckAlternative,
    /// A caller in this data centre asks which entries to use.
    Resolve(Index),
}

fn restriction() -> impl Strategy<Value = Restriction> {
    prop_oneof![Just(Vec::new()), subsequence(REGIONS.to_vec(), 1..=2)]
}

pub(crate) fn config() -> impl Strategy<Value = ConfigDraw> {
    let route = || proptest::option::weighted(0.7, restriction());
    let team = || proptest::option::weighted(0.7, restriction());
    ([route(), route(), route()], any::<bool>(), [team(), team()])
        .prop_map(|(routes, public, teams)| ConfigDraw { routes, public, teams })
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let index = any::<Index>;
    prop_oneof![
        4 => Just(Step::Change),
        1 => index().prop_map(Step::Repeat),
        1 => index().prop_map(Step::Restore),
        1 => Just(Step::Restart),
        1 => Just(Step::Wait),
        2 => Just(Step::Announce),
        1 => Just(Step::Fetch),
        2 => Just(Step::List),
        1 => (index(), any::<bool>()).prop_map(|(centre, on)| Step::Evacuate(centre, on)),
        5 => (index(), index()).prop_map(|(path, key)| Step::Admit(path, key)),
        8 => any::<bool>().prop_map(|is_resumed| Step::Attempt { is_resumed }),
        2 => Just(Step::CheckAlternative),
        3 => index().prop_map(Step::Resolve),
    ]
}
