//! Guards against a plain service that loses its warm limit because its answer comes in pieces.
//!
//! The pieces of a service's answer hold no tokens, so the time between them was taken for the
//! token interval of a cold engine, and callers were shed during a rolling restart.

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::agent::admission_limit::Admission;

const COLD_LIMIT: u32 = 4;
const WARM_LIMIT: u32 = 64;
const PIECE_GAP: DurationMs = DurationMs::new(400);

#[test]
fn slow_pieces_of_a_service_keep_its_limit() {
    let now = TimeMs::new(1_000);
    let mut admission = Admission::new(COLD_LIMIT, WARM_LIMIT, false, 20.0, now);
    assert_eq!(admission.limit(), WARM_LIMIT);
    for piece in 1..20 {
        let now = TimeMs::new(1_000 + piece * PIECE_GAP.get());
        assert!(!admission.on_output(0, PIECE_GAP, 2, now));
    }
    assert_eq!(admission.limit(), WARM_LIMIT);
}
