//! Tests of the capacity measurements.
use crate::prelude::*;

/// The table in `docs/CAPACITY.md` equals the output of `simulate-fleet --capacity 16,64`.
#[test]
fn capacity_page_matches_command_output() {
    let page = include_str!("../../../docs/CAPACITY.md");
    let expected = page
        .split_once("<!-- counts -->\n")
        .and_then(|(_, rest)| rest.split_once("<!-- end -->"))
        .expect("page has the markers")
        .0;
    let list: Vec<Measurement> = [16, 64]
        .map(|edges| Capacity::measure(edges, CAPACITY_CONTROL_NODES, &|| None).unwrap())
        .into();
    for measurement in &list {
        assert_eq!(measurement.live_edges, measurement.edges, "all are live");
    }
    assert_eq!(expected, Measurement::table(&list, &Measurement::counts));
}

#[test]
fn linear_fit_detects_nonlinear_counts() {
    let line = crate::capacity::fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!(
        (line.0 - 3.0).abs() < 1e-9 && (line.1 - 2.0).abs() < 1e-9 && line.2 < 1e-9,
        "{line:?}"
    );
    assert!(crate::capacity::fit(&[(1.0, 1.0), (2.0, 4.0), (4.0, 16.0), (8.0, 64.0)]).2 > 0.02);
}
