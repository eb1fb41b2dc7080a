//! Calls to engines other than callers' requests, such as queries and orders to copy.

use std::{net::SocketAddr, pin::pin, time::Duration};

use bytes::Bytes;
use celerypond_relay::running_timeout_at;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use tokio::time::Instant;

use super::{request_body::RequestBody, state::RelayState, statements};

/// The response of an engine.
pub(super) struct EngineResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Calls an engine on a new connection, which is closed after the response. Returns `None` if the
/// call fails or takes longer than `limit`.
pub(super) async fn call(
    state: &RelayState,
    address: SocketAddr,
    method: Method,
    path: Uri,
    body: Vec<u8>,
    limit: Duration,
) -> Option<EngineResponse> {
    let exchange = async {
        let open = state.connections.reserve_probe(address);
        let mut sender = state.connections.connect(address, open).await.ok()?;
        let mut request = Request::new(RequestBody::from(Bytes::from(body)));
        *request.method_mut() = method;
        *request.uri_mut() = path;
        sender.ready().await.ok()?;
        let response = sender.send_request(request).await.ok()?;
        let (parts, mut body) = response.into_parts();
        statements::record_call(state, address, parts.status, &parts.headers);
        Some(EngineResponse {
            status: parts.status,
            headers: parts.headers,
            body: state.response_memory.collect(&mut body).await.ok()?,
        })
    };
    let until = Instant::now() + limit;
    let response = running_timeout_at(until, pin!(exchange)).await;
    response.ok().flatten()
}
