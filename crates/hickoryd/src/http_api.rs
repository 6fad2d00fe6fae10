//! HTTP API of an entry for callers.
//!
//! Handlers check the key and the headers, read the body and send the request to the task that owns
//! the reducer, which returns the response.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware::Next;
use axum::middleware::from_fn;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::any;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use hickorydoor::CallerRequest;
use hickorydoor::Configuration;
use hickorydoor::KeyDigest;
use hickorydoor::Refusal;
use hickorydoor::configuration::customer::Customer;
use hickorydoor::entry::caller_request::RequestPayload;
use hickorydoor::entry::caller_request::ServiceRequest;
use hickorydoor::id::CallerId;
use hickorydoor::id::Revision;
use hickorydoor::id::ServiceName;
use hickorydoor::id::SessionId;
use hickorydoor::refusal::RefusalReason;
use http::HeaderMap;
use http::StatusCode;
use http::Version;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use serde_json::json;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::api_error::ApiError;
use crate::api_error::json_response;
use crate::api_error::refusal_response;
use crate::body_collector::CollectError;
use crate::body_collector::collect_body;
use crate::caller_guard::CallerGuard;
use crate::caller_response::CallerResponse;
use crate::chat_body::ChatBody;
use crate::entry_input::CallerUpdate;
use crate::entry_input::EntryInput;
use crate::request_header;
use crate::response_builder::StreamOptions;
use crate::response_builder::build_response;

const SERVICES_PREFIX: &str = "/services/";

/// HTTP API of an entry for callers.
#[derive(Debug)]
pub struct HttpApi {
    inputs: mpsc::Sender<EntryInput>,
    caller_updates: mpsc::UnboundedSender<CallerUpdate>,
    configuration: watch::Receiver<Arc<Configuration>>,
    open_requests: Arc<Semaphore>,
    body_timeout: Duration,
    next_caller: AtomicU64,
}

/// Authenticated caller with a permit for one open request.
struct AdmittedCaller {
    key: KeyDigest,
    configuration: Arc<Configuration>,
    permit: OwnedSemaphorePermit,
}

impl HttpApi {
    /// Creates an API that sends requests to `inputs`. The limit on request bodies and the keys come
    /// from the latest `configuration`.
    pub fn new(
        inputs: mpsc::Sender<EntryInput>,
        caller_updates: mpsc::UnboundedSender<CallerUpdate>,
        configuration: watch::Receiver<Arc<Configuration>>,
        max_open_requests: usize,
        body_timeout: Duration,
    ) -> Self {
        Self {
            inputs,
            caller_updates,
            configuration,
            open_requests: Arc::new(Semaphore::new(max_open_requests)),
            body_timeout,
            next_caller: AtomicU64::new(0),
        }
    }

    pub fn router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(chat))
            .route("/v1/models", get(models))
            .route("/services/{*path}", any(service))
            .fallback(async || ApiError::UnknownPath)
            .method_not_allowed_fallback(async || ApiError::MethodNotAllowed)
            .layer(from_fn(require_http_1_1))
            .with_state(self)
    }

    /// Authenticates the caller and acquires a permit for its request. This precedes reading the
    /// body, so that clients without a valid key cannot make the entry buffer one.
    fn admit(&self, headers: &HeaderMap) -> Result<AdmittedCaller, ApiError> {
        let configuration = Arc::clone(&self.configuration.borrow());
        if configuration.revision == Revision::default() {
            return Err(ApiError::NotConfigured);
        }
        let key = request_header::key_digest(headers);
        let key = key.filter(|key| configuration.customer_by_key(key).is_some());
        let key = key.ok_or(ApiError::UnknownKey)?;
        let permit = Arc::clone(&self.open_requests).try_acquire_owned();
        let permit = permit.map_err(|_full| ApiError::Overloaded)?;
        Ok(AdmittedCaller { key, configuration, permit })
    }

    async fn read_body(&self, headers: &HeaderMap, body: Body, limit_bytes: usize) -> ReadBody {
        let content_length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
        let content_length: Option<u64> = content_length.and_then(|text| text.parse().ok());
        if content_length.is_some_and(|length| length > limit_bytes as u64) {
            return Err(ApiError::BodyTooLong { limit_bytes });
        }
        let read = timeout(self.body_timeout, collect_body(body, limit_bytes)).await;
        match read {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(CollectError::TooLong)) => Err(ApiError::BodyTooLong { limit_bytes }),
            Ok(Err(_)) | Err(_) => Err(ApiError::BodyIncomplete),
        }
    }

    /// Sends a request to the reducer and waits for the head of its response.
    async fn submit(
        &self,
        request: CallerRequest,
        permit: OwnedSemaphorePermit,
        options: StreamOptions,
    ) -> Response {
        let mut guard = CallerGuard::new(request.caller, self.caller_updates.clone(), permit);
        let (response, received) = oneshot::channel();
        let input = EntryInput::Request { request: Box::new(request), response };
        // If the channel is closed, `received` is closed as well.
        drop(self.inputs.send(input).await);
        match received.await {
            Ok(CallerResponse::Head { head, body }) => {
                build_response(head, body, guard, options).await
            }
            Ok(CallerResponse::Refused { request, refusal }) => {
                guard.disarm();
                refusal_response(request.as_ref(), &refusal)
            }
            Err(_closed) => refusal_response(None, &Refusal::not_run(RefusalReason::ShuttingDown)),
        }
    }

    fn request(
        &self,
        key: KeyDigest,
        headers: &HeaderMap,
        user: Option<SessionId>,
        payload: RequestPayload,
    ) -> Result<CallerRequest, ApiError> {
        Ok(CallerRequest {
            caller: CallerId::new(self.next_caller.fetch_add(1, Ordering::Relaxed)),
            key,
            session: request_header::session(headers)?.or(user),
            class: request_header::class(headers)?,
            deadline_ms: request_header::deadline_ms(headers)?,
            payload,
        })
    }
}

