//! How answers share a link.
use super::*;

const LINK: f64 = 1_000_000.0;
const STEP: Duration = Duration::from_millis(10);

/// Bytes written in so many steps by connections that always have more.
fn written(pacer: &mut Pacer, now: &mut Instant, steps: u32) -> usize {
    let mut sum = 0;
    for _ in 0..steps {
        *now += STEP;
        while let Some(token) = pacer.next(*now) {
            let size = pacer.turn(*now);
            pacer.wrote(size);
            sum += size;
            pacer.wait(token, usize::MAX);
        }
    }
    sum
}

#[test]
fn no_more_is_written_than_the_link_takes_and_a_burst() {
    let mut now = Instant::now();
    let mut pacer = Pacer::new(Some(LINK), now);
    pacer.wait(1, usize::MAX);
    for _ in 0..200 {
        pacer.measured(now, Duration::ZERO);
    }
    let sum = written(&mut pacer, &mut now, 100);
    let most = LINK * MOST_PART + pacer.burst() + pacer.turn as f64;
    assert!(sum as f64 <= most, "{sum} in a second");
    assert!(sum as f64 >= LINK * MOST_PART * 0.9, "{sum} in a second");
}

/// Other traffic takes what it takes of the link; what is left shows only in
/// the delay.
#[test]
fn the_rate_falls_until_the_delay_is_short_and_rises_again() {
    for others in [0.3, 0.5, 0.7] {
        let mut now = Instant::now();
        let mut pacer = Pacer::new(Some(LINK), now);
        pacer.wait(1, usize::MAX);
        let mut queue = 0.0_f64;
        let mut long = 0;
        for step in 0..2000 {
            let answers = written(&mut pacer, &mut now, 1) as f64;
            let carried = LINK * STEP.as_secs_f64();
            queue = (queue + answers + carried * others - carried).max(0.0);
            let delay = Duration::from_secs_f64(queue / LINK);
            if step % 4 == 0 {
                pacer.measured(now, delay);
            }
            long += usize::from(step > 500 && delay > Duration::from_millis(300));
        }
        assert_eq!(long, 0, "with {others} of the link in other use");
        let part = pacer.part;
        assert!(part > (1.0 - others) * 0.5, "{part} beside {others}");
    }
}

#[test]
fn a_small_answer_waits_for_no_large_one() {
    let now = Instant::now();
    let mut pacer = Pacer::new(Some(LINK), now);
    for token in 0..50 {
        pacer.wait(token, 1 << 20);
    }
    pacer.wait(99, LEAST_TURN);
    assert_eq!(pacer.next(now), Some(99));
    assert_eq!(pacer.next(now), Some(0), "then in order");
}

#[test]
fn where_no_width_is_known_nothing_is_held_back() {
    let now = Instant::now();
    for link in [None, Some(0.0)] {
        let mut pacer = Pacer::new(link, now);
        pacer.wrote(1 << 30);
        assert_eq!(pacer.turn(now), usize::MAX);
        assert_eq!(pacer.due(), None);
    }
}

#[test]
fn a_wide_link_is_not_written_to_in_small_pieces() {
    let now = Instant::now();
    let turn = |link: f64| Pacer::new(Some(link), now).turn;
    assert_eq!(turn(1_000_000.0), LEAST_TURN);
    assert_eq!(turn(12_500_000.0), 62_500);
    assert_eq!(turn(125_000_000.0), MOST_TURN);
}
