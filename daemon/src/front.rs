//! The HTTP front end for callers and operators.

use std::{
    convert::Infallible, future::Future, net::SocketAddr, panic::AssertUnwindSafe, sync::Arc,
};

use celerypond_route::KEEP_ALIVE_MS;
use celerypond_telemetry::hop;
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    hyper::{HeaderMap, Method, Response, Uri},
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::*,
    router::{build_router, Router},
    state::{client_addr, State, StateData},
};
use http::{header, HeaderValue};
use tokio::net::TcpListener;
use tracing::Instrument;

use crate::node::Node;

pub mod api_error;
pub mod auth;
pub mod completions;
pub mod entries;
pub mod headers;
pub mod health;
pub mod operator;
pub mod services;
pub mod socket;

/// The methods that callers may use with plain services.
const SERVICE_METHODS: [Method; 6] = [
    Method::GET,
    Method::HEAD,
    Method::POST,
    Method::PUT,
    Method::PATCH,
    Method::DELETE,
];

/// The `Keep-Alive` header: how long an idle connection may be reused by the caller.
const KEEP_ALIVE_VALUE: &str = "timeout=10";
const _: () = assert!(KEEP_ALIVE_MS == 10_000);

/// A request, as passed to handlers.
pub struct FrontRequest {
    /// The method.
    pub method: Method,
    /// The URI.
    pub uri: Uri,
    /// The caller's address.
    pub caller: Option<SocketAddr>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

/// A reply, as returned by handlers.
pub type Reply = Response<Body>;

/// Wraps the shared state for gotham; a handler that panics leaves it in a consistent state.
#[derive(Clone)]
struct Shared(Arc<AssertUnwindSafe<Arc<Node>>>);

impl StateData for Shared {}

/// Serves callers on a listener until dropped, which closes the listener but no connections.
pub async fn serve(node: Arc<Node>, listener: TcpListener) -> Infallible {
    let routes = routes(Arc::clone(&node));
    let sockets = node.sockets.clone();
    gotham::bind_server(listener, routes, move |socket| {
        std::future::ready(sockets.accept(socket))
    })
    .await
}

fn routes(node: Arc<Node>) -> Router {
    let shared = Shared(Arc::new(AssertUnwindSafe(node)));
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(shared)));
    build_router(chain, pipelines, |route| {
        route
            .get("/v1/entries")
            .to_async(|state| handle(state, entries::list));
        route
            .post("/v1/completions")
            .to_async(|state| handle(state, completions::complete));
        route
            .get("/v1/health")
            .to_async(|state| handle(state, health::live));
        route
            .get("/v1/ready")
            .to_async(|state| handle(state, health::ready));
        route
            .get("/v1/metrics")
            .to_async(|state| handle(state, health::metrics));
        route
            .request(SERVICE_METHODS.to_vec(), "/v1/services/*")
            .to_async(|state| handle(state, services::call));
        route.scope("/v1/operator", |route| {
            route
                .post("/submit")
                .to_async(|state| handle(state, operator::submit));
            route
                .post("/approve")
                .to_async(|state| handle(state, operator::approve));
            route
                .post("/roll")
                .to_async(|state| handle(state, operator::roll));
            route
                .get("/status")
                .to_async(|state| handle(state, operator::status));
            route
                .get("/history")
                .to_async(|state| handle(state, operator::history));
            route
                .get("/bundles/:digest")
                .to_async(|state| handle(state, operator::bundle));
        });
    })
}

async fn handle<H, F>(mut state: State, handler: H) -> HandlerResult
where
    H: FnOnce(Arc<Node>, FrontRequest) -> F,
    F: Future<Output = Reply>,
{
    let node = Arc::clone(&Shared::borrow_from(&state).0 .0);
    let active_request =
        client_addr(&state).and_then(|address| node.sockets.begin_request(address));
    let request = FrontRequest {
        method: Method::borrow_from(&state).clone(),
        uri: Uri::borrow_from(&state).clone(),
        caller: client_addr(&state),
        headers: HeaderMap::take_from(&mut state),
        body: Body::take_from(&mut state),
    };
    let parent = request.headers.get("traceparent");
    let parent = parent.and_then(|value| value.to_str().ok()?.parse().ok());
    let handled = handler(Arc::clone(&node), request).instrument(hop("front", parent));
    let mut reply = handled.await;
    let headers = reply.headers_mut();
    match node.leaving.is_cancelled() {
        true => headers.insert(header::CONNECTION, HeaderValue::from_static("close")),
        false => headers.insert("keep-alive", HeaderValue::from_static(KEEP_ALIVE_VALUE)),
    };
    Ok((
        state,
        reply.map(|body| socket::with_active_request(body, active_request)),
    ))
}
