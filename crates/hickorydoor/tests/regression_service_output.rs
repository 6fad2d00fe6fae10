//! Guards against a plain service that drops to its cold limit because its response is chunked.
//!
//! The chunks of a service's response contain no tokens. The time between them was treated as the
//! token interval of a cold engine, and requests were shed during a rolling restart.

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::agent::admission_limit::AdmissionLimit;

const COLD_LIMIT: u32 = 4;
const WARM_LIMIT: u32 = 64;
const CHUNK_GAP: DurationMs = DurationMs::new(400);

#[test]
fn slow_chunks_of_a_service_keep_its_limit() {
    let now = TimeMs::new(1_000);
    let mut admission = AdmissionLimit::new(COLD_LIMIT, WARM_LIMIT, false, 20.0, now);
    assert_eq!(admission.limit(), WARM_LIMIT);
    for chunk in 1..20 {
        let now = TimeMs::new(1_000 + chunk * CHUNK_GAP.get());
        assert!(!admission.on_output(0, CHUNK_GAP, 2, now));
    }
    assert_eq!(admission.limit(), WARM_LIMIT);
}
