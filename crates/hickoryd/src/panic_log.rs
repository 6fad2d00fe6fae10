//! Logs panics, which end a task without another trace.

use std::panic::PanicHookInfo;
use std::panic::set_hook;

use log::error;

/// Logs each panic of the process from now on, instead of printing it.
pub fn log_panics() {
    set_hook(Box::new(|panic: &PanicHookInfo<'_>| {
        let location = panic.location().map(ToString::to_string).unwrap_or_default();
        let reason = panic.payload_as_str().unwrap_or("unknown");
        error!(location = location.as_str(), reason = reason; "a task panicked");
    }));
}
