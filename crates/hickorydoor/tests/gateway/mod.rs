//! A gateway with a small catalog and a manual clock.

#![allow(dead_code, reason = "each test uses a part of the helpers")]

use std::num::NonZeroU32;
use std::sync::Arc;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::Gateway;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::GatewaySettings;
use hickorydoor::gateway::call::Call;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::call::Prompt;
use hickorydoor::gateway::call::PromptPart;
use hickorydoor::gateway::catalog::Account;
use hickorydoor::gateway::catalog::CallerLimits;
use hickorydoor::gateway::catalog::Catalog;
use hickorydoor::gateway::catalog::OfferedModel;
use hickorydoor::gateway::catalog::ServiceSpec;
use hickorydoor::gateway::effect::Dispatch;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::load_control::LoadControl;
use hickorydoor::gateway::member::GatewayMember;
use hickorydoor::gateway::placement::PlacementCosts;
use hickorydoor::gateway::refusal::CallRefusal;
use hickorydoor::gateway::retry_budget::RetryBound;
use hickorydoor::gateway::rollout::ExposureBudget;
use hickorydoor::gateway::rollout::RolloutOrder;
use hickorydoor::gateway::route::Backend;
use hickorydoor::gateway::route::CallKind;
use hickorydoor::gateway::route::Route;
use hickorydoor::gateway::store_position::StoreEra;
use hickorydoor::gateway::store_position::StorePosition;
use hickorydoor::gateway::upstreams::Registration;
use hickorydoor::quantity::KbitPerS;
use hickorydoor::quantity::Share;

pub mod crash_fleet;
pub mod fleet;
pub mod limit_fleet;
pub mod part_store;
pub mod rollout_fleet;
pub mod room_fleet;

pub const HOST: &str = "api.example";
pub const KEY: &str = "key-1";
pub const ENGINES: &str = "engines";
pub const PLAIN: &str = "registry";
/// Connections that one upstream accepts.
pub const MAX_CONNECTIONS: u32 = 370;

/// Settings with the bounds of a small deployment.
pub fn settings(host: &str) -> GatewaySettings {
    GatewaySettings {
        host: host.parse().unwrap(),
        incarnation: 1,
        data_centre: "dc-1".parse().unwrap(),
        address: "127.0.0.1".parse().unwrap(),
        link_rate_kbit_per_s: KbitPerS::new(1_000_000),
        max_configuration_age_ms: DurationMs::new(4_400),
        retries: RetryBound { ratio: 0.9, extra: 58.0, window_ms: DurationMs::from_secs(10) },
        costs: PlacementCosts {
            cross_ms_per_kb: 10.0,
            cross_ms: 3.0,
            value_per_token: 1.8e-4,
            fetch_per_token: 2.3e-5,
            recompute_per_token: 0.9e-5,
        },
        session_ms: DurationMs::new(5_500),
        store_recovery_grace_ms: DurationMs::new(2_200),
        stop_notice_ms: DurationMs::new(2_600),
        stop_timeout_ms: DurationMs::new(7_600),
        cold_limit_factor: 1.2,
        load_control: LoadControl::default(),
    }
}

pub fn route(prefix: &str, kind: CallKind, service: &str) -> Route {
    let streaming = kind == CallKind::Streaming;
    let models = ["small", "middle", "large"];
    Route {
        name: prefix.trim_matches('/').into(),
        host: HOST.into(),
        prefix: prefix.into(),
        kind,
        timeout_ms: DurationMs::new(if streaming { 15_000 } else { 800 }),
        objective_ms: DurationMs::new(if streaming { 3_000 } else { 150 }),
        pause_ms: DurationMs::new(if streaming { 1_000 } else { 0 }),
        priority: 1,
        max_attempts: match kind {
            CallKind::Idempotent => 2,
            CallKind::NonIdempotent => 1,
            CallKind::Streaming => 3,
        },
        resumable: streaming,
        public: false,
        regions: Vec::new(),
        backends: vec![Backend { service: service.parse().unwrap(), weight: 1 }],
        models: if streaming {
            models.iter().map(|model| model.parse().unwrap()).collect()
        } else {
            Vec::new()
        },
    }
}

