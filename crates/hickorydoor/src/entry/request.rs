//! Life cycle of a request: admission, placement, dispatch to an agent, and completion.

use smallvec::SmallVec;

use crate::billing::bill::BillLine;
use crate::billing::usage::Usage;
use crate::configuration::customer::Customer;
use crate::entry::Entry;
use crate::entry::caller_request::CallerRequest;
use crate::entry::caller_request::ChatRequest;
use crate::entry::caller_request::RequestPayload;
use crate::entry::caller_request::ServiceRequest;
use crate::entry::effect::EntryEffect;
use crate::entry::placement::ChosenUpstream;
use crate::entry::placement::PlacementRequest;
use crate::entry::placement::Requirement;
use crate::entry::placement::upstream_score::Work;
use crate::entry::request_state::Attempt;
use crate::entry::request_state::Plan;
use crate::entry::request_state::RequestState;
use crate::entry::resume::after_unknown_outcome;
use crate::id::ModelId;
use crate::id::RequestId;
use crate::id::Revision;
use crate::id::Serial;
use crate::id::VersionId;
use crate::message::Call;
use crate::message::Dispatch;
use crate::message::EntryMessage;
use crate::message::ModelCall;
use crate::message::ServiceCall;
use crate::observation::Observation;
use crate::observation::RequestOutcome;
use crate::observation::RequestRecord;
use crate::quantity::ByteCount;
use crate::quantity::Tokens;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::refusal::RunState;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Retry delay that is sent when there is no upstream or the entry is not available.
const RETRY_AFTER_MS: DurationMs = DurationMs::from_secs(1);

/// No version of the model may run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoVersion;

impl Entry {
    pub(crate) fn on_request(&mut self, request: CallerRequest, now: TimeMs) {
        let caller = request.caller;
        match self.admit(request, now) {
            Ok(mut state) => {
                if let Err(refusal) = self.check_limits(&mut state, now) {
                    let request = Some(state.id);
                    self.push(EntryEffect::Refuse { caller, request, refusal });
                    return;
                }
                let serial = state.id.serial;
                self.callers.insert(caller, serial);
                self.requests.insert(serial, state);
                self.start_cascade(serial, now);
                self.dispatch(serial, now);
            }
            Err(refusal) => self.push(EntryEffect::Refuse { caller, request: None, refusal }),
        }
    }

    fn admit(&mut self, request: CallerRequest, now: TimeMs) -> Result<RequestState, Refusal> {
        if self.draining {
            return Err(Refusal::not_run(RefusalReason::ShuttingDown).retry_after(RETRY_AFTER_MS));
        }
        if self.revision() == Revision::default() {
            // Keys cannot be checked without a configuration, so the key must not be reported as
            // unknown.
            return Err(Refusal::not_run(RefusalReason::NoUpstream).retry_after(RETRY_AFTER_MS));
        }
        let configuration = self.config.current();
        let customer = configuration
            .customer_by_key(&request.key)
            .ok_or(Refusal::not_run(RefusalReason::UnknownKey))?;
        let plan = match &request.payload {
            RequestPayload::Chat(chat) => self.plan_chat(customer, chat)?,
            RequestPayload::Service(service) => self.plan_service(customer, service)?,
        };
        let customer = customer.id.clone();
        let default_ms = self.default_deadline(&customer, request.class, now);
        let deadline_ms = request.deadline_ms.unwrap_or(default_ms);
        let id = RequestId {
            entry: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            serial: self.allocate_serial(),
        };
        Ok(RequestState {
            id,
            caller: request.caller,
            customer,
            class: request.class,
            plan,
            accepted_at_ms: now,
            deadline_at_ms: now + deadline_ms,
            attempts: 0,
            attempt: None,
            excluded: SmallVec::new(),
            queue: None,
            reserved_tokens: 0,
            last_agent: None,
            dispatched_agents: SmallVec::new(),
            run: RunState::NotRun,
            bill_lines: Vec::new(),
            head_sent: false,
            buffered: Vec::new(),
            buffered_bytes: ByteCount::default(),
            first_dispatch_at_ms: None,
            first_token_at_ms: None,
            session_moved: false,
            step_started_at_ms: now,
            step_first_attempt: 0,
            step_failed: false,
            request,
        })
    }

