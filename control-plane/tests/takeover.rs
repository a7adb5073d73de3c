//! Tests of the takeover of a ledger partition by the next leader: the bytes sent, and the resulting state of the
//! replicas.
use control_plane::prelude::*;

/// Number of replicas.
const SLOTS: usize = 5;
/// Epoch of the first leader.
const FIRST_EPOCH: u64 = 16;
/// Epoch of the leader that takes over.
const NEXT_EPOCH: u64 = 33;
/// Slot of the next leader.
const CANDIDATE: usize = 1;

/// Generator of small numbers, determined by a seed.
struct SeededRandom(u64);

impl SeededRandom {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1);
        (self.0 >> 33) % bound
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

/// Delivers a leader's due messages to the replicas that `reaches` selects, and their replies back. Returns the number
/// of bytes sent.
fn exchange(
    leader: &mut PartitionLeader,
    replicas: &mut [Replica],
    now: Duration,
    tick: bool,
    mut reaches: impl FnMut(usize) -> bool,
) -> usize {
    let mut bytes = 0;
    for (slot, message) in leader.due_messages(now, tick) {
        bytes += bincode::serialized_size(&message).unwrap() as usize;
        let replica = &mut replicas[usize::from(slot)];
        if !reaches(slot.into()) {
            continue;
        }
        match message {
            Message::PrepareRequest(request) => {
                let state = promise(replica, &request);
                bytes += bincode::serialized_size(&state).unwrap() as usize;
                leader.on_prepare_reply(now, slot, state);
            }
            Message::AppendRequest(request) => match append(replica, request) {
                Some(reply) => leader.on_append_reply(slot, &reply),
                None => leader.reset_replica(slot),
            },
            other => panic!("{}", other.name()),
        }
    }
    bytes
}

/// Stores a replica's promise. Returns the state that it reports.
fn promise(replica: &mut Replica, request: &PrepareRequest) -> PreparedState {
    let (partition, epoch) = (request.partition, request.epoch);
    replica.apply(&Record::Promise { partition, epoch });
    replica
        .partition(partition)
        .prepared_state(partition, request.requester_state)
}

/// Stores rows in a replica. None if they do not follow on its current state.
fn append(replica: &mut Replica, request: AppendRequest) -> Option<AppendReply> {
    if !replica.partition(request.partition).accepts(&request) {
        return None;
    }
    let reply = AppendReply {
        partition: request.partition,
        epoch: request.epoch,
        round: request.round,
        synced_version: request.to_version,
        sessions_confirmed: None,
        retired_incarnations: vec![],
    };
    replica.apply(&Record::Appended { request });
    Some(reply)
}

/// Returns the replicas of a partition and their leader after this number of writes. If the network is `lossy`,
/// replicas miss some of the writes, so that each lags differently. Committed rows are on three of five replicas.
fn replicas_after_writes(
    random: &mut SeededRandom,
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
        if random.below(5) == 0 {
            let key = format!("host/{}", random.below(writes));
            leader.remove_row(&key);
        } else {
            let key = format!("host/{}", random.below(writes));
            leader.put(key, operation(write, bytes));
        }
        now += Duration::from_millis(10);
        let unreachable = random.below(SLOTS as u64 * 2) as usize;
        exchange(&mut leader, &mut replicas, now, false, |slot| {
            !lossy || slot != unreachable
        });
    }
    (replicas, leader)
}

/// Runs the next leader until every replica holds its state. Returns the leader and the number of bytes sent.
fn take_over(replicas: &mut [Replica]) -> (PartitionLeader, usize) {
    let local_state = replicas[CANDIDATE]
        .partition(PUBLISHED_PARTITIONS)
        .state
        .clone();
    let mut next = PartitionLeader::new(PUBLISHED_PARTITIONS, NEXT_EPOCH, SLOTS, 0)
        .with_local_state(local_state);
    let mut now = Duration::from_secs(100);
    let mut bytes = 0;
    for _ in 0..10 {
        bytes += exchange(&mut next, replicas, now, true, |_| true);
        now += Duration::from_secs(4);
    }
    (next, bytes)
}

