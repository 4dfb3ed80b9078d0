//! Tests of the fault switches of each stand-in. A switch without effect would invalidate every measurement that uses
//! it.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use base::ContentDigest;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use standin::{
    ConfigService, EngineOptions, ModelEngine, PlainService, ServiceOptions, StoreFault,
    StoreOptions, WeightCatalog, WeightImage, WeightStore,
    http_client::{FullResponse, HttpClient, HttpRequest},
    platform::{engine::POISON, token::token_text, work::WorkEnd},
};

const MODEL_BYTES: usize = 300_000;
const CHUNK_BYTES: usize = 100_000;

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn get(address: SocketAddr, path: &str) -> HttpRequest {
    HttpRequest::new(Method::GET, address, path)
}

fn post(address: SocketAddr, path: &str, body: &Value) -> HttpRequest {
    HttpRequest::new(Method::POST, address, path).with_body(body.to_string())
}

fn image() -> (Arc<WeightCatalog>, Arc<WeightImage>) {
    let catalog = Arc::new(WeightCatalog::default());
    let image = catalog.add(WeightImage::generate(1, MODEL_BYTES, CHUNK_BYTES));
    (catalog, image)
}

/// Starts an engine and loads the model `m`.
async fn loaded_engine(options: EngineOptions) -> (ModelEngine, Arc<WeightImage>) {
    let (catalog, image) = image();
    let engine = ModelEngine::start(any_port(), catalog, options).await.unwrap();
    let client = HttpClient::new();
    let path = format!("/v1/weights/{}", image.digest);
    let put =
        HttpRequest::new(Method::PUT, engine.address(), path).with_body(image.weights.clone());
    assert_eq!(client.send(put).await.unwrap().status, StatusCode::NO_CONTENT);
    let order = order(&image.digest, 5);
    let load = client.send(post(engine.address(), "/v1/load", &order)).await.unwrap();
    assert_eq!(load.status, StatusCode::ACCEPTED);
    while engine.loaded().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (engine, image)
}

fn order(digest: &ContentDigest, revision: u64) -> Value {
    json!({"model": "m", "manifest": digest, "fencing": {"revision": revision, "incarnation": 1}})
}

async fn generate(engine: &ModelEngine, prompt: &str, offset: u64) -> Option<FullResponse> {
    let body = json!({"prompt": prompt, "max_tokens": 4, "offset": offset, "priority": 4});
    HttpClient::new().send(post(engine.address(), "/v1/generate", &body)).await.ok()
}

#[tokio::test]
async fn config_service_serves_watches_and_faults() {
    let service = ConfigService::start(any_port(), Duration::from_millis(50)).await.unwrap();
    let client = HttpClient::new();
    service.publish_bytes(1, "one");
    let read = get(service.address(), "/v1/config?after=0&wait_ms=0");
    assert_eq!(client.send(read.clone()).await.unwrap().body, "one");
    let watch = get(service.address(), "/v1/config?after=1&wait_ms=2000");
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.send(watch).await }
    });
    tokio::time::sleep(Duration::from_millis(30)).await;
    service.publish_bytes(2, "two");
    assert_eq!(waiting.await.unwrap().unwrap().body, "two");

    service.serve_older(1);
    assert_eq!(client.send(read.clone()).await.unwrap().body, "one");
    service.set_stale(true);
    service.publish_bytes(3, "three");
    assert_eq!(client.send(read.clone()).await.unwrap().body, "two");
    service.set_stale(false);
    assert_eq!(client.send(read.clone()).await.unwrap().body, "three");
    let old = get(service.address(), "/v1/config?after=3&wait_ms=10");
    assert_eq!(client.send(old).await.unwrap().status, StatusCode::NOT_MODIFIED);
    assert_eq!(service.request_count(), 6, "every request is counted, and a watch counts once");

    service.set_down(true);
    assert!(client.send(read.clone()).await.is_err());
    service.set_down(false);
    assert!(client.send(read).await.is_ok());
}

