//! The headers by which a deployment names what a gateway reads and sets.

use http::HeaderName;

/// Names of headers. The default is the product's own interface; an adapter may set others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// The client's id of its attempt.
    pub client_attempt: HeaderName,
    /// Time that the client waits, in ms.
    pub deadline_ms: HeaderName,
    /// API key.
    pub key: HeaderName,
    /// Model.
    pub model: HeaderName,
    /// Tokens to read and tokens to generate at most.
    pub tokens: HeaderName,
    /// Parts of the prompt.
    pub prompt_parts: HeaderName,
    /// Last event that the client has.
    pub last_event: HeaderName,
    /// Session.
    pub session: HeaderName,
    /// Customer, set for the upstream.
    pub customer: HeaderName,
    /// Upstream that is to run the request.
    pub expected_upstream: HeaderName,
    /// Rank, set for the upstream.
    pub priority: HeaderName,
    /// Engine from which kept prompt parts are to be fetched.
    pub fetch_from: HeaderName,
    /// Signature of the upstream under its answer.
    pub signature: HeaderName,
    /// The model's own opinion of its answer, from 0 to 100.
    pub confidence: HeaderName,
    /// Statement of the upstream that the request did not run.
    pub not_run: HeaderName,
    /// Headers that only a gateway may set; those of clients are dropped.
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
            reserved: Vec::new(),
        }
    }
}
