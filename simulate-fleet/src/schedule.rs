use crate::prelude::*;

/// Draws a schedule of faults from a seed.
pub struct Schedule;

impl Schedule {
    /// At most one disk is wiped: more than that is more than is survived.
    /// Faults from the sixth second until twelve before the end; what was broken
    /// is mended by then, so that recovery is seen too.
    pub fn random(deployment: &Deployment, seed: u64, span: Duration) -> Vec<(Duration, Fault)> {
        let mut dice = Dice::new(seed ^ 0x5EED);
        let mut list = Vec::new();
        let end = span.as_millis() as u64 - 12_000;
        let mut at = 6_000;
        let mut left = BTreeSet::new();
        let mut wiped = false;
        // In some runs an empty node stands by for a lost slot.
        if dice.chance(40) {
            list.push((Duration::from_secs(5), Fault::Start(Place::Control(3))));
        }
        while at < end {
            let when = Duration::from_millis(at);
            let edge = Place::Edge(dice.roll(deployment.edges as u64) as usize);
            let control = Place::Control(dice.roll(3) as usize);
            let place = if dice.chance(50) { edge } else { control };
            let origin = dice.roll(deployment.services.iter().map(|service| service.origins as u64).sum()) as usize;
            let later = (when + Duration::from_millis(500 + dice.roll(5_000))).min(Duration::from_millis(end + 1_000));
            let mut both = |first: Fault, second: Fault| list.extend([(when, first), (later, second)]);
            match dice.roll(24) {
                0 | 1 => both(Fault::Kill(place), Fault::Start(place)),
                2 | 3 => list.push((when, Fault::Pause(place, Duration::from_millis(200 + dice.roll(4_000))))),
                4 => list.push((when, Fault::Restart(place))),
                5 => both(Fault::Cut(place, control), Fault::Heal),
                6 => both(Fault::Cut(control, place), Fault::Heal),
                7 => both(Fault::Isolate(place), Fault::Heal),
                8 => {
                    let weather = Fault::Weather { lost: dice.roll(20), doubled: dice.roll(20), late: dice.roll(30) };
                    both(weather, Fault::Weather { lost: 0, doubled: 0, late: 0 });
                }
                9 => both(Fault::Origin(origin, Mood::Down), Fault::Origin(origin, Mood::Good)),
                10 => both(Fault::Origin(origin, Mood::Mute), Fault::Origin(origin, Mood::Good)),
                11 => both(Fault::Origin(origin, Mood::Slow), Fault::Origin(origin, Mood::Good)),
                12 => both(Fault::Origin(origin, Mood::WrongBytes), Fault::Origin(origin, Mood::Good)),
                13 => list.push((when, Fault::Replace(origin))),
                14 | 15 => list.extend([(when, Fault::Content), (when + Duration::from_millis(1), Fault::Purge("/".into()))]),
                16 => list.push((when, Fault::Configure)),
                17 => list.extend([(when, Fault::ConfigureInvalid), (later, Fault::ReadBack)]),
                18 => list.extend([(when, Fault::Race), (later, Fault::ReadBack)]),
                19 => list.push((when, Fault::Content)),
                20 if !left.contains(&origin) => {
                    left.insert(origin);
                    list.extend([(when, Fault::Leave(origin)), (when + Duration::from_secs(4), Fault::Origin(origin, Mood::Down))]);
                }
                21 => {
                    // Power fails for a group of nodes at once.
                    let all = (0..3).map(Place::Control).chain((0..deployment.edges).map(Place::Edge));
                    let share = [30, 60, 100][dice.roll(3) as usize];
                    for place in all.filter(|_| dice.chance(share)) {
                        list.extend([(when, Fault::Kill(place)), (later, Fault::Start(place))]);
                    }
                    list.extend([(later, Fault::Heal), (later, Fault::Returned)]);
                }
                22 if !wiped => {
                    wiped = true;
                    list.extend([(when, Fault::Wipe(control)), (later, Fault::Start(control))]);
                }
                _ => {
                    let other = Place::Control(dice.roll(3) as usize);
                    list.extend([(when, Fault::Isolate(control)), (when, Fault::Cut(place, other)), (later, Fault::Heal)]);
                }
            }
            at += 300 + dice.roll(2_500);
        }
        let mend = Duration::from_millis(end + 2_000);
        list.push((mend, Fault::Heal));
        list.push((mend, Fault::Weather { lost: 0, doubled: 0, late: 0 }));
        list
    }
}
