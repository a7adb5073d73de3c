//! Conversion of a filtered request to the input of the edge's state machine.
use crate::prelude::*;

/// Converts an incoming request that has passed all filters. Returns `None` if it has no
/// route.
pub fn into_client_request(incoming: IncomingRequest) -> Option<ClientRequest> {
    let caller = header(&incoming.headers, "authorization")
        .unwrap_or_default()
        .to_string();
    let routes = incoming.routes?;
    let entry = incoming.route_index?;
    // The operation key or the URL selects the group, so that repeated requests and
    // requests for the same object use the same service.
    let key = incoming.operation_key.as_deref().unwrap_or(&incoming.url);
    let service = routes.document.entries[entry]
        .group_for(key.as_bytes())
        .to_string();
    Some(ClientRequest {
        caller,
        method: incoming.method,
        host: incoming.host,
        url: incoming.url,
        headers: incoming.headers,
        body: incoming.body,
        operation: incoming.operation_key,
        timeout: incoming.timeout,
        request_id: incoming.request_id,
        service,
        routes,
        entry,
    })
}
