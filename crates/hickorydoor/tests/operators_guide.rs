//! The operators' guide explains every refusal.

use hickorydoor::refusal::RefusalReason;

const GUIDE: &str = include_str!("../../../docs/operators-guide.md");

// Guards against refusals that the guide does not explain, or explains with another status.
#[test]
fn every_refusal_is_explained() {
    for reason in [
        RefusalReason::UnknownKey,
        RefusalReason::UnknownModel { name: "any".into() },
        RefusalReason::OverLimit,
        RefusalReason::Shed,
        RefusalReason::NoUpstream,
        RefusalReason::DeadlineExceeded,
        RefusalReason::ShuttingDown,
        RefusalReason::UpstreamFailed,
        RefusalReason::StoreUnavailable,
        RefusalReason::DuplicateInProgress,
        RefusalReason::KeyReused,
        RefusalReason::OutcomeUnknown,
    ] {
        let row = format!("| `{}` | {} |", reason.code(), reason.status());
        assert!(GUIDE.contains(&row), "the guide lacks {row}");
    }
}
