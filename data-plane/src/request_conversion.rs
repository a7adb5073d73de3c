//! From a filtered request to the edge's input.
use crate::prelude::*;

/// The client request of an incoming request that passed all filters.
pub fn client_request_of(incoming: IncomingRequest) -> Option<ClientRequest> {
    let caller = header(&incoming.headers, "authorization")
        .unwrap_or_default()
        .to_string();
    let routes = incoming.routes?;
    let entry = incoming.entry?;
    // Requests that must run once, or be cached once, are distributed by their own key.
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
