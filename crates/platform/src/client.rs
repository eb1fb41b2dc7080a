//! The HTTP client of the platform.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering::Relaxed},
        Arc, Mutex, PoisonError,
    },
    time::Duration,
};

use bytes::Bytes;
use error_stack::Report;
use http::{header::RETRY_AFTER, request::Builder, Method, Request, StatusCode};
use http_body_util::Full;
use tokio::time::Instant;

use crate::{
    native::NATIVE,
    path::escape,
    pool::{CallTimeouts, Pool, TransportError},
    protocol::{Call, Protocol, Response},
    CallBudget, CallKind, Changes, InstanceList, Listing, Object, PlatformError, Rates,
    TransferProgress, Version, WriteOutcome,
};

/// The maximum size of the value of an object, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// The time limit for a response body, as a multiple of the call timeout.
const BODY_TIMEOUT_FACTOR: u32 = 10;
/// The number of objects requested with each page of a listing.
const PAGE_SIZE: usize = 500;
/// The retry delay if a response has no valid `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

type Result<T> = std::result::Result<T, Report<PlatformError>>;

/// The addresses, timeouts and call rates of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// The addresses of the platform. The client uses the first one until a call to it fails, then
    /// the next.
    pub addresses: Vec<SocketAddr>,
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// The timeout for the response headers, which includes opening a connection, and for each
    /// pause in the body. The wait of a watch is added to it. A body that keeps arriving may take
    /// ten times as long.
    pub timeout: Duration,
    /// The call rates that this instance may use.
    pub rates: Rates,
}

/// A client of the platform. Clones share its connections and its call budget.
///
/// Every call has a time limit, see [`ClientSettings::timeout`]. A connection on which a response
/// did not arrive in time is closed and not reused.
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Arc<[SocketAddr]>,
    /// The number of times that the client has moved on to the next address.
    address_changes: Arc<AtomicUsize>,
    timeout: Duration,
    pool: Pool,
    budget: Arc<Mutex<CallBudget>>,
    protocol: Protocol,
    progress: TransferProgress,
}

impl Client {
    /// Creates a client that uses the native protocol. It connects on the first call.
    pub fn new(settings: &ClientSettings) -> Self {
        Self::with_protocol(settings, NATIVE)
    }

    /// Creates a client that uses `protocol`. It connects on the first call.
    pub fn with_protocol(settings: &ClientSettings, protocol: Protocol) -> Self {
        let budget = CallBudget::new(settings.rates, Instant::now());
        Self {
            addresses: settings.addresses.as_slice().into(),
            address_changes: Arc::default(),
            timeout: settings.timeout,
            pool: Pool::new(settings.connect_timeout),
            budget: Arc::new(Mutex::new(budget)),
            protocol,
            progress: TransferProgress::default(),
        }
    }

    /// Returns a client that shares connections and budget with this one and reports the progress
    /// of its own transfers.
    ///
    /// Each call resets the progress, so the returned client must make one call at a time.
    pub fn with_progress(&self) -> (Self, TransferProgress) {
        let progress = TransferProgress::default();
        let client = Self {
            progress: progress.clone(),
            ..self.clone()
        };
        (client, progress)
    }

    /// Changes the call rates that this instance may use.
    pub fn set_rates(&self, rates: Rates) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.set_rates(rates, Instant::now());
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns `Missing`, or the failure of the call.
    pub async fn get(&self, key: &str) -> Result<Object> {
        let response = self.object_call(&Call::Get(key), Bytes::new()).await?;
        let (version, value) = (self.protocol.object)(key, &response)?;
        Ok(Object {
            key: key.into(),
            version,
            value,
        })
    }

    /// Creates an object if none with this key exists.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` if one exists, `Ambiguous` if no response arrived, or another failure of
    /// the call.
    pub async fn create(&self, key: &str, value: Bytes) -> Result<Version> {
        self.write(key, &Call::Create(key), value).await
    }

    /// Replaces an object if its version is still `before`.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` if the version is another one, `Ambiguous` if no response arrived, or
    /// another failure of the call.
    pub async fn update(&self, key: &str, before: Version, value: Bytes) -> Result<Version> {
        self.write(key, &Call::Update(key, before), value).await
    }

