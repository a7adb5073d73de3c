//! Random sequences of operators' calls, judged by a model written from the users' rules:
//! no part of an invalid call takes effect, an acknowledged call is acknowledged again, the
//! highest revision of each item holds, and a late call stays valid.

use kernel::prelude::*;
use proptest::prelude::*;
use proptest::sample::select;

/// Services that calls may set.
const SERVICES: [&str; 2] = ["s", "t"];
/// A service that no call sets.
const UNKNOWN_SERVICE: &str = "nowhere";
const ROUTES: [&str; 3] = ["a", "b", "c"];
const PREFIXES: [&str; 3] = ["/x/", "/y/", "/z/"];
const MAX_REVISION: u64 = 9;

/// An item of a call in the terms of the rules.
#[derive(Debug, Clone, PartialEq)]
enum SentItem {
    Service {
        name: &'static str,
        revision: u64,
        is_set: bool,
    },
    Route {
        name: &'static str,
        revision: u64,
        /// Prefix and service; `None` removes the route.
        target: Option<(&'static str, &'static str)>,
    },
}

impl SentItem {
    fn to_item(&self) -> Item {
        let (kind, name, revision, text) = match self {
            SentItem::Service {
                name,
                revision,
                is_set,
            } => {
                let text =
                    format!(r#"{{"service":"{name}","rate":9,"concurrency":2,"proof":"named"}}"#);
                (ItemKind::Group, name, revision, is_set.then_some(text))
            }
            SentItem::Route {
                name,
                revision,
                target,
            } => {
                let text = target.map(|(prefix, service)| {
                    format!(
                        r#"{{"name":"{name}","path":"{prefix}","methods":[],"group":"{service}","rank":1,"kind":"repeatable"}}"#
                    )
                });
                (ItemKind::Entry, name, revision, text)
            }
        };
        let text: Option<Arc<str>> = text.map(Into::into);
        Item {
            kind,
            name: name.to_string(),
            revision: *revision,
            source: text.clone().unwrap_or_else(|| "null".into()),
            text,
        }
    }

    fn row_key(&self) -> String {
        let item = self.to_item();
        Items::key(item.kind, &item.name)
    }

    fn revision(&self) -> u64 {
        match self {
            SentItem::Service { revision, .. } | SentItem::Route { revision, .. } => *revision,
        }
    }

    fn set_service(&self) -> Option<&'static str> {
        match self {
            SentItem::Service {
                name, is_set: true, ..
            } => Some(name),
            _ => None,
        }
    }

    /// Prefix and service of a route that is set.
    fn target(&self) -> Option<(&'static str, &'static str)> {
        match self {
            SentItem::Route { target, .. } => *target,
            SentItem::Service { .. } => None,
        }
    }
}

/// The rules, on the items of all accepted calls.
#[derive(Debug, Default, Clone)]
struct Model {
    accepted: Vec<SentItem>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Verdict {
    Acknowledged,
    Invalid,
    Conflict,
}

/// Returns the item with the highest revision of each name.
fn newest(items: &[SentItem]) -> BTreeMap<String, &SentItem> {
    let mut newest: BTreeMap<String, &SentItem> = BTreeMap::new();
    for item in items {
        let known = newest.entry(item.row_key()).or_insert(item);
        if item.revision() > known.revision() {
            *known = item;
        }
    }
    newest
}

/// Returns true if no two routes have the same prefix.
fn has_unique_prefixes<'a>(mut items: impl Iterator<Item = &'a SentItem>) -> bool {
    let mut prefixes = HashSet::new();
    items.all(|item| {
        item.target()
            .is_none_or(|(prefix, _)| prefixes.insert(prefix))
    })
}

/// Returns true if one revision of an item has two contents.
fn contradicts_itself(items: &[SentItem]) -> bool {
    let is_same_revision = |one: &SentItem, other: &SentItem| {
        one.row_key() == other.row_key() && one.revision() == other.revision()
    };
    items.iter().any(|one| {
        items
            .iter()
            .any(|other| is_same_revision(one, other) && one != other)
    })
}

impl Model {
    fn judge(&self, call: &[SentItem]) -> Verdict {
        if !self.has_valid_parts(call) {
            return Verdict::Invalid;
        }
        let all: Vec<SentItem> = self.accepted.iter().chain(call).cloned().collect();
        if contradicts_itself(&all) {
            return Verdict::Conflict;
        }
        match is_valid_configuration(&newest(&all)) {
            true => Verdict::Acknowledged,
            false => Verdict::Invalid,
        }
    }

    /// Judges the parts of a call, whichever revision wins.
    fn has_valid_parts(&self, call: &[SentItem]) -> bool {
        let was_set = |service: &str| {
            let mut items = self.accepted.iter().chain(call);
            items.any(|item| item.set_service() == Some(service))
        };
        let names_known_services = call
            .iter()
            .all(|item| item.target().is_none_or(|(_, service)| was_set(service)));
        let own = newest(call);
        let removes = |service: &str| {
            let key = Items::key(ItemKind::Group, service);
            own.get(&key)
                .is_some_and(|item| item.set_service().is_none())
        };
        let keeps_its_services = own
            .values()
            .all(|item| item.target().is_none_or(|(_, service)| !removes(service)));
        names_known_services && keeps_its_services && has_unique_prefixes(own.values().copied())
    }
}