    fn plan_chat(&self, customer: &Customer, chat: &ChatRequest) -> Result<Plan, Refusal> {
        let unknown = || Refusal::not_run(RefusalReason::UnknownModel { name: chat.model.clone() });
        if let Some(model) = customer.models.iter().find(|id| id.as_str() == chat.model) {
            return Ok(Plan::Models {
                steps: vec![model.clone()],
                step: 0,
                release_score: None,
                cascade: None,
                rated: false,
            });
        }
        let cascade = customer
            .cascades
            .iter()
            .find(|id| id.as_str() == chat.model)
            .and_then(|id| self.config.current().cascades.get(id))
            .ok_or_else(unknown)?;
        let steps: Vec<ModelId> =
            cascade.steps.iter().filter(|step| customer.allows_model(step)).cloned().collect();
        if steps.is_empty() {
            return Err(unknown());
        }
        Ok(Plan::Models {
            steps,
            step: 0,
            release_score: Some(cascade.release_score),
            cascade: Some(cascade.id.clone()),
            rated: true,
        })
    }

    fn plan_service(&self, customer: &Customer, request: &ServiceRequest) -> Result<Plan, Refusal> {
        let service = self.config.current().services.get(&request.service);
        match service {
            Some(service) if customer.services.contains(&service.name) => {
                Ok(Plan::Service { repeatable: service.is_repeatable(&request.method) })
            }
            _ => {
                let name = request.service.as_str().into();
                Err(Refusal::not_run(RefusalReason::UnknownModel { name }))
            }
        }
    }

    /// Sends the request to an agent, queues it if no upstream has capacity, or refuses it if no
    /// upstream can serve it.
    pub(crate) fn dispatch(&mut self, serial: Serial, now: TimeMs) {
        if self.await_pin(serial, now) {
            return;
        }
        let Some(state) = self.requests.get(&serial) else {
            return;
        };
        if self.is_exhausted(state) {
            self.refuse(serial, RefusalReason::NoUpstream, Some(RETRY_AFTER_MS), now);
            return;
        }
        if !self.must_wait(serial)
            && let Some((chosen, version)) = self.place(serial, now)
        {
            self.send_attempt(serial, &chosen, version, now);
        } else if self.has_upstream(serial) {
            self.enqueue(serial, now);
        } else {
            self.refuse(serial, RefusalReason::NoUpstream, Some(RETRY_AFTER_MS), now);
        }
    }

    pub(crate) fn is_exhausted(&self, state: &RequestState) -> bool {
        state.excluded.len() >= self.settings.max_attempts as usize
            || state.attempts - state.step_first_attempt >= self.settings.max_dispatches
    }

    /// Chooses an agent with capacity and, for model calls, the version to run.
    pub(crate) fn place(
        &mut self,
        serial: Serial,
        now: TimeMs,
    ) -> Option<(ChosenUpstream, Option<VersionId>)> {
        let state = self.requests.get(&serial)?;
        let version = self.version_for(state).ok()?;
        let request = PlacementRequest {
            requirement: requirement_of(state, version.as_ref())?,
            work: self.expected_work(state),
            prefix: prefix_of(state),
            excluded: &state.excluded,
        };
        let configuration = self.config.current();
        let chosen =
            self.placement.choose(&self.members, configuration, &request, now, &mut self.rng)?;
        Some((chosen, version))
    }

    /// Returns whether a usable upstream can serve the request, with or without free capacity.
    pub(crate) fn has_upstream(&self, serial: Serial) -> bool {
        let find = || {
            let state = self.requests.get(&serial)?;
            let version = self.version_for(state).ok()?;
            let requirement = requirement_of(state, version.as_ref())?;
            let configuration = self.config.current();
            let mut usable = self.members.iter().filter(|(agent, member)| {
                requirement.is_met_by(member)
                    && member.is_usable(configuration)
                    && !state.excluded.contains(agent)
            });
            usable.next()
        };
        find().is_some()
    }

    /// Chooses the model version to run; `None` for plain services.
    pub(crate) fn version_for(&self, state: &RequestState) -> Result<Option<VersionId>, NoVersion> {
        match &state.plan {
            Plan::Models { steps, step, .. } => {
                self.choose_version(state, &steps[*step]).map(Some).ok_or(NoVersion)
            }
            Plan::Service { .. } => Ok(None),
        }
    }

    /// Estimates the size of a request; the answer length comes from past answers of the customer.
    pub(crate) fn expected_work(&self, state: &RequestState) -> Work {
        let default = Tokens::new(self.config.current().defaults.expected_answer_tokens);
        let learned = self.placement.answer_lengths.expected(&state.customer, state.class, default);
        match &state.request.payload {
            RequestPayload::Chat(chat) => Work {
                class: state.class,
                prompt_tokens: chat.prompt_tokens,
                answer_tokens: chat.max_tokens.map_or(learned, |limit| limit.min(learned)),
            },
            RequestPayload::Service(_) => Work {
                class: state.class,
                prompt_tokens: Tokens::default(),
                answer_tokens: Tokens::default(),
            },
        }
    }