#[tokio::test]
async fn host_list_lags() {
    let service = ConfigService::start(any_port(), Duration::from_millis(200)).await.unwrap();
    let client = HttpClient::new();
    service.set_hosts(&config::HostList { version: 1, hosts: Vec::new() });
    service.set_hosts(&config::HostList { version: 2, hosts: Vec::new() });
    let read = get(service.address(), "/v1/hosts");
    let version = |response: FullResponse| response.json::<Value>().unwrap()["version"].clone();
    assert_eq!(version(client.send(read.clone()).await.unwrap()), 1);
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert_eq!(version(client.send(read).await.unwrap()), 2);
}

#[tokio::test]
async fn weight_store_serves_faults_and_counts_bytes() {
    let (catalog, image) = image();
    let store = WeightStore::start(any_port(), catalog, StoreOptions::default()).await.unwrap();
    let client = HttpClient::new();
    let chunk = get(store.address(), &format!("/v1/chunks/{}/1", image.digest));
    let good = client.send(chunk.clone()).await.unwrap();
    assert_eq!(ContentDigest::of(&good.body), image.chunks[1]);
    assert_eq!(store.sent_bytes(), CHUNK_BYTES as u64);

    store.set_fault(StoreFault::Corrupt, 1);
    let corrupt = client.send(chunk.clone()).await.unwrap();
    assert_ne!(ContentDigest::of(&corrupt.body), image.chunks[1]);
    store.set_fault(StoreFault::Truncate, 1);
    assert!(client.send(chunk.clone()).await.is_err());
    store.set_fault(StoreFault::Refuse, 1);
    let refused = client.send(chunk.clone()).await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    store.set_fault(StoreFault::Stall, 1);
    let stalled = tokio::time::timeout(Duration::from_millis(100), client.send(chunk.clone()));
    assert!(stalled.await.is_err());
    assert_eq!(client.send(chunk).await.unwrap().body, good.body);
}

#[tokio::test]
async fn weight_store_limits_its_rate() {
    let (catalog, image) = image();
    let options =
        StoreOptions { bytes_per_second: 200_000.0, max_backlog: Duration::from_millis(100) };
    let store = WeightStore::start(any_port(), catalog, options).await.unwrap();
    let client = HttpClient::new();
    let chunk = get(store.address(), &format!("/v1/chunks/{}/0", image.digest));
    let first = tokio::spawn({
        let (client, chunk) = (client.clone(), chunk.clone());
        async move { client.send(chunk).await }
    });
    tokio::time::sleep(Duration::from_millis(30)).await;
    assert_eq!(client.send(chunk).await.unwrap().status, StatusCode::TOO_MANY_REQUESTS);
    assert!(first.await.unwrap().is_ok());
}

#[tokio::test]
async fn engine_rejects_corrupt_and_truncated_weights() {
    let (catalog, image) = image();
    let engine = ModelEngine::start(any_port(), catalog, EngineOptions::default()).await.unwrap();
    let client = HttpClient::new();
    let path = format!("/v1/weights/{}", image.digest);
    let put = HttpRequest::new(Method::PUT, engine.address(), path);
    let mut wrong = image.weights.to_vec();
    wrong[CHUNK_BYTES + 1] ^= 1;
    let refused = client.send(put.clone().with_body(wrong)).await.unwrap();
    assert_eq!(refused.status, StatusCode::UNPROCESSABLE_ENTITY);
    let short = client.send(put.with_body(image.weights.slice(..CHUNK_BYTES))).await.unwrap();
    assert_eq!(short.status, StatusCode::UNPROCESSABLE_ENTITY);
    let load = post(engine.address(), "/v1/load", &order(&image.digest, 5));
    assert_eq!(client.send(load).await.unwrap().status, StatusCode::NOT_FOUND);
    assert!(engine.loaded().is_empty());
}

#[tokio::test]
async fn engine_resumes_at_an_offset_and_refuses_old_fencing_numbers() {
    let (engine, image) = loaded_engine(EngineOptions::default()).await;
    let response = generate(&engine, "hello", 3).await.unwrap();
    let text = String::from_utf8(response.body.to_vec()).unwrap();
    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let digest = image.digest.to_string();
    assert_eq!(lines[0], json!({"index": 3, "token": token_text("hello", &digest, 3)}));
    assert_eq!(lines[1], json!({"done": true, "count": 4, "manifest": digest}));
    let load = post(engine.address(), "/v1/load", &order(&image.digest, 4));
    assert_eq!(HttpClient::new().send(load).await.unwrap().status, StatusCode::CONFLICT);
}

