//! Tests of the timer queue.
use super::*;

#[test]
fn earliest_timer_is_first_and_never_early() {
    let start = Instant::now();
    let mut timers = Timers::new(start);
    for nanos in [0, 1, 19_999_999, 20_000_000, 20_000_001, 40_300_000] {
        let due = start + Duration::from_nanos(nanos);
        let time = timers.time_of(timers.tick_of(due));
        assert!(time >= due && time < due + TICK, "{nanos}");
    }
    let tick = timers.tick_of(start + Duration::from_millis(41));
    timers.push(tick, 1);
    timers.push(timers.tick_of(start + Duration::from_millis(5)), 2);
    assert_eq!(timers.first(), Some(Timer { tick: 1, token: 2 }));
    timers.pop();
    assert_eq!(timers.first(), Some(Timer { tick: 3, token: 1 }));
}
