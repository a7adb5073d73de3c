//! Operators under one revision, and orders sent again after lost answers,
//! while control nodes and their disks are lost.

use crate::prelude::*;

const SPAN: Duration = Duration::from_secs(60);
/// Nothing is broken any more from here on.
const MENDED: Duration = Duration::from_secs(40);
/// All orders are sent once more from here on.
const RETRY_INTERVAL: Duration = Duration::from_secs(50);
const ITEMS: u64 = 3;
/// A blank disk is refilled by then, and another may go.
const REFILLED: u64 = 14_000;
/// In some runs a node goes for good here, and a standby takes its slot.
const REPLACED: u64 = 20_000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Bursts of up to eight orders at once, mostly two operators to a revision,
/// and losses 1 to 400 ms after a burst.
struct Plan {
    random: SeededRandom,
    control: usize,
    orders: Vec<ItemOrder>,
    faults: Vec<(Duration, Fault)>,
    /// When a disk may go again.
    disks: u64,
    /// Goes for good.
    replaced: Option<usize>,
}

impl Plan {
    fn random(control: usize, seed: u64) -> WorldPlan {
        let mut plan = Plan {
            random: SeededRandom::new(seed ^ 0x0D3E),
            control,
            orders: Vec::new(),
            faults: Vec::new(),
            disks: 0,
            replaced: None,
        };
        if seed.is_multiple_of(3) {
            plan.replace();
        }
        let mut time = 12_000;
        let mut revision = 1;
        while at(time) < MENDED {
            plan.burst(time, &mut revision);
            plan.lose(time);
            time += 3_000 + plan.random.below(3_000);
        }
        plan.mend();
        plan.repeat();
        let deployment = Deployment::find("small").unwrap();
        WorldPlan {
            control,
            gather: control != 3,
            orders: plan.orders,
            ..WorldPlan::new(deployment, seed, SPAN, plan.faults)
        }
    }

    fn burst(&mut self, time: u64, revision: &mut u64) {
        for _ in 0..=self.random.below(3) {
            let name = format!("item-{}", self.random.below(ITEMS));
            // At times an older one comes after a newer.
            let number = if self.random.chance(20) {
                revision.saturating_sub(2).max(1)
            } else {
                *revision
            };
            *revision += 1 + self.random.below(2);
            for operator in 0..2 {
                let order = ItemOrder {
                    at: at(time + self.random.below(5)),
                    node: self.random.below(self.control as u64) as usize,
                    name: name.clone(),
                    revision: number,
                    content: (number * 10) as u32 + operator * self.random.below(2) as u32,
                    operator_responses_lost: self.random.below(3) as u32,
                };
                self.orders.push(order);
            }
        }
    }

    fn lose(&mut self, time: u64) {
        let lost = at(time + 1 + self.random.below(400));
        let back = lost + at(500 + self.random.below(1_500));
        let nodes = self.nodes_that_stay();
        let place = nodes[self.random.below(nodes.len() as u64) as usize];
        let disk = time >= self.disks && self.replaced.is_none();
        match self.random.below(6) {
            0 => {
                self.faults.push((lost, Fault::Kill(place)));
                self.faults.push((back, Fault::Start(place)));
            }
            1 if disk => {
                self.disks = time + REFILLED;
                self.faults.push((lost, Fault::Wipe(place)));
                self.faults.push((back, Fault::Start(place)));
            }
            1 | 2 => self.faults.push((lost, Fault::Restart(place))),
            3 => {
                self.faults.push((lost, Fault::Isolate(place)));
                self.faults.push((back, Fault::Heal));
            }
            4 => self.faults.push((lost, Fault::Pause(place, back - lost))),
            _ => {
                for node in nodes {
                    self.faults.push((lost, Fault::Kill(node)));
                    self.faults.push((back, Fault::Start(node)));
                }
            }
        }
    }

    /// One node is lost for good while orders are under way; an empty one that
    /// stands by takes its slot.
    fn replace(&mut self) {
        let lost = self.random.below(self.control as u64) as usize;
        let standby = NodeId::Control(self.control);
        self.faults.push((at(8_000), Fault::Start(standby)));
        self.faults
            .push((at(REPLACED), Fault::Kill(NodeId::Control(lost))));
        self.replaced = Some(lost);
    }

    fn nodes_that_stay(&self) -> Vec<NodeId> {
        let slots = (0..self.control).filter(|slot| Some(*slot) != self.replaced);
        slots.map(NodeId::Control).collect()
    }

    fn mend(&mut self) {
        self.faults.push((MENDED, Fault::Heal));
        for node in self.nodes_that_stay() {
            self.faults.push((MENDED, Fault::Start(node)));
        }
    }

    /// Every order once more, from another node and without losses.
    fn repeat(&mut self) {
        for order in self.orders.clone() {
            self.orders.push(ItemOrder {
                at: RETRY_INTERVAL,
                node: order.node + 1,
                operator_responses_lost: 0,
                ..order
            });
        }
    }
}

fn run(plan: WorldPlan) -> Report {
    World::new(plan).run()
}

/// Orders of one revision, by what became of them.
#[derive(Default)]
struct Revision {
    confirmed: BTreeSet<u32>,
    refused: BTreeSet<u32>,
}

/// No revision is confirmed with two contents, none is refused that was
/// confirmed, and in the end each order has an answer.
fn judge_orders(report: &Report, what: &str) -> (usize, usize) {
    let mut revisions: BTreeMap<(String, u64), Revision> = BTreeMap::new();
    for record in &report.orders {
        let order = &record.order;
        let revision = revisions
            .entry((order.name.clone(), order.revision))
            .or_default();
        match &record.outcome {
            Some(ChangeOutcome::Acknowledged { .. }) => revision.confirmed.insert(order.content),
            Some(ChangeOutcome::RevisionConflict(_)) => revision.refused.insert(order.content),
            other => panic!(
                "{what}: {order:?} ends with {other:?} after {} tries",
                record.tries
            ),
        };
    }
    for (name, revision) in &revisions {
        assert_eq!(
            revision.confirmed.len(),
            1,
            "{what}: {name:?} {:?}",
            revision.confirmed
        );
        let both: Vec<&u32> = revision.confirmed.intersection(&revision.refused).collect();
        assert!(
            both.is_empty(),
            "{what}: {name:?} refused and confirmed: {both:?}"
        );
    }
    let conflicts = revisions.values().filter(|one| !one.refused.is_empty());
    (revisions.len(), conflicts.count())
}

#[test]
fn each_revision_has_one_content_and_retried_changes_are_acknowledged() {
    let (mut revisions, mut conflicts) = (0, 0);
    for control in [3, 4, 5] {
        for seed in 1..=8 {
            let what = format!("{control} control nodes, seed {seed}");
            let report = run(Plan::random(control, seed));
            let (all, refused) = judge_orders(&report, &what);
            revisions += all;
            conflicts += refused;
        }
    }
    assert!(revisions > 100 && conflicts > 30, "{revisions} {conflicts}");
}
