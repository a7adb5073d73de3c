use crate::prelude::*;

/// What one edge sends a service by itself while the service's gate says
/// nothing. Invariants:
/// - Only groups whose origins are named with each call: no proof is missed.
/// - All edges' shares and the gate's part stay within the whole rate: each
///   edge of the roll has an equal share of `OWN_PART`.
/// - First tries only: the budget of the others is the gate's.
#[derive(Default)]
pub struct OwnShare {
    room: Option<Room>,
    /// Origins that failed a call of ours, left alone until then.
    sore: HashMap<SocketAddr, Duration>,
}

/// Of a whole rate, for all edges that cannot reach the gate.
const OWN_PART: f64 = 0.1;
const SORE: Duration = Duration::from_secs(1);

impl OwnShare {
    /// An origin to call now without a permit, if the share has room: the
    /// nearest, then the one with the fewest of our own calls under way.
    pub fn pick(
        &mut self,
        now: Duration,
        group: &Group,
        origins: &[Origin],
        spot: &Spot,
        edges: usize,
        under: &dyn Fn(SocketAddr) -> usize,
    ) -> Option<Origin> {
        if group.proof != Proof::Named {
            return None;
        }
        if let Some(rate) = group
            .total_rate
            .map(|rate| rate * OWN_PART / edges.max(1) as f64)
        {
            let room = self.room.get_or_insert_with(|| Room::with(now, rate, 1.0));
            room.rate = rate;
            room.refill(now);
            if !room.has() {
                return None;
            }
        }
        self.sore.retain(|_, until| now < *until);
        let places = |origin: &Origin| (origin.capacity.max(1) as usize / edges.max(1)).max(1);
        let usable = origins.iter().filter(|origin| {
            origin.service == group.service
                && !origin.leaving
                && !self.sore.contains_key(&origin.address)
                && under(origin.address) < places(origin)
        });
        let far = |origin: &Origin| (origin.region != spot.region, origin.zone != spot.zone);
        let best = usable
            .min_by_key(|origin| (far(origin), under(origin.address), spread(spot, origin)))?
            .clone();
        if let Some(room) = &mut self.room {
            room.take(now);
        }
        Some(best)
    }

    pub fn failed(&mut self, now: Duration, address: SocketAddr) {
        self.sore.insert(address, now + SORE);
    }
}

/// Unlike edges begin with unlike origins.
fn spread(spot: &Spot, origin: &Origin) -> u32 {
    crc32fast::hash(format!("{}{}", spot.zone, origin.address).as_bytes())
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn origin(port: u16, zone: &str) -> Origin {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        Origin {
            address,
            service: "s".into(),
            instance: format!("i{port}"),
            leaving: false,
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
    fn all_edges_shares_and_the_gates_part_stay_within_the_whole_rate() {
        let spot = Spot {
            zone: "a".into(),
            region: "r".into(),
            ring: String::new(),
            strength: 1,
        };
        let origins = [origin(1, "a"), origin(2, "b")];
        let mut share = OwnShare::default();
        let mut given = 0;
        for ms in (0..5000).step_by(10) {
            given += usize::from(
                share
                    .pick(
                        Duration::from_millis(ms),
                        &group(Proof::Named, Some(300.0)),
                        &origins,
                        &spot,
                        10,
                        &|_| 0,
                    )
                    .is_some(),
            );
        }
        // 300 a second, a tenth of it, by ten: 3 a second, and a tenth more.
        assert!((15..=17).contains(&given), "{given}");
        assert!(
            share
                .pick(
                    Duration::from_secs(9),
                    &group(Proof::Seal, None),
                    &origins,
                    &spot,
                    10,
                    &|_| 0
                )
                .is_none(),
            "nobody has shown who it is"
        );
    }

    #[test]
    fn the_nearest_goes_first_and_what_failed_or_is_full_is_left_alone() {
        let spot = Spot {
            zone: "b".into(),
            region: "r".into(),
            ring: String::new(),
            strength: 1,
        };
        let origins = [
            origin(1, "a"),
            origin(2, "b"),
            Origin {
                leaving: true,
                ..origin(3, "b")
            },
        ];
        let mut share = OwnShare::default();
        let named = group(Proof::Named, None);
        let now = Duration::from_secs(1);
        let port = |origin: Option<Origin>| origin.map(|origin| origin.address.port());
        assert_eq!(
            port(share.pick(now, &named, &origins, &spot, 4, &|_| 0)),
            Some(2)
        );
        assert_eq!(
            port(share.pick(
                now,
                &named,
                &origins,
                &spot,
                4,
                &|address| if address.port() == 2 { 8 } else { 0 }
            )),
            Some(1)
        );
        share.failed(now, origins[1].address);
        assert_eq!(
            port(share.pick(now, &named, &origins, &spot, 4, &|_| 0)),
            Some(1)
        );
        assert_eq!(
            port(share.pick(
                now + Duration::from_secs(2),
                &named,
                &origins,
                &spot,
                4,
                &|_| 0
            )),
            Some(2)
        );
    }
}
