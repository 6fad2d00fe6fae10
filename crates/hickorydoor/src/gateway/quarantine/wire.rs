//! Protobuf form of a gateway's report about prompt parts.

use prost::Message;
use prost::Oneof;

use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_item::PartItem;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::quarantine_record::QuarantineRecord;
use crate::gateway::quarantine::quarantine_record::QuarantineState;
use crate::gateway::quarantine::quarantine_report::QuarantineReport;
use crate::gateway::quarantine::quarantine_report::SuspectLoad;
use crate::id::IdError;
use crate::id::UpstreamId;
use crate::time::DurationMs;

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireEnd {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    version: String,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
    #[prost(fixed64, repeated, tag = "5")]
    parts: Vec<u64>,
    #[prost(bool, tag = "6")]
    is_confirmed: bool,
    #[prost(fixed64, repeated, tag = "7")]
    tried: Vec<u64>,
    #[prost(bool, tag = "8")]
    is_closed: bool,
    #[prost(uint64, tag = "9")]
    started_unix_ms: u64,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireAlive {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

/// A part with a number: an age in ms, or a count of attempts in flight.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WirePart {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(fixed64, tag = "2")]
    part: u64,
    #[prost(uint64, tag = "3")]
    number: u64,
    /// Recent attempts without the part that survived.
    #[prost(uint32, tag = "4")]
    survived_without: u32,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireRecord {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(fixed64, repeated, tag = "2")]
    parts: Vec<u64>,
    /// 0 for released, 1 for probation, 2 for quarantined.
    #[prost(uint32, tag = "3")]
    state: u32,
    #[prost(uint64, tag = "4")]
    change: u64,
    #[prost(uint32, tag = "5")]
    quarantines: u32,
    #[prost(string, repeated, tag = "6")]
    versions: Vec<String>,
    #[prost(uint64, tag = "7")]
    left_ms: u64,
}

/// Parts of one service, with what [`WirePart`] states of each.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireParts {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(fixed64, repeated, tag = "2")]
    parts: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    numbers: Vec<u64>,
    #[prost(uint32, repeated, tag = "4")]
    survived_without: Vec<u32>,
}

/// Number of parts that are sent one by one, as older gateways read them; the others are packed.
const SINGLE_PARTS: usize = 128;

/// An item about prompt parts, as the store and the feed have it.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WirePartItem {
    #[prost(oneof = "WirePartFact", tags = "1, 2")]
    fact: Option<WirePartFact>,
}

#[derive(Clone, PartialEq)]
#[derive(Oneof)]
enum WirePartFact {
    #[prost(message, tag = "1")]
    End(WireEnd),
    #[prost(message, tag = "2")]
    Record(WireRecord),
}

/// Maximum number of parts of an item that is read.
const MAX_ITEM_PARTS: usize = 1_024;

/// Encodes an item for the store or the feed.
pub fn encode_part_item(item: &PartItem) -> Vec<u8> {
    let fact = match item {
        PartItem::End { end, age_ms } => WirePartFact::End(encode_end(end, *age_ms)),
        PartItem::Record { record, left_ms } => {
            WirePartFact::Record(encode_record(record, *left_ms))
        }
    };
    WirePartItem { fact: Some(fact) }.encode_to_vec()
}

/// Decodes an item; `None` if it is not valid, of a kind that is not known here, or too large.
pub fn decode_part_item(bytes: &[u8]) -> Option<PartItem> {
    let item = match WirePartItem::decode(bytes).ok()?.fact? {
        WirePartFact::End(end) => {
            let (end, age_ms) = decode_end(end).ok()?;
            PartItem::End { end, age_ms }
        }
        WirePartFact::Record(record) => {
            let (record, left_ms) = decode_record(record).ok()?;
            PartItem::Record { record, left_ms }
        }
    };
    let parts = match &item {
        PartItem::End { end, .. } => end.parts.len() + end.tried.len(),
        PartItem::Record { record, .. } => record.parts.len(),
    };
    (1..=MAX_ITEM_PARTS).contains(&parts).then_some(item)
}

/// Report about prompt parts in a digest.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct WireQuarantine {
    #[prost(message, repeated, tag = "1")]
    ends: Vec<WireEnd>,
    #[prost(message, repeated, tag = "2")]
    survivals: Vec<WirePart>,
    #[prost(message, repeated, tag = "3")]
    suspects: Vec<WirePart>,
    #[prost(message, repeated, tag = "4")]
    records: Vec<WireRecord>,
    #[prost(message, repeated, tag = "5")]
    alive: Vec<WireAlive>,
    #[prost(message, repeated, tag = "6")]
    further_survivals: Vec<WireParts>,
    #[prost(message, repeated, tag = "7")]
    further_suspects: Vec<WireParts>,
}

impl From<&QuarantineReport> for WireQuarantine {
    fn from(report: &QuarantineReport) -> Self {
        let survivals = report.survivals.iter();
        let survivals: Vec<WirePart> =
            survivals.map(|(part, age_ms)| encode_part(part, age_ms.get())).collect();
        let suspects: Vec<WirePart> = report.suspects.iter().map(encode_suspect).collect();
        let (survivals, further_survivals) = pack(survivals);
        let (suspects, further_suspects) = pack(suspects);
        Self {
            ends: report.ends.iter().map(|(end, age_ms)| encode_end(end, *age_ms)).collect(),
            survivals,
            suspects,
            further_survivals,
            further_suspects,
            alive: report
                .alive
                .iter()
                .map(|(upstream, age_ms)| encode_alive(upstream, *age_ms))
                .collect(),
            records: report
                .records
                .iter()
                .map(|(known, left)| encode_record(known, *left))
                .collect(),
        }
    }
}