fn is_valid_configuration(in_force: &BTreeMap<String, &SentItem>) -> bool {
    let services: HashSet<&str> = in_force
        .values()
        .filter_map(|item| item.set_service())
        .collect();
    let names_services = in_force.values().all(|item| {
        item.target()
            .is_none_or(|(_, service)| services.contains(service))
    });
    names_services && has_unique_prefixes(in_force.values().copied())
}

/// The product's rows, changed as by the leader of their partition.
#[derive(Default, Clone)]
struct Partition {
    rows: BTreeMap<String, Row>,
    version: u64,
}

impl Partition {
    fn judge(&self, call: &[SentItem]) -> Result<ItemsChange, ItemsRejection> {
        let items = call.iter().map(SentItem::to_item).collect();
        ItemsChange::validate(&self.rows, items)
    }

    fn submit(&mut self, call: &[SentItem]) -> Verdict {
        let change = match self.judge(call) {
            Ok(change) => change,
            Err(ItemsRejection::Invalid(_)) => return Verdict::Invalid,
            Err(ItemsRejection::Conflict(_)) => return Verdict::Conflict,
            Err(ItemsRejection::Forgotten(findings)) => panic!("{findings:?}"),
        };
        for (key, value) in change.rows {
            self.version += 1;
            let version = self.version;
            self.rows.insert(key, Row { version, value });
        }
        Verdict::Acknowledged
    }

    fn in_force(&self) -> BTreeMap<String, Item> {
        let items = self.rows.iter().filter_map(|(key, row)| match &row.value {
            Value::Item(item) => Some((key.clone(), item.clone())),
            _ => None,
        });
        items.collect()
    }
}

fn sent_item() -> impl Strategy<Value = SentItem> {
    let service = (select(&SERVICES[..]), 1..=MAX_REVISION, any::<bool>());
    let named_service = prop_oneof![
        12 => select(&SERVICES[..]),
        1 => Just(UNKNOWN_SERVICE),
    ];
    let target = proptest::option::weighted(0.8, (select(&PREFIXES[..]), named_service));
    let route = (select(&ROUTES[..]), 1..=MAX_REVISION, target);
    prop_oneof![
        1 => service.prop_map(|(name, revision, is_set)| SentItem::Service { name, revision, is_set }),
        2 => route.prop_map(|(name, revision, target)| SentItem::Route { name, revision, target }),
    ]
}

fn calls() -> impl Strategy<Value = Vec<Vec<SentItem>>> {
    let call = proptest::collection::vec(sent_item(), 1..4);
    proptest::collection::vec(call, 1..30)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against the fault of review/8: an invalid call below the current revision was
    /// acknowledged and partly in force.
    #[test]
    fn calls_are_judged_by_the_rules(calls in calls()) {
        let mut partition = Partition::default();
        let mut model = Model::default();
        let mut acknowledged: Vec<Vec<SentItem>> = Vec::new();
        for call in calls {
            let before = partition.rows.clone();
            let verdict = partition.submit(&call);
            if contradicts_itself(&call) {
                // Both the conflict and a finding are true of it.
                prop_assert_ne!(verdict, Verdict::Acknowledged, "{:?}", call);
            } else {
                prop_assert_eq!(verdict, model.judge(&call), "{:?}", call);
            }
            if verdict == Verdict::Acknowledged {
                model.accepted.extend(call.iter().cloned());
                acknowledged.push(call);
            } else {
                prop_assert_eq!(&partition.rows, &before);
            }
            let expected = newest(&model.accepted);
            let expected = expected.iter().map(|(key, item)| (key.clone(), item.to_item()));
            prop_assert_eq!(partition.in_force(), expected.collect::<BTreeMap<_, _>>());
            for repeated in &acknowledged {
                let change = partition.judge(repeated);
                prop_assert!(change.is_ok_and(|change| change.rows.is_empty()), "{:?}", repeated);
            }
        }
    }

    /// A call that was valid when it was sent is acknowledged when it arrives later, if
    /// newer revisions of all its items hold by then and no other call took its numbers.
    #[test]
    fn late_call_stays_valid(calls in calls(), late in proptest::collection::vec(sent_item(), 1..4)) {
        let mut partition = Partition::default();
        let mut model = Model::default();
        let mut was_valid = false;
        for call in calls {
            was_valid |= partition.judge(&late).is_ok();
            if partition.submit(&call) == Verdict::Acknowledged {
                model.accepted.extend(call);
            }
            let in_force = newest(&model.accepted);
            let is_superseded = |item: &SentItem| {
                in_force.get(&item.row_key()).is_some_and(|held| held.revision() > item.revision())
            };
            if was_valid && late.iter().all(is_superseded) {
                let verdict = partition.judge(&late);
                let is_allowed = matches!(verdict, Ok(_) | Err(ItemsRejection::Conflict(_)));
                prop_assert!(is_allowed, "{:?}", verdict);
            }
        }
    }
}
