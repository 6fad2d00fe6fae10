//! How an entry has a sample of its answers rated, and reports ratings to the agents.
//!
//! Whether an answer is sampled is decided before the attempt is sent, so that the sample does not
//! depend on the outcome. The caller has its whole answer before the rating service is asked.

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

/// Longer answers are not sampled; bounds the memory of copies.
const MAX_SAMPLE_BYTES: ByteCount = ByteCount::new(256 << 10);
/// Ratings that take longer are not waited for.
const SAMPLE_TIMEOUT_MS: DurationMs = DurationMs::from_secs(30);
/// Time between two reports of ratings to the agents.
const VERDICT_INTERVAL_MS: DurationMs = DurationMs::from_secs(1);

impl Entry {
    /// Decides whether the answer of the next attempt is rated after its delivery.
    pub(crate) fn should_sample(
        &mut self,
        serial: Serial,
        version: &VersionId,
        now: TimeMs,
    ) -> bool {
        let judged = self.requests.get(&serial).and_then(RequestState::required_score);
        if judged.is_some() {
            return false;
        }
        // The baseline has many times the traffic and must not use up the canary's samples.
        let known = self.config.current().version(version);
        let first = known.is_some_and(|(_, known)| known.state == VersionState::Canary);
        self.ratings.sampler.try_acquire(first, now)
    }

    /// Keeps a piece of a sampled answer.
    pub(crate) fn append_to_sample(&mut self, serial: Serial, data: &Bytes) {
        let Some(attempt) = self.requests.get_mut(&serial).and_then(|s| s.attempt.as_mut()) else {
            return;
        };
        if attempt.received > MAX_SAMPLE_BYTES {
            attempt.sample = None;
        } else if let Some(pieces) = &mut attempt.sample {
            pieces.push(data.clone());
        }
    }

    /// Asks for the rating of a sampled answer that the caller has got.
    pub(crate) fn rate_sample(&mut self, serial: Serial, now: TimeMs) {
        let Some(state) = self.requests.get_mut(&serial) else {
            return;
        };
        let reference = cascade_of(state).map(|(cascade, _)| cascade.clone());
        let Some(attempt) = &mut state.attempt else {
            return;
        };
        let (Some(version), Some(pieces)) = (attempt.version.clone(), attempt.sample.take()) else {
            return;
        };
        let RequestPayload::Chat(chat) = &state.request.payload else {
            return;
        };
        let sample = Sample {
            agent: attempt.agent.clone(),
            version: version.clone(),
            reference,
            until_ms: now + SAMPLE_TIMEOUT_MS,
        };
        let effect = EntryEffect::Rate {
            request: state.id.clone(),
            ordinal: attempt.ordinal,
            version,
            prompt: chat.body.clone(),
            answer: pieces.concat().into(),
        };
        self.ratings.samples.insert((serial, attempt.ordinal), sample);
        self.push(effect);
    }

    /// Takes the rating of a sample; returns whether it was one.
    pub(crate) fn on_sample_rated(
        &mut self,
        request: &RequestId,
        ordinal: u32,
        rating: Result<f64, RatingFault>,
    ) -> bool {
        let own = request.incarnation == self.settings.incarnation;
        let key = (request.serial, ordinal);
        let Some(sample) = self.ratings.samples.remove(&key).filter(|_| own) else {
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

    /// Counts a rating for this entry's own test and for the agent that answered.
    pub(crate) fn report_rating(&mut self, agent: &HostId, version: &VersionId, score: f64) {
        self.guard.local.pending(version).add_rating(score);
        let verdict = VersionRating { version: version.clone(), score };
        self.ratings.verdicts.entry(agent.clone()).or_default().push(verdict);
    }

    pub(crate) fn tick_ratings(&mut self, now: TimeMs) {
        if now < self.ratings.next_report_at_ms {
            return;
        }
        self.ratings.next_report_at_ms = now + VERDICT_INTERVAL_MS;
        self.ratings.samples.retain(|_, sample| now < sample.until_ms);
        for (agent, verdicts) in std::mem::take(&mut self.ratings.verdicts) {
            self.send(&agent, EntryMessage::Ratings(verdicts));
        }
    }
}
