//! The client of the platform.

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
    pool::{Limits, Lost, Pool},
    protocol::{Call, Protocol, Response},
    CallBudget, CallKind, Changes, InstanceList, Listing, Object, PlatformError, Rates,
    TransferProgress, Version, WriteOutcome,
};

/// The largest value of an object, in bytes.
const VALUE_BYTES: usize = 1 << 20;
/// How many times the timeout of a call the body of its answer may take.
const BODY_TIMEOUTS: u32 = 10;
/// How many objects one call of a list asks for.
const PAGE: usize = 500;
/// When to come back if the platform does not say.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

type Result<T> = std::result::Result<T, Report<PlatformError>>;

/// Where the platform is and how much of it may be used.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The addresses of the platform, the first one to be used until it fails.
    pub addresses: Vec<SocketAddr>,
    /// How long a connection may take.
    pub connect: Duration,
    /// How long the head of an answer may take, the connection included, and each pause in its body. A watch has its
    /// wait on top. A body that keeps arriving may take ten times as long.
    pub timeout: Duration,
    /// The share of this instance.
    pub rates: Rates,
}

/// A client of the platform; a clone shares its connections and its budget.
///
/// Every call ends, see [`Settings::timeout`]. A connection whose answer did not arrive in time is closed and
/// never used again.
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Arc<[SocketAddr]>,
    /// Counts the changes of address.
    turn: Arc<AtomicUsize>,
    timeout: Duration,
    pool: Pool,
    budget: Arc<Mutex<CallBudget>>,
    protocol: Protocol,
    progress: TransferProgress,
}

impl Client {
    /// Makes a client of the project's own store; connects when the first call is made.
    pub fn new(settings: &Settings) -> Self {
        Self::with_protocol(settings, NATIVE)
    }

    /// Makes a client of a store that speaks `protocol`; connects when the first call is made.
    pub fn with_protocol(settings: &Settings, protocol: Protocol) -> Self {
        let budget = CallBudget::new(settings.rates, Instant::now());
        Self {
            addresses: settings.addresses.as_slice().into(),
            turn: Arc::default(),
            timeout: settings.timeout,
            pool: Pool::new(settings.connect),
            budget: Arc::new(Mutex::new(budget)),
            protocol,
            progress: TransferProgress::default(),
        }
    }

    /// Returns a client with the same connections and budget that counts for itself what arrives.
    ///
    /// The count begins anew with each call, so one call is made at a time.
    pub fn with_progress(&self) -> (Self, TransferProgress) {
        let progress = TransferProgress::default();
        let client = Self {
            progress: progress.clone(),
            ..self.clone()
        };
        (client, progress)
    }

    /// Changes the share of this instance.
    pub fn set_rates(&self, rates: Rates) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.set_rates(rates, Instant::now());
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// `Missing`, or a failure of the call.
    pub async fn get(&self, key: &str) -> Result<Object> {
        let answer = self.object_call(&Call::Get(key), Bytes::new()).await?;
        let (version, value) = (self.protocol.object)(key, &answer)?;
        Ok(Object {
            key: key.into(),
            version,
            value,
        })
    }

    /// Creates an object if there is none with this key.
    ///
    /// # Errors
    ///
    /// `Conflict` when there is one; `Ambiguous` when no answer came.
    pub async fn create(&self, key: &str, value: Bytes) -> Result<Version> {
        self.write(key, &Call::Create(key), value).await
    }

    /// Replaces an object if it still has the version `before`.
    ///
    /// # Errors
    ///
    /// `Conflict` when it has another; `Ambiguous` when no answer came.
    pub async fn update(&self, key: &str, before: Version, value: Bytes) -> Result<Version> {
        self.write(key, &Call::Update(key, before), value).await
    }

    /// Deletes an object if it still has the version `before`.
    ///
    /// # Errors
    ///
    /// `Conflict` when it has another, `Missing` when it is gone, `Ambiguous` when no answer came.
    pub async fn delete(&self, key: &str, before: Version) -> Result<()> {
        let call = Call::Delete(key, before);
        self.object_call(&call, Bytes::new()).await?;
        Ok(())
    }

    /// Reads back a write that ended with `Ambiguous`; see [`WriteOutcome::from_read_back`].
    ///
    /// # Errors
    ///
    /// A failure of the read; the write stays ambiguous.
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
    /// A failure of the call.
    pub async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Listing> {
        let call = Call::List {
            prefix,
            after,
            limit,
        };
        let answer = self.object_call(&call, Bytes::new()).await?;
        Ok((self.protocol.listing)(prefix, &answer.body)?)
    }

    /// Lists all objects under `prefix`, page by page.
    ///
    /// The revision is that of the first page, so a watch from there misses nothing that changed
    /// while the pages were read.
    ///
    /// # Errors
    ///
    /// A failure of one of the calls.
    pub async fn list_all(&self, prefix: &str) -> Result<Listing> {
        let mut all = self.list(prefix, "", PAGE).await?;
        while all.more {
            let Some(last) = all.objects.last() else {
                break;
            };
            let page = self.list(prefix, &last.key, PAGE).await?;
            if page.objects.is_empty() {
                break;
            }
            all.more = page.more;
            all.objects.extend(page.objects);
        }
        Ok(all)
    }