    pub(crate) fn send_attempt(
        &mut self,
        serial: Serial,
        chosen: &ChosenUpstream,
        version: Option<VersionId>,
        now: TimeMs,
    ) {
        let agent = &chosen.agent;
        let Some(work) = self.requests.get(&serial).map(|state| self.expected_work(state)) else {
            return;
        };
        let sampled =
            version.as_ref().is_some_and(|version| self.should_sample(serial, version, now));
        let Some(member) = self.members.get_mut(agent) else {
            return;
        };
        let Some(hello) = &member.hello else {
            return;
        };
        let agent_incarnation = hello.incarnation;
        member.count_sent(work.prompt_tokens);
        member.last_serial = Some(serial);
        let Some(state) = self.requests.get_mut(&serial) else {
            return;
        };
        let attempt = state.attempt_id(state.attempts);
        let call = match &state.request.payload {
            RequestPayload::Chat(chat) => {
                let Some(version) = version.clone() else {
                    return;
                };
                Call::Model(model_call(chat, version, state.wants_stream(), work.answer_tokens))
            }
            RequestPayload::Service(request) => {
                Call::Service(service_call(request, state.is_repeatable()))
            }
        };
        let dispatch = Dispatch {
            attempt: attempt.clone(),
            customer: state.customer.clone(),
            class: state.class,
            session: state.request.session.clone(),
            time_left_ms: state.deadline_at_ms.since(now),
            call,
        };
        state.attempt = Some(Attempt {
            ordinal: state.attempts,
            agent: agent.clone(),
            agent_incarnation,
            sent_at_ms: now,
            expected_first_token_ms: chosen.first_token_ms,
            version: version.clone(),
            response_head: None,
            received: ByteCount::default(),
            credited: ByteCount::default(),
            read: ByteCount::default(),
            tokens: Tokens::default(),
            link_lost_at_ms: None,
            head_requested: false,
            complete: false,
            rating_requested_at_ms: None,
            sample: sampled.then(Vec::new),
        });
        state.attempts += 1;
        state.last_agent = Some(agent.clone());
        if !state.dispatched_agents.contains(agent) {
            state.dispatched_agents.push(agent.clone());
        }
        state.first_dispatch_at_ms.get_or_insert(now);
        self.send(agent, EntryMessage::Dispatch(Box::new(dispatch)));
        self.record(Observation::Dispatched {
            attempt,
            agent: agent.clone(),
            version,
            expected_first_token_ms: chosen.first_token_ms,
        });
    }

    /// Ends the request with a refusal, or aborts its response if the head was already sent. A
    /// cascade continues with a later step instead if it can.
    pub(crate) fn refuse(
        &mut self,
        serial: Serial,
        reason: RefusalReason,
        retry_after_ms: Option<DurationMs>,
        now: TimeMs,
    ) {
        self.release_attempt(serial);
        if self.try_escalate(serial, &reason, now) {
            return;
        }
        let Some(state) = self.requests.get(&serial) else {
            return;
        };
        let caller = state.caller;
        let code = reason.code();
        let refusal = Refusal { reason, run: state.run, retry_after_ms };
        if state.head_sent {
            self.push(EntryEffect::Abort { caller, refusal });
            self.finish(serial, RequestOutcome::Aborted(code), now);
        } else {
            let request = Some(state.id.clone());
            self.push(EntryEffect::Refuse { caller, request, refusal });
            self.finish(serial, RequestOutcome::Refused(code), now);
        }
    }

    /// Detaches the current attempt from the request and frees its capacity at the agent.
    pub(crate) fn release_attempt(&mut self, serial: Serial) -> Option<Attempt> {
        let attempt = self.requests.get_mut(&serial)?.attempt.take()?;
        if let Some(member) = self.members.get_mut(&attempt.agent) {
            member.in_flight = member.in_flight.saturating_sub(1);
        }
        self.capacity_freed = true;
        Some(attempt)
    }

    /// Cancels the current attempt at its agent and bills the tokens that it delivered.
    pub(crate) fn cancel_attempt(&mut self, serial: Serial) {
        let Some(attempt) = self.release_attempt(serial) else {
            return;
        };
        if attempt.complete {
            // A complete response that waits for its rating has already been billed.
            return;
        }
        let Some(state) = self.requests.get_mut(&serial) else {
            return;
        };
        state.run = after_unknown_outcome(state.run);
        let id = state.attempt_id(attempt.ordinal);
        let prompt_tokens = match &state.request.payload {
            RequestPayload::Chat(chat) if attempt.tokens > Tokens::default() => chat.prompt_tokens,
            _ => Tokens::default(),
        };
        let usage = Usage { prompt_tokens, answer_tokens: attempt.tokens };
        self.send_cancel(&attempt.agent, attempt.agent_incarnation, id);
        self.add_usage(serial, attempt.version, usage);
    }

