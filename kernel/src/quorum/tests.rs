//! Tests of the `quorum` module.
use crate::prelude::*;

/// All sets of `size` of the slots, as bit masks.
fn sets(slots: usize, size: usize) -> Vec<u32> {
    (0..1u32 << slots)
        .filter(|set| set.count_ones() as usize == size)
        .collect()
}

fn all_intersect(one: &[u32], other: &[u32]) -> bool {
    one.iter()
        .all(|first| other.iter().all(|second| first & second != 0))
}

#[test]
fn majorities_intersect_and_are_minimal() {
    for slots in 1..=8 {
        let quorum = Quorum::new(slots);
        let (majorities, intersecting) = (
            sets(slots, quorum.majority()),
            sets(slots, quorum.intersecting()),
        );
        assert!(
            all_intersect(&majorities, &majorities) && all_intersect(&intersecting, &majorities),
            "{slots}"
        );
        let (smaller_majorities, smaller_intersecting) = (
            sets(slots, quorum.majority() - 1),
            sets(slots, quorum.intersecting() - 1),
        );
        assert!(
            !all_intersect(&smaller_majorities, &smaller_majorities)
                && !all_intersect(&smaller_intersecting, &majorities),
            "{slots}"
        );
    }
    let sizes = [3, 4, 5, 8].map(|slots| {
        (
            Quorum::new(slots).majority(),
            Quorum::new(slots).intersecting(),
        )
    });
    assert_eq!(sizes, [(2, 2), (3, 2), (3, 3), (5, 4)]);
}

/// The table grows by one slot at a time. Every majority of the smaller table shares a
/// disk with every majority of the larger one. A new disk is refilled from an intersecting
/// set of the larger table, which shares a disk with every majority of the smaller table
/// and with every set of its slots that keeps an edge live.
#[test]
fn quorums_of_adjacent_tables_intersect() {
    for slots in 1..8 {
        let (small, large) = (Quorum::new(slots), Quorum::new(slots + 1));
        assert!(all_intersect(
            &sets(slots, small.majority()),
            &sets(slots + 1, large.majority())
        ));
        assert!(all_intersect(
            &sets(slots, small.majority()),
            &sets(slots, large.intersecting().min(slots))
        ));
        assert!(all_intersect(
            &sets(slots, small.intersecting()),
            &sets(slots, large.intersecting().min(slots))
        ));
    }
}

/// A blank disk that replaces a member of a majority is refilled from an intersecting
/// set of the other slots: one of these belongs to the same majority.
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
        assert!(all_intersect(&others, &without), "{slots}");
    }
}
