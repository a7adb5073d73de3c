//! Identity probes of origins, for the admission controllers that run at this edge.
use super::EdgeNode;
use crate::prelude::*;

/// The path of the probe request, to which an origin sends a signed response.
const PROBE_PATH: &str = "/.well-known/otterslip-identity";
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The HTTP status of a successful probe; any other is a failure.
const PROBE_SUCCESS: u16 = 200;

impl EdgeNode {
    /// Dispatches the admission controllers' queues and starts their probes.
    pub(super) fn run_admission_controllers(&mut self, now: Duration) {
        let Some(routes) = self.state.routes.clone() else {
            return;
        };
        let mut probes = Vec::new();
        let mut connections = Vec::new();
        for admission in self.admission_controllers.values_mut() {
            admission.dispatch(now);
            let Some(group) = routes.document.group(&admission.service) else {
                continue;
            };
            connections.extend(admission.connections_to_open(now));
            for origin in admission.start_probes(now) {
                probes.push((origin, group.key.clone()));
            }
        }
        let watched = connections
            .into_iter()
            .map(|address| Output::WatchConnection { address });
        self.outputs.extend(watched);
        for (origin, key) in probes {
            self.send_probe(origin, key);
        }
    }

    fn send_probe(&mut self, origin: Origin, key: String) {
        let id = self.next_id();
        self.probes_in_flight.insert(id, origin.clone());
        let call = Call {
            origin,
            method: "GET".into(),
            url: PROBE_PATH.into(),
            host: String::new(),
            headers: vec![],
            body: Arc::default(),
            operation_key: None,
            request_id: None,
            request_id_at_edge: id,
            key,
            proof: Proof::Seal,
            timeout: PROBE_TIMEOUT,
            max_connections: 1,
            purpose: CallPurpose::HealthCheck,
        };
        self.outputs.push(Output::Call { id, call });
    }

    /// Handles the end of a probe.
    pub(super) fn handle_probe_result(&mut self, now: Duration, id: u64, outcome: CallOutcome) {
        let Some(origin) = self.probes_in_flight.remove(&id) else {
            return;
        };
        let (succeeded, reason) = probe_verdict(outcome);
        let has_changed = self
            .admission_controllers
            .get_mut(&origin.service)
            .is_some_and(|admission| admission.probe_completed(now, &origin, succeeded));
        if !has_changed {
            return;
        }
        let event = if succeeded {
            Event::OriginProven
        } else {
            Event::OriginEjected
        };
        let Origin {
            address,
            service,
            instance,
            ..
        } = origin;
        self.log_event(event, format!("{address} {service} {instance}: {reason}"));
    }
}

/// Returns whether a probe succeeded, and the reason for the log.
fn probe_verdict(outcome: CallOutcome) -> (bool, String) {
    match outcome {
        CallOutcome::Success(reply) => (
            reply.status == PROBE_SUCCESS,
            format!("status {}", reply.status),
        ),
        CallOutcome::Unreachable => (false, "unreachable".into()),
        CallOutcome::NotSent => (false, "not sent".into()),
        CallOutcome::NotExecuted | CallOutcome::WrongInstance => {
            (false, "not executed, or another instance".into())
        }
        CallOutcome::Failure(reason) => (false, reason),
    }
}
