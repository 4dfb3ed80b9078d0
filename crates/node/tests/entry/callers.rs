//! Guards against slow, oversize or malformed requests that occupy a connection or get no clear error.

use std::time::{Duration, Instant};

use crate::support::{MODEL, TestFleet, agent::AgentAction};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Sends bytes and reads until the entry closes the connection.
async fn exchange(fleet: &TestFleet, bytes: &[u8]) -> (String, Duration) {
    let started = Instant::now();
    let mut stream = TcpStream::connect(fleet.http).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut response = Vec::new();
    let reading = stream.read_to_end(&mut response);
    let closed = tokio::time::timeout(Duration::from_secs(14), reading).await;
    assert!(closed.is_ok(), "the connection stays open: {}", String::from_utf8_lossy(&response));
    (String::from_utf8_lossy(&response).into_owned(), started.elapsed())
}

#[tokio::test(flavor = "multi_thread")]
async fn oversize_and_malformed_requests_end_in_an_error_and_a_closed_connection() {
    let fleet = TestFleet::start(&["m0"]).await;
    let head =
        format!("POST /v1/models/{MODEL}/generate HTTP/1.1\r\nhost: e\r\nx-team: survey\r\n");
    let body = "x".repeat(5_000);
    let cases = [
        (format!("{head}content-length: 5000\r\n\r\n{body}"), " 413 ", "body_too_large"),
        (format!("{head}content-length: 2\r\n\r\n{{}}"), " 400 ", "bad_body"),
        (format!("{head}x-priority: 10\r\ncontent-length: 2\r\n\r\n{{}}"), " 400 ", "bad_priority"),
        (format!("{head}x-long: {}\r\n\r\n", "x".repeat(40_000)), " 431 ", ""),
        ("GET /v1/services/office/x HTTP/1.1\r\nhost: e\r\n\r\n".into(), " 400 ", "team_required"),
        ("POST /v1/elsewhere HTTP/1.1\r\nhost: e\r\n\r\n".into(), " 404 ", "not_found"),
        ("no request at all\r\n\r\n".into(), " 400 ", ""),
    ];
    for (request, status, name) in cases {
        let (response, _) = exchange(&fleet, request.as_bytes()).await;
        let first = response.lines().next().unwrap_or_default();
        assert!(first.contains(status) && response.contains(name), "{name}: {response}");
    }
    assert_eq!(fleet.forward_total(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_callers_are_disconnected() {
    let fleet = TestFleet::start(&["m0"]).await;
    let head =
        format!("POST /v1/models/{MODEL}/generate HTTP/1.1\r\nhost: e\r\nx-team: survey\r\n");
    let slow_body = format!("{head}content-length: 100\r\n\r\n{{");
    let (silent, preface, header, body) = tokio::join!(
        exchange(&fleet, b""),
        exchange(&fleet, b"P"),
        exchange(&fleet, head.as_bytes()),
        exchange(&fleet, slow_body.as_bytes()),
    );
    assert!(body.0.contains(" 408 ") && body.0.contains("body_timeout"), "{}", body.0);
    assert!(header.0.contains(" 408 ") && header.0.contains("header_timeout"), "{}", header.0);
    for (response, elapsed) in [silent, preface, header, body] {
        assert!(
            elapsed > Duration::from_secs(9) && elapsed < Duration::from_secs(12),
            "{response}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn http2_callers_are_served() {
    let fleet = TestFleet::start(&["m0"]).await;
    fleet.agents[0].set_action(|_| AgentAction::tokens(12));
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .http2_only(true)
        .build_http();
    let request = hyper::Request::post(format!("http://{}/v1/models/{MODEL}/generate", fleet.http))
        .header("x-team", "survey")
        .body(http_body_util::Full::new(bytes::Bytes::from(r#"{"prompt": "p"}"#)))
        .unwrap();
    let response = client.request(request).await.unwrap();
    assert_eq!(response.headers()["x-outcome"], "answered");
    let body = http_body_util::BodyExt::collect(response.into_body()).await.unwrap().to_bytes();
    assert_eq!(body.iter().filter(|byte| **byte == b'\n').count(), 13);
    let report = fleet.admin("/admin/v1/report").await;
    assert_eq!(report["rows"][0]["windows"][0]["counts"]["in_time"], 1, "{report}");
}
