//! A partition of the ledger is taken over by the next leader: what is sent, and
//! what replicas hold afterwards.
use control_plane::prelude::*;

const SLOTS: usize = 5;
const FIRST_EPOCH: u64 = 16;
const NEXT_EPOCH: u64 = 33;
/// The slot that takes over.
const CANDIDATE: usize = 1;

/// Small numbers that hang on a seed alone.
struct Dice(u64);

impl Dice {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1);
        (self.0 >> 33) % most
    }
}

fn operation(version: u64, bytes: usize) -> Value {
    let reply = Reply {
        status: 200,
        body: Arc::new(vec![version as u8; bytes]),
        ..Reply::default()
    };
    Value::Operation(Operation {
        fingerprint: [0; 32],
        claimant: Peer::new(SocketAddr::from(([127, 0, 0, 1], 9)), 1),
        request: version,
        state: OperationState::Done(Arc::new(reply)),
    })
}

/// Hands what a leader has to say to replicas, where `reaches` lets it, and
/// their replies back; the bytes that were said.
fn exchange(
    leader: &mut PartitionLeader,
    replicas: &mut [Replica],
    now: Duration,
    tick: bool,
    mut reaches: impl FnMut(usize) -> bool,
) -> usize {
    let mut bytes = 0;
    for (slot, message) in leader.flush(now, tick) {
        bytes += bincode::serialized_size(&message).unwrap() as usize;
        let replica = &mut replicas[usize::from(slot)];
        if !reaches(slot.into()) {
            continue;
        }
        match message {
            Message::PrepareRequest(request) => {
                let (partition, epoch) = (request.partition, request.epoch);
                replica.apply(&Record::Promise { partition, epoch });
                let state = replica
                    .held(partition)
                    .promised_state(partition, request.requester_state);
                bytes += bincode::serialized_size(&state).unwrap() as usize;
                leader.raised(now, slot, state);
            }
            Message::AppendRequest(keep) => {
                let (partition, epoch, round, to) =
                    (keep.partition, keep.epoch, keep.round, keep.to_version);
                if !replica.held(partition).fits(&keep) {
                    leader.forget(slot);
                    continue;
                }
                replica.apply(&Record::Appended { keep });
                let reply = AppendReply {
                    partition,
                    epoch,
                    round,
                    synced_version: to,
                    sessions_confirmed: None,
                    retired_incarnations: vec![],
                };
                leader.kept(slot, &reply);
            }
            other => panic!("{}", other.name()),
        }
    }
    bytes
}

/// Replicas of a partition after a leader's life in which messages were lost:
/// each lags by as much as it lags. What was committed is on three of five.
fn lived(
    dice: &mut Dice,
    writes: u64,
    bytes: usize,
    lossy: bool,
) -> (Vec<Replica>, PartitionLeader) {
    let mut replicas: Vec<Replica> = (0..SLOTS)
        .map(|slot| Replica::blank(slot as u64 + 1))
        .collect();
    let mut leader = PartitionLeader::new(PUBLISHED_PARTITIONS, FIRST_EPOCH, SLOTS, 0);
    let mut now = Duration::from_secs(1);
    for _ in 0..2 {
        exchange(&mut leader, &mut replicas, now, true, |_| true);
        now += Duration::from_secs(1);
    }
    for write in 0..writes {
        if dice.below(5) == 0 {
            let key = format!("host/{}", dice.below(writes));
            leader.drop_row(&key);
        } else {
            let key = format!("host/{}", dice.below(writes));
            leader.put(key, operation(write, bytes));
        }
        now += Duration::from_millis(10);
        let down = dice.below(SLOTS as u64 * 2) as usize;
        exchange(&mut leader, &mut replicas, now, false, |slot| {
            !lossy || slot != down
        });
    }
    (replicas, leader)
}

/// The next leader's life until every replica holds what it holds; bytes sent.
fn take_over(replicas: &mut [Replica]) -> (PartitionLeader, usize) {
    let own = replicas[CANDIDATE].held(PUBLISHED_PARTITIONS).image.clone();
    let mut next = PartitionLeader::new(PUBLISHED_PARTITIONS, NEXT_EPOCH, SLOTS, 0).holding(own);
    let mut now = Duration::from_secs(100);
    let mut bytes = 0;
    for _ in 0..10 {
        bytes += exchange(&mut next, replicas, now, true, |_| true);
        now += Duration::from_secs(4);
    }
    (next, bytes)
}

