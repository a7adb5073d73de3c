//! Tests of the budget and of bodies that reserve what they hold.
use byte_budget::{BudgetExceeded, ByteBudget, HeldBytes, LARGE_BODY_BYTES, Reservation};
use std::sync::Arc;

const MIB: usize = 1024 * 1024;

#[test]
fn bytes_are_given_back_when_the_last_holder_drops_them() {
    let budget = Arc::new(ByteBudget::new(8 * MIB, 8 * MIB));
    let mut body = HeldBytes::within(&budget);
    for _ in 0..64 {
        body.push(&[7; 16 * 1024], MIB).unwrap();
    }
    let shared = Arc::new(body);
    let other_holder = shared.clone();
    drop(shared);
    assert_eq!(budget.used(), MIB);
    assert_eq!(other_holder.len(), MIB);
    assert!(other_holder.iter().all(|byte| *byte == 7));
    drop(other_holder);
    assert_eq!(budget.used(), 0);
}

#[test]
fn body_that_does_not_fit_keeps_what_it_has() {
    let budget = Arc::new(ByteBudget::new(MIB, 32 * MIB));
    let mut body = HeldBytes::within(&budget);
    body.push(&vec![1; MIB / 2], MIB).unwrap();
    assert_eq!(body.push(&vec![2; MIB], 2 * MIB), Err(BudgetExceeded));
    assert_eq!((body.len(), budget.used()), (MIB / 2, MIB / 2));
    body.push(&[3], MIB).unwrap();
    assert_eq!(body[MIB / 2], 3);
}

#[test]
fn large_bodies_leave_room_for_small_ones() {
    let budget = Arc::new(ByteBudget::new(8 * MIB, 8 * MIB));
    let mut large = Reservation::empty(&budget);
    large.grow_to(7 * MIB).unwrap();
    assert_eq!(large.grow_to(7 * MIB + 1), Err(BudgetExceeded));
    assert!(!budget.has_room(LARGE_BODY_BYTES, 1));
    let mut small = HeldBytes::within(&budget);
    small
        .push(&vec![0; LARGE_BODY_BYTES], LARGE_BODY_BYTES)
        .unwrap();
    large.clear();
    assert_eq!(budget.used(), LARGE_BODY_BYTES);
}

#[test]
fn one_body_of_the_largest_size_fits_into_an_unused_budget() {
    let budget = Arc::new(ByteBudget::new(MIB, 32 * MIB));
    for bytes in [MIB, 16 * MIB, 3] {
        assert_eq!(budget.fit_body(bytes), bytes);
        let mut body = Reservation::empty(&budget);
        assert_eq!(body.grow_to(bytes), Ok(()), "{bytes}");
    }
}

#[test]
fn budget_is_not_raised_above_its_ceiling() {
    let budget = Arc::new(ByteBudget::new(MIB, 8 * MIB));
    let largest = budget.fit_body(1024 * MIB);
    assert_eq!(largest, 7 * MIB);
    let mut body = Reservation::empty(&budget);
    assert_eq!(body.grow_to(largest + 1), Err(BudgetExceeded));
    assert_eq!(body.grow_to(largest), Ok(()));
}

#[test]
fn reservation_outlives_the_body_for_a_caller_that_holds_it_longer() {
    let budget = Arc::new(ByteBudget::new(MIB, MIB));
    let mut body = HeldBytes::within(&budget);
    body.push(&vec![5; MIB / 2], MIB).unwrap();
    let (bytes, reservation) = body.into_parts();
    assert_eq!((bytes.len(), budget.used()), (MIB / 2, MIB / 2));
    drop(reservation);
    assert_eq!(budget.used(), 0);
}
