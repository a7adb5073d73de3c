//! Sample messages of every kind, with each variant that their fields can have.
use crate::samples::{address, rows};
use kernel::prelude::*;

/// Returns the sample messages, in the order of `frames.hex`.
pub fn messages() -> Vec<Message> {
    vec![
        Heartbeat {
            slot: 12,
            full: true,
            blank: false,
            membership_version: 12,
            ledger_closed_for: Duration::from_micros(13007),
            lost_generation: 14,
            heard_slots: [15, 4].into_iter().collect(),
            mutual_contacts: [0, 6].into_iter().collect(),
            leader_candidates: [1, 7].into_iter().collect(),
            acknowledged_sessions: 18,
            sessions: Some(SessionsDelta {
                from: 19,
                to: 20,
                checksum: 21,
                upserted: vec![
                    SessionInfo {
                        peer: Peer {
                            address: address(22),
                            incarnation: 23,
                        },
                        zone: "text 24".into(),
                        ring: "text 25".into(),
                        weight: 26,
                        draining: true,
                        generation: 27,
                        recall_complete: false,
                        version_vector: vec![28],
                        usage: Usage {
                            requests: 29,
                            near_cache_hits: 30,
                            completed: 31,
                            rejected: 32,
                            cache_hits: 33,
                            calls: 34,
                            retries: 35,
                            pending: 36,
                            client_disconnects: 37,
                            abandoned: 38,
                        },
                        origin_health: vec![
                            OriginHealth {
                                address: address(39),
                                service: "text 40".into(),
                                instance: "text 41".into(),
                                condition: OriginCondition::Proven,
                                calls: 42,
                            },
                            OriginHealth {
                                address: address(39),
                                service: "text 40".into(),
                                instance: "text 41".into(),
                                condition: OriginCondition::Unproven,
                                calls: 42,
                            },
                            OriginHealth {
                                address: address(39),
                                service: "text 40".into(),
                                instance: "text 41".into(),
                                condition: OriginCondition::Ejected,
                                calls: 42,
                            },
                        ],
                    },
                    SessionInfo {
                        peer: Peer {
                            address: address(22),
                            incarnation: 23,
                        },
                        zone: "text 24".into(),
                        ring: "text 25".into(),
                        weight: 26,
                        draining: false,
                        generation: 27,
                        recall_complete: true,
                        version_vector: vec![28],
                        usage: Usage {
                            requests: 29,
                            near_cache_hits: 30,
                            completed: 31,
                            rejected: 32,
                            cache_hits: 33,
                            calls: 34,
                            retries: 35,
                            pending: 36,
                            client_disconnects: 37,
                            abandoned: 38,
                        },
                        origin_health: vec![
                            OriginHealth {
                                address: address(39),
                                service: "text 40".into(),
                                instance: "text 41".into(),
                                condition: OriginCondition::Proven,
                                calls: 42,
                            },
                            OriginHealth {
                                address: address(39),
                                service: "text 40".into(),
                                instance: "text 41".into(),
                                condition: OriginCondition::Unproven,
                                calls: 42,
                            },
                            OriginHealth {
                                address: address(39),
                                service: "text 40".into(),
                                instance: "text 41".into(),
                                condition: OriginCondition::Ejected,
                                calls: 42,
                            },
                        ],
                    },
                ],
                removed: vec![Peer {
                    address: address(43),
                    incarnation: 44,
                }],
                newest: vec![(
                    45,
                    Peer {
                        address: address(46),
                        incarnation: 47,
                    },
                )],
            }),
        }
        .into(),
        Heartbeat {
            slot: 12,
            full: false,
            blank: true,
            membership_version: 12,
            ledger_closed_for: Duration::from_micros(13007),
            lost_generation: 14,
            heard_slots: [15, 4].into_iter().collect(),
            mutual_contacts: [0, 6].into_iter().collect(),
            leader_candidates: [1, 7].into_iter().collect(),
            acknowledged_sessions: 18,
            sessions: None,
        }
        .into(),
        SnapshotRequest {
            slot: 49,
            round: 50,
            membership_version: 50,
        }
        .into(),
        SnapshotReply {
            slot: 52,
            requester_incarnation: 52,
            round: 54,
            full: true,
            lost_generation: 54,
            membership_version: 55,
            partitions: vec![PartitionSnapshot {
                partition: 14,
                promised_epoch: 57,
                state: PartitionState {
                    epoch: 58,
                    version: 59,
                    published: 60,
                    rows: rows().into_iter().collect(),
                },
                published_rows: rows().into_iter().collect(),
            }],
        }
        .into(),
        SnapshotReply {
            slot: 52,
            requester_incarnation: 52,
            round: 54,
            full: false,
            lost_generation: 54,
            membership_version: 55,
            partitions: vec![PartitionSnapshot {
                partition: 14,
                promised_epoch: 57,
                state: PartitionState {
                    epoch: 58,
                    version: 59,
                    published: 60,
                    rows: rows().into_iter().collect(),
                },
                published_rows: rows().into_iter().collect(),
            }],
        }
        .into(),
        PrepareRequest {
            partition: 19,
            epoch: 62,
            membership_version: 63,
            requester_state: StateId {
                epoch: 64,
                version: 65,
            },
        }
        .into(),
        PrepareReply {
            partition: 3,
            epoch: 67,
            lost_generation: 68,
            retired_incarnations: vec![69],
            state: PreparedState::NotNewer {
                id: StateId {
                    epoch: 70,
                    version: 71,
                },
                published: 72,
            },
        }
        .into(),
        PrepareReply {
            partition: 3,
            epoch: 67,
            lost_generation: 68,
            retired_incarnations: vec![69],
            state: PreparedState::Newer(PartitionState {
                epoch: 73,
                version: 74,
                published: 75,
                rows: rows().into_iter().collect(),
            }),
        }
        .into(),
        AppendRequest {
            partition: 13,
            epoch: 77,
            membership_version: 78,
            round: 79,
            full_state: true,
            after_version: 80,
            to_version: 81,
            rows: rows(),
            removed_keys: vec!["text 82".into()],
            published: 83,
            base: Some(EarlierState {
                epoch: 84,
                keys: Some(vec!["text 85".into()]),
            }),
        }
        .into(),
        AppendRequest {
            partition: 13,
            epoch: 77,
            membership_version: 78,
            round: 79,
            full_state: false,
            after_version: 80,
            to_version: 81,
            rows: rows(),
            removed_keys: vec!["text 82".into()],
            published: 83,
            base: Some(EarlierState {
                epoch: 84,
                keys: None,
            }),
        }
        .into(),
        AppendRequest {
            partition: 13,
            epoch: 77,
            membership_version: 78,
            round: 79,
            full_state: true,
            after_version: 80,
            to_version: 81,
            rows: rows(),
            removed_keys: vec!["text 82".into()],
            published: 83,
            base: None,
        }
        .into(),
        AppendReply {
            partition: 2,
            epoch: 87,
            round: 88,
            synced_version: 89,
            sessions_confirmed: Some(90),
            retired_incarnations: vec![91],
        }
        .into(),
        AppendReply {
            partition: 2,
            epoch: 87,
            round: 88,
            synced_version: 89,
            sessions_confirmed: None,
            retired_incarnations: vec![91],
        }
        .into(),
        AppendGap {
            partition: 8,
            epoch: 93,
            round: 94,
        }
        .into(),
        StaleEpoch {
            partition: 11,
            epoch: 96,
            promised_epoch: 97,
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::PutConfiguration {
                text: "shared text 102".into(),
                expect: Some(103),
                change: 104,
            },
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::PutConfiguration {
                text: "shared text 102".into(),
                expect: None,
                change: 104,
            },
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::GetConfiguration,
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::PutItems {
                items: vec![
                    Item {
                        kind: ItemKind::Group,
                        name: "text 105".into(),
                        revision: 106,
                        text: Some("shared text 107".into()),
                        source: "shared text 108".into(),
                    },
                    Item {
                        kind: ItemKind::Entry,
                        name: "text 105".into(),
                        revision: 106,
                        text: None,
                        source: "shared text 108".into(),
                    },
                    Item {
                        kind: ItemKind::Bounds,
                        name: "text 105".into(),
                        revision: 106,
                        text: Some("shared text 107".into()),
                        source: "shared text 108".into(),
                    },
                ],
            },
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::AddPurge {
                purge: Purge {
                    entry: Some("text 109".into()),
                    url: Some("text 110".into()),
                    prefix: Some("text 111".into()),
                    host: Some("text 112".into()),
                    tag: Some("text 113".into()),
                },
                change: 114,
            },
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::AddPurge {
                purge: Purge {
                    entry: None,
                    url: None,
                    prefix: None,
                    host: None,
                    tag: None,
                },
                change: 114,
            },
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::PutOrigins {
                list: Arc::new(vec![
                    Origin {
                        address: address(115),
                        service: "text 116".into(),
                        instance: "text 117".into(),
                        draining: true,
                        zone: "text 118".into(),
                        region: "text 119".into(),
                        capacity: 120,
                        cold_ms: 121,
                    },
                    Origin {
                        address: address(115),
                        service: "text 116".into(),
                        instance: "text 117".into(),
                        draining: false,
                        zone: "text 118".into(),
                        region: "text 119".into(),
                        capacity: 120,
                        cold_ms: 121,
                    },
                ]),
                expect: Some(122),
                change: 123,
                acknowledge: Acknowledge::Committed,
            },
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::PutOrigins {
                list: Arc::new(vec![
                    Origin {
                        address: address(115),
                        service: "text 116".into(),
                        instance: "text 117".into(),
                        draining: true,
                        zone: "text 118".into(),
                        region: "text 119".into(),
                        capacity: 120,
                        cold_ms: 121,
                    },
                    Origin {
                        address: address(115),
                        service: "text 116".into(),
                        instance: "text 117".into(),
                        draining: false,
                        zone: "text 118".into(),
                        region: "text 119".into(),
                        capacity: 120,
                        cold_ms: 121,
                    },
                ]),
                expect: None,
                change: 123,
                acknowledge: Acknowledge::Settled,
            },
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::List,
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::OpenLedger { generation: 124 },
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::JoinRequest {
                peer: Peer {
                    address: address(125),
                    incarnation: 126,
                },
                founding: true,
            },
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::JoinRequest {
                peer: Peer {
                    address: address(125),
                    incarnation: 126,
                },
                founding: false,
            },
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::OfferSlot {
                member: Peer {
                    address: address(127),
                    incarnation: 128,
                },
            },
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::FoundGeneration { after: 129 },
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::Claim(Claim {
                operation: "text 130".into(),
                fingerprint: [131; 32],
                claimant: Peer {
                    address: address(132),
                    incarnation: 133,
                },
                request: 134,
            }),
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::Release(Claim {
                operation: "text 135".into(),
                fingerprint: [136; 32],
                claimant: Peer {
                    address: address(137),
                    incarnation: 138,
                },
                request: 139,
            }),
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::RecordOutcome(
                Claim {
                    operation: "text 140".into(),
                    fingerprint: [141; 32],
                    claimant: Peer {
                        address: address(142),
                        incarnation: 143,
                    },
                    request: 144,
                },
                Some(Arc::new(Reply {
                    status: 4805,
                    headers: vec![("text 146".into(), "text 147".into())],
                    body: Arc::new(vec![148, 149]),
                    tags: vec!["text 150".into()],
                })),
            ),
        }
        .into(),
        ChangeRequest {
            requester: address(98),
            id: 99,
            partition: 16,
            hops: 102,
            change: Change::RecordOutcome(
                Claim {
                    operation: "text 140".into(),
                    fingerprint: [141; 32],
                    claimant: Peer {
                        address: address(142),
                        incarnation: 143,
                    },
                    request: 144,
                },
                None,
            ),
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::Acknowledged { version: 152 },
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::VersionConflict {
                version: 153,
                complete_after: 154,
            },
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::Configuration {
                version: 155,
                text: "shared text 156".into(),
            },
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::Rows {
                version: 157,
                rows: rows(),
            },
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::Findings(vec![Finding {
                place: "text 158".into(),
                text: "text 159".into(),
            }]),
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::Claimed,
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::AlreadyClaimed {
                same: true,
                state: OperationState::Running,
            },
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::AlreadyClaimed {
                same: false,
                state: OperationState::Released,
            },
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::AlreadyClaimed {
                same: true,
                state: OperationState::Unknown,
            },
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::AlreadyClaimed {
                same: false,
                state: OperationState::Done(Arc::new(Reply {
                    status: 4820,
                    headers: vec![("text 161".into(), "text 162".into())],
                    body: Arc::new(vec![163, 164]),
                    tags: vec!["text 165".into()],
                })),
            },
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::Released,
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::Recorded,
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::Unknown,
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::NoMajority,
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::LedgerClosed {
                remaining: Duration::from_micros(166007),
            },
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::RevisionConflict(vec![Finding {
                place: "text 167".into(),
                text: "text 168".into(),
            }]),
        }
        .into(),
        ChangeReply {
            id: 151,
            outcome: ChangeOutcome::RevisionForgotten(vec![Finding {
                place: "text 169".into(),
                text: "text 170".into(),
            }]),
        }
        .into(),
        JoinRequest { founding: true }.into(),
        JoinRequest { founding: false }.into(),
        MembershipTable {
            version: 171,
            members: vec![Peer {
                address: address(172),
                incarnation: 173,
            }],
        }
        .into(),
        SlotOfferReply {
            outcome: SlotOfferOutcome::NoJoiner,
        }
        .into(),
        SlotOfferReply {
            outcome: SlotOfferOutcome::Deferred,
        }
        .into(),
        SlotOfferReply {
            outcome: SlotOfferOutcome::Assigned {
                version: 174,
                successor: Peer {
                    address: address(175),
                    incarnation: 176,
                },
            },
        }
        .into(),
        SlotState {
            version: 177,
            slot: 179,
            lost_generation: 179,
            retired_incarnations: vec![180],
            partitions: vec![PartitionSnapshot {
                partition: 13,
                promised_epoch: 182,
                state: PartitionState {
                    epoch: 183,
                    version: 184,
                    published: 185,
                    rows: rows().into_iter().collect(),
                },
                published_rows: rows().into_iter().collect(),
            }],
        }
        .into(),
        SlotStateReceived { version: 186 }.into(),
        RenewRequest {
            sent: Duration::from_micros(187007),
            last_token: Some(RenewalToken {
                run: 188,
                count: 189,
            }),
            generation: 190,
            recall_complete: true,
            version_vector: vec![191],
            zone: "text 192".into(),
            ring: "text 193".into(),
            weight: 194,
            draining: false,
            usage: Usage {
                requests: 195,
                near_cache_hits: 196,
                completed: 197,
                rejected: 198,
                cache_hits: 199,
                calls: 200,
                retries: 201,
                pending: 202,
                client_disconnects: 203,
                abandoned: 204,
            },
            origin_health: vec![
                OriginHealth {
                    address: address(205),
                    service: "text 206".into(),
                    instance: "text 207".into(),
                    condition: OriginCondition::Proven,
                    calls: 208,
                },
                OriginHealth {
                    address: address(205),
                    service: "text 206".into(),
                    instance: "text 207".into(),
                    condition: OriginCondition::Unproven,
                    calls: 208,
                },
                OriginHealth {
                    address: address(205),
                    service: "text 206".into(),
                    instance: "text 207".into(),
                    condition: OriginCondition::Ejected,
                    calls: 208,
                },
            ],
        }
        .into(),
        RenewRequest {
            sent: Duration::from_micros(187007),
            last_token: None,
            generation: 190,
            recall_complete: false,
            version_vector: vec![191],
            zone: "text 192".into(),
            ring: "text 193".into(),
            weight: 194,
            draining: true,
            usage: Usage {
                requests: 195,
                near_cache_hits: 196,
                completed: 197,
                rejected: 198,
                cache_hits: 199,
                calls: 200,
                retries: 201,
                pending: 202,
                client_disconnects: 203,
                abandoned: 204,
            },
            origin_health: vec![
                OriginHealth {
                    address: address(205),
                    service: "text 206".into(),
                    instance: "text 207".into(),
                    condition: OriginCondition::Proven,
                    calls: 208,
                },
                OriginHealth {
                    address: address(205),
                    service: "text 206".into(),
                    instance: "text 207".into(),
                    condition: OriginCondition::Unproven,
                    calls: 208,
                },
                OriginHealth {
                    address: address(205),
                    service: "text 206".into(),
                    instance: "text 207".into(),
                    condition: OriginCondition::Ejected,
                    calls: 208,
                },
            ],
        }
        .into(),
        RenewReply {
            incarnation: 209,
            renewal_token: RenewalToken {
                run: 210,
                count: 211,
            },
            sent: Duration::from_micros(212007),
            generation: 213,
            recall_requested: true,
            updates: vec![PartitionUpdate {
                partition: 4,
                version: 215,
                rows: rows(),
            }]
            .into(),
        }
        .into(),
        RenewReply {
            incarnation: 209,
            renewal_token: RenewalToken {
                run: 210,
                count: 211,
            },
            sent: Duration::from_micros(212007),
            generation: 213,
            recall_requested: false,
            updates: SharedUpdates::default(),
        }
        .into(),
        RecallRequest { partition: 6 }.into(),
        RecallReply {
            partition: 7,
            version: 218,
            rows: rows(),
        }
        .into(),
        UpdateNotice {
            partition: 9,
            version: 220,
            renewal_token: RenewalToken {
                run: 221,
                count: 222,
            },
        }
        .into(),
        RenewPrompt {
            renewal_token: RenewalToken {
                run: 223,
                count: 224,
            },
        }
        .into(),
        SessionClose {}.into(),
        CacheGet {
            id: 225,
            key: [226; 32],
            entry: "text 227".into(),
            host: "text 228".into(),
            url: "text 229".into(),
            ttl: Duration::from_micros(230007),
            max_wait: Duration::from_micros(231007),
            accepts_any_age: true,
        }
        .into(),
        CacheGet {
            id: 225,
            key: [226; 32],
            entry: "text 227".into(),
            host: "text 228".into(),
            url: "text 229".into(),
            ttl: Duration::from_micros(230007),
            max_wait: Duration::from_micros(231007),
            accepts_any_age: false,
        }
        .into(),
        CacheCopy {
            id: 232,
            key: [233; 32],
            max_wait: Duration::from_micros(234007),
            response: CachedResponse {
                reply: Reply {
                    status: 4895,
                    headers: vec![("text 236".into(), "text 237".into())],
                    body: Arc::new(vec![238, 239]),
                    tags: vec!["text 240".into()],
                },
                purge_version: 241,
                age: Duration::from_micros(242007),
                fresh_for: Duration::from_micros(243007),
                remaining_ttl: Duration::from_micros(244007),
                owner_delay: Duration::from_micros(245007),
            },
        }
        .into(),
        CacheGetQueued { id: 246 }.into(),
        CacheMiss {
            id: 247,
            key: [248; 32],
            token: FillToken {
                serial: 249,
                epoch: 250,
                purge_version: 251,
            },
        }
        .into(),
        CacheUnavailable {
            id: 252,
            key: [3; 32],
        }
        .into(),
        CachePut {
            key: [4; 32],
            token: FillToken {
                serial: 255,
                epoch: 256,
                purge_version: 257,
            },
            reply: Reply {
                status: 4918,
                headers: vec![("text 259".into(), "text 260".into())],
                body: Arc::new(vec![11, 12]),
                tags: vec!["text 263".into()],
            },
        }
        .into(),
        CacheFillFailed {
            key: [14; 32],
            token: FillToken {
                serial: 265,
                epoch: 266,
                purge_version: 267,
            },
            private: true,
        }
        .into(),
        CacheFillFailed {
            key: [14; 32],
            token: FillToken {
                serial: 265,
                epoch: 266,
                purge_version: 267,
            },
            private: false,
        }
        .into(),
        HandoverRequest {
            partition: 4928,
            epoch: 269,
            sent: Duration::from_micros(270007),
        }
        .into(),
        HandoverReply {
            partition: 4931,
            epoch: 272,
            sent: Duration::from_micros(273007),
            copies: vec![HandedOverResponse {
                key: [24; 32],
                entry: "text 275".into(),
                host: "text 276".into(),
                url: "text 277".into(),
                ttl: Duration::from_micros(278007),
                reply: Reply {
                    status: 4939,
                    headers: vec![("text 280".into(), "text 281".into())],
                    body: Arc::new(vec![32, 33]),
                    tags: vec!["text 284".into()],
                },
                purge_version: 285,
                age: Duration::from_micros(286007),
                minor_expiry: Duration::from_micros(287007),
                major_expiry: Duration::from_micros(288007),
            }],
        }
        .into(),
        PermitRequest {
            service: "text 289".into(),
            id: 290,
            rank: 291,
            max_wait: Duration::from_micros(292007),
            sent: Duration::from_micros(293007),
            is_retry: true,
            call_timeout: Duration::from_micros(294007),
            latency_target: Duration::from_micros(295007),
            zone: "text 296".into(),
            region: "text 297".into(),
            excluded_origins: vec![address(298)],
        }
        .into(),
        PermitRequest {
            service: "text 289".into(),
            id: 290,
            rank: 291,
            max_wait: Duration::from_micros(292007),
            sent: Duration::from_micros(293007),
            is_retry: false,
            call_timeout: Duration::from_micros(294007),
            latency_target: Duration::from_micros(295007),
            zone: "text 296".into(),
            region: "text 297".into(),
            excluded_origins: vec![address(298)],
        }
        .into(),
        Permit {
            id: 299,
            service: "text 300".into(),
            epoch: 301,
            serial: 302,
            origin: Origin {
                address: address(303),
                service: "text 304".into(),
                instance: "text 305".into(),
                draining: true,
                zone: "text 306".into(),
                region: "text 307".into(),
                capacity: 308,
                cold_ms: 309,
            },
            sent: Duration::from_micros(310007),
            queued_for: Duration::from_micros(311007),
            expected_latency: Duration::from_micros(312007),
        }
        .into(),
        Permit {
            id: 299,
            service: "text 300".into(),
            epoch: 301,
            serial: 302,
            origin: Origin {
                address: address(303),
                service: "text 304".into(),
                instance: "text 305".into(),
                draining: false,
                zone: "text 306".into(),
                region: "text 307".into(),
                capacity: 308,
                cold_ms: 309,
            },
            sent: Duration::from_micros(310007),
            queued_for: Duration::from_micros(311007),
            expected_latency: Duration::from_micros(312007),
        }
        .into(),
        PermitQueued { id: 313 }.into(),
        PermitRefused {
            id: 314,
            reason: PermitRefusalReason::Overloaded,
            retry_after: Duration::from_micros(315007),
        }
        .into(),
        PermitRefused {
            id: 314,
            reason: PermitRefusalReason::RetryBudgetExhausted,
            retry_after: Duration::from_micros(315007),
        }
        .into(),
        PermitRefused {
            id: 314,
            reason: PermitRefusalReason::NoHealthyOrigin,
            retry_after: Duration::from_micros(315007),
        }
        .into(),
        PermitRefused {
            id: 314,
            reason: PermitRefusalReason::NotOwner,
            retry_after: Duration::from_micros(315007),
        }
        .into(),
        CallsInProgress {
            service: "text 316".into(),
            calls: vec![(317, 318, address(319), Duration::from_micros(320007))],
        }
        .into(),
        CallDone {
            service: "text 321".into(),
            epoch: 322,
            serial: 323,
            result: CallResult::Success,
            took: Duration::from_micros(324007),
        }
        .into(),
        CallDone {
            service: "text 321".into(),
            epoch: 322,
            serial: 323,
            result: CallResult::Failure,
            took: Duration::from_micros(324007),
        }
        .into(),
        CallDone {
            service: "text 321".into(),
            epoch: 322,
            serial: 323,
            result: CallResult::Unreachable,
            took: Duration::from_micros(324007),
        }
        .into(),
        CallDone {
            service: "text 321".into(),
            epoch: 322,
            serial: 323,
            result: CallResult::NotExecuted,
            took: Duration::from_micros(324007),
        }
        .into(),
        CallDone {
            service: "text 321".into(),
            epoch: 322,
            serial: 323,
            result: CallResult::WrongInstance,
            took: Duration::from_micros(324007),
        }
        .into(),
        CallDone {
            service: "text 321".into(),
            epoch: 322,
            serial: 323,
            result: CallResult::Unused,
            took: Duration::from_micros(324007),
        }
        .into(),
        CallDone {
            service: "text 321".into(),
            epoch: 322,
            serial: 323,
            result: CallResult::Cancelled,
            took: Duration::from_micros(324007),
        }
        .into(),
        PermitWithdrawn {
            service: "text 325".into(),
            id: 326,
        }
        .into(),
        CacheGetWithdrawn {
            key: [77; 32],
            id: 328,
        }
        .into(),
    ]
}