type ReadBody = Result<Bytes, ApiError>;

fn body_limit_bytes(configuration: &Configuration) -> usize {
    configuration.defaults.request_body_limit_bytes.get() as usize
}

async fn chat(State(api): State<Arc<HttpApi>>, request: Request) -> Result<Response, ApiError> {
    let (parts, body) = request.into_parts();
    let admitted = api.admit(&parts.headers)?;
    let limit_bytes = body_limit_bytes(&admitted.configuration);
    let body = api.read_body(&parts.headers, body, limit_bytes).await?;
    let chat = ChatBody::try_from(body).map_err(ApiError::InvalidBody)?;
    let options =
        StreamOptions { stream: chat.request.stream, include_usage: chat.request.include_usage };
    let payload = RequestPayload::Chat(chat.request);
    let request = api.request(admitted.key, &parts.headers, chat.session, payload)?;
    Ok(api.submit(request, admitted.permit, options).await)
}

async fn service(State(api): State<Arc<HttpApi>>, request: Request) -> Result<Response, ApiError> {
    let (parts, body) = request.into_parts();
    let admitted = api.admit(&parts.headers)?;
    let limit_bytes = body_limit_bytes(&admitted.configuration);
    let (service, path) = split_path(&parts.uri).ok_or(ApiError::UnknownPath)?;
    let content_type = parts.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).map(Into::into);
    let payload = RequestPayload::Service(ServiceRequest {
        service,
        method: parts.method.as_str().into(),
        path: path.into(),
        content_type,
        idempotency_key: request_header::idempotency_key(&parts.headers)?,
        body: api.read_body(&parts.headers, body, limit_bytes).await?,
    });
    let request = api.request(admitted.key, &parts.headers, None, payload)?;
    Ok(api.submit(request, admitted.permit, StreamOptions::default()).await)
}

/// Splits a URI into the name of the service and the path with query below its root.
fn split_path(uri: &http::Uri) -> Option<(ServiceName, &str)> {
    let rest = uri.path_and_query()?.as_str().strip_prefix(SERVICES_PREFIX)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    Some((name.parse().ok()?, path))
}

async fn models(State(api): State<Arc<HttpApi>>, headers: HeaderMap) -> Result<Response, ApiError> {
    let admitted = api.admit(&headers)?;
    let configuration = &admitted.configuration;
    let customer = configuration.customer_by_key(&admitted.key);
    let names = customer.map(|customer| model_names(customer, configuration)).unwrap_or_default();
    let data: Vec<_> = names
        .into_iter()
        .map(|id| json!({ "id": id, "object": "model", "created": 0, "owned_by": "hickorydoor" }))
        .collect();
    Ok(json_response(StatusCode::OK, &json!({ "object": "list", "data": data })))
}

/// Returns the models and cascades that the customer may request. Models without a
/// serving version that the customer may use are left out.
fn model_names<'a>(customer: &'a Customer, configuration: &Configuration) -> Vec<&'a str> {
    let usable = |id: &&hickorydoor::id::ModelId| {
        configuration.models.get(*id).is_some_and(|model| {
            let mut versions = model.versions.iter();
            versions.any(|version| {
                version.state.serves_sessions() && customer.allows_version(model, version)
            })
        })
    };
    let models = customer.models.iter().filter(usable).map(hickorydoor::id::ModelId::as_str);
    let cascades = customer.cascades.iter().map(hickorydoor::id::CascadeId::as_str);
    models.chain(cascades).collect()
}

async fn require_http_1_1(request: Request, next: Next) -> Response {
    if request.version() < Version::HTTP_11 {
        return ApiError::UnsupportedVersion.into_response();
    }
    next.run(request).await
}
