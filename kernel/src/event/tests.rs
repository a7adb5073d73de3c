//! Tests of the `event` module.
use crate::prelude::*;

#[test]
fn event_catalogue_matches_the_code() {
    let page = std::fs::read_to_string("../docs/events.md").unwrap();
    let listed: Vec<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| E"))
        .map(|rest| {
            rest.split('|')
                .take(3)
                .map(str::trim)
                .collect::<Vec<_>>()
                .join(" ")
        })
        .collect();
    let declared: Vec<String> = Event::ALL
        .iter()
        .map(|event| {
            format!(
                "{:03} {event:?} {}",
                *event as u32,
                event.level().to_string().to_lowercase()
            )
        })
        .collect();
    assert_eq!(listed, declared);
}
