//! Sizes of the collections of a gateway, each of which has a bound (docs/CAPACITY.md).

use crate::gateway::headroom::Assignments;
use crate::gateway::reducer::Gateway;
use crate::gateway::retry_budget::RetryBudget;
use crate::gateway::rollout::Rollout;
use crate::gateway::start_record::StartRecord;
use crate::gateway::upstreams::Upstream;

impl Gateway {
    /// Returns the names and the numbers of entries of the collections, without the quarantine's.
    pub fn collection_sizes(&self) -> Vec<(&'static str, usize)> {
        let [upstreams, departures, departed_rooms, load_reports] = self.pool.sizes();
        let most = |size: fn(&Upstream) -> usize| self.pool.iter().map(size).max().unwrap_or(0);
        vec![
            ("upstreams", upstreams),
            ("departures", departures),
            ("departed_rooms", departed_rooms),
            ("load_reports", load_reports),
            ("cached_parts", most(|upstream| upstream.cache.len())),
            ("recent_dispatches", most(Upstream::recent_dispatches)),
            ("calls", self.calls.len()),
            ("waiting", self.waiting.len()),
            ("retry_budgets", self.retry_budgets.values().map(RetryBudget::len).sum()),
            ("starts", self.starts.values().map(StartRecord::ranks).sum()),
            ("sessions", self.sessions.len()),
            ("sizes", self.sizes.len()),
            ("route_claims", self.route_claims.len()),
            ("typical_times", self.typical_times.len()),
            ("route_durations", self.route_durations.len()),
            ("models", self.model_table.len()),
            ("rollouts", self.rollouts.values().map(Rollout::entries).sum()),
            ("records", self.records.len()),
            ("deferred_orders", self.deferred_orders.len()),
            ("closed_data_centres", self.closed_data_centres.len()),
            ("unreachable", self.reach.len()),
            ("members", self.members.len()),
            ("gateways", self.gateways.len()),
            ("digests", self.peers.len()),
            ("contacts", self.contact.len()),
            ("silent_issuers", self.silent_issuers.len()),
            ("permits", self.permit_issuer.len()),
            ("recent_prefills", self.recent_prefills.len()),
            ("upstream_news", self.upstream_news.len()),
            ("room_log", self.room_log.entries()),
            ("peer_demand", self.peer_demand.len()),
            ("reported_demand", self.reported_demand.len()),
            ("assignments", self.assignments.values().map(Assignments::len).sum()),
            ("scarcity_log", self.scarcity_log.entries()),
        ]
    }
}
