//! Tests of the pacer.
use super::*;

const BANDWIDTH: f64 = 1_000_000.0;
const STEP: Duration = Duration::from_millis(10);

/// Bytes written in so many steps by connections that always have more.
fn written(pacer: &mut Pacer, now: &mut Instant, steps: u32) -> usize {
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
    let sum = written(&mut pacer, &mut now, 100);
    let bound = BANDWIDTH * MAX_FRACTION + pacer.burst() + pacer.quantum as f64;
    assert!(sum as f64 <= bound, "{sum} in a second");
    assert!(
        sum as f64 >= BANDWIDTH * MAX_FRACTION * 0.9,
        "{sum} in a second"
    );
}

/// Other traffic takes what it takes of the link; what is left shows only in
/// the delay.
#[test]
fn rate_adapts_to_link_delay() {
    for others in [0.3, 0.5, 0.7] {
        let mut now = Instant::now();
        let mut pacer = Pacer::new(Some(BANDWIDTH), now);
        pacer.enqueue(1, usize::MAX);
        let mut queue = 0.0_f64;
        let mut long_delays = 0;
        for step in 0..2000 {
            let responses = written(&mut pacer, &mut now, 1) as f64;
            let carried = BANDWIDTH * STEP.as_secs_f64();
            queue = (queue + responses + carried * others - carried).max(0.0);
            let delay = Duration::from_secs_f64(queue / BANDWIDTH);
            if step % 4 == 0 {
                pacer.record_delay(now, delay);
            }
            long_delays += usize::from(step > 500 && delay > Duration::from_millis(300));
        }
        assert_eq!(long_delays, 0, "with {others} of the link in other use");
        let fraction = pacer.fraction;
        assert!(
            fraction > (1.0 - others) * 0.5,
            "{fraction} beside {others}"
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
    pacer.enqueue(99, MIN_QUANTUM);
    assert_eq!(pacer.dequeue(now), Some(99));
    assert_eq!(pacer.dequeue(now), Some(0), "then in order");
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
    assert_eq!(quantum(1_000_000.0), MIN_QUANTUM);
    assert_eq!(quantum(12_500_000.0), 62_500);
    assert_eq!(quantum(125_000_000.0), MAX_QUANTUM);
}
