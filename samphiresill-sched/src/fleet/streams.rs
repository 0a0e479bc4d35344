//! At which software version each recent stream began.
//!
//! Handles the fault in which callers take up streams at another router than the one that began them,
//! while targets of several versions serve: what two versions write does not fit together, and targets
//! do not check it.
//!
//! Invariants: a stream has one version, or none that may be relied on; a record is kept for
//! [`RETENTION`] at least, unless there are more than [`MAX_RECORDS`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::{Debug, Display};
use samphiresill_core::name::{RequestId, SoftwareVersion, TargetName};
use serde::{Deserialize, Serialize};

/// Time for which records are kept: longer than the timeout of any route.
pub const RETENTION: Duration = Duration::from_secs(25);
/// Maximum number of records: those of 25 s at the planned 3,000 streams a second.
pub const MAX_RECORDS: usize = 75_000;
/// Age up to which the records of a target do not count when it turns out to run another version: it
/// may have restarted before the router learnt of it.
const RESTART_NOTICE: Duration = Duration::from_secs(5);

/// `StreamId` identifies a stream by the request that brought its first event.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{_0:x}")]
#[debug("StreamId({_0:x})")]
pub struct StreamId(u64);

impl StreamId {
    /// Returns the id of the stream that a request began.
    #[must_use]
    pub fn of(request: &RequestId) -> Self {
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(request.as_bytes()).as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }

    /// Creates the id from its encoded form.
    #[must_use]
    pub fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the encoded form of the id.
    #[must_use]
    pub fn to_bits(self) -> u64 {
        self.0
    }
}

/// `StreamOrigin` is where a request's stream began, and so where it may go on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOrigin {
    /// The stream holds no event yet, or the request has none.
    #[default]
    New,
    /// It began at this version.
    At(SoftwareVersion),
    /// It is the one that another request began.
    Of(StreamId),
    /// It holds events, and their version is not known.
    Unknown,
}

/// `Record` is where one stream began.
#[derive(Clone, Debug)]
struct Record {
    /// The version; `None` when reports contradict each other.
    version: Option<SoftwareVersion>,
    /// The target; `None` for records of other processes' memory.
    target: Option<TargetName>,
    at: Duration,
}

/// `StreamRecords` holds the versions at which recent streams began.
#[derive(Clone, Debug, Default)]
pub struct StreamRecords {
    records: BTreeMap<StreamId, Record>,
    /// Ids in the order of their times.
    order: VecDeque<(Duration, StreamId)>,
    is_saving: bool,
    /// Records to save that have not been taken.
    unsaved: Vec<(StreamId, SoftwareVersion)>,
    /// Whether the records of other processes have been loaded.
    is_loaded: bool,
}

impl StreamRecords {
    /// Records that a stream began at a target.
    pub fn record(
        &mut self,
        stream: StreamId,
        target: &TargetName,
        version: &SoftwareVersion,
        now: Duration,
    ) {
        let is_new = self.insert(stream, Some(target.clone()), version, now);
        if is_new && self.is_saving {
            if self.unsaved.len() >= 2 * MAX_RECORDS {
                // The older half is dropped at once to amortise the move.
                self.unsaved.drain(..MAX_RECORDS);
            }
            self.unsaved.push((stream, version.clone()));
        }
    }

    /// Adds records of another process, or of the store.
    pub fn load(
        &mut self,
        records: impl IntoIterator<Item = (StreamId, SoftwareVersion)>,
        now: Duration,
    ) {
        for (stream, version) in records {
            self.insert(stream, None, &version, now);
        }
    }

    /// Sets that the records of other processes have been loaded.
    pub fn set_loaded(&mut self) {
        self.is_loaded = true;
    }

    /// Whether the records of other processes have been loaded since the start.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns the version at which a stream began; `None` when it is not known.
    #[must_use]
    pub fn version(&self, stream: StreamId) -> Option<&SoftwareVersion> {
        self.records.get(&stream)?.version.as_ref()
    }

    /// Returns all records that may be relied on.
    #[must_use]
    pub fn all(&self) -> Vec<(StreamId, SoftwareVersion)> {
        let records = self.records.iter();
        let known = records.filter_map(|(stream, r)| Some((*stream, r.version.clone()?)));
        known.collect()
    }

    /// Returns the records since the last call.
    pub fn take_unsaved(&mut self) -> Vec<(StreamId, SoftwareVersion)> {
        std::mem::take(&mut self.unsaved)
    }

    /// Takes back records that could not be saved.
    pub fn return_unsaved(&mut self, mut records: Vec<(StreamId, SoftwareVersion)>) {
        if self.is_saving {
            records.append(&mut self.unsaved);
            let excess = records.len().saturating_sub(MAX_RECORDS);
            self.unsaved = records.split_off(excess);
        }
    }

    /// Drops what was recorded of a target shortly before it turned out to run another version.
    pub fn distrust(&mut self, target: &TargetName, now: Duration) {
        for record in self.records.values_mut() {
            let is_recent = now.saturating_sub(record.at) < RESTART_NOTICE;
            if is_recent && record.target.as_ref() == Some(target) {
                record.version = None;
            }
        }
    }

    /// Sets whether records are to be saved. Those that are known when it begins are.
    pub fn set_saving(&mut self, is_saving: bool) {
        if is_saving && !self.is_saving {
            self.unsaved = self.all();
        } else if !is_saving {
            self.unsaved = Vec::new();
        }
        self.is_saving = is_saving;
    }

    /// Drops records that are no longer needed.
    pub fn sweep(&mut self, now: Duration) {
        let expired = now.saturating_sub(RETENTION);
        while self.order.front().is_some_and(|(at, _)| *at < expired) {
            self.drop_oldest();
        }
    }

    /// Inserts a record. Returns whether the stream was not known.
    fn insert(
        &mut self,
        stream: StreamId,
        target: Option<TargetName>,
        version: &SoftwareVersion,
        now: Duration,
    ) -> bool {
        if let Some(known) = self.records.get_mut(&stream) {
            if known.version.as_ref() != Some(version) {
                known.version = None;
            }
            return false;
        }
        if self.records.len() >= MAX_RECORDS {
            self.drop_oldest();
        }
        let record = Record {
            version: Some(version.clone()),
            target,
            at: now,
        };
        self.records.insert(stream, record);
        self.order.push_back((now, stream));
        true
    }

    fn drop_oldest(&mut self) {
        if let Some((_, stream)) = self.order.pop_front() {
            self.records.remove(&stream);
        }
    }
}