impl TryFrom<WireQuarantine> for QuarantineReport {
    type Error = IdError;

    fn try_from(wire: WireQuarantine) -> Result<Self, IdError> {
        let mut report = Self::default();
        for end in wire.ends {
            report.ends.push(decode_end(end)?);
        }
        for known in wire.alive {
            report.alive.push((known.upstream.parse()?, DurationMs::new(known.age_ms)));
        }
        for known in wire.survivals.into_iter().chain(unpack(wire.further_survivals)) {
            let age_ms = DurationMs::new(known.number);
            report.survivals.push((decode_part(&known)?, age_ms));
        }
        for known in wire.suspects.into_iter().chain(unpack(wire.further_suspects)) {
            let unproven = u32::try_from(known.number).unwrap_or(u32::MAX);
            report.suspects.push(SuspectLoad {
                part: decode_part(&known)?,
                unproven,
                survived_without: known.survived_without,
            });
        }
        for known in wire.records {
            report.records.push(decode_record(known)?);
        }
        Ok(report)
    }
}

/// Splits parts into those that are sent one by one, and the others, packed by service.
fn pack(mut parts: Vec<WirePart>) -> (Vec<WirePart>, Vec<WireParts>) {
    let mut further = parts.split_off(parts.len().min(SINGLE_PARTS));
    further.sort_by(|one, other| one.service.cmp(&other.service));
    let packed = further.chunk_by(|one, next| one.service == next.service).map(|same| WireParts {
        service: same[0].service.clone(),
        parts: same.iter().map(|known| known.part).collect(),
        numbers: same.iter().map(|known| known.number).collect(),
        survived_without: same.iter().map(|known| known.survived_without).collect(),
    });
    let packed = packed.collect();
    (parts, packed)
}

fn unpack(packed: Vec<WireParts>) -> impl Iterator<Item = WirePart> {
    packed.into_iter().flat_map(|known| {
        let WireParts { service, parts, numbers, survived_without } = known;
        let stated = parts.into_iter().zip(numbers).zip(survived_without);
        stated.map(move |((part, number), survived_without)| WirePart {
            service: service.clone(),
            part,
            number,
            survived_without,
        })
    })
}

fn encode_alive(upstream: &UpstreamId, age_ms: DurationMs) -> WireAlive {
    WireAlive { upstream: upstream.to_string(), age_ms: age_ms.get() }
}

fn encode_end(end: &EngineEnd, age_ms: DurationMs) -> WireEnd {
    WireEnd {
        upstream: end.upstream.to_string(),
        started_unix_ms: end.started_unix_ms,
        service: end.service.to_string(),
        version: end.version.to_string(),
        age_ms: age_ms.get(),
        is_confirmed: end.is_confirmed,
        is_closed: end.is_closed,
        parts: end.parts.iter().map(|part| part.get()).collect(),
        tried: end.tried.iter().map(|part| part.get()).collect(),
    }
}

fn decode_end(wire: WireEnd) -> Result<(EngineEnd, DurationMs), IdError> {
    let end = EngineEnd {
        upstream: wire.upstream.parse()?,
        started_unix_ms: wire.started_unix_ms,
        service: wire.service.parse()?,
        version: wire.version.into(),
        is_confirmed: wire.is_confirmed,
        is_closed: wire.is_closed,
        parts: wire.parts.into_iter().map(PartId::new).collect(),
        tried: wire.tried.into_iter().map(PartId::new).collect(),
    };
    Ok((end, DurationMs::new(wire.age_ms)))
}

fn encode_part(part: &PartKey, number: u64) -> WirePart {
    WirePart {
        service: part.service.to_string(),
        part: part.part.get(),
        number,
        survived_without: 0,
    }
}

fn encode_suspect(load: &SuspectLoad) -> WirePart {
    WirePart {
        survived_without: load.survived_without,
        ..encode_part(&load.part, load.unproven.into())
    }
}

fn decode_part(wire: &WirePart) -> Result<PartKey, IdError> {
    Ok(PartKey { service: wire.service.parse()?, part: PartId::new(wire.part) })
}

fn encode_record(record: &QuarantineRecord, left_ms: DurationMs) -> WireRecord {
    WireRecord {
        service: record.service.to_string(),
        parts: record.parts.iter().map(|part| part.get()).collect(),
        state: match record.state {
            QuarantineState::Released => 0,
            QuarantineState::Probation => 1,
            QuarantineState::Quarantined => 2,
        },
        change: record.change,
        quarantines: record.quarantines,
        versions: record.versions.iter().map(ToString::to_string).collect(),
        left_ms: left_ms.get(),
    }
}

fn decode_record(wire: WireRecord) -> Result<(QuarantineRecord, DurationMs), IdError> {
    let record = QuarantineRecord {
        service: wire.service.parse()?,
        parts: wire.parts.into_iter().map(PartId::new).collect(),
        state: match wire.state {
            0 => QuarantineState::Released,
            1 => QuarantineState::Probation,
            _ => QuarantineState::Quarantined,
        },
        change: wire.change,
        quarantines: wire.quarantines,
        versions: wire.versions.into_iter().map(Into::into).collect(),
    };
    Ok((record, DurationMs::new(wire.left_ms)))
}