    /// Deletes an object if its version is still `before`.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` if the version is another one, `Missing` if the object no longer exists,
    /// `Ambiguous` if no response arrived, or another failure of the call.
    pub async fn delete(&self, key: &str, before: Version) -> Result<()> {
        let call = Call::Delete(key, before);
        self.object_call(&call, Bytes::new()).await?;
        Ok(())
    }

    /// Reads an object back to find out whether a write to it that failed with `Ambiguous` took
    /// effect; see [`WriteOutcome::from_read_back`].
    ///
    /// # Errors
    ///
    /// Returns the failure of the read, which leaves the write ambiguous.
    pub async fn resolve_write(
        &self,
        key: &str,
        before: Option<Version>,
        value: &[u8],
    ) -> Result<WriteOutcome> {
        let found = match self.get(key).await {
            Ok(object) => Some(object),
            Err(report) if *report.current_context() == PlatformError::Missing => None,
            Err(report) => return Err(report),
        };
        Ok(WriteOutcome::from_read_back(before, value, found))
    }

    /// Lists up to `limit` objects under `prefix` whose keys are greater than `after`.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Listing> {
        let call = Call::List {
            prefix,
            after,
            limit,
        };
        let response = self.object_call(&call, Bytes::new()).await?;
        Ok((self.protocol.listing)(prefix, &response.body)?)
    }

    /// Lists all objects under `prefix`, page by page.
    ///
    /// The returned revision is that of the first page. A watch that starts there therefore reports
    /// everything that changed while the other pages were read.
    ///
    /// # Errors
    ///
    /// Returns the failure of one of the calls.
    pub async fn list_all(&self, prefix: &str) -> Result<Listing> {
        let mut all = self.list(prefix, "", PAGE_SIZE).await?;
        while all.more {
            let Some(last) = all.objects.last() else {
                break;
            };
            let page = self.list(prefix, &last.key, PAGE_SIZE).await?;
            if page.objects.is_empty() {
                break;
            }
            all.more = page.more;
            all.objects.extend(page.objects);
        }
        Ok(all)
    }

    /// Lists objects under `prefix` as they were a moment ago.
    ///
    /// This costs the store less than [`Client::list`] and suits polling for objects that seldom
    /// exist. Only the first page is read.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn list_stale(&self, prefix: &str) -> Result<Listing> {
        let call = Call::ListStale(prefix);
        let response = self.object_call(&call, Bytes::new()).await?;
        Ok((self.protocol.listing)(prefix, &response.body)?)
    }

    /// Waits up to `wait` for a change under `prefix` after the revision `since`.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn watch(&self, prefix: &str, since: Version, wait: Duration) -> Result<Changes> {
        let call = Call::Watch {
            prefix,
            since,
            wait,
        };
        let response = self.object_call(&call, Bytes::new()).await?;
        Ok((self.protocol.changes)(prefix, &response.body)?)
    }

    /// Reads the list of instances and targets.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn instances(&self) -> Result<InstanceList> {
        let request = self.request(Method::GET, "/v1/instances");
        let response = self.send(CallKind::Read, request, Bytes::new()).await?;
        serde_json::from_slice(&response.body)
            .map_err(|error| Report::new(error).change_context(PlatformError::Malformed))
    }

    /// Reads the weights `name` from the weight store.
    ///
    /// # Errors
    ///
    /// Returns `RateLimited` if the weight store is busy, or another failure of the call.
    pub async fn weights(&self, name: &str) -> Result<Bytes> {
        let request = self.request(Method::GET, &format!("/v1/weights/{}", escape(name)));
        let response = self.send(CallKind::Read, request, Bytes::new()).await?;
        Ok(response.body)
    }

    fn request(&self, method: Method, path: &str) -> Builder {
        // Without an address the URI is invalid and the call fails with `Malformed`.
        let address = self.address().map(|address| address.to_string());
        let uri = format!("http://{}{path}", address.unwrap_or_default());
        Request::builder().method(method).uri(uri)
    }

    fn address(&self) -> Option<SocketAddr> {
        let changes = self.address_changes.load(Relaxed);
        let index = changes.checked_rem(self.addresses.len())?;
        self.addresses.get(index).copied()
    }

    /// Moves on to the next address after a call has failed. `changes` is the number of address
    /// changes before the call.
    ///
    /// Only later calls use the next address. The failed call is not retried, because the caller
    /// has to find out first whether a write without a response took effect.
    fn advance_address(&self, changes: usize) {
        // Of several calls that fail at the same time only one may change the address.
        // Otherwise they would skip a working one.
        let _ = self
            .address_changes
            .compare_exchange(changes, changes + 1, Relaxed, Relaxed);
    }

    async fn write(&self, key: &str, call: &Call<'_>, value: Bytes) -> Result<Version> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Report::new(PlatformError::TooLarge));
        }
        let response = self.object_call(call, value).await?;
        let (version, _) = (self.protocol.object)(key, &response)?;
        Ok(version)
    }

    /// Makes a call on objects. The wait of a watch is added to the timeout.
    async fn object_call(&self, call: &Call<'_>, value: Bytes) -> Result<Response> {
        let encoded = (self.protocol.encode)(call, value);
        let mut request = self.request(encoded.method, &encoded.path);
        if let Some((name, condition)) = encoded.condition {
            request = request.header(name, condition);
        }
        let kind = call.kind();
        let head_timeout = self.timeout + call.wait();
        self.exchange(kind, request, encoded.body, head_timeout)
            .await
    }

    async fn send(&self, kind: CallKind, request: Builder, body: Bytes) -> Result<Response> {
        self.exchange(kind, request, body, self.timeout).await
    }

    async fn exchange(
        &self,
        kind: CallKind,
        request: Builder,
        body: Bytes,
        head_timeout: Duration,
    ) -> Result<Response> {
        self.take_from_budget(kind)?;
        let request = request
            .body(Full::new(body))
            .map_err(|error| Report::new(error).change_context(PlatformError::Malformed))?;
        let changes = self.address_changes.load(Relaxed);
        let timeouts = CallTimeouts {
            head: head_timeout,
            pause: self.timeout,
            body: self.timeout * BODY_TIMEOUT_FACTOR,
        };
        self.progress.reset();
        let response = self.pool.call(request, timeouts, &self.progress).await;
        let is_unavailable =
            matches!(&response, Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE);
        if response.is_err() || is_unavailable {
            self.advance_address(changes);
        }
        response
            .map_err(|error| error_without_response(kind, error))
            .and_then(|response| response.into_result(kind))
            .map_err(Report::new)
    }

    fn take_from_budget(&self, kind: CallKind) -> Result<()> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget
            .take(kind, Instant::now())
            .map_err(|retry_after| Report::new(PlatformError::BudgetExhausted { retry_after }))
    }
}

