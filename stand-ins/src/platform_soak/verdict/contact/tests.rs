//! Tests of the times in which machines are in contact.
use super::*;

/// Contact window in seconds.
const WINDOW: f64 = 4.0;

fn event(at: f64, kind: ProcessEventKind) -> ProcessEvent {
    ProcessEvent {
        machine: 1,
        control: false,
        at,
        kind,
    }
}

/// Guards against cases that are not judged: a machine is in contact again one window after
/// its process was resumed, and until it is suspended once more.
#[test]
fn suspension_ends_when_the_process_is_resumed() {
    let events = [
        event(5.0, ProcessEventKind::Suspended),
        event(6.0, ProcessEventKind::SettingsChanged),
        event(8.0, ProcessEventKind::Resumed),
        event(30.0, ProcessEventKind::Suspended),
        event(32.0, ProcessEventKind::Resumed),
    ];
    let record = ContactRecord::new(&events, WINDOW);
    assert!(!record.is_in_contact(1, 10.5, 11.0), "while suspended");
    assert!(!record.is_in_contact(1, 11.5, 12.0), "within the window");
    assert!(record.is_in_contact(1, 13.0, 29.0), "between suspensions");
    assert!(!record.is_in_contact(1, 29.0, 31.0), "suspended again");
    assert!(record.is_in_contact(2, 5.0, 31.0), "another machine");
}
