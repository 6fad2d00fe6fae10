//! Runs a process until it receives a stop signal.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hickorydoor::id::Incarnation;
use log::info;

use crate::agent_process::AgentProcess;
use crate::entry_process::EntryProcess;
use crate::settings::Role;
use crate::settings::Settings;
use crate::signals::Signals;
use crate::start_error::StartError;

/// Runs an entry or an agent until a signal asks it to stop, and then shuts it down gracefully.
///
/// # Errors
/// Fails if signals cannot be received, a port cannot be opened or a TLS identity cannot be used.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // Hosts store no state, so incarnations of a host are ordered by the time of their start.
    let incarnation = Incarnation::new(started.as_millis() as u64);
    let mut signals = Signals::listen()?;
    match settings.role {
        Role::Entry(mut options) => {
            options.settings.incarnation = incarnation;
            options.seed = started.as_nanos() as u64;
            let process = tokio::select! {
                started = EntryProcess::start(*options) => started?,
                () = signals.wait_for_stop() => return Ok(()),
            };
            info!(http:% = process.http_address(); "entry started");
            signals.wait_for_stop().await;
            process.shutdown().await;
            process.stopped().await;
        }
        Role::Agent(mut options) => {
            options.settings.incarnation = incarnation;
            let process = tokio::select! {
                started = AgentProcess::start(*options) => started?,
                () = signals.wait_for_stop() => return Ok(()),
            };
            info!(links:% = process.link_address(); "agent started");
            signals.wait_for_stop().await;
            process.shutdown().await;
            process.stopped().await;
        }
    }
    info!("stopped");
    Ok(())
}
