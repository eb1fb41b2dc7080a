//! One attempt at a target, up to the head of its response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerypond_adapter::headers;
use celerypond_relay::{Ended, TargetAnswer, TargetHead};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{timeout, Instant};

use super::{connections::Sender, lease::Lease, site::Site};

/// A caller's request, read whole.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) method: Method,
    /// Path and query, as the caller sent them.
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The id of the request.
    pub(super) id: smol_str::SmolStr,
}

/// A response whose body is still to be read.
pub(super) struct Opened {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) answer: TargetAnswer,
    pub(super) body: Incoming,
    sender: Sender,
}

impl Opened {
    /// Keeps the connection for further requests; the body must have been read to its end.
    pub(super) fn keep(self, site: &Site, lease: &Lease) {
        let keep_alive = self.answer.keep_alive;
        site.connections
            .keep(lease.address, self.sender, keep_alive, Instant::now());
    }
}

/// Sends a request and waits up to `limit` for the head of the response.
///
/// # Errors
///
/// How the attempt ended, if no response to this request came.
pub(super) async fn send(
    site: &Arc<Site>,
    lease: &mut Lease,
    asked: &Asked,
    head: &TargetHead<'_>,
    limit: Duration,
) -> Result<Opened, Ended> {
    let until = Instant::now() + limit;
    let mut request = make_request(asked, head);
    loop {
        let mut sender = sender(site, lease).await?;
        let response = match tokio::time::timeout_at(until, sender.try_send_request(request)).await
        {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => match error.take_message() {
                // An idle connection that the target had closed takes nothing of the request.
                Some(unsent) => {
                    request = unsent;
                    continue;
                }
                None => return Err(Ended::Broken),
            },
            Err(_) => return Err(Ended::Silent),
        };
        return check(asked, lease, response, sender);
    }
}

async fn sender(site: &Site, lease: &Lease) -> Result<Sender, Ended> {
    if let Some(sender) = site.connections.take(lease.address, Instant::now()) {
        return Ok(sender);
    }
    let connected = site.connections.connect(lease.address).await;
    connected.map_err(|_| Ended::Unsent)
}

fn make_request(asked: &Asked, head: &TargetHead<'_>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(asked.body.clone()));
    *request.method_mut() = asked.method.clone();
    *request.uri_mut() = asked.uri.clone();
    *request.headers_mut() = headers::to_target(&asked.headers, head);
    request
}

/// Decides whether a response belongs to the request.
///
/// The failure: a target sends a second response, or one that belongs to a request whose caller has
/// left, and it arrives where this request's is due. Its id tells; the connection is dropped.
fn check(
    asked: &Asked,
    lease: &mut Lease,
    response: Response<Incoming>,
    sender: Sender,
) -> Result<Opened, Ended> {
    let (parts, body) = response.into_parts();
    let answer = headers::read_answer(&parts.headers);
    if answer.request.as_ref() != Some(&asked.id) {
        return Err(Ended::Foreign);
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Ended::Misdirected);
    }
    lease.answered(answer.load);
    if answer.not_run {
        return Err(Ended::NotRun);
    }
    let is_unsigned = parts.status.is_success() && !answer.signed;
    if is_unsigned || answer.encoded {
        return Err(Ended::Foreign);
    }
    Ok(Opened {
        status: parts.status,
        headers: parts.headers,
        answer,
        body,
        sender,
    })
}

/// Reads a body whole.
///
/// # Errors
///
/// `Broken` when it ended early, `Silent` when it did not end in time.
pub(super) async fn read_whole(body: &mut Incoming, limit: Duration) -> Result<Bytes, Ended> {
    use http_body_util::BodyExt as _;
    match timeout(limit, body.collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(_)) => Err(Ended::Broken),
        Err(_) => Err(Ended::Silent),
    }
}
