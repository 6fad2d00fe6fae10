//! Change log: the configuration in force in a process, with the most recent changes.
//!
//! Revisions only increase: a change is applied if it directly follows the revision in force, a
//! snapshot if its revision is higher. A peer with an older revision gets the missing changes if
//! the log still holds them, otherwise a snapshot.

use std::collections::VecDeque;

use crate::configuration::Configuration;
use crate::configuration::ConfigurationError;
use crate::configuration::change::ChangeRecord;
use crate::id::Revision;
use crate::message::ConfigUpdate;

/// Number of changes kept for peers with older revisions; at 26,000 changes per day they cover
/// about 14 minutes.
const MAX_RECENT_CHANGES: usize = 256;

/// The configuration in force and the most recent changes that led to it.
#[derive(Clone, Debug, Default)]
pub struct ConfigLog {
    current: Configuration,
    recent: VecDeque<ChangeRecord>,
}

impl ConfigLog {
    /// Returns the configuration in force; the empty one of revision 0 before the first update.
    pub const fn current(&self) -> &Configuration {
        &self.current
    }

    /// Returns the revision in force; 0 before the first update.
    pub const fn revision(&self) -> Revision {
        self.current.revision
    }

    /// Applies the newer part of an update and returns whether the revision has increased.
    ///
    /// # Errors
    /// Fails at the first change that cannot be applied; the changes before it remain in force.
    pub fn apply(&mut self, update: ConfigUpdate) -> Result<bool, ConfigurationError> {
        let before = self.revision();
        match update {
            ConfigUpdate::Deltas(records) => {
                for record in records {
                    if record.revision > self.revision() {
                        self.current.apply(&record)?;
                        self.push_recent(record);
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

    /// Returns the update that a peer at revision `have` needs; `None` if it is up to date.
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

    fn push_recent(&mut self, record: ChangeRecord) {
        if self.recent.len() == MAX_RECENT_CHANGES {
            self.recent.pop_front();
        }
        self.recent.push_back(record);
    }
}
