//! Tests of the rate and the selection of origins of a fallback quota.
use crate::prelude::*;

fn origin(port: u16, zone: &str) -> Origin {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Origin {
        address,
        service: "s".into(),
        instance: format!("i{port}"),
        draining: false,
        zone: zone.into(),
        region: "r".into(),
        capacity: 32,
        cold_ms: 0,
    }
}

fn group(proof: Proof, total_rate: Option<f64>) -> Group {
    Group {
        service: "s".into(),
        rate: 9999.0,
        concurrency: 99,
        key: String::new(),
        proof,
        total_rate,
        sessions: None,
        probe: None,
        keeps_keys: false,
    }
}

#[test]
fn fallback_quotas_stay_within_total_rate() {
    let locality = Locality {
        zone: "a".into(),
        region: "r".into(),
        ring: String::new(),
        weight: 1,
    };
    let origins = [origin(1, "a"), origin(2, "b")];
    let mut quota = FallbackQuota::default();
    let mut granted = 0;
    for ms in (0..5000).step_by(10) {
        granted += usize::from(
            quota
                .pick(
                    Duration::from_millis(ms),
                    &group(Proof::Named, Some(300.0)),
                    &origins,
                    &locality,
                    10,
                    &|_| 0,
                )
                .is_some(),
        );
    }
    // The edges share a tenth of 300 per second: 3 per second for each of the ten, and at
    // most a tenth more within five seconds.
    assert!((15..=17).contains(&granted), "{granted}");
    assert!(
        quota
            .pick(
                Duration::from_secs(9),
                &group(Proof::Seal, None),
                &origins,
                &locality,
                10,
                &|_| 0
            )
            .is_none(),
        "a group whose origins must prove their identity has no quota"
    );
}

#[test]
fn nearest_origin_is_picked_unless_ejected_or_full() {
    let locality = Locality {
        zone: "b".into(),
        region: "r".into(),
        ring: String::new(),
        weight: 1,
    };
    let origins = [
        origin(1, "a"),
        origin(2, "b"),
        Origin {
            draining: true,
            ..origin(3, "b")
        },
    ];
    let mut quota = FallbackQuota::default();
    let named = group(Proof::Named, None);
    let now = Duration::from_secs(1);
    let port = |origin: Option<Origin>| origin.map(|origin| origin.address.port());
    assert_eq!(
        port(quota.pick(now, &named, &origins, &locality, 4, &|_| 0)),
        Some(2)
    );
    assert_eq!(
        port(quota.pick(
            now,
            &named,
            &origins,
            &locality,
            4,
            &|address| if address.port() == 2 { 8 } else { 0 }
        )),
        Some(1)
    );
    quota.call_failed(now, origins[1].address);
    assert_eq!(
        port(quota.pick(now, &named, &origins, &locality, 4, &|_| 0)),
        Some(1)
    );
    assert_eq!(
        port(quota.pick(
            now + Duration::from_secs(2),
            &named,
            &origins,
            &locality,
            4,
            &|_| 0
        )),
        Some(2)
    );
}
