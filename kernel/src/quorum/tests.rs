//! Tests of `quorum`.
use crate::prelude::*;

/// Every set of so many of the slots, as bits.
fn sets(slots: usize, size: usize) -> Vec<u32> {
    (0..1u32 << slots)
        .filter(|set| set.count_ones() as usize == size)
        .collect()
}

fn all_meet(one: &[u32], other: &[u32]) -> bool {
    one.iter()
        .all(|first| other.iter().all(|second| first & second != 0))
}

#[test]
fn majorities_intersect_and_are_minimal() {
    for slots in 1..=8 {
        let quorum = Quorum::new(slots);
        let (most, rest) = (
            sets(slots, quorum.majority()),
            sets(slots, quorum.intersecting()),
        );
        assert!(all_meet(&most, &most) && all_meet(&rest, &most), "{slots}");
        let (fewer, less) = (
            sets(slots, quorum.majority() - 1),
            sets(slots, quorum.intersecting() - 1),
        );
        assert!(
            !all_meet(&fewer, &fewer) && !all_meet(&less, &most),
            "{slots}"
        );
    }
    let known = [3, 4, 5, 8].map(|slots| {
        (
            Quorum::new(slots).majority(),
            Quorum::new(slots).intersecting(),
        )
    });
    assert_eq!(known, [(2, 2), (3, 2), (3, 3), (5, 4)]);
}

/// One slot more at a time: who still goes by the smaller table and who
/// goes by the larger one share a disk, and a newcomer that was refilled
/// from `rest` of the larger one asked somebody of every majority and of
/// every live edge of the smaller one.
#[test]
fn quorums_of_adjacent_tables_intersect() {
    for slots in 1..8 {
        let (small, large) = (Quorum::new(slots), Quorum::new(slots + 1));
        assert!(all_meet(
            &sets(slots, small.majority()),
            &sets(slots + 1, large.majority())
        ));
        assert!(all_meet(
            &sets(slots, small.majority()),
            &sets(slots, large.intersecting().min(slots))
        ));
        assert!(all_meet(
            &sets(slots, small.intersecting()),
            &sets(slots, large.intersecting().min(slots))
        ));
    }
}

/// A blank disk in the place of one of `most` asks `rest` of the others:
/// one of them is another of that majority.
#[test]
fn recovery_quorum_intersects_majorities_of_lost_disk() {
    for slots in 2..=8 {
        let quorum = Quorum::new(slots);
        let others = sets(slots, quorum.intersecting())
            .into_iter()
            .filter(|set| set & 1 == 0)
            .collect::<Vec<_>>();
        let without: Vec<u32> = sets(slots, quorum.majority())
            .into_iter()
            .filter(|set| set & 1 == 1)
            .map(|set| set & !1)
            .collect();
        assert!(all_meet(&others, &without), "{slots}");
    }
}
