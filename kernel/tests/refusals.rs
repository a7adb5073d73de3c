//! Tests of the limits of clients, and of the reports of what was refused.
use kernel::prelude::*;

const MIB: u64 = 1024 * 1024;
/// The largest request body that the users' pages allow, in bytes.
const LARGEST_BODY_BYTES: usize = 64 * MIB as usize;

#[test]
fn refusals_are_reported_once_and_not_too_often() {
    let mut reports = RefusalReports::default();
    let counts = |requests| RefusalCounts {
        requests,
        connections: 1,
        held_bytes: 7,
    };
    let at = Duration::from_secs;
    assert_eq!(reports.next(at(0), RefusalCounts::default()), None);
    let text = reports.next(at(1), counts(2)).unwrap();
    assert!(text.contains("1 connections and 2 requests; 7 bytes"));
    assert_eq!(reports.next(at(3), counts(3)), None);
    assert!(
        reports
            .next(at(6), counts(3))
            .unwrap()
            .contains("1 requests")
    );
    assert_eq!(reports.next(at(60), counts(3)), None);
}

#[test]
fn one_largest_body_fits_on_each_machine_and_leaves_memory_for_the_rest() {
    for memory_mb in [160, 260, 512] {
        let startup = Startup {
            memory_bytes: Some(memory_mb * MIB),
            ..Startup::default()
        };
        let budget = resource_limits::edge_byte_budget(&startup);
        assert_eq!(budget.fit_body(LARGEST_BODY_BYTES), LARGEST_BODY_BYTES);
        let cache_bytes = memory_mb * MIB / 4;
        assert!(budget.limit() as u64 + cache_bytes <= memory_mb * MIB * 3 / 4);
        let operators = resource_limits::operator_byte_budget(&startup);
        let largest = kernel::operator_server::MAX_OPERATOR_BODY_BYTES;
        assert_eq!(operators.fit_body(largest), largest);
    }
}

#[test]
fn connections_of_clients_leave_descriptors_for_origins_and_peers() {
    for descriptors in [400, 790, 3000, 4100, 8192] {
        let startup = Startup {
            memory_bytes: Some(160 * MIB),
            descriptors: Some(descriptors),
            ..Startup::default()
        };
        let usable = (descriptors - 200) as usize;
        let clients = resource_limits::max_edge_connections(&startup);
        let calls = resource_limits::max_calls(&startup);
        assert!(clients + calls <= usable * 2 / 3, "{descriptors}");
        assert!(resource_limits::max_operator_connections(&startup) <= usable / 4);
    }
}
