//! Measurements for `docs/figures.md`.
#[cfg(test)]
mod tests;

use crate::prelude::*;
use data_plane::prelude::{CacheOwner, PurgeLog};

/// Measurements of `docs/figures.md`, as counts and virtual times.
pub struct Figures;

/// Number of origin calls during a burst of requests for one cache key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBurst {
    /// Number of client requests.
    pub requests: u64,
    /// Number of origin calls with two-phase expiry.
    pub two_phase: u64,
    /// Number of origin calls with a single expiry.
    pub single_expiry: u64,
    /// Number of origin calls without a cache.
    pub no_cache: u64,
}

impl Figures {
    /// Simulates `rate` requests per second for one key over 60 s, with a fetch duration of
    /// `fetch`. The single-expiry cache is a model with the same expiry interval: after
    /// expiry, every request fetches until the first response arrives.
    pub fn load_burst(rate: u64, fetch: Duration) -> LoadBurst {
        let ttl = Duration::from_secs(10);
        let address = SocketAddr::from(([10, 0, 0, 1], 1));
        let mut owner = CacheOwner::new(1 << 20);
        let mut puts: VecDeque<(Duration, FillToken)> = VecDeque::new();
        let mut single_until = Duration::ZERO;
        let mut single_puts: VecDeque<Duration> = VecDeque::new();
        let mut load_burst = LoadBurst {
            requests: rate * 60,
            two_phase: 0,
            single_expiry: 0,
            no_cache: rate * 60,
        };
        for id in 0..load_burst.requests {
            let now = Duration::from_micros(id * 1_000_000 / rate);
            while puts.front().is_some_and(|(at, _)| *at <= now) {
                let (at, token) = puts.pop_front().expect("queue is not empty");
                let reply = Reply {
                    status: 200,
                    ..Reply::default()
                };
                owner.put(
                    at,
                    CachePut {
                        key: [0; 32],
                        token,
                        reply,
                    },
                    1,
                    &PurgeLog::default(),
                );
            }
            let wait = Duration::from_secs(4);
            owner.get(
                now,
                address,
                CacheGet {
                    id,
                    key: [0; 32],
                    entry: "e".into(),
                    host: "h".into(),
                    url: "/".into(),
                    ttl,
                    max_wait: wait,
                    accepts_any_age: false,
                },
                1,
                0,
            );
            for (_, message) in owner.take_outgoing() {
                if let Message::CacheMiss(miss) = message {
                    load_burst.two_phase += 1;
                    puts.push_back((now + fetch, miss.token));
                }
            }
            while single_puts.front().is_some_and(|at| *at <= now) {
                single_until = single_puts.pop_front().expect("queue is not empty") + ttl / 2;
            }
            if now >= single_until {
                load_burst.single_expiry += 1;
                single_puts.push_back(now + fetch);
            }
        }
        load_burst
    }

