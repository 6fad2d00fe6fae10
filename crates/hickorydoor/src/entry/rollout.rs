//! Selection of the model version for requests and new sessions.
//!
//! Each request without a session, and each new session, is assigned by a hash: a canary gets the
//! share of the hash range that its configuration sets, the newest active version gets the rest.

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
    /// Returns the version for a request: that of its session's pin, else one by the canary shares.
    /// `None` if that version may not run or this entry has stopped it.
    pub(crate) fn choose_version(
        &self,
        state: &RequestState,
        model: &ModelId,
    ) -> Option<VersionId> {
        let version = match &state.request.session {
            Some(session) => self.pinned_version(state, session, model)?,
            // Without a hash no canary is selected, so a failed request is not exposed to one
            // again.
            None if state.step_failed => self.derive_version(None, &state.customer, model)?,
            None => self.derive_version(Some(request_hash(&state.id)), &state.customer, model)?,
        };
        let is_permitted = self.may_run(&state.customer, &version) && !self.is_stopped(&version);
        is_permitted.then_some(version)
    }

    /// Returns the version for a new session or for a request without one: the newest canary whose
    /// share contains the hash, else the newest active version. Versions without a usable agent are
    /// selected last. Without a hash, canaries are skipped.
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
        let is_served = |version: &&Version| {
            self.has_usable_agent(&version.id) && !self.is_stopped(&version.id)
        };
        let is_exposed = |version: &Version| {
            let hash = hash.map(|hash| share_hash(hash, &version.id));
            hash.is_some_and(|hash| version.canary_share.contains_hash(hash))
        };
        let canary = allowed(VersionState::Canary).filter(is_served).find(|v| is_exposed(v));
        // A draining version takes over if this entry has stopped an active one.
        let stopped = allowed(VersionState::Active).any(|version| self.is_stopped(&version.id));
        let draining = || allowed(VersionState::Draining).filter(is_served).find(|_| stopped);
        let active = allowed(VersionState::Active).find(is_served);
        let newest = allowed(VersionState::Active).find(|version| !self.is_stopped(&version.id));
        let version = canary.or(active).or_else(draining).or(newest)?;
        Some(version.id.clone())
    }

    /// Whether at least one usable agent serves the version.
    pub(crate) fn has_usable_agent(&self, version: &VersionId) -> bool {
        let configuration = self.config.current();
        self.members
            .iter()
            .any(|(_, member)| member.serves_version(version) && member.is_usable(configuration))
    }
}

/// Uniform hash of a request's id, so that retries of the request get the same version.
fn request_hash(request: &RequestId) -> u128 {
    xxh3_128(request.to_string().as_bytes())
}