pub fn catalog(version: u64, keys: &[&str]) -> Catalog {
    catalog_with(version, keys, Vec::new())
}

/// A catalog with further routes, which replace those of the same prefix.
pub fn catalog_with(version: u64, keys: &[&str], further: Vec<Route>) -> Catalog {
    let costs = [("small", 0.0085), ("middle", 0.064), ("large", 0.13)];
    let models = costs
        .iter()
        .map(|(model, cost)| OfferedModel { model: model.parse().unwrap(), cost: *cost });
    let service = |name: &str, cold_per_s, models| ServiceSpec {
        name: name.parse().unwrap(),
        max_connections: NonZeroU32::new(MAX_CONNECTIONS),
        cold_per_s,
        memory_tokens: 488_442,
        transfer_ms_per_token: 0.0,
        models,
    };
    let mut routes = vec![
        route("/draft/", CallKind::Streaming, ENGINES),
        route("/book/", CallKind::NonIdempotent, PLAIN),
        route("/look/", CallKind::Idempotent, PLAIN),
    ];
    routes.retain(|known| further.iter().all(|route| route.prefix != known.prefix));
    routes.extend(further);
    Catalog::new(
        version,
        CallerLimits::default(),
        routes,
        vec![service(ENGINES, 7.3, models.collect()), service(PLAIN, 0.0, Vec::new())],
        Some(vec![Account {
            customer: "customer-1".parse().unwrap(),
            keys: keys.iter().map(|key| (*key).into()).collect(),
            priority: None,
            weight: None,
        }]),
    )
}

pub fn registration(id: &str, service: &str) -> Registration {
    Registration {
        upstream: id.parse().unwrap(),
        service: service.parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        region: None,
        version: "v1".into(),
        slots: if service == ENGINES { 64 } else { 6 },
        draining: false,
        cold_ms: DurationMs::new(0),
        started_unix_ms: 1,
        sequence: 1,
    }
}

pub fn order(revision: u64) -> RolloutOrder {
    RolloutOrder {
        service: ENGINES.parse().unwrap(),
        target: "v2".into(),
        duration_ms: DurationMs::from_secs(24),
        exposure: ExposureBudget { share: Share::from_percent(15), extra: 30 },
        position: position(1, revision),
    }
}

/// A live gateway with a link of `link_mbit_per_s`.
pub fn member(host: &str, data_centre: &str, link_mbit_per_s: u64) -> GatewayMember {
    GatewayMember {
        host: host.parse().unwrap(),
        address: "127.0.0.1".parse().unwrap(),
        data_centre: Some(data_centre.parse().unwrap()),
        link_rate_kbit_per_s: KbitPerS::new(link_mbit_per_s * 1_000),
    }
}

pub fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra::new(era), revision)
}

/// A request to one of the routes.
pub fn call(path: &str, client_attempt: &str) -> Call {
    let mut call = Call {
        client_attempt: client_attempt.into(),
        host: HOST.into(),
        path: path.into(),
        key: Some(KEY.into()),
        deadline_ms: Some(DurationMs::new(if path.starts_with("/draft") { 15_000 } else { 1_500 })),
        ..Call::default()
    };
    if path.starts_with("/draft") {
        call.prompt = prompt(7, 13_300, 3_700);
    }
    call
}

pub fn prompt(shared_id: u64, shared_tokens: u32, own_tokens: u32) -> Prompt {
    let shared = PromptPart { id: shared_id, tokens: shared_tokens };
    let own = PromptPart { id: u64::MAX, tokens: own_tokens };
    Prompt {
        tokens: shared_tokens + own_tokens,
        max_answer_tokens: 120,
        parts: [shared, own].into_iter().collect(),
    }
}

/// A gateway with its clock.
#[derive(Debug)]
pub struct Rig {
    pub gateway: Gateway,
    pub now: TimeMs,
    next_call: u64,
}

impl Rig {
    /// A gateway that knows nothing.
    pub fn empty(host: &str) -> Self {
        Self::with_load_control(host, LoadControl::default())
    }

    /// A gateway that knows nothing and uses these parts of load control.
    pub fn with_load_control(host: &str, load_control: LoadControl) -> Self {
        let settings = GatewaySettings { load_control, ..settings(host) };
        Self { gateway: Gateway::new(settings), now: TimeMs::new(100_000), next_call: 0 }
    }