#[test]
fn replicas_that_hold_a_ledger_are_not_sent_it_again() {
    const WRITES: u64 = 600;
    const BYTES: usize = 2000;
    let (mut replicas, _) = lived(&mut Dice(1), WRITES, BYTES, false);
    let held =
        bincode::serialized_size(&replicas[0].held(PUBLISHED_PARTITIONS).image).unwrap() as usize;
    assert!(held > 400_000, "{held} bytes of ledger");
    let (next, bytes) = take_over(&mut replicas);
    assert!(next.ready());
    // Before: five times with the promises, and five times to be written.
    assert!(bytes < held / 10, "{bytes} bytes to take over {held}");
}

#[test]
fn replicas_that_lag_get_what_they_lack() {
    const WRITES: u64 = 600;
    const BYTES: usize = 2000;
    let (mut replicas, mut leader) = lived(&mut Dice(2), WRITES, BYTES, false);
    for version in 0..20 {
        leader.put(format!("late/{version}"), operation(version, BYTES));
    }
    let now = Duration::from_secs(50);
    exchange(&mut leader, &mut replicas, now, false, |slot| slot < 3);
    let held =
        bincode::serialized_size(&replicas[0].held(PUBLISHED_PARTITIONS).image).unwrap() as usize;
    let (next, bytes) = take_over(&mut replicas);
    assert_eq!(next.rows, leader.rows);
    assert!(bytes < held / 2, "{bytes} bytes to take over {held}");
}

#[test]
fn over_many_seeds_all_replicas_hold_the_adopted_state_and_nothing_committed_is_lost() {
    for seed in 0..400 {
        let mut dice = Dice(seed);
        let writes = 5 + dice.below(60);
        let (mut replicas, leader) = lived(&mut dice, writes, 10, true);
        let committed = leader.committed();
        let (next, _) = take_over(&mut replicas);
        assert!(next.ready(), "seed {seed}");
        assert!(next.version >= committed, "seed {seed}");
        for (key, row) in leader
            .rows
            .iter()
            .filter(|(_, row)| row.version <= committed)
        {
            let taken = next.rows.get(key).map(|row| row.version);
            let newer = taken.is_some_and(|version| version >= row.version);
            assert!(
                newer,
                "seed {seed}: {key} of version {} is gone",
                row.version
            );
        }
        for (slot, replica) in replicas.iter().enumerate() {
            let image = &replica.held(PUBLISHED_PARTITIONS).image;
            assert_eq!(image.rows, next.rows, "seed {seed}, slot {slot}");
            assert_eq!(image.epoch, NEXT_EPOCH, "seed {seed}, slot {slot}");
        }
    }
}

/// Another state under the same version number, of another epoch, is no base.
#[test]
fn rows_are_added_to_no_state_but_the_one_they_were_made_for() {
    let (mut replicas, _) = lived(&mut Dice(3), 40, 10, false);
    let (mut other, _) = lived(&mut Dice(4), 40, 10, false);
    let own = replicas[CANDIDATE].held(PUBLISHED_PARTITIONS).image.clone();
    let mut next = PartitionLeader::new(PUBLISHED_PARTITIONS, NEXT_EPOCH, SLOTS, 0).holding(own);
    let now = Duration::from_secs(100);
    exchange(&mut next, &mut replicas, now, true, |_| true);
    let keep = next
        .flush(now + PROMISE_WAIT, true)
        .into_iter()
        .find_map(|(_, message)| match message {
            Message::AppendRequest(keep) if keep.base.is_some() => Some(keep),
            _ => None,
        })
        .expect("a replica holds the adopted state");
    assert!(replicas[4].held(PUBLISHED_PARTITIONS).fits(&keep));
    let image = &mut other[4].partitions[usize::from(PUBLISHED_PARTITIONS)].image;
    image.epoch += 1;
    image.version = keep.after_version;
    assert!(
        !other[4].held(PUBLISHED_PARTITIONS).fits(&keep),
        "another epoch"
    );
    image_version(&mut replicas[4], keep.after_version + 1);
    assert!(
        !replicas[4].held(PUBLISHED_PARTITIONS).fits(&keep),
        "another version"
    );
}

fn image_version(replica: &mut Replica, version: u64) {
    replica.partitions[usize::from(PUBLISHED_PARTITIONS)]
        .image
        .version = version;
}