    /// Lists objects under `prefix` as they were some moments ago; a cheap way to look for what is
    /// seldom there. There must be no more than a page of them.
    ///
    /// # Errors
    ///
    /// A failure of the call.
    pub async fn list_stale(&self, prefix: &str) -> Result<Listing> {
        let call = Call::ListStale(prefix);
        let answer = self.object_call(&call, Bytes::new()).await?;
        Ok((self.protocol.listing)(prefix, &answer.body)?)
    }

    /// Waits up to `wait` for a change under `prefix` after the revision `since`.
    ///
    /// # Errors
    ///
    /// A failure of the call.
    pub async fn watch(&self, prefix: &str, since: Version, wait: Duration) -> Result<Changes> {
        let call = Call::Watch {
            prefix,
            since,
            wait,
        };
        let answer = self.object_call(&call, Bytes::new()).await?;
        Ok((self.protocol.changes)(prefix, &answer.body)?)
    }

    /// Reads the list of instances and targets.
    ///
    /// # Errors
    ///
    /// A failure of the call.
    pub async fn instances(&self) -> Result<InstanceList> {
        let request = self.request(Method::GET, "/v1/instances");
        let answer = self.send(CallKind::Read, request, Bytes::new()).await?;
        serde_json::from_slice(&answer.body)
            .map_err(|error| Report::new(error).change_context(PlatformError::Malformed))
    }

    /// Reads weights of the weight store.
    ///
    /// # Errors
    ///
    /// `RateLimited` when the weight store is busy, or a failure of the call.
    pub async fn weights(&self, name: &str) -> Result<Bytes> {
        let request = self.request(Method::GET, &format!("/v1/weights/{}", escape(name)));
        let answer = self.send(CallKind::Read, request, Bytes::new()).await?;
        Ok(answer.body)
    }

    fn request(&self, method: Method, path: &str) -> Builder {
        // Without an address no URI is made, and the call ends as malformed.
        let address = self.address().map(|address| address.to_string());
        let uri = format!("http://{}{path}", address.unwrap_or_default());
        Request::builder().method(method).uri(uri)
    }

    fn address(&self) -> Option<SocketAddr> {
        let turn = self.turn.load(Relaxed);
        let at = turn.checked_rem(self.addresses.len())?;
        self.addresses.get(at).copied()
    }

    /// Goes on to the next address after a call to this one failed.
    ///
    /// A call is never repeated here: what a write without an answer did is for its caller to find
    /// out. Only the next call goes elsewhere.
    fn turn_from(&self, turn: usize) {
        // Of many calls that fail together one turns, or they would turn past a good address.
        let _ = self.turn.compare_exchange(turn, turn + 1, Relaxed, Relaxed);
    }

    async fn write(&self, key: &str, call: &Call<'_>, value: Bytes) -> Result<Version> {
        if value.len() > VALUE_BYTES {
            return Err(Report::new(PlatformError::TooLarge));
        }
        let answer = self.object_call(call, value).await?;
        let (version, _) = (self.protocol.object)(key, &answer)?;
        Ok(version)
    }

    /// Makes a call on objects; a watch has its wait on top of the timeout.
    async fn object_call(&self, call: &Call<'_>, value: Bytes) -> Result<Response> {
        let encoded = (self.protocol.encode)(call, value);
        let mut request = self.request(encoded.method, &encoded.path);
        if let Some((name, condition)) = encoded.condition {
            request = request.header(name, condition);
        }
        let kind = call.kind();
        let limit = self.timeout + call.wait();
        self.exchange(kind, request, encoded.body, limit).await
    }

    async fn send(&self, kind: CallKind, request: Builder, body: Bytes) -> Result<Response> {
        self.exchange(kind, request, body, self.timeout).await
    }

    async fn exchange(
        &self,
        kind: CallKind,
        request: Builder,
        body: Bytes,
        limit: Duration,
    ) -> Result<Response> {
        self.take(kind)?;
        let request = request
            .body(Full::new(body))
            .map_err(|error| Report::new(error).change_context(PlatformError::Malformed))?;
        let turn = self.turn.load(Relaxed);
        let limits = Limits {
            head: limit,
            pause: self.timeout,
            body: self.timeout * BODY_TIMEOUTS,
        };
        self.progress.reset();
        let answer = self.pool.call(request, limits, &self.progress).await;
        let is_down =
            matches!(&answer, Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE);
        if answer.is_err() || is_down {
            self.turn_from(turn);
        }
        answer
            .map_err(|lost| no_answer(kind, lost))
            .and_then(|answer| answer.check(kind))
            .map_err(Report::new)
    }

    fn take(&self, kind: CallKind) -> Result<()> {
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
            .unwrap_or(RETRY_AFTER_DEFAULT)
    }

    fn check(self, kind: CallKind) -> std::result::Result<Self, PlatformError> {
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
            // The store saw the write and failed somewhere on the way.
            status if status.is_server_error() && kind == CallKind::Write => {
                Err(PlatformError::Ambiguous)
            }
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }
}

/// A call without an answer proves nothing about a write unless nothing was sent.
const fn no_answer(kind: CallKind, lost: Lost) -> PlatformError {
    match (kind, lost) {
        (_, Lost::Unsent) => PlatformError::Down,
        (CallKind::Write, _) => PlatformError::Ambiguous,
        (CallKind::Read, Lost::TooLarge) => PlatformError::TooLarge,
        (CallKind::Read, Lost::Broken | Lost::Silent) => PlatformError::Down,
    }
}
