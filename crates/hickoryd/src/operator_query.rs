//! Queries that the operator port sends to the task that owns the reducer.

use hickorydoor::id::RequestId;
use tokio::sync::oneshot;

use crate::request_log::RequestStep;
use crate::status::Status;
use crate::telemetry::Telemetry;
use crate::timings::TimingSummary;

/// Query with the channel for its reply.
#[derive(Debug)]
pub enum OperatorQuery {
    /// State of the process.
    Status(oneshot::Sender<Status>),
    /// Percentiles of request times for each customer and class.
    Timings(oneshot::Sender<Vec<TimingSummary>>),
    /// Steps of a recent request.
    Request {
        /// Id of the request.
        request: RequestId,
        /// Receives the steps, oldest first; empty if the request is not in the log.
        reply: oneshot::Sender<Vec<RequestStep>>,
    },
}

impl OperatorQuery {
    /// Replies from the telemetry and the state of the process.
    pub fn respond(self, telemetry: &Telemetry, status: impl FnOnce() -> Status) {
        // A send fails only if the query has timed out, and then its reply is not needed.
        match self {
            Self::Status(reply) => drop(reply.send(status())),
            Self::Timings(reply) => drop(reply.send(telemetry.timings())),
            Self::Request { request, reply } => drop(reply.send(telemetry.request(&request))),
        }
    }
}
