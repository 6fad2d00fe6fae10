//! Service levels when some callers send more than usual, as seen by the others.
//!
//! Three classes of requests with the priorities 0, 1 and 2 and 24 customers share engines that are
//! well used at the usual load. The bounds are the stated ones: the others' share of answers in time
//! falls by less than 2 percentage points if one customer sends 7 times its usual load, and that of
//! the most urgent class by less than 3 if the class of the least value doubles. The customer that
//! sends more than usual sends requests of the least urgent class only.

mod gateway;

use std::collections::VecDeque;
use std::sync::Arc;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::catalog::Account;
use hickorydoor::gateway::catalog::CallerLimits;
use hickorydoor::gateway::catalog::Catalog;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::route::CallKind;
use hickorydoor::gateway::route::Route;

use crate::gateway::ENGINES;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::catalog;
use crate::gateway::dispatch;
use crate::gateway::fleet::Fleet;
use crate::gateway::fleet::Outcome;
use crate::gateway::fleet::Request;
use crate::gateway::prompt;
use crate::gateway::registration;
use crate::gateway::route;

const GATEWAYS: usize = 12;
const ENGINE_COUNT: usize = 12;
const SLOTS: u32 = 8;
const CUSTOMERS: usize = 24;
/// Customer that sends more than usual.
const FLOODING: usize = 3;
const FOR_MS: u64 = 30_000;
const URGENT: &str = "/urgent/1";
const LOW: &str = "/low/1";
/// Minimum share of answers in time at the usual load.
const MIN_USUAL: f64 = 0.95;
/// Bound of what the others lose by the flood of one customer.
const MAX_LOSS_OF_OTHERS: f64 = 0.02;
/// Bound of what the most urgent class loses when the least urgent one doubles.
const MAX_LOSS_OF_URGENT: f64 = 0.03;
/// Path, objective and usual requests per second of each class, the most urgent first.
const CLASSES: [(&str, u64, f64); 3] =
    [(URGENT, 2_500, 14.4), ("/usual/1", 4_000, 18.4), (LOW, 10_000, 21.2)];

fn class_route(path: &str, objective_ms: u64, priority: u8) -> Route {
    let mut class_route = route(path.trim_end_matches('1'), CallKind::Streaming, ENGINES);
    class_route.objective_ms = DurationMs::new(objective_ms);
    class_route.priority = priority;
    class_route
}

fn ranked_catalog() -> Catalog {
    let routes = CLASSES.iter().zip(0..);
    let routes =
        routes.map(|((path, objective_ms, _), rank)| class_route(path, *objective_ms, rank));
    let services = catalog(1, &[]).services().cloned().collect();
    let account = |number: usize| Account {
        customer: format!("customer-{number}").parse().unwrap(),
        keys: vec![format!("key-{number}").into()],
        priority: None,
        weight: None,
    };
    let accounts = (0..CUSTOMERS).map(account).collect();
    Catalog::new(2, CallerLimits::default(), routes.collect(), services, Some(accounts))
}

/// What is sent beyond the usual load.
#[derive(Clone, Copy, Debug)]
struct Extra {
    /// Factor on the load of the flooding customer.
    customer: f64,
    /// Factor on the least urgent class.
    low: f64,
    /// Gateway that gets all requests of the flooding customer.
    gateway: Option<usize>,
}

const USUAL: Extra = Extra { customer: 1.0, low: 1.0, gateway: None };

fn requests(extra: Extra) -> Vec<Request> {
    let mut all = Vec::new();
    for customer in 0..CUSTOMERS {
        for (class, (path, objective_ms, per_s)) in CLASSES.into_iter().enumerate() {
            let mut seed = (customer * CLASSES.len() + class) as u64 + 1;
            let mut random = || {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                (seed >> 33) as f64 / f64::from(1_u32 << 31)
            };
            let floods = customer == FLOODING;
            // The flooding customer sends requests of the least urgent class only.
            let usual_per_s = match (floods, path) {
                (false, _) => per_s,
                (true, LOW) => CLASSES.iter().map(|(_, _, per_s)| per_s).sum(),
                (true, _) => continue,
            };
            let mut per_s = usual_per_s / CUSTOMERS as f64;
            per_s *= if floods { extra.customer } else { 1.0 };
            per_s *= if path == LOW { extra.low } else { 1.0 };
            let mut at_ms = 0.0;
            loop {
                at_ms += 2.0 * random() * 1_000.0 / per_s;
                if at_ms >= FOR_MS as f64 {
                    break;
                }
                all.push(Request {
                    at_ms: at_ms as u64,
                    kind: path,
                    subject: (random() * 56.0) as u64,
                    shared_tokens: 350,
                    own_tokens: (1_100.0 * (0.4 + 1.2 * random())) as u32,
                    objective_ms,
                    customer,
                    path,
                    key: format!("key-{customer}"),
                    gateway: extra.gateway.filter(|_| floods),
                });
            }
        }
    }
    all.sort_by_key(|request| request.at_ms);
    all
}

fn play(extra: Extra) -> Fleet {
    let mut fleet = Fleet::with_slots(GATEWAYS, ENGINE_COUNT, SLOTS);
    for rig in &mut fleet.rigs {
        rig.apply(GatewayEvent::Configured(Arc::new(ranked_catalog())));
    }
    fleet.run(requests(extra));
    fleet
}

