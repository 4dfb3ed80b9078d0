//! Start of a fleet on loopback.

mod support;

use std::time::Duration;

use standin::fleet::{FleetOptions, StandinFleet, wait_until};

/// Guards against a fleet without seeds. Its processes first read the configuration after 2 to 30 s, while those of a
/// deployment wait for a seed, which reads it within 1 s.
#[tokio::test(flavor = "multi_thread")]
async fn seed_reads_the_configuration_soon_after_the_start() {
    let options = FleetOptions::default();
    let platform = support::start_model_platform(&options).await;
    let fleet = StandinFleet::start(platform, options).await.unwrap();
    let service = &fleet.platform.config_service;
    let read = || service.request_count() > 0;
    wait_until("read of the configuration", Duration::from_secs(2), read).await.unwrap();
}
