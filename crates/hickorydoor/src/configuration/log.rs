//! The configuration in force at a process, with the newest changes.
//!
//! Revisions only grow: a change is applied if it follows the revision in force, a snapshot if its
//! revision is higher. Peers that lag get the missing changes while the log holds them, and a
//! snapshot otherwise.

use std::collections::VecDeque;

use crate::configuration::Configuration;
use crate::configuration::ConfigurationError;
use crate::configuration::change::ChangeRecord;
use crate::id::Revision;
use crate::message::ConfigUpdate;

/// Changes kept for peers that lag; at 26,000 changes a day this covers about 14 minutes.
const MAX_KEPT_CHANGES: usize = 256;

/// The configuration in force and the changes that led to it.
#[derive(Clone, Debug, Default)]
pub struct ConfigLog {
    current: Configuration,
    recent: VecDeque<ChangeRecord>,
}

impl ConfigLog {
    /// The configuration in force.
    pub const fn current(&self) -> &Configuration {
        &self.current
    }

    /// The revision in force.
    pub const fn revision(&self) -> Revision {
        self.current.revision
    }

    /// Applies an update as far as it is newer; returns whether the revision grew.
    ///
    /// # Errors
    /// Fails if a change does not fit; the changes before it stay applied.
    pub fn apply(&mut self, update: ConfigUpdate) -> Result<bool, ConfigurationError> {
        let before = self.revision();
        match update {
            ConfigUpdate::Deltas(records) => {
                for record in records {
                    if record.revision > self.revision() {
                        self.current.apply(&record)?;
                        self.keep(record);
                    }
                }
            }
            ConfigUpdate::Snapshot(configuration) => {
                if configuration.revision > before {
                    self.current = *configuration;
                    self.recent.clear();
                }
            }
        }
        Ok(self.revision() > before)
    }

    /// What a peer at revision `have` lacks, if anything.
    pub fn updates_since(&self, have: Revision) -> Option<ConfigUpdate> {
        if have >= self.revision() {
            return None;
        }
        let covered = self.recent.front().is_some_and(|first| first.revision <= have.next());
        if !covered {
            return Some(ConfigUpdate::Snapshot(Box::new(self.current.clone())));
        }
        let missing = self.recent.iter().filter(|record| record.revision > have);
        Some(ConfigUpdate::Deltas(missing.cloned().collect()))
    }

    fn keep(&mut self, record: ChangeRecord) {
        if self.recent.len() == MAX_KEPT_CHANGES {
            self.recent.pop_front();
        }
        self.recent.push_back(record);
    }
}
