//! Ports for the readiness check and for metrics.

use std::rc::Rc;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::gateway::answer::plain;
use crate::gateway::answer_body::AnswerBody;
use crate::gateway::connection::accept;
use crate::gateway::connection::serve_connection;
use crate::gateway::core::Core;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers readiness checks at `ready_path`, and metrics.
pub async fn serve_status(listener: TcpListener, core: Rc<Core>, ready_path: String) {
    loop {
        let (stream, _peer) = accept(&listener).await;
        let (core, ready_path) = (Rc::clone(&core), ready_path.clone());
        let answer = move |request| std::future::ready(respond(&request, &core, &ready_path));
        spawn_local(serve_connection(stream, answer));
    }
}

fn respond(request: &Request<Incoming>, core: &Core, ready_path: &str) -> Response<AnswerBody> {
    match request.uri().path() {
        path if path == ready_path && core.is_ready() => plain(200, "ready".to_owned()),
        path if path == ready_path => plain(503, "not ready".to_owned()),
        METRICS_PATH => plain(200, core.metrics_text()),
        _ => plain(404, "no such page".to_owned()),
    }
}
