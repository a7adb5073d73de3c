//! Tests of the pacer.
use super::*;

/// Bandwidth of the link in bytes per second.
const BANDWIDTH: f64 = 1_000_000.0;
/// Simulated time between two rounds of writes.
const STEP: Duration = Duration::from_millis(10);

/// Returns the number of bytes written in `steps` steps by connections that always
/// have more to write.
fn run_steps(pacer: &mut Pacer, now: &mut Instant, steps: u32) -> usize {
    let mut sum = 0;
    for _ in 0..steps {
        *now += STEP;
        while let Some(token) = pacer.dequeue(*now) {
            let size = pacer.allowance(*now);
            pacer.spend(size);
            sum += size;
            pacer.enqueue(token, usize::MAX);
        }
    }
    sum
}

#[test]
fn writes_are_bounded_by_bandwidth_and_burst() {
    let mut now = Instant::now();
    let mut pacer = Pacer::new(Some(BANDWIDTH), now);
    pacer.enqueue(1, usize::MAX);
    for _ in 0..200 {
        pacer.record_delay(now, Duration::ZERO);
    }
    let sum = run_steps(&mut pacer, &mut now, 100);
    let bound = BANDWIDTH * MAX_FRACTION + pacer.burst() + pacer.quantum as f64;
    assert!(sum as f64 <= bound, "{sum} in a second");
    assert!(
        sum as f64 >= BANDWIDTH * MAX_FRACTION * 0.9,
        "{sum} in a second"
    );
}

/// Other traffic uses a fixed share of the link. The pacer can infer the remaining
/// bandwidth only from the delay.
#[test]
fn rate_adapts_to_link_delay() {
    for other_share in [0.3, 0.5, 0.7] {
        let mut now = Instant::now();
        let mut pacer = Pacer::new(Some(BANDWIDTH), now);
        pacer.enqueue(1, usize::MAX);
        let mut queue = 0.0_f64;
        let mut long_delays = 0;
        for step in 0..2000 {
            let responses = run_steps(&mut pacer, &mut now, 1) as f64;
            let carried = BANDWIDTH * STEP.as_secs_f64();
            queue = (queue + responses + carried * other_share - carried).max(0.0);
            let delay = Duration::from_secs_f64(queue / BANDWIDTH);
            if step % 4 == 0 {
                pacer.record_delay(now, delay);
            }
            long_delays += usize::from(step > 500 && delay > Duration::from_millis(300));
        }
        assert_eq!(
            long_delays, 0,
            "with a share of {other_share} for other traffic"
        );
        let fraction = pacer.fraction;
        assert!(
            fraction > (1.0 - other_share) * 0.5,
            "{fraction} with a share of {other_share} for other traffic"
        );
    }
}

#[test]
fn nearly_done_response_precedes_large_ones() {
    let now = Instant::now();
    let mut pacer = Pacer::new(Some(BANDWIDTH), now);
    for token in 0..50 {
        pacer.enqueue(token, 1 << 20);
    }
    pacer.enqueue(99, MIN_QUANTUM_BYTES);
    assert_eq!(pacer.dequeue(now), Some(99));
    assert_eq!(pacer.dequeue(now), Some(0), "then in order");
}

/// Guards against a full link on which all responses progress and none is completed.
#[test]
fn started_response_is_completed_before_others_of_its_size() {
    let mut now = Instant::now();
    let mut pacer = Pacer::new(Some(BANDWIDTH), now);
    let mut remaining = [100_000_usize; 20];
    for (token, bytes) in remaining.iter().enumerate() {
        pacer.enqueue(token, *bytes);
    }
    for _ in 0..100 {
        now += STEP;
        while let Some(token) = pacer.dequeue(now) {
            let size = pacer.allowance(now).min(remaining[token]);
            pacer.spend(size);
            remaining[token] -= size;
            if remaining[token] > 0 {
                pacer.enqueue(token, remaining[token]);
            }
        }
    }
    let started = remaining.iter().filter(|bytes| **bytes < 100_000);
    let incomplete = started.filter(|bytes| **bytes > 0).count();
    assert!(incomplete <= 1, "{remaining:?}");
    assert!(remaining.iter().filter(|bytes| **bytes == 0).count() >= 7);
}

#[test]
fn full_rate_ignores_the_delay() {
    let now = Instant::now();
    let mut pacer = Pacer::new(Some(BANDWIDTH), now);
    pacer.use_full_rate();
    for second in 1..20 {
        pacer.record_delay(now + Duration::from_secs(second), Duration::from_secs(1));
    }
    assert_eq!(pacer.rate(), Some(BANDWIDTH * MAX_FRACTION));
    let second = pacer.time_to_send((BANDWIDTH * MAX_FRACTION) as usize);
    assert_eq!(second, Some(Duration::from_secs(1)));
}

#[test]
fn unknown_bandwidth_is_not_paced() {
    let now = Instant::now();
    for bandwidth in [None, Some(0.0)] {
        let mut pacer = Pacer::new(bandwidth, now);
        pacer.spend(1 << 30);
        assert_eq!(pacer.allowance(now), usize::MAX);
        assert_eq!(pacer.due(), None);
    }
}

#[test]
fn quantum_grows_with_bandwidth_within_bounds() {
    let now = Instant::now();
    let quantum = |bandwidth: f64| Pacer::new(Some(bandwidth), now).quantum;
    assert_eq!(quantum(1_000_000.0), MIN_QUANTUM_BYTES);
    assert_eq!(quantum(12_500_000.0), 62_500);
    assert_eq!(quantum(125_000_000.0), MAX_QUANTUM_BYTES);
}
