//! Limits of upstreams: how they are read, how permits are issued, and what gateways exchange.

mod property;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::peer_digest::DigestError;
use hickorydoor::gateway::peer_message::PeerMessage;
use hickorydoor::gateway::rate_limits::AgedLimit;
use hickorydoor::gateway::rate_limits::IssuedPart;
use hickorydoor::gateway::rate_limits::PermitId;
use hickorydoor::gateway::rate_limits::PermitIssuer;
use hickorydoor::gateway::rate_limits::PermitMessage;
use hickorydoor::gateway::rate_limits::PermitStep;
use hickorydoor::gateway::rate_limits::RequestRate;
use hickorydoor::gateway::rate_limits::RequestRateError;
use hickorydoor::gateway::rate_limits::SilentIssuers;
use hickorydoor::gateway::rate_limits::WantedPermit;
use hickorydoor::id::HostId;
use hickorydoor::id::UpstreamId;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;

const WINDOW_MS: u64 = 4_000;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::try_from(per_s).unwrap()
}

fn host(index: usize) -> HostId {
    format!("gw-{index}").parse().unwrap()
}

#[test]
fn rate_is_a_finite_decimal_number() {
    for (text, wanted) in [("1.4", 1.4), (" 0 ", 0.0), ("-0", 0.0), ("1e308", 1e6), ("12", 12.0)] {
        assert_eq!(text.parse::<RequestRate>().map(RequestRate::per_s), Ok(wanted), "{text}");
    }
    for text in ["-1", "NaN", "inf", "-inf", "1e309"] {
        assert_eq!(text.parse::<RequestRate>(), Err(RequestRateError::OutOfRange), "{text}");
    }
    for text in ["", "many", "1.5 a second", "1,5", "0x10"] {
        let error = text.parse::<RequestRate>().unwrap_err();
        assert!(matches!(error, RequestRateError::NoNumber(_)), "{text}");
    }
}

#[test]
fn message_about_a_permit_round_trips_through_its_encoding() {
    let wait_ms = DurationMs::new(1_500);
    for step in [
        PermitStep::Request { max_wait_ms: wait_ms },
        PermitStep::Return,
        PermitStep::Granted { after_ms: wait_ms },
        PermitStep::Denied { after_ms: wait_ms },
    ] {
        for limit in [None, Some(None), Some(Some(rate(1.4)))] {
            let limit = limit.map(|rate| AgedLimit { rate, age_ms: DurationMs::new(7) });
            let upstream = "e-1".parse().unwrap();
            let message =
                PermitMessage { id: PermitId(9), upstream, started_unix_ms: 5, limit, step };
            let message = PeerMessage::Permit { host: host(1), message };
            assert_eq!(PeerMessage::decode(&message.encode()), Ok(message));
        }
    }
    // A permit whose step is 9.
    let unknown = b"\x0a\x04gw-1\x4a\x07\x12\x03e-1\x28\x09";
    assert_eq!(PeerMessage::decode(unknown), Err(DigestError::Permit));
}

#[test]
fn all_gateways_choose_the_same_issuer_and_pass_over_a_silent_one() {
    let hosts: Vec<HostId> = (0..8).map(host).collect();
    let upstream: UpstreamId = "e-1".parse().unwrap();
    let now = TimeMs::new(1_000);
    let nobody = SilentIssuers::default();
    let all = |_: &HostId| true;
    let first = nobody.issuer(&upstream, &hosts[0], &hosts, all, now);
    for own in &hosts {
        assert_eq!(nobody.issuer(&upstream, own, &hosts, all, now), first);
    }
    let asking = hosts.iter().find(|host| **host != first).unwrap();
    let mut known = SilentIssuers::default();
    known.record_silence(first.clone(), now);
    let second = known.issuer(&upstream, asking, &hosts, all, now);
    assert_ne!(second, first);
    let without_first = |host: &HostId| *host != first;
    assert_eq!(nobody.issuer(&upstream, asking, &hosts, without_first, now), second);
    for host in hosts.iter().filter(|host| *host != asking && **host != first) {
        known.record_silence(host.clone(), now);
    }
    assert_eq!(known.issuer(&upstream, asking, &hosts, all, now), *asking);
    let later = now + DurationMs::from_secs(1);
    assert_eq!(known.issuer(&upstream, asking, &hosts, all, later), first);
    known.record_silence(first.clone(), later);
    let still = later + DurationMs::new(1_999);
    assert_ne!(known.issuer(&upstream, asking, &hosts, all, still), first);
    known.record_answer(&first);
    assert_eq!(known.issuer(&upstream, asking, &hosts, all, later), first);
}