    /// A gateway that has started again, in sync with the store.
    pub fn restarted(host: &str, incarnation: u64) -> Self {
        let mut rig = Self::empty(host);
        rig.gateway = Gateway::new(GatewaySettings { incarnation, ..settings(host) });
        rig.apply(GatewayEvent::Configured(Arc::new(catalog(1, &[KEY]))));
        rig
    }

    /// A gateway with the catalog and in sync with the store, but without upstreams.
    pub fn new(host: &str) -> Self {
        Self::empty(host).configured()
    }

    /// The gateway with the catalog and in sync with the store.
    pub fn configured(mut self) -> Self {
        self.apply(GatewayEvent::Configured(Arc::new(catalog(1, &[KEY]))));
        self.sync_store();
        self
    }

    /// A gateway with upstreams of both services.
    pub fn with_upstreams(host: &str, engines: usize, plain: usize) -> Self {
        Self::new(host).registered(engines, plain)
    }

    /// The gateway with upstreams of both services.
    pub fn registered(mut self, engines: usize, plain: usize) -> Self {
        for index in 0..engines {
            self.register(registration(&format!("e-{index}"), ENGINES));
        }
        for index in 0..plain {
            self.register(registration(&format!("p-{index}"), PLAIN));
        }
        self
    }

    pub fn apply(&mut self, event: GatewayEvent) -> Vec<GatewayEffect> {
        self.gateway.apply(event, self.now)
    }

    /// Tells the gateway that it is in sync. Requests that wait may be sent then.
    pub fn sync_store(&mut self) -> Vec<GatewayEffect> {
        let era = self.gateway.store_era().unwrap_or(StoreEra::new(1));
        let position = StorePosition::new(era, 1);
        let mut effects = self.apply(GatewayEvent::StoreAnswered);
        effects.extend(self.apply(GatewayEvent::StoreSynced { synced_at: self.now, position }));
        effects
    }

    pub fn register(&mut self, registration: Registration) {
        self.apply(GatewayEvent::Registered(Box::new(registration)));
    }

    /// Advances the clock in ticks of 50 ms, with the store reachable.
    pub fn advance(&mut self, ms: u64) -> Vec<GatewayEffect> {
        let mut effects = Vec::new();
        for _ in 0..ms.div_ceil(50) {
            self.now = self.now + DurationMs::new(50);
            effects.extend(self.sync_store());
            effects.extend(self.apply(GatewayEvent::Tick));
        }
        effects
    }

    pub fn send(&mut self, request: Call) -> (CallId, Vec<GatewayEffect>) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let effects = self.apply(GatewayEvent::Arrived { call, request: Box::new(request) });
        (call, effects)
    }

    pub fn end_attempt(&mut self, call: CallId, outcome: AttemptOutcome) -> Vec<GatewayEffect> {
        self.end_attempt_after(call, outcome, None)
    }

    /// Ends an attempt after the caller has received all events up to `last_event`.
    pub fn end_attempt_after(
        &mut self,
        call: CallId,
        outcome: AttemptOutcome,
        last_event: Option<u64>,
    ) -> Vec<GatewayEffect> {
        let delivered = last_event.is_some();
        self.apply(GatewayEvent::AttemptEnded { call, outcome, last_event, delivered })
    }
}

/// The dispatch among the effects, if there is one.
pub fn dispatch(effects: &[GatewayEffect]) -> Option<&Dispatch> {
    effects.iter().find_map(|effect| match effect {
        GatewayEffect::Dispatch { dispatch, .. } => Some(dispatch.as_ref()),
        _ => None,
    })
}

/// The refusal among the effects, if there is one.
pub fn refusal(effects: &[GatewayEffect]) -> Option<&CallRefusal> {
    effects.iter().find_map(|effect| match effect {
        GatewayEffect::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    })
}

pub fn is_delivered(effects: &[GatewayEffect]) -> bool {
    effects.iter().any(|effect| matches!(effect, GatewayEffect::Deliver { .. }))
}

pub fn is_aborted(effects: &[GatewayEffect]) -> bool {
    effects.iter().any(|effect| matches!(effect, GatewayEffect::Abort { .. }))
}
