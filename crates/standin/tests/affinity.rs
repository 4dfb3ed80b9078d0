//! Prefix affinity across entries: an entry that has never served a prefix finds the engine that holds it through cache
//! events.

mod support;

use std::time::Duration;

use hyper::Method;
use serde_json::json;
use standin::{
    WeightImage,
    fleet::{FleetOptions, StandinFleet, layout::add_model},
    http_client::{HttpClient, HttpRequest},
};

/// Exceeds the sum of the delay of cache events, the poll interval of the agent and the probe interval of the entry.
const CACHE_EVENT_DELAY: Duration = Duration::from_secs(4);

async fn generate(entry: std::net::SocketAddr, prompt: &str) {
    let body = json!({"prompt": prompt, "max_tokens": 3}).to_string();
    for _ in 0..100 {
        let call = HttpRequest::new(Method::POST, entry, "/v1/models/draft/generate")
            .with_header("x-team", "team-01")
            .with_body(body.clone());
        if HttpClient::new().send(call).await.is_ok_and(|response| response.status == 200) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no successful response within 100 attempts, 50 ms apart");
}

#[tokio::test(flavor = "multi_thread")]
async fn other_entry_sends_a_known_prefix_to_its_holder() {
    let options = FleetOptions::default();
    let platform = support::start_model_platform(&options).await;
    let image = platform.catalog.add(WeightImage::generate(7, 256 << 10, 64 << 10));
    platform.publish(|config| add_model(config, "draft", &image, [3; 3]));
    let fleet = StandinFleet::start(platform, options).await.unwrap();
    let digest = image.digest.to_string();
    fleet.platform.wait_replicas(&digest, 3, Duration::from_secs(20)).await.unwrap();
    let entries = fleet.entry_addresses();
    let prefixes = [1, 2, 3, 4].map(|number| format!("standing order number {number}, visit "));
    for prefix in &prefixes {
        generate(entries[0], &format!("{prefix} 0")).await;
    }
    tokio::time::sleep(CACHE_EVENT_DELAY).await;
    for prefix in &prefixes {
        generate(entries[1], &format!("{prefix} 1")).await;
    }
    let engines: Vec<_> =
        fleet.platform.engines().map(|engine| engine.gauge().log().records()).collect();
    let holder = |prompt: String| {
        engines.iter().position(|runs| runs.iter().any(|run| run.reference == prompt.as_str()))
    };
    for prefix in &prefixes {
        assert_eq!(holder(format!("{prefix} 0")), holder(format!("{prefix} 1")), "{prefix}");
    }
}