proptest! {
    #![proptest_config(property::config(40, 64))]

    #[test]
    fn groups_that_do_not_hear_each_other_share_a_rate(groups in proptest::collection::vec(0..5_usize, 1..60)) {
        let hosts: Vec<HostId> = (0..groups.len()).map(host).collect();
        let upstream: UpstreamId = "e-1".parse().unwrap();
        let group = |host: &HostId| groups[hosts.iter().position(|known| known == host).unwrap()];
        let mut issued = 0.0;
        for number in 0..5 {
            let of_group = hosts.iter().filter(|host| group(host) == number);
            let shares = of_group.map(|own| {
                let is_heard = |host: &HostId| group(host) == number;
                let chosen =
                    SilentIssuers::default().issuer(&upstream, own, &hosts, is_heard, TimeMs::new(9));
                (chosen, own, IssuedPart::of(&upstream, own, &hosts, is_heard).share)
            });
            let shares: Vec<_> = shares.collect();
            let of_issuers = shares.iter().filter(|(chosen, own, _)| chosen == *own);
            issued += of_issuers.map(|(_, _, share)| share.as_f64()).sum::<f64>();
        }
        prop_assert!((0.999..=1.001).contains(&issued), "{issued}");
    }
}

/// What gateways do one after the other.
#[derive(Clone, Copy, Debug)]
enum Step {
    Want { gateway: usize, max_wait_ms: u64 },
    Repeat { gateway: usize },
    Wait { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..6_usize, 0..1_500_u64)
            .prop_map(|(gateway, max_wait_ms)| Step::Want { gateway, max_wait_ms }),
        1 => (0..6_usize).prop_map(|gateway| Step::Repeat { gateway }),
        4 => (1..400_u64).prop_map(|ms| Step::Wait { ms }),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(property::config(34, 64))]

    #[test]
    fn no_window_holds_more_permits_than_the_limit(steps in steps(), per_s in 0.0..12.0_f64) {
        let upstream: UpstreamId = "e-1".parse().unwrap();
        let hosts: Vec<HostId> = (0..6).map(host).collect();
        let mut issuer = PermitIssuer::default();
        let mut now = TimeMs::new(50_000);
        let mut ids = [0_u64; 6];
        let mut granted = [None::<u64>; 6];
        let mut valid_from = Vec::new();
        for step in steps {
            let (gateway, max_wait_ms, is_new) = match step {
                Step::Wait { ms } => {
                    now = now + DurationMs::new(ms);
                    continue;
                }
                Step::Want { gateway, max_wait_ms } => (gateway, max_wait_ms, true),
                Step::Repeat { gateway } => (gateway, 0, false),
            };
            ids[gateway] += u64::from(is_new);
            let wanted = WantedPermit {
                host: &hosts[gateway],
                id: PermitId(ids[gateway]),
                upstream: &upstream,
                started_unix_ms: 1,
                rate: rate(per_s),
                max_wait_ms: DurationMs::new(max_wait_ms),
                part: IssuedPart::WHOLE,
            };
            match issuer.issue(&wanted, now) {
                Ok(after_ms) if granted[gateway] != Some(ids[gateway]) => {
                    prop_assert!(after_ms.get() <= max_wait_ms);
                    valid_from.push((now + after_ms).get());
                    granted[gateway] = Some(ids[gateway]);
                }
                // The answer to a repeated request, unless others have been granted one since.
                Ok(_) => {}
                Err(after_ms) => prop_assert!(after_ms.get() > max_wait_ms),
            }
        }
        valid_from.sort_unstable();
        let most = (0..valid_from.len())
            .map(|first| {
                let end = valid_from[first] + WINDOW_MS;
                valid_from[first..].iter().take_while(|at| **at < end).count()
            })
            .max();
        let allowed = per_s * WINDOW_MS as f64 / 1_000.0 + 1.0;
        prop_assert!(most.unwrap_or(0) as f64 <= allowed, "{most:?} of {allowed}");
    }
}
