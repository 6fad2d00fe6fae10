//! Questions of the operators' port to a process.

use hickorydoor::id::RequestId;
use tokio::sync::oneshot;

use crate::request_log::RequestNote;
use crate::status::Status;
use crate::timings::TimingSummary;

/// A question with the channel for its answer.
#[derive(Debug)]
pub enum Question {
    /// The state of the process.
    Status(oneshot::Sender<Status>),
    /// Histograms for each customer and class.
    Timings(oneshot::Sender<Vec<TimingSummary>>),
    /// What happened to a recent request; empty if it is not known.
    Request {
        /// The request.
        request: RequestId,
        /// Takes the notes in the order in which they were made.
        answer: oneshot::Sender<Vec<RequestNote>>,
    },
}
