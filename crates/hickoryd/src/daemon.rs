//! Runs a process until it receives a stop signal.

use std::io;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hickorydoor::id::Incarnation;
use log::info;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::agent_process::AgentProcess;
use crate::entry_process::EntryProcess;
use crate::settings::Role;
use crate::settings::Settings;
use crate::start_error::StartError;

/// Runs an entry or an agent until SIGTERM or SIGINT, and then shuts it down gracefully.
///
/// # Errors
/// Fails if signals cannot be received, a port cannot be opened or a TLS identity cannot be used.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // Hosts store no state, so incarnations of a host are ordered by the time of their start.
    let incarnation = Incarnation::new(started.as_millis() as u64);
    let mut signals = StopSignals::listen()?;
    match settings.role {
        Role::Entry(mut options) => {
            options.settings.incarnation = incarnation;
            options.seed = started.as_nanos() as u64;
            let process = EntryProcess::start(*options).await?;
            info!(http:% = process.http_address(); "entry started");
            signals.wait().await;
            process.shutdown().await;
            process.stopped().await;
        }
        Role::Agent(mut options) => {
            options.settings.incarnation = incarnation;
            let process = AgentProcess::start(*options).await?;
            info!(links:% = process.link_address(); "agent started");
            signals.wait().await;
            process.shutdown().await;
            process.stopped().await;
        }
    }
    info!("stopped");
    Ok(())
}

/// Signals that start the graceful shutdown.
#[derive(Debug)]
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn listen() -> Result<Self, StartError> {
        let failed = |cause: io::Error| StartError::Signals { cause };
        let terminate = signal(SignalKind::terminate()).map_err(failed)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
        Ok(Self { terminate, interrupt })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
        info!("stop signal received; shutting down gracefully");
    }
}