impl Call<'_> {
    const fn kind(&self) -> CallKind {
        match self {
            Self::Get(_) | Self::List { .. } | Self::ListStale(_) | Self::Watch { .. } => {
                CallKind::Read
            }
            Self::Create(_) | Self::Update(..) | Self::Delete(..) => CallKind::Write,
        }
    }

    const fn wait(&self) -> Duration {
        match self {
            Self::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        }
    }
}

impl Response {
    fn retry_after(&self) -> Duration {
        let header = self.headers.get(RETRY_AFTER);
        header
            .and_then(|text| text.to_str().ok())
            .and_then(|text| text.parse().ok())
            .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
            .unwrap_or(DEFAULT_RETRY_AFTER)
    }

    fn into_result(self, kind: CallKind) -> std::result::Result<Self, PlatformError> {
        match self.status {
            status if status.is_success() => Ok(self),
            StatusCode::NOT_FOUND => Err(PlatformError::Missing),
            StatusCode::PRECONDITION_FAILED | StatusCode::CONFLICT => Err(PlatformError::Conflict),
            StatusCode::GONE => Err(PlatformError::Compacted),
            StatusCode::PAYLOAD_TOO_LARGE => Err(PlatformError::TooLarge),
            StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::Down),
            StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::RateLimited {
                retry_after: self.retry_after(),
            }),
            // The store received the write and failed at an unknown point of processing it.
            status if status.is_server_error() && kind == CallKind::Write => {
                Err(PlatformError::Ambiguous)
            }
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }
}

/// Maps a call without a response to an error. A write may have taken effect unless the request was
/// never sent.
const fn error_without_response(kind: CallKind, error: TransportError) -> PlatformError {
    match (kind, error) {
        (_, TransportError::NotSent) => PlatformError::Down,
        (CallKind::Write, _) => PlatformError::Ambiguous,
        (CallKind::Read, TransportError::TooLarge) => PlatformError::TooLarge,
        (CallKind::Read, TransportError::Broken | TransportError::TimedOut) => PlatformError::Down,
    }
}
