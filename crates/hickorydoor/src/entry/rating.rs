//! Rating of sampled answers after their delivery, and reports of all ratings to the agents.
//!
//! Whether an answer is sampled is decided before the attempt is sent, so that the sample does not
//! depend on the outcome. The rating is requested only after the client has the whole answer.

use bytes::Bytes;

use crate::configuration::model::VersionState;
use crate::entry::Entry;
use crate::entry::caller_request::RequestPayload;
use crate::entry::cascade::cascade_of;
use crate::entry::effect::EntryEffect;
use crate::entry::event::RatingFault;
use crate::entry::rating_state::Sample;
use crate::entry::request_state::RequestState;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::Serial;
use crate::id::VersionId;
use crate::message::EntryMessage;
use crate::message::VersionRating;
use crate::quantity::ByteCount;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Maximum size of a sampled answer; longer ones are dropped to bound the memory for copies.
const MAX_SAMPLE_BYTES: ByteCount = ByteCount::new(256 << 10);
/// Timeout for the rating of a sampled answer.
const SAMPLE_TIMEOUT_MS: DurationMs = DurationMs::from_secs(30);
/// Time between two reports of ratings to each agent.
const RATING_REPORT_INTERVAL_MS: DurationMs = DurationMs::from_secs(1);

impl Entry {
    /// Decides whether the answer of the next attempt is rated after its delivery. Answers that a
    /// cascade rates anyway are not sampled.
    pub(crate) fn should_sample(
        &mut self,
        serial: Serial,
        version: &VersionId,
        now: TimeMs,
    ) -> bool {
        let required_score = self.requests.get(&serial).and_then(RequestState::required_score);
        if required_score.is_some() {
            return false;
        }
        // Canaries have priority: the baseline gets many times the traffic and would use up the
        // sampling budget.
        let known = self.config.current().version(version);
        let is_canary = known.is_some_and(|(_, known)| known.state == VersionState::Canary);
        self.ratings.sampler.try_acquire(is_canary, now)
    }

    /// Appends a chunk to the copy of a sampled answer, or drops the copy once the answer is too
    /// long.
    pub(crate) fn append_to_sample(&mut self, serial: Serial, data: &Bytes) {
        let Some(attempt) = self.requests.get_mut(&serial).and_then(|s| s.attempt.as_mut()) else {
            return;
        };
        if attempt.received > MAX_SAMPLE_BYTES {
            attempt.sample = None;
        } else if let Some(chunks) = &mut attempt.sample {
            chunks.push(data.clone());
        }
    }

    /// Requests the rating of a sampled answer after its delivery.
    pub(crate) fn rate_sample(&mut self, serial: Serial, now: TimeMs) {
        let Some(state) = self.requests.get_mut(&serial) else {
            return;
        };
        let reference = cascade_of(state).map(|(cascade, _)| cascade.clone());
        let Some(attempt) = &mut state.attempt else {
            return;
        };
        let (Some(version), Some(chunks)) = (attempt.version.clone(), attempt.sample.take()) else {
            return;
        };
        let RequestPayload::Chat(chat) = &state.request.payload else {
            return;
        };
        let sample = Sample {
            agent: attempt.agent.clone(),
            version: version.clone(),
            reference,
            expires_at_ms: now + SAMPLE_TIMEOUT_MS,
        };
        let effect = EntryEffect::Rate {
            request: state.id.clone(),
            ordinal: attempt.ordinal,
            version,
            prompt: chat.body.clone(),
            answer: chunks.concat().into(),
        };
        self.ratings.pending_samples.insert((serial, attempt.ordinal), sample);
        self.push(effect);
    }

    /// Handles the rating of a sampled answer. Returns `false` if the rating does not belong to a
    /// sample of this process.
    pub(crate) fn on_sample_rated(
        &mut self,
        request: &RequestId,
        ordinal: u32,
        rating: Result<f64, RatingFault>,
    ) -> bool {
        let same_incarnation = request.incarnation == self.settings.incarnation;
        let key = (request.serial, ordinal);
        let Some(sample) = self.ratings.pending_samples.remove(&key).filter(|_| same_incarnation)
        else {
            return false;
        };
        if let Ok(score) = rating {
            self.report_rating(&sample.agent, &sample.version, score);
            if let Some(cascade) = &sample.reference {
                self.cascades.add_reference_rating(cascade, score);
            }
        }
        true
    }

    /// Adds a rating to this entry's own evaluation and to the next report to the agent that served
    /// the answer.
    pub(crate) fn report_rating(&mut self, agent: &HostId, version: &VersionId, score: f64) {
        self.guard.local.pending(version).add_rating(score);
        let rating = VersionRating { version: version.clone(), score };
        self.ratings.pending_ratings.entry(agent.clone()).or_default().push(rating);
    }

    pub(crate) fn tick_ratings(&mut self, now: TimeMs) {
        if now < self.ratings.next_report_at_ms {
            return;
        }
        self.ratings.next_report_at_ms = now + RATING_REPORT_INTERVAL_MS;
        self.ratings.pending_samples.retain(|_, sample| now < sample.expires_at_ms);
        for (agent, ratings) in std::mem::take(&mut self.ratings.pending_ratings) {
            self.send(&agent, EntryMessage::Ratings(ratings));
        }
    }
}
