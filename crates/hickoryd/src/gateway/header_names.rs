//! Names of the HTTP headers that a gateway reads and sets, which differ between deployments.

use http::HeaderName;

use crate::upstream_notice::LEAVING;
use crate::upstream_notice::LIMIT;

/// Names of the headers that a gateway reads and sets. The defaults are the product's own names; a
/// platform adapter may replace them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id that the client gave to its attempt; an upstream may echo it in its response.
    pub client_attempt: HeaderName,
    /// Time that the client allows for the request, in ms. In requests to upstreams, the time that
    /// is left.
    pub deadline_ms: HeaderName,
    /// API key of the caller; not forwarded to upstreams.
    pub key: HeaderName,
    /// Requested model; `*` lets the gateway choose one. In requests to upstreams, the chosen
    /// model.
    pub model: HeaderName,
    /// Length of the prompt and maximum length of the answer in tokens, separated by a comma.
    pub tokens: HeaderName,
    /// Parts of the prompt, separated by commas: a hexadecimal id and the length in tokens, joined
    /// by a colon.
    pub prompt_parts: HeaderName,
    /// Number of the last stream event that the client has received; the stream resumes after it.
    pub last_event: HeaderName,
    /// Session that the request belongs to.
    pub session: HeaderName,
    /// Customer that sent the request; set by the gateway for the upstream.
    pub customer: HeaderName,
    /// Upstream that should run the request; another instance at its address answers with status
    /// 421.
    pub expected_upstream: HeaderName,
    /// Priority of a streaming request, from 0 (most urgent) to 9; set by the gateway for the
    /// upstream.
    pub priority: HeaderName,
    /// Address of the engine from which the upstream should fetch cached prompt parts.
    pub fetch_from: HeaderName,
    /// Signature that upstreams add to their responses; a response without it is invalid.
    pub signature: HeaderName,
    /// Confidence score that the model gives to its answer, from 0 to 100.
    pub confidence: HeaderName,
    /// Present in a response if the upstream did not execute the request.
    pub not_run: HeaderName,
    /// Present in the responses of an upstream that is about to leave.
    pub leaving: HeaderName,
    /// Requests per second that the upstream takes from all gateways together.
    pub limit: HeaderName,
    /// Headers that only a gateway may set; they are removed from requests of clients.
    pub reserved: Vec<HeaderName>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            client_attempt: name("x-hickorydoor-client-attempt"),
            deadline_ms: name("x-hickorydoor-timeout-ms"),
            key: name("x-hickorydoor-api-key"),
            model: name("x-hickorydoor-model-name"),
            tokens: name("x-hickorydoor-tokens"),
            prompt_parts: name("x-hickorydoor-prompt-parts"),
            last_event: name("last-event-id"),
            session: name("x-hickorydoor-session"),
            customer: name("x-hickorydoor-customer"),
            expected_upstream: name("x-hickorydoor-upstream"),
            priority: name("x-hickorydoor-priority"),
            fetch_from: name("x-hickorydoor-fetch-from"),
            signature: name("x-hickorydoor-signature"),
            confidence: name("x-hickorydoor-answer-confidence"),
            not_run: name("x-hickorydoor-run"),
            leaving: LEAVING,
            limit: LIMIT,
            reserved: Vec::new(),
        }
    }
}
