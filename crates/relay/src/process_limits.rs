/// The memory and the descriptors that the process may use, and their division.
///
/// Without these bounds, callers that send more than is served, or that keep what they opened,
/// would take the memory and the descriptors that targets, other instances and the store need.
///
/// # Examples
///
/// ```
/// use celerypond_relay::ProcessLimits;
///
/// let limits = ProcessLimits {
///     memory: 240_000_000,
///     descriptors: 4_100,
/// };
/// assert_eq!(limits.caller_bytes(), 72_000_000);
/// assert_eq!(limits.caller_connections(), 2_435);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// The memory in bytes.
    pub memory: usize,
    /// The number of descriptors.
    pub descriptors: usize,
}

/// The descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// The maximum of the bytes of responses of targets.
const MAX_RESPONSE_BYTES: usize = 48 << 20;

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory: 256_000_000,
            descriptors: 4_096,
        }
    }
}

impl ProcessLimits {
    /// Returns the maximum number of bytes that callers can make the process hold: requests,
    /// connections and responses that they do not read. The rest is for the process itself, for
    /// responses of targets, and for what the allocator keeps.
    pub const fn caller_bytes(&self) -> usize {
        self.memory / 10 * 3
    }

    /// Returns the maximum number of bytes of responses of targets that are held.
    pub const fn response_bytes(&self) -> usize {
        let share = self.memory / 10 * 3;
        match share < MAX_RESPONSE_BYTES {
            true => share,
            false => MAX_RESPONSE_BYTES,
        }
    }

    /// Returns the maximum number of connections for requests.
    pub const fn caller_connections(&self) -> usize {
        self.sockets() / 8 * 5
    }

    /// Returns the maximum number of connections to each port for calls of other instances.
    pub const fn peer_connections(&self) -> usize {
        self.sockets() / 8
    }

    /// Returns the maximum number of connections to each port for operators and for callers that
    /// look up addresses.
    pub const fn endpoint_connections(&self) -> usize {
        self.sockets() / 32
    }

    /// Returns the number of descriptors for sockets.
    const fn sockets(&self) -> usize {
        match self.descriptors > 2 * FILE_DESCRIPTORS {
            true => self.descriptors - FILE_DESCRIPTORS,
            false => self.descriptors / 2,
        }
    }
}
