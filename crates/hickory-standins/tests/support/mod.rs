//! HTTP client for the tests of the stand-ins.

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

pub type HttpClient = legacy::Client<HttpConnector, Full<Bytes>>;

pub fn client() -> HttpClient {
    legacy::Client::builder(TokioExecutor::new()).build_http()
}

/// Sends a request and returns the status and body, or `None` if the connection closes before the
/// response is complete.
pub async fn send(
    method: &str,
    url: String,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Option<(StatusCode, Bytes)> {
    let mut request = Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).expect("the request is valid");
    let response = client().request(request).await.ok()?;
    let status = response.status();
    Some((status, response.into_body().collect().await.ok()?.to_bytes()))
}

pub async fn post(url: String, body: &Value) -> Option<(StatusCode, Bytes)> {
    send("POST", url, &[("content-type", "application/json")], body.to_string()).await
}

pub async fn get_json(url: String) -> Value {
    let (_, body) = send("GET", url, &[], "").await.expect("a response");
    serde_json::from_slice(&body).expect("JSON")
}