#[tokio::test]
async fn engine_that_ignores_fencing_accepts_old_orders() {
    let fencing = config::FencingMode::Ignored;
    let (engine, image) = loaded_engine(EngineOptions { fencing, ..Default::default() }).await;
    let load = post(engine.address(), "/v1/load", &order(&image.digest, 4));
    assert_eq!(HttpClient::new().send(load).await.unwrap().status, StatusCode::ACCEPTED);
}

#[tokio::test]
async fn poison_prompt_crashes_the_engine_which_returns_cold() {
    let options = EngineOptions { restart_time: Duration::from_millis(100), ..Default::default() };
    let (engine, _) = loaded_engine(options).await;
    assert!(generate(&engine, POISON, 0).await.is_none());
    assert_eq!(engine.gauge().crashes(), 1);
    assert!(engine.loaded().is_empty());
    assert!(
        generate(&engine, "hello", 0).await.is_none(),
        "the engine refuses connections while it restarts"
    );
    tokio::time::sleep(Duration::from_millis(150)).await;
    let status = generate(&engine, "hello", 0).await.unwrap().status;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn overload_is_recorded_and_crashes_the_engine() {
    let options = EngineOptions { cold_limit: 1, warm_limit: 8, ..Default::default() };
    let (engine, _) = loaded_engine(options).await;
    let responses =
        futures_util::future::join_all(["a", "b", "c"].map(|prompt| generate(&engine, prompt, 0)));
    responses.await;
    assert_eq!(engine.gauge().over_limit_peak(), 2);
    assert_eq!(engine.gauge().crashes(), 1);
    assert_eq!(engine.gauge().in_use(), 0);
}

#[tokio::test]
async fn closed_connection_cancels_the_work_and_success_warms_the_engine() {
    let token_time = Duration::from_millis(50);
    let (engine, _) = loaded_engine(EngineOptions { token_time, ..Default::default() }).await;
    let current_limit = engine.gauge().current_limit();
    let response = generate(&engine, "long", 0);
    assert!(tokio::time::timeout(Duration::from_millis(80), response).await.is_err());
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(engine.gauge().in_use(), 0);
    assert_eq!(engine.gauge().log().records()[0].end, WorkEnd::Cancelled);
    assert_eq!(engine.gauge().current_limit(), current_limit);
    generate(&engine, "whole", 0).await.unwrap();
    assert_eq!(engine.gauge().current_limit(), current_limit + 1);
    engine.set_cold();
    assert_eq!(engine.gauge().current_limit(), current_limit);
}

#[tokio::test]
async fn cache_events_come_late_and_with_gaps() {
    let options = EngineOptions { token_time: Duration::from_millis(1), ..Default::default() };
    let (engine, _) = loaded_engine(options).await;
    for index in 0..8 {
        generate(&engine, &format!("prompt {index}"), 0).await.unwrap();
    }
    let client = HttpClient::new();
    let read = get(engine.address(), "/v1/cache-events?after=0");
    let count =
        |events: FullResponse| events.json::<Value>().unwrap()["events"].as_array().unwrap().len();
    assert!(count(client.send(read.clone()).await.unwrap()) < 7, "the last events are delayed");
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(count(client.send(read).await.unwrap()), 7, "one of eight events is missing");
}

#[tokio::test]
async fn booking_service_records_every_run_and_can_drop_responses() {
    let service = PlainService::start(any_port(), ServiceOptions::default()).await.unwrap();
    let client = HttpClient::new();
    let call = post(service.address(), "/bookings", &json!({"reference": "b1", "attempt": "k1"}));
    assert_eq!(client.send(call.clone()).await.unwrap().status, StatusCode::OK);
    service.drop_responses(1);
    assert!(client.send(call.clone()).await.is_err());
    let records = service.gauge().log().records();
    assert_eq!(records.len(), 2);
    assert!(records.iter().all(|record| record.reference == "b1" && record.attempt == "k1"));
    service.crash();
    assert!(client.send(call).await.is_err());
}
