//! Checks that the operators' guide lists every refusal.

use hickorydoor::refusal::RefusalReason;

const GUIDE: &str = include_str!("../../../docs/operators-guide.md");

// Guards against refusals that the guide does not list, or lists with a wrong status code.
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
