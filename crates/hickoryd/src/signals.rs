//! Signals that a process of hickorydoor receives.
//!
//! Each signal that a supervisor, a shell or an operator usually sends is received, since the
//! default action of most of them ends the process with all its requests.

use std::io;

use log::info;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::start_error::StartError;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// Graceful shutdown: SIGTERM, SIGINT or SIGQUIT.
    Stop,
    /// SIGHUP, SIGUSR1 or SIGUSR2; a gateway checks its settings file, other roles only log it.
    Reload,
}

/// Receiver of the signals of the process. Once it exists, no signal that it receives ends the
/// process any more, even after it is dropped.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    quit: Signal,
    hangup: Signal,
    user_1: Signal,
    user_2: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Fails if the system does not install one.
    pub fn listen() -> Result<Self, StartError> {
        let listen = |kind| signal(kind).map_err(|cause: io::Error| StartError::Signals { cause });
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            quit: listen(SignalKind::quit())?,
            hangup: listen(SignalKind::hangup())?,
            user_1: listen(SignalKind::user_defined1())?,
            user_2: listen(SignalKind::user_defined2())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalRequest {
        let (name, request) = tokio::select! {
            _ = self.terminate.recv() => ("SIGTERM", SignalRequest::Stop),
            _ = self.interrupt.recv() => ("SIGINT", SignalRequest::Stop),
            _ = self.quit.recv() => ("SIGQUIT", SignalRequest::Stop),
            _ = self.hangup.recv() => ("SIGHUP", SignalRequest::Reload),
            _ = self.user_1.recv() => ("SIGUSR1", SignalRequest::Reload),
            _ = self.user_2.recv() => ("SIGUSR2", SignalRequest::Reload),
        };
        info!(signal = name; "signal received");
        request
    }

    /// Waits for a signal to stop. Others are logged and have no effect.
    pub async fn wait_for_stop(&mut self) {
        while self.next().await != SignalRequest::Stop {}
    }
}
