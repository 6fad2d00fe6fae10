//! HTTP port for readiness checks and metrics.

use std::rc::Rc;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::gateway::connection::accept;
use crate::gateway::connection::serve_connection;
use crate::gateway::core::Core;
use crate::gateway::response::text_response;
use crate::gateway::response_body::ResponseBody;

const METRICS_PATH: &str = "/metrics";

/// Serves readiness checks at `ready_path` and metrics at [`METRICS_PATH`].
pub async fn serve_status(listener: TcpListener, core: Rc<Core>, ready_path: String) {
    loop {
        let (stream, _peer) = accept(&listener).await;
        let (core, ready_path) = (Rc::clone(&core), ready_path.clone());
        let handler = move |request| std::future::ready(respond(&request, &core, &ready_path));
        spawn_local(serve_connection(stream, handler));
    }
}

fn respond(request: &Request<Incoming>, core: &Core, ready_path: &str) -> Response<ResponseBody> {
    match request.uri().path() {
        path if path == ready_path && core.is_ready() => text_response(200, "ready".to_owned()),
        path if path == ready_path => text_response(503, "not ready".to_owned()),
        METRICS_PATH => text_response(200, core.metrics_text()),
        _ => text_response(404, "no such page".to_owned()),
    }
}
