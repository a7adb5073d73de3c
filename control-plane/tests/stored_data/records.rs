//! A record of every kind that the log on disk holds.
use crate::samples::rows;
use control_plane::prelude::*;

fn address(number: u16) -> SocketAddr {
    crate::samples::address(number)
}

pub fn records() -> Vec<Record> {
    vec![
        Record::Snapshot(Box::new(Replica {
            incarnation: 2019,
            full: true,
            removed: false,
            lost_generation: 2020,
            known_table: Some(MembershipTable {
                version: 2021,
                members: vec![Peer {
                    address: address(2022),
                    incarnation: 2023,
                }],
            }),
            founding: true,
            retired: vec![2024].into(),
            partitions: vec![
                ReplicaPartition {
                    promised_epoch: 2025,
                    state: PartitionState {
                        epoch: 2026,
                        version: 2027,
                        published: 2028,
                        rows: rows().into_iter().collect()
                    },
                    published_rows: rows().into_iter().collect(),
                    unpublished: vec![UnpublishedRows {
                        version: 2029,
                        rows: rows()
                    }]
                    .into()
                };
                usize::from(PARTITIONS)
            ],
        })),
        Record::Snapshot(Box::new(Replica {
            incarnation: 2019,
            full: false,
            removed: true,
            lost_generation: 2020,
            known_table: None,
            founding: false,
            retired: vec![2024].into(),
            partitions: vec![
                ReplicaPartition {
                    promised_epoch: 2025,
                    state: PartitionState {
                        epoch: 2026,
                        version: 2027,
                        published: 2028,
                        rows: rows().into_iter().collect()
                    },
                    published_rows: rows().into_iter().collect(),
                    unpublished: vec![UnpublishedRows {
                        version: 2029,
                        rows: rows()
                    }]
                    .into()
                };
                usize::from(PARTITIONS)
            ],
        })),
        Record::Incarnation { incarnation: 2001 },
        Record::Recovered {
            partitions: vec![PartitionSnapshot {
                partition: 7,
                promised_epoch: 2003,
                state: PartitionState {
                    epoch: 2004,
                    version: 2005,
                    published: 2006,
                    rows: rows().into_iter().collect(),
                },
                published_rows: rows().into_iter().collect(),
            }],
            majority_lost: true,
        },
        Record::Recovered {
            partitions: vec![PartitionSnapshot {
                partition: 7,
                promised_epoch: 2003,
                state: PartitionState {
                    epoch: 2004,
                    version: 2005,
                    published: 2006,
                    rows: rows().into_iter().collect(),
                },
                published_rows: rows().into_iter().collect(),
            }],
            majority_lost: false,
        },
        Record::Promise {
            partition: 12,
            epoch: 2008,
        },
        Record::Appended {
            request: AppendRequest {
                partition: 14,
                epoch: 2010,
                membership_version: 2011,
                round: 2012,
                full_state: true,
                after_version: 2013,
                to_version: 2014,
                rows: rows(),
                removed_keys: vec!["text 2015".into()],
                published: 2016,
                base: Some(EarlierState {
                    epoch: 2017,
                    keys: Some(vec!["text 2018".into()]),
                }),
            },
        },
        Record::Appended {
            request: AppendRequest {
                partition: 14,
                epoch: 2010,
                membership_version: 2011,
                round: 2012,
                full_state: false,
                after_version: 2013,
                to_version: 2014,
                rows: rows(),
                removed_keys: vec!["text 2015".into()],
                published: 2016,
                base: Some(EarlierState {
                    epoch: 2017,
                    keys: None,
                }),
            },
        },
        Record::Appended {
            request: AppendRequest {
                partition: 14,
                epoch: 2010,
                membership_version: 2011,
                round: 2012,
                full_state: true,
                after_version: 2013,
                to_version: 2014,
                rows: rows(),
                removed_keys: vec!["text 2015".into()],
                published: 2016,
                base: None,
            },
        },
        Record::Removed,
        Record::MembershipTable {
            version: 2030,
            members: vec![Peer {
                address: address(2031),
                incarnation: 2032,
            }],
        },
        Record::Founding {
            members: vec![Peer {
                address: address(2033),
                incarnation: 2034,
            }],
        },
        Record::Retired { incarnation: 2035 },
    ]
}
