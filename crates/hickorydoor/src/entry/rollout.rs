//! How an entry shares new sessions and requests among the versions of a model.

use xxhash_rust::xxh3::xxh3_128;

use crate::configuration::model::Version;
use crate::configuration::model::VersionState;
use crate::entry::Entry;
use crate::entry::request_state::RequestState;
use crate::id::CustomerId;
use crate::id::ModelId;
use crate::id::RequestId;
use crate::id::VersionId;
use crate::rollouts::session_pin::share_hash;

impl Entry {
    /// The version on which a request runs: the pinned one of its session, else one by its share.
    pub(crate) fn choose_version(
        &self,
        state: &RequestState,
        model: &ModelId,
    ) -> Option<VersionId> {
        let version = match &state.request.session {
            Some(session) => self.pinned_version(state, session, model)?,
            // A request that failed on a canary is not exposed to it again.
            None if state.step_failed => self.derive_version(None, &state.customer, model)?,
            None => self.derive_version(Some(request_hash(&state.id)), &state.customer, model)?,
        };
        let runs = self.may_run(&state.customer, &version) && !self.is_stopped(&version);
        runs.then_some(version)
    }

    /// The version for a new session or a request without one: the newest canary whose share holds
    /// the hash, if there is one, else the newest active version. Versions that no known agent serves come last.
    pub(crate) fn derive_version(
        &self,
        hash: Option<u128>,
        customer: &CustomerId,
        model: &ModelId,
    ) -> Option<VersionId> {
        let configuration = self.config.current();
        let model = configuration.models.get(model)?;
        let customer = configuration.customers.get(customer)?;
        let allowed = |state: VersionState| {
            model.versions.iter().rev().filter(move |version| {
                version.state == state && customer.allows_version(model, version)
            })
        };
        let served =
            |version: &&Version| self.has_agent(&version.id) && !self.is_stopped(&version.id);
        let exposed = |version: &Version| {
            let hash = hash.map(|hash| share_hash(hash, &version.id));
            hash.is_some_and(|hash| version.canary_share.contains_hash(hash))
        };
        let canary = allowed(VersionState::Canary).filter(served).find(|v| exposed(v));
        // Draining versions take over from an active one that this entry has stopped.
        let stopped = allowed(VersionState::Active).any(|version| self.is_stopped(&version.id));
        let draining = || allowed(VersionState::Draining).filter(served).find(|_| stopped);
        let active = allowed(VersionState::Active).find(served);
        let newest = allowed(VersionState::Active).find(|version| !self.is_stopped(&version.id));
        let version = canary.or(active).or_else(draining).or(newest)?;
        Some(version.id.clone())
    }

    pub(crate) fn has_agent(&self, version: &VersionId) -> bool {
        let configuration = self.config.current();
        self.members
            .iter()
            .any(|(_, member)| member.serves_version(version) && member.is_usable(configuration))
    }
}

/// Uniform hash of a request. Retries of the request get the same version.
fn request_hash(request: &RequestId) -> u128 {
    xxh3_128(request.to_string().as_bytes())
}