    /// Time from the request to the acknowledgement of configurations and purges, in control
    /// ticks: minimum, median, maximum. With `isolate_edge`, one edge is isolated from just
    /// before each configuration until 1 s after the purge that follows.
    pub fn acknowledgement_ticks(
        deployment: &Deployment,
        isolate_edge: bool,
    ) -> BTreeMap<&'static str, [f64; 3]> {
        let mut faults = Vec::new();
        let at = |round: u64| Duration::from_millis(8_000 + round * 2_037);
        for round in 0..20 {
            faults.push((at(round), Fault::Configure));
            faults.push((
                at(round) + Duration::from_millis(700),
                Fault::Purge("/".into()),
            ));
            if isolate_edge {
                faults.push((
                    at(round) - Duration::from_millis(5),
                    Fault::Isolate(NodeId::Edge(round as usize % deployment.edges)),
                ));
                faults.push((at(round) + Duration::from_millis(1_700), Fault::Heal));
            }
        }
        let sent: Vec<(f64, &str)> = faults
            .iter()
            .filter_map(|(at, fault)| match fault {
                Fault::Configure => Some((at.as_secs_f64(), "configured")),
                Fault::Purge(_) => Some((at.as_secs_f64(), "purged")),
                _ => None,
            })
            .collect();
        let report = World::new(WorldPlan::new(
            deployment.clone(),
            1,
            Duration::from_secs(55),
            faults,
        ))
        .run();
        let mut table = BTreeMap::new();
        for change_kind in ["configured", "purged"] {
            let acknowledged_at = report
                .checker
                .fleet
                .iter()
                .filter(|record| record.kind == change_kind)
                .map(|record| record.at);
            let mut spans: Vec<f64> = acknowledged_at
                .filter_map(|at| {
                    sent.iter()
                        .filter(|(sent_at, kind)| *kind == change_kind && *sent_at <= at)
                        .map(|(sent_at, _)| at - sent_at)
                        .reduce(f64::min)
                })
                .map(|span| span / lease::CONTROL_TICK.as_secs_f64())
                .collect();
            spans.sort_by(f64::total_cmp);
            if let (Some(min), Some(max)) = (spans.first(), spans.last()) {
                table.insert(change_kind, [*min, spans[spans.len() / 2], *max]);
            }
        }
        table
    }

    /// Share of successful requests for uncached entries, by rank, if the rate limit of the
    /// second service is the fraction `limit_share` of the demand.
    pub fn served_share_at_limit(limit_share: f64) -> BTreeMap<u32, f64> {
        let mut deployment = Deployment::find("mombasa").expect("deployment exists");
        let demand = deployment.rate as f64 * 0.35;
        deployment.services[1].rate = demand * limit_share / deployment.services[1].origins as f64;
        let cached: BTreeSet<String> = deployment
            .mix
            .iter()
            .filter(|mix| mix.ttl > 0)
            .map(|mix| mix.entry.clone())
            .collect();
        let report = World::new(WorldPlan::new(
            deployment,
            1,
            Duration::from_secs(60),
            vec![],
        ))
        .run();
        let mut shares: BTreeMap<u32, (f64, f64)> = BTreeMap::new();
        for call in report
            .checker
            .clients
            .iter()
            .filter(|call| !cached.contains(&call.entry))
        {
            let share = shares.entry(call.rank).or_default();
            share.0 += f64::from(u8::from(call.status == 200));
            share.1 += 1.0;
        }
        shares
            .into_iter()
            .map(|(rank, (good, all))| (rank, good / all))
            .collect()
    }

    /// Results by rank while application origins respond 60 times more slowly for 30 s with
    /// little concurrency: share of successful requests, their mean latency, and the mean
    /// latency of failed requests, in seconds. `ignore_rank` gives all entries the same
    /// rank, which means first come, first served.
    pub fn served_during_slowdown(ignore_rank: bool) -> BTreeMap<u32, (f64, f64, f64)> {
        let mut deployment = Deployment::find("mombasa").expect("deployment exists");
        deployment.services[1].concurrency = 2;
        let cached: BTreeSet<String> = deployment
            .mix
            .iter()
            .filter(|mix| mix.ttl > 0)
            .map(|mix| mix.entry.clone())
            .collect();
        if ignore_rank {
            deployment
                .entries
                .iter_mut()
                .for_each(|entry| entry["rank"] = 5.into());
        }
        let at = Duration::from_secs;
        let faults = vec![
            (at(10), Fault::Service(1, OriginBehavior::VerySlow)),
            (at(40), Fault::Service(1, OriginBehavior::Good)),
        ];
        let report = World::new(WorldPlan::new(deployment, 1, at(60), faults)).run();
        let mut ranks: BTreeMap<u32, (Vec<f64>, Vec<f64>)> = BTreeMap::new();
        for call in
            report.checker.clients.iter().filter(|call| {
                !cached.contains(&call.entry) && call.start > 10.0 && call.start < 40.0
            })
        {
            let samples = ranks.entry(call.rank).or_default();
            if call.status == 200 {
                &mut samples.0
            } else {
                &mut samples.1
            }
            .push(call.end - call.start);
        }
        let mean = |list: &[f64]| list.iter().sum::<f64>() / list.len().max(1) as f64;
        let rank_result = |(rank, (good, rejected)): (u32, (Vec<f64>, Vec<f64>))| {
            (
                rank,
                (
                    good.len() as f64 / (good.len() + rejected.len()) as f64,
                    mean(&good),
                    mean(&rejected),
                ),
            )
        };
        ranks.into_iter().map(rank_result).collect()
    }

    /// Cache partitions per edge: minimum, maximum, and number of partitions that move when an
    /// edge is added.
    pub fn cache_partition_spread(edges: usize) -> (usize, usize, usize) {
        let peer = |at: usize| Peer::new(SocketAddr::from(([10, 2, 0, 1], 1000 + at as u16)), 1);
        let highest_weight = |count: usize, partition: u16| {
            let name = cache_assignment("", partition);
            (0..count)
                .max_by_key(|at| peer(*at).rendezvous_weight(&name))
                .expect("at least one edge")
        };
        let held_count = |at: usize| {
            (0..CACHE_PARTITIONS)
                .filter(|partition| highest_weight(edges, *partition) == at)
                .count()
        };
        let counts: Vec<usize> = (0..edges).map(held_count).collect();
        let moved = (0..CACHE_PARTITIONS)
            .filter(|partition| {
                highest_weight(edges, *partition) != highest_weight(edges + 1, *partition)
            })
            .count();
        (
            counts.iter().copied().min().unwrap_or(0),
            counts.iter().copied().max().unwrap_or(0),
            moved,
        )
    }

    /// Number of origin calls for content while edges are drained and restarted one after
    /// another. Dropping `HandoverRequest` messages disables the cache handover.
    pub fn origin_calls_during_rolling_restart(
        deployment: &Deployment,
        dropped_message: &'static str,
        seed: u64,
    ) -> usize {
        let faults = (0..deployment.edges.min(15))
            .map(|at| {
                (
                    Duration::from_millis(8_000 + at as u64 * 2_500),
                    Fault::Restart(NodeId::Edge(at)),
                )
            })
            .collect();
        let plan = WorldPlan {
            dropped_message,
            ..WorldPlan::new(deployment.clone(), seed, Duration::from_secs(55), faults)
        };
        let report = World::new(plan).run();
        let content = deployment.services[0].name;
        let calls = report.checker.origins.iter().filter(|call| {
            call.service == content && !call.probe && call.at > 8.0 && call.at < 46.0
        });
        calls.count()
    }

    /// Minimum and maximum number of cached copies sent per edge over 60 s without faults, as
    /// fractions of the mean. `one_key_per_entry` limits each cached entry to one path, so
    /// that nine of ten fetches use one key.
    pub fn copies_spread(deployment: &Deployment, one_key_per_entry: bool) -> (f64, f64) {
        let mut deployment = deployment.clone();
        for mix in deployment
            .mix
            .iter_mut()
            .filter(|mix| one_key_per_entry && mix.ttl > 0)
        {
            mix.paths = 1;
        }
        let report = World::new(WorldPlan::new(
            deployment,
            1,
            Duration::from_secs(60),
            vec![],
        ))
        .run();
        let mean = report.copies_sent.iter().sum::<u64>() as f64 / report.copies_sent.len() as f64;
        let share_of_mean = |count: Option<&u64>| count.map_or(0.0, |count| *count as f64 / mean);
        (
            share_of_mean(report.copies_sent.iter().min()),
            share_of_mean(report.copies_sent.iter().max()),
        )
    }

    /// Prints the measurements of `docs/figures.md`.
    pub fn print() {
        for (rate, fetch) in [(100, 200), (20, 200), (100, 1000)] {
            let load_burst = Figures::load_burst(rate, Duration::from_millis(fetch));
            println!("crowd of {rate}/s, fetch {fetch} ms, 60 s: {load_burst:?}");
        }
        for name in ["mombasa", "trasa"] {
            let deployment = Deployment::find(name).expect("deployment exists");
            println!(
                "{name}: acknowledgement in control ticks [least, middle, most]: {:?}",
                Figures::acknowledgement_ticks(&deployment, false)
            );
            println!(
                "{name}: the same, an edge cut off just before: {:?}",
                Figures::acknowledgement_ticks(&deployment, true)
            );
        }
        for name in ["small", "mombasa", "trasa"] {
            let deployment = Deployment::find(name).expect("deployment exists");
            let (with, without) = (
                Figures::origin_calls_during_rolling_restart(&deployment, "", 1),
                Figures::origin_calls_during_rolling_restart(&deployment, "HandoverRequest", 1),
            );
            println!(
                "{name}: content calls while all edges restart in turn: {with} with copies handed over, {without} without"
            );
        }
        for limit_share in [1.2, 0.8, 0.5, 0.3] {
            println!(
                "applications may take {limit_share} of what is asked: served by rank {:?}",
                Figures::served_share_at_limit(limit_share)
            );
        }
        for ignore_rank in [false, true] {
            println!(
                "applications 60 times slower, first come {ignore_rank}: by rank (share, wait of the served, of those turned away) {:.3?}",
                Figures::served_during_slowdown(ignore_rank)
            );
        }
        for name in ["mombasa", "trasa"] {
            let deployment = Deployment::find(name).expect("deployment exists");
            let (copies_spread, one_key_per_entry) = (
                Figures::copies_spread(&deployment, false),
                Figures::copies_spread(&deployment, true),
            );
            println!(
                "{name}: copies handed out by an edge, in parts of the mean: {copies_spread:?}; one key an entry: {one_key_per_entry:?}"
            );
        }
        for edges in [4, 8, 15, 30] {
            let (min, max, moved) = Figures::cache_partition_spread(edges);
            println!(
                "{edges} edges: {min} to {max} cache slices an edge (mean {:.1}); one more edge moves {moved}",
                f64::from(CACHE_PARTITIONS) / edges as f64
            );
        }
    }
}
