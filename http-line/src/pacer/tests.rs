//! Tests of the pacer.
use super::*;

/// Bandwidth of the link in bytes per second.
const BANDWIDTH: f64 = 1_000_000.0;
/// Simulated time between two rounds of writes.
const STEP: Duration = Duration::from_millis(10);

fn pacer_of(bandwidth: f64, now: Instant) -> Pacer {
    Pacer::new(SendRate::new(bandwidth, now).map(Arc::new))
}

#[test]
fn nearly_done_response_precedes_large_ones() {
    let now = Instant::now();
    let mut pacer = pacer_of(BANDWIDTH, now);
    for token in 0..50 {
        pacer.enqueue(token, 1 << 20);
    }
    pacer.enqueue(99, 8 * 1024);
    assert_eq!(pacer.dequeue(now), Some(99));
    assert_eq!(pacer.dequeue(now), Some(0), "then in order");
}

/// Guards against small responses that are late because large ones were queued long before.
#[test]
fn small_response_precedes_large_ones_that_have_waited() {
    let now = Instant::now();
    let mut pacer = pacer_of(BANDWIDTH, now);
    for token in 0..50 {
        pacer.enqueue(token, 120_000);
    }
    pacer.spend(1_000_000);
    pacer.enqueue(99, 6_000);
    let later = now + Duration::from_secs(3);
    assert_eq!(pacer.dequeue(later), Some(99));
}

/// Guards against a full link on which all responses progress and none is completed.
#[test]
fn started_response_is_completed_before_others_of_its_size() {
    let mut now = Instant::now();
    let mut pacer = pacer_of(BANDWIDTH, now);
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
            } else {
                pacer.complete(token);
            }
        }
    }
    let started = remaining.iter().filter(|bytes| **bytes < 100_000);
    let incomplete = started.filter(|bytes| **bytes > 0).count();
    assert!(incomplete <= 1, "{remaining:?}");
    assert!(remaining.iter().filter(|bytes| **bytes == 0).count() >= 7);
}

/// Guards against a large response that is never written, and cut off in the end, because
/// smaller ones come all the time.
#[test]
fn large_response_is_completed_in_spite_of_smaller_later_ones() {
    const LARGE_BYTES: usize = 700_000;
    const SMALL_BYTES: usize = 50_000;
    let mut now = Instant::now();
    let mut pacer = pacer_of(BANDWIDTH, now);
    let mut remaining = vec![LARGE_BYTES];
    pacer.enqueue(0, LARGE_BYTES);
    // For eight seconds, five times as much as the bandwidth.
    for _ in 0..800 {
        now += STEP;
        remaining.push(SMALL_BYTES);
        pacer.enqueue(remaining.len() - 1, SMALL_BYTES);
        while let Some(token) = pacer.dequeue(now) {
            let size = pacer.allowance(now).min(remaining[token]);
            pacer.spend(size);
            remaining[token] -= size;
            if remaining[token] > 0 {
                pacer.enqueue(token, remaining[token]);
            } else {
                pacer.complete(token);
            }
        }
    }
    assert_eq!(remaining[0], 0, "bytes left of the large response");
}

#[test]
fn unknown_bandwidth_is_not_paced() {
    let now = Instant::now();
    for mut pacer in [Pacer::new(None), pacer_of(0.0, now)] {
        pacer.spend(1 << 30);
        assert_eq!(pacer.allowance(now), usize::MAX);
        assert_eq!(pacer.due(), None);
    }
}
