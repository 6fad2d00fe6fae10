//! Prompt parts under which engines end.
//!
//! A fault of an engine may end it as soon as it begins to write an answer to a prompt with a
//! certain part, whatever else the request holds. Each such request would end one engine after
//! another, so the part has to be found by what the requests have in common, and requests with it
//! have to be kept from the engines.
//!
//! The load that this answers: requests with the part arrive at all gateways, while sound requests
//! share their other parts, run on the same engines, and engines also end for other causes.
//!
//! - When an engine ends, each gateway reports the parts of its attempts there that may have caused
//!   it: those that had not written for [`PROVEN_AFTER_MS`] yet, and those that the gateway itself
//!   had closed shortly before ([`EngineEnd`]).
//! - An engine that only falls silent may go on. What ran there is not to blame until a response to
//!   any gateway would be known.
//! - An attempt that completes or writes for long enough proves its parts sound. The ends of
//!   engines count against a part only since it was last proven ([`SurvivalTable`]).
//! - An engine may close a connection and go on. A held request is sent to an engine whose end under
//!   one of its parts is not certain: it refuses the connection if it has ended, else its response
//!   shows that it has not, and the end counts no longer.
//! - After one end under a part that has not been proven lately, new requests with it wait for a
//!   moment, until the attempts in flight have shown more.
//! - How many ends in a row are too many depends on how often attempts without the part end so, and
//!   on how often the part was proven ([`ChanceModel`]). A part under which slightly fewer engines
//!   ended is suspected: one request with it at a time runs in the whole fleet, on the engine with
//!   the least load, and its result decides. Gateways take turns to begin such a trial.
//! - Gateways that know of no attempt that survived, as after the loss of all of them, suspect the
//!   sound parts beside the one as well. So requests with fewer suspected parts are tried first, and
//!   the parts that survive are cleared. An end under a trial is blamed on what was tried, not on
//!   what ran beside it.
//! - A part is quarantined once attempts without it have survived at all gateways together, and
//!   once nothing else can have caused one of its ends. Until then its trials are spaced out.
//! - A [`QuarantineRecord`] names parts that are refused. It is exchanged in digests, where the
//!   latest change wins. After a while, or when the engines have been replaced by another version,
//!   one request is tried again.
//! - A suspicion ends attempts only before their engines have begun to answer, and none of which the
//!   caller has a part.
//! - The operator can allow a part, whatever the evidence.
//!
//! - What is known of ends and records is kept in the store ([`PartItem`]), so that it outlasts the
//!   loss of all gateways at any moment of the learning. A gateway reads it with its configuration.
//!
//! Prompts have up to some thousand parts. `part_selection` chooses which of them are kept.

mod admission;
mod assessment;
mod chance_model;
mod decaying_count;
mod departure;
mod end_log;
mod engine_end;
mod exchange;
mod held_record;
mod merged_end;
mod part_ends;
mod part_id;
mod part_item;
mod part_key;
pub(super) mod part_selection;
mod peer_suspects;
mod quarantine_change;
mod quarantine_record;
mod quarantine_report;
mod quarantine_table;
mod records;
mod stored_ends;
mod stored_items;
mod storing;
mod survival_table;
mod suspect;
mod trial_slot;
mod verdict;
mod wire;

pub use chance_model::ChanceModel;
pub use engine_end::EngineEnd;
pub use part_id::PartId;
pub use part_item::PartItem;
pub use part_item::PartItemKey;
pub use part_item::PartWrite;
pub use part_item::StoredPartItem;
pub use part_key::PartKey;
pub use part_key::PartKeyError;
pub use quarantine_change::QuarantineChange;
pub use quarantine_change::QuarantineStep;
pub use quarantine_record::QuarantineRecord;
pub use quarantine_record::QuarantineState;
pub use quarantine_report::QuarantineReport;
pub use quarantine_report::SuspectLoad;
pub use quarantine_table::PROVEN_AFTER_MS;
pub use quarantine_table::QuarantineTable;
pub use survival_table::SurvivalTable;
pub use trial_slot::TrialSlot;
pub use verdict::Verdict;
pub use wire::WireQuarantine;
pub use wire::decode_part_item;
pub use wire::encode_part_item;
