//! Questions of the operators' port to a process.

use hickorydoor::id::RequestId;
use tokio::sync::oneshot;

use crate::request_log::RequestStep;
use crate::status::Status;
use crate::telemetry::Telemetry;
use crate::timings::TimingSummary;

/// A question with the channel for its answer.
#[derive(Debug)]
pub enum OperatorQuery {
    /// The state of the process.
    Status(oneshot::Sender<Status>),
    /// Histograms for each customer and class.
    Timings(oneshot::Sender<Vec<TimingSummary>>),
    /// What happened to a recent request; empty if it is not known.
    Request {
        /// The request.
        request: RequestId,
        /// Takes the notes in the order in which they were made.
        answer: oneshot::Sender<Vec<RequestStep>>,
    },
}

impl OperatorQuery {
    /// Answers from the journal and the state of the process.
    pub fn answer(self, journal: &Telemetry, status: impl FnOnce() -> Status) {
        // Whoever asked may have gone; then nobody needs the answer.
        match self {
            Self::Status(answer) => drop(answer.send(status())),
            Self::Timings(answer) => drop(answer.send(journal.timings())),
            Self::Request { request, answer } => drop(answer.send(journal.request(&request))),
        }
    }
}
