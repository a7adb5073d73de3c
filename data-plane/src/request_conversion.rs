use crate::prelude::*;

/// The request of an arrival that passed all filters.
pub fn client_request_of(arrival: Arrival) -> Option<ClientRequest> {
    let caller = header(&arrival.headers, "authorization")
        .unwrap_or_default()
        .to_string();
    let image = arrival.image?;
    let entry = arrival.entry?;
    // What must run once, or be held once, goes by its own key.
    let key = arrival.operation.as_deref().unwrap_or(&arrival.url);
    let service = image.document.entries[entry]
        .aim_at(key.as_bytes())
        .to_string();
    Some(ClientRequest {
        caller,
        method: arrival.method,
        host: arrival.host,
        url: arrival.url,
        headers: arrival.headers,
        body: arrival.body,
        operation: arrival.operation,
        timeout: arrival.patience,
        request_id: arrival.name,
        service,
        routes: image,
        entry,
    })
}
