//! Sends requests on a connection to a target or to another instance.

use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::{http1::SendRequest, TrySendError},
};

use super::{
    framing_meter::FramingMeter, metered_body::MeteredBody, request_body::RequestBody,
    upload::Upload,
};

/// Sends requests on a connection, one after the other.
#[derive(Debug)]
pub(super) struct Sender {
    requests: SendRequest<RequestBody>,
    meter: FramingMeter,
    upload: Upload,
}

impl Sender {
    pub(super) const fn new(
        requests: SendRequest<RequestBody>,
        meter: FramingMeter,
        upload: Upload,
    ) -> Self {
        Self {
            requests,
            meter,
            upload,
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    pub(super) fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// Waits until a request can be sent.
    pub(super) async fn ready(&mut self) -> hyper::Result<()> {
        self.requests.ready().await
    }

    /// Sends a request and waits for the head of its response.
    pub(super) async fn send_request(
        &mut self,
        mut request: Request<RequestBody>,
    ) -> hyper::Result<Response<MeteredBody>> {
        self.begin(&mut request);
        let response = self.requests.send_request(request).await?;
        Ok(self.metered(response))
    }

    /// Does the same, and returns the request if nothing of it was sent.
    pub(super) async fn try_send_request(
        &mut self,
        mut request: Request<RequestBody>,
    ) -> Result<Response<MeteredBody>, TrySendError<Request<RequestBody>>> {
        self.begin(&mut request);
        let response = self.requests.try_send_request(request).await?;
        Ok(self.metered(response))
    }

    fn begin(&self, request: &mut Request<RequestBody>) {
        self.meter.reset();
        request.body_mut().begin_upload(&self.upload);
    }

    fn metered(&self, response: Response<Incoming>) -> Response<MeteredBody> {
        response.map(|body| MeteredBody::new(body, self.meter.clone()))
    }
}
