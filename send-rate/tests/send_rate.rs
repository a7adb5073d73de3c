//! Tests of the send rate.
use send_rate::{BURST_QUANTA, MAX_FRACTION, MAX_QUANTUM_BYTES, MIN_QUANTUM_BYTES, SendRate};
use std::time::{Duration, Instant};

/// Bandwidth of the link in bytes per second.
const BANDWIDTH: f64 = 1_000_000.0;
/// Simulated time between two rounds of writes.
const STEP: Duration = Duration::from_millis(10);

/// Returns the number of bytes sent in `steps` steps by a sender that always has more.
fn run_steps(rate: &SendRate, now: &mut Instant, steps: u32) -> usize {
    let mut sum = 0;
    for _ in 0..steps {
        *now += STEP;
        loop {
            let size = rate.allowance(*now);
            if size == 0 {
                break;
            }
            rate.spend(size);
            sum += size;
        }
    }
    sum
}

#[test]
fn writes_are_bounded_by_bandwidth_and_burst() {
    let mut now = Instant::now();
    let rate = SendRate::new(BANDWIDTH, now).unwrap();
    for _ in 0..200 {
        rate.record_delay(now, Duration::ZERO);
    }
    let sum = run_steps(&rate, &mut now, 100);
    let burst = ((BURST_QUANTA + 1) * rate.quantum()) as f64;
    let bound = BANDWIDTH * MAX_FRACTION + burst;
    assert!(sum as f64 <= bound, "{sum} in a second");
    assert!(
        sum as f64 >= BANDWIDTH * MAX_FRACTION * 0.9,
        "{sum} in a second"
    );
}

/// Other traffic uses a fixed share of the link. The remaining bandwidth can be inferred
/// only from the delay.
#[test]
fn rate_adapts_to_link_delay() {
    for other_share in [0.3, 0.5, 0.7] {
        let mut now = Instant::now();
        let rate = SendRate::new(BANDWIDTH, now).unwrap();
        let mut queue = 0.0_f64;
        let mut long_delays = 0;
        for step in 0..2000 {
            let sent = run_steps(&rate, &mut now, 1) as f64;
            let carried = BANDWIDTH * STEP.as_secs_f64();
            queue = (queue + sent + carried * other_share - carried).max(0.0);
            let delay = Duration::from_secs_f64(queue / BANDWIDTH);
            if step % 4 == 0 {
                rate.record_delay(now, delay);
            }
            long_delays += usize::from(step > 500 && delay > Duration::from_millis(300));
        }
        assert_eq!(
            long_delays, 0,
            "with a share of {other_share} for other traffic"
        );
        let fraction = rate.bytes_per_second() / BANDWIDTH;
        assert!(
            fraction > (1.0 - other_share) * 0.5,
            "{fraction} with a share of {other_share} for other traffic"
        );
    }
}

#[test]
fn full_rate_ignores_the_delay() {
    let now = Instant::now();
    let rate = SendRate::new(BANDWIDTH, now).unwrap();
    rate.use_full_rate();
    for second in 1..20 {
        rate.record_delay(now + Duration::from_secs(second), Duration::from_secs(1));
    }
    assert_eq!(rate.bytes_per_second(), BANDWIDTH * MAX_FRACTION);
    let bytes = (BANDWIDTH * MAX_FRACTION) as usize;
    assert_eq!(rate.time_to_send(bytes), Duration::from_secs(1));
    assert_eq!(rate.shortest_time_to_send(bytes), Duration::from_secs(1));
}

/// During a shutdown, responses to clients must not share the rate with handovers.
#[test]
fn peers_get_what_responses_leave_at_full_rate() {
    let mut now = Instant::now();
    let rate = SendRate::new(BANDWIDTH, now).unwrap();
    run_steps(&rate, &mut now, 100);
    let due = rate.due();
    assert_eq!(rate.peer_due(), due);
    assert_eq!(rate.peer_allowance(due), rate.quantum());
    rate.use_full_rate();
    assert_eq!(rate.peer_allowance(due), 0, "responses come first");
    assert_eq!(rate.peer_allowance(rate.peer_due()), rate.quantum());
}

#[test]
fn quantum_grows_with_bandwidth_within_bounds() {
    let now = Instant::now();
    let quantum = |bandwidth: f64| SendRate::new(bandwidth, now).unwrap().quantum();
    assert_eq!(quantum(1_000_000.0), MIN_QUANTUM_BYTES);
    assert_eq!(quantum(12_500_000.0), 62_500);
    assert_eq!(quantum(125_000_000.0), MAX_QUANTUM_BYTES);
}

#[test]
fn unknown_bandwidth_has_no_rate() {
    for bandwidth in [0.0, -1.0, f64::NAN] {
        assert!(SendRate::new(bandwidth, Instant::now()).is_none());
    }
}