#[test]
fn takeover_does_not_resend_ledger_to_current_replicas() {
    const WRITES: u64 = 600;
    const BYTES: usize = 2000;
    let (mut replicas, _) = replicas_after_writes(&mut SeededRandom(1), WRITES, BYTES, false);
    let ledger_bytes = bincode::serialized_size(&replicas[0].partition(PUBLISHED_PARTITIONS).state)
        .unwrap() as usize;
    assert!(ledger_bytes > 400_000, "{ledger_bytes} bytes of ledger");
    let (next, bytes) = take_over(&mut replicas);
    assert!(next.is_ready());
    // Before this was fixed, the ledger was sent five times with the promises and five times in appends.
    assert!(
        bytes < ledger_bytes / 10,
        "{bytes} bytes to take over {ledger_bytes}"
    );
}

#[test]
fn lagging_replicas_get_missing_rows() {
    const WRITES: u64 = 600;
    const BYTES: usize = 2000;
    let (mut replicas, mut leader) =
        replicas_after_writes(&mut SeededRandom(2), WRITES, BYTES, false);
    for version in 0..20 {
        leader.put(format!("late/{version}"), operation(version, BYTES));
    }
    let now = Duration::from_secs(50);
    exchange(&mut leader, &mut replicas, now, false, |slot| slot < 3);
    let ledger_bytes = bincode::serialized_size(&replicas[0].partition(PUBLISHED_PARTITIONS).state)
        .unwrap() as usize;
    let (next, bytes) = take_over(&mut replicas);
    assert_eq!(next.rows, leader.rows);
    assert!(
        bytes < ledger_bytes / 2,
        "{bytes} bytes to take over {ledger_bytes}"
    );
}

#[test]
fn takeover_converges_and_loses_no_committed_row() {
    for seed in 0..400 {
        let mut random = SeededRandom(seed);
        let writes = 5 + random.below(60);
        let (mut replicas, leader) = replicas_after_writes(&mut random, writes, 10, true);
        let committed = leader.committed();
        let (next, _) = take_over(&mut replicas);
        assert!(next.is_ready(), "seed {seed}");
        assert!(next.version >= committed, "seed {seed}");
        for (key, row) in leader
            .rows
            .iter()
            .filter(|(_, row)| row.version <= committed)
        {
            let adopted = next.rows.get(key).map(|row| row.version);
            let newer = adopted.is_some_and(|version| version >= row.version);
            assert!(
                newer,
                "seed {seed}: {key} of version {} is lost",
                row.version
            );
        }
        for (slot, replica) in replicas.iter().enumerate() {
            let state = &replica.partition(PUBLISHED_PARTITIONS).state;
            assert_eq!(state.rows, next.rows, "seed {seed}, slot {slot}");
            assert_eq!(state.epoch, NEXT_EPOCH, "seed {seed}, slot {slot}");
        }
    }
}

/// A state with the same version number but of another epoch is not a valid base.
#[test]
fn delta_applies_to_its_base_state_only() {
    let (mut replicas, _) = replicas_after_writes(&mut SeededRandom(3), 40, 10, false);
    let (mut other, _) = replicas_after_writes(&mut SeededRandom(4), 40, 10, false);
    let local_state = replicas[CANDIDATE]
        .partition(PUBLISHED_PARTITIONS)
        .state
        .clone();
    let mut next = PartitionLeader::new(PUBLISHED_PARTITIONS, NEXT_EPOCH, SLOTS, 0)
        .with_local_state(local_state);
    let now = Duration::from_secs(100);
    exchange(&mut next, &mut replicas, now, true, |_| true);
    let request = next
        .due_messages(now + PREPARE_REPLY_GRACE, true)
        .into_iter()
        .find_map(|(_, message)| match message {
            Message::AppendRequest(request) if request.base.is_some() => Some(request),
            _ => None,
        })
        .expect("a replica holds the adopted state");
    assert!(
        replicas[4]
            .partition(PUBLISHED_PARTITIONS)
            .accepts(&request)
    );
    let state = &mut other[4].partitions[usize::from(PUBLISHED_PARTITIONS)].state;
    state.epoch += 1;
    state.version = request.after_version;
    assert!(
        !other[4].partition(PUBLISHED_PARTITIONS).accepts(&request),
        "another epoch"
    );
    set_version(&mut replicas[4], request.after_version + 1);
    assert!(
        !replicas[4]
            .partition(PUBLISHED_PARTITIONS)
            .accepts(&request),
        "another version"
    );
}

fn set_version(replica: &mut Replica, version: u64) {
    replica.partitions[usize::from(PUBLISHED_PARTITIONS)]
        .state
        .version = version;
}
