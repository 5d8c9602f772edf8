//! How much of its VM a process takes for its callers.
//!
//! A quarter of the memory is for what it holds for others: heads and bodies of requests, and responses. Two fifths are
//! for the connections of callers, with their buffers. The rest is for the process itself, its connections to targets and
//! other VMs, and what the allocator can't use. Half of the descriptors are for callers.

use rustix::process::{Resource, getrlimit};

/// The size of a caller's buffers in the operating system, for reading and for writing, in bytes; Linux doubles it.
pub const SOCKET_BYTES: usize = 32 * 1024;
/// What a connection takes, in bytes: the buffers of the process and those of the operating system.
const CONNECTION_BYTES: u64 = 64 * 1024;

/// What a process may take of its VM.
///
/// # Example
///
/// ```
/// use bramleypier_engine::capacity::Capacity;
///
/// let capacity = Capacity { memory: 260_000_000, descriptors: 4100 };
/// assert_eq!(capacity.held_bytes(), 65_000_000);
/// assert!((1000..2050).contains(&capacity.connections()));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The memory of the process, in bytes.
    pub memory: u64,
    /// The number of its descriptors.
    pub descriptors: u64,
}

impl Capacity {
    /// Returns the capacity, lowered to what the operating system allows this process.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::capacity::Capacity;
    ///
    /// let capacity = Capacity { memory: 260_000_000, descriptors: u64::MAX };
    /// assert!(capacity.allowed().descriptors <= u64::MAX);
    /// ```
    #[must_use]
    pub fn allowed(self) -> Self {
        let allowed = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        Self {
            descriptors: self.descriptors.min(allowed),
            ..self
        }
    }

    /// Returns the bytes that may be held for others.
    ///
    /// # Example
    ///
    /// See [`Capacity`].
    pub fn held_bytes(&self) -> usize {
        usize::try_from(self.memory / 4).unwrap_or(usize::MAX)
    }

    /// Returns how many connections callers may have.
    ///
    /// # Example
    ///
    /// See [`Capacity`].
    pub fn connections(&self) -> usize {
        let by_memory = self.memory / 5 * 2 / CONNECTION_BYTES;
        let by_descriptors = self.descriptors / 2;
        usize::try_from(by_memory.min(by_descriptors).max(1)).unwrap_or(usize::MAX)
    }
}