    /// Adds the usage of an attempt to the request's bill.
    pub(crate) fn add_usage(&mut self, serial: Serial, version: Option<VersionId>, usage: Usage) {
        if usage == Usage::default() && version.is_some() {
            return;
        }
        let configuration = self.config.current();
        let model = version.as_ref().and_then(|id| configuration.version(id));
        let cost_micros = model.map(|(model, _)| model.cost(&usage)).unwrap_or_default();
        if let Some(state) = self.requests.get_mut(&serial) {
            state.bill_lines.push(BillLine { version, usage, cost_micros });
        }
    }

    /// Removes the request, bills it and records its outcome.
    pub(crate) fn finish(&mut self, serial: Serial, outcome: RequestOutcome, now: TimeMs) {
        let Some(state) = self.requests.remove(&serial) else {
            return;
        };
        self.callers.remove(&state.caller);
        self.remove_from_queue(&state);
        let used_tokens =
            state.bill_lines.iter().map(|line| line.usage.prompt_tokens + line.usage.answer_tokens);
        let used_tokens = used_tokens.sum::<Tokens>().get();
        self.limits.release(&state.customer, state.reserved_tokens, used_tokens);
        let mut usage = Usage::default();
        let mut version = None;
        for line in &state.bill_lines {
            usage += line.usage;
            version.clone_from(&line.version);
        }
        let record = RequestRecord {
            request: state.id.clone(),
            customer: state.customer.clone(),
            class: state.class,
            version,
            agent: state.last_agent.clone(),
            attempts: state.attempts,
            queue_ms: state.first_dispatch_at_ms.unwrap_or(now).since(state.accepted_at_ms),
            first_token_ms: state.first_token_at_ms.map(|at| at.since(state.accepted_at_ms)),
            total_ms: now.since(state.accepted_at_ms),
            usage,
            cost_micros: state.bill_lines.iter().map(|line| line.cost_micros).sum(),
            outcome,
        };
        self.bill(state, now);
        self.record(Observation::Request(Box::new(record)));
    }

    /// Refuses requests whose deadline has passed and fails attempts whose resume window has passed.
    pub(crate) fn expire_requests(&mut self, now: TimeMs) {
        let window_ms = self.settings.resume_window_ms;
        let mut expired = Vec::new();
        let mut lost = Vec::new();
        for (serial, state) in &self.requests {
            let lost_at_ms = state.attempt.as_ref().and_then(|attempt| attempt.link_lost_at_ms);
            if now >= state.deadline_at_ms {
                expired.push(*serial);
            } else if lost_at_ms.is_some_and(|at| now >= at + window_ms) {
                lost.push(*serial);
            }
        }
        expired.sort_unstable();
        lost.sort_unstable();
        for serial in expired {
            self.cancel_attempt(serial);
            self.refuse(serial, RefusalReason::DeadlineExceeded, None, now);
        }
        for serial in lost {
            self.on_attempt_lost(serial, now);
        }
    }
}

fn requirement_of<'a>(
    state: &'a RequestState,
    version: Option<&'a VersionId>,
) -> Option<Requirement<'a>> {
    match (version, &state.request.payload) {
        (Some(version), _) => Some(Requirement::Version(version)),
        (None, RequestPayload::Service(call)) => Some(Requirement::Service(&call.service)),
        (None, RequestPayload::Chat(_)) => None,
    }
}

fn prefix_of(state: &RequestState) -> u64 {
    match &state.request.payload {
        RequestPayload::Chat(chat) => chat.prefix_hash,
        RequestPayload::Service(_) => 0,
    }
}

fn model_call(
    chat: &ChatRequest,
    version: VersionId,
    stream: bool,
    expected_answer: Tokens,
) -> ModelCall {
    ModelCall {
        version,
        stream,
        include_usage: chat.include_usage,
        prompt_tokens: chat.prompt_tokens,
        answer_tokens: expected_answer,
        prefix_hash: chat.prefix_hash,
        body: chat.body.clone(),
    }
}

fn service_call(request: &ServiceRequest, repeatable: bool) -> ServiceCall {
    ServiceCall {
        service: request.service.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        content_type: request.content_type.clone(),
        idempotency_key: request.idempotency_key.clone(),
        repeatable,
        body: request.body.clone(),
    }
}
