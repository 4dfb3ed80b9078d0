//! Guards against retry storms when many upstreams fail, and against address responses that name an entry that is out
//! of service.

use std::time::Duration;

use base::TeamId;
use config::{FleetConfig, HostList};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::{RetryBudget, RetryOptions, resolve_addresses};

#[test]
fn loss_of_a_data_centre_causes_no_retry_storm() {
    let options = RetryOptions::default();
    let mut budget = RetryBudget::new(options);
    let teams: Vec<TeamId> = (0..10).map(|index| index.to_string().into()).collect();
    let retries =
        (0..10_000).filter(|index| budget.take_retry(&teams[index % teams.len()], 1)).count();
    assert_eq!(retries as u64, options.overall_capacity);
}

#[test]
fn one_team_cannot_use_up_the_budget_of_others() {
    let (large, small) = (TeamId::from("large"), TeamId::from("small"));
    let mut budget = RetryBudget::default();
    while budget.take_retry(&large, 1) {}
    assert!(budget.take_retry(&small, 1));
    assert!(!budget.take_retry(&small, RetryOptions::default().max_attempts));
}

proptest! {
    #[test]
    fn retries_stay_a_fraction_of_successes(
        events in prop::collection::vec((0..12usize, any::<bool>()), 0..2_000),
    ) {
        let options = RetryOptions { max_teams: 8, ..RetryOptions::default() };
        let mut budget = RetryBudget::new(options);
        let (mut successes, mut retries) = (0, 0);
        for (team, success) in events {
            let team = TeamId::from(team.to_string());
            if success {
                budget.record_success(&team);
                successes += 1;
            } else {
                retries += u64::from(budget.take_retry(&team, 1));
            }
            let earned = successes * options.earned_per_success / 1_000;
            prop_assert!(retries <= options.overall_capacity + earned);
        }
    }

    #[test]
    fn address_responses_name_only_entries_in_service(
        states in prop::collection::vec((0..3usize, any::<bool>()), 0..12),
        out in any::<[bool; 3]>(),
        team in "[a-z]{1,8}",
        seed in any::<u64>(),
    ) {
        let config: FleetConfig = serde_json::from_value(serde_json::json!({
            "revision": 1, "preset": "ordinary", "teams": [], "upstreams": [], "models": [],
            "presets": [],
            "data_centres": (0..3).map(|index| serde_json::json!({
                "id": index.to_string(), "region": "r", "out": out[index],
            })).collect::<Vec<_>>(),
        })).expect("valid configuration");
        let hosts: HostList = serde_json::from_value(serde_json::json!({
            "version": 1,
            "hosts": states.iter().enumerate().map(|(index, (centre, leaving))| serde_json::json!({
                "id": index.to_string(), "data_centre": centre.to_string(), "role": "entry",
                "http": format!("127.0.0.1:{}", index + 1), "peer": "127.0.0.1:1",
                "state": if *leaving { "leaving" } else { "live" },
            })).collect::<Vec<_>>(),
        })).expect("valid host list");
        let ttl = Duration::from_secs(2);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let response = resolve_addresses(&config, &hosts, Some("0"), &team, ttl, &mut rng);
        let usable = |index: usize| index != 0 && !states[index].1 && !out[states[index].0];
        for address in &response.addresses {
            prop_assert!(usable(usize::from(address.port()) - 1));
        }
        prop_assert_eq!(response.addresses.is_empty(), !(0..states.len()).any(usable));
        prop_assert!(response.ttl <= ttl && response.ttl >= ttl / 2);
        // The first address always belongs to the same data centre, so that a team reaches its warm upstreams again.
        let data_centre = |port: u16| states[usize::from(port) - 1].0;
        let again = resolve_addresses(&config, &hosts, Some("0"), &team, ttl, &mut rng);
        let first = |addresses: &[std::net::SocketAddr]| addresses.first().map(|a| data_centre(a.port()));
        prop_assert_eq!(first(&response.addresses), first(&again.addresses));
    }
}
