//! Tests of schedule shrinking.
use crate::prelude::*;

#[test]
fn shrinking_keeps_only_required_faults() {
    let needed = |list: &[u32]| list.contains(&3) && list.contains(&77);
    assert_eq!(Shrink::list((0..100).collect(), &needed), [3, 77]);
}