/// Returns the share of the selected requests that are answered in time.
fn in_time(extra: Extra, selected: impl Fn(&Request) -> bool) -> f64 {
    play(extra).share(Outcome::InTime, selected)
}

/// Checks that the others lose little when one customer sends 7 times its usual load.
fn assert_others_are_served(gateway: Option<usize>) {
    let others = |request: &Request| request.customer != FLOODING;
    let usual = in_time(USUAL, others);
    let flooded = in_time(Extra { customer: 7.0, gateway, ..USUAL }, others);
    println!("others in time: {usual:.4}, {flooded:.4} with the flood");
    assert!(usual >= MIN_USUAL, "{usual}");
    assert!(usual - flooded < MAX_LOSS_OF_OTHERS, "{usual} and {flooded}");
}

// Guards against a customer whose requests fill the queues of its class at all gateways.
#[test]
fn customer_at_7_times_its_load_through_all_gateways_takes_nothing_from_others() {
    assert_others_are_served(None);
}

// Guards against a customer whose requests fill the queue of one gateway, which others use too.
#[test]
fn customer_at_7_times_its_load_through_one_gateway_takes_nothing_from_others() {
    assert_others_are_served(Some(0));
}

// Guards against a class of little value that displaces the most urgent one.
#[test]
fn doubled_class_of_least_value_takes_nothing_from_the_most_urgent() {
    let urgent = |request: &Request| request.path == URGENT;
    let usual = in_time(USUAL, urgent);
    let doubled = in_time(Extra { low: 2.0, ..USUAL }, urgent);
    println!("urgent in time: {usual:.4}, {doubled:.4} with the doubled class");
    assert!(usual >= MIN_USUAL, "{usual}");
    assert!(usual - doubled < MAX_LOSS_OF_URGENT, "{usual} and {doubled}");
}

/// A gateway with one engine that takes two requests at a time, which it has.
fn rig_with_full_engine() -> (Rig, VecDeque<CallId>) {
    let mut rig = Rig::new("gw-1");
    let mut catalog = ranked_catalog();
    let mut accounts: Vec<Account> = catalog.accounts().cloned().collect();
    accounts[1].priority = Some(0);
    let routes = catalog.routes().cloned().collect();
    let services = catalog.services().cloned().collect();
    catalog = Catalog::new(3, CallerLimits::default(), routes, services, Some(accounts));
    rig.apply(GatewayEvent::Configured(Arc::new(catalog)));
    let mut engine = registration("e-0", ENGINES);
    engine.slots = 1;
    rig.register(engine);
    let running = [0, 1].map(|number| {
        let (id, effects) = send(&mut rig, URGENT, 0, &format!("first-{number}"));
        assert!(dispatch(&effects).is_some());
        id
    });
    (rig, running.into_iter().collect())
}

fn send(
    rig: &mut Rig,
    path: &str,
    customer: usize,
    client_attempt: &str,
) -> (CallId, Vec<GatewayEffect>) {
    let mut request = call(path, client_attempt);
    request.key = Some(format!("key-{customer}").into());
    request.deadline_ms = Some(DurationMs::new(15_000));
    request.prompt = prompt(1, 350, 1_100);
    rig.send(request)
}

fn dispatched(effects: &[GatewayEffect]) -> Option<CallId> {
    effects.iter().find_map(|effect| match effect {
        GatewayEffect::Dispatch { call, .. } => Some(*call),
        _ => None,
    })
}

// Guards against an order in which the priority of a customer does not override that of the route,
// or in which that of the route is ignored among customers with the same priority.
#[test]
fn rank_is_the_priority_of_the_customer_and_then_of_the_route() {
    let (mut rig, mut running) = rig_with_full_engine();
    let sent = [(LOW, 0), (LOW, 1), (URGENT, 1), (URGENT, 0)];
    let ids = sent
        .map(|(path, customer)| send(&mut rig, path, customer, &format!("{path}-{customer}")).0);
    let mut order = Vec::new();
    while let Some(id) = running.pop_front() {
        let next = dispatched(&rig.end_attempt(id, AttemptOutcome::Served));
        order.extend(next);
        running.extend(next);
    }
    assert_eq!(order, [ids[2], ids[3], ids[1], ids[0]]);
}

// Guards against a class that is never served while more urgent ones wait, and against requests that
// are sent early without a record.
#[test]
fn least_urgent_class_is_sent_while_more_urgent_ones_wait() {
    let (mut rig, mut running) = rig_with_full_engine();
    let (low, _) = send(&mut rig, LOW, 2, "low");
    let mut early = None;
    for step in 0..40 {
        send(&mut rig, URGENT, step % 2 * 3, &format!("urgent-{step}"));
        rig.advance(100);
        let id = running.pop_front().unwrap();
        let effects = rig.end_attempt(id, AttemptOutcome::Served);
        running.extend(dispatched(&effects));
        early = effects.into_iter().find_map(|effect| match effect {
            GatewayEffect::SentEarly { call, turn } => Some((call, turn)),
            _ => None,
        });
        if early.is_some() || running.is_empty() {
            break;
        }
        // One more waits than is served.
        send(&mut rig, URGENT, 4, &format!("more-{step}"));
    }
    let (id, turn) = early.expect("sent early");
    assert_eq!(id, low);
    assert_eq!(turn.customer, Some("customer-2".parse().unwrap()));
    assert!(turn.waited_ms >= DurationMs::from_secs(2));
    assert!(turn.queued > 1);
}
