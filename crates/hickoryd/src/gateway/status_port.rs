//! Ports for the readiness check and for metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use log::warn;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::gateway::answer::plain;
use crate::gateway::answer_body::AnswerBody;
use crate::gateway::core::Core;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for a request head, and for the next request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Answers readiness checks at `ready_path`, and metrics.
pub async fn serve_status(listener: TcpListener, core: Rc<Core>, ready_path: String) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _peer)) => stream,
            Err(error) => {
                warn!(reason:% = error; "accept failed");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (core, ready_path) = (Rc::clone(&core), ready_path.clone());
        let service = service_fn(move |request| {
            let response = respond(&request, &core, &ready_path);
            async move { Ok::<_, Infallible>(response) }
        });
        spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(reason:% = error; "status connection ended");
            }
        });
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
