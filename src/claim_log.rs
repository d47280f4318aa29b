//! Log of one claim shard: records that wait, the segment that grows, and the
//! write whose outcome is not known yet.
//!
//! A segment is rewritten while it is small and then sealed. Every write compares
//! the mod revision of its segment, so that a delayed earlier write can never
//! replace a later one. The last line names the transaction that stored the segment.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::{claim_record, ids, kv_store};

/// Size above which a new segment is started. Each write sends the whole segment, so larger
/// segments cost bandwidth, and smaller ones cost keys.
pub const SEGMENT_BYTES: usize = 4 << 10;

/// Number of a record within this owner's memory.
pub type RecordNumber = u64;

/// Records with their numbers, in the order of the owner's decisions.
pub type NumberedRecords = Vec<(RecordNumber, claim_record::ClaimRecord)>;

/// Write of one segment.
#[derive(Clone, Debug)]
pub struct SegmentWrite {
    /// Transaction that the write belongs to.
    pub transaction: u64,
    /// Number of the segment.
    pub segment: u64,
    /// Whole value of the segment.
    pub value: Bytes,
    /// Mod revision that the segment must have.
    pub compare: ids::KvRevision,
    /// Sealed segments that have expired and are deleted.
    pub expired: Vec<u64>,
    newest_ms: u64,
    records_len: usize,
    records: NumberedRecords,
}

/// Segment as stored.
#[derive(Clone, Debug, Default)]
struct LogSegment {
    number: u64,
    value: Bytes,
    mod_revision: ids::KvRevision,
    newest_ms: u64,
}

/// Log of one shard.
#[derive(Clone, Debug, Default)]
pub struct ClaimLog {
    next_number: RecordNumber,
    queue: VecDeque<(RecordNumber, claim_record::ClaimRecord)>,
    tail: LogSegment,
    sealed: VecDeque<(u64, u64)>,
    outstanding: Option<SegmentWrite>,
}

impl ClaimLog {
    /// Adds a stored segment when the log is loaded, in the order of the numbers.
    pub fn load_segment(&mut self, number: u64, entry: &kv_store::KvEntry, newest_ms: u64) {
        self.seal_tail();
        let value = records_of(&entry.value);
        self.tail = LogSegment { number, value, mod_revision: entry.mod_revision, newest_ms };
    }

    /// Queues a record.
    pub fn push(&mut self, record: claim_record::ClaimRecord) -> RecordNumber {
        self.next_number += 1;
        self.queue.push_back((self.next_number, record));
        self.next_number
    }

    /// Removes a queued record; false when it is part of the outstanding write.
    pub fn cancel(&mut self, number: RecordNumber) -> bool {
        self.queue.retain(|(queued, _)| *queued != number);
        let outstanding = self.outstanding.iter().flat_map(|write| &write.records);
        !outstanding.into_iter().any(|(written, _)| *written == number)
    }

    /// Number of records that wait for a write.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing waits.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.outstanding.is_none()
    }

    /// Records that are not known to be stored.
    pub fn unwritten_records(&self) -> impl Iterator<Item = &claim_record::ClaimRecord> {
        let outstanding = self.outstanding.iter().flat_map(|write| &write.records);
        outstanding.chain(&self.queue).map(|(_, record)| record)
    }

    /// Write whose outcome is not known.
    pub fn outstanding(&self) -> Option<&SegmentWrite> {
        self.outstanding.as_ref()
    }

    /// Moves queued records into a write. A segment stays within the limit unless one record
    /// alone is larger.
    pub fn begin_write(
        &mut self,
        transaction: u64,
        limit_bytes: usize,
        now_ms: u64,
    ) -> Option<&SegmentWrite> {
        if self.outstanding.is_some() || self.queue.is_empty() {
            return None;
        }
        let rolled = self.tail.value.len() >= SEGMENT_BYTES;
        let base = if rolled { LogSegment::default() } else { self.tail.clone() };
        let number = if rolled { self.tail.number + 1 } else { self.tail.number.max(1) };
        let mut value = base.value.to_vec();
        let (mut newest_ms, mut records) = (base.newest_ms, Vec::new());
        while let Some((_, record)) = self.queue.front() {
            let line = record.to_line();
            if value.len() + line.len() > limit_bytes {
                break;
            }
            value.extend(line);
            newest_ms = newest_ms.max(record.at_ms);
            records.extend(self.queue.pop_front());
        }
        if records.is_empty() {
            return None;
        }
        let retention_ms = claim_record::RETENTION.as_millis() as u64;
        let expired = self.sealed.iter().filter(|(_, newest)| newest + retention_ms <= now_ms);
        let expired = expired.map(|(number, _)| *number).take(1).collect();
        let records_len = value.len();
        value.extend_from_slice(format!("#{transaction}\n").as_bytes());
        let (value, compare) = (Bytes::from(value), base.mod_revision);
        self.outstanding = Some(SegmentWrite {
            transaction,
            segment: number,
            value,
            compare,
            expired,
            newest_ms,
            records_len,
            records,
        });
        self.outstanding.as_ref()
    }

    /// Records that the outstanding write took effect.
    pub fn written(&mut self, mod_revision: ids::KvRevision) -> NumberedRecords {
        let Some(write) = self.outstanding.take() else { return Vec::new() };
        let value = write.value.slice(..write.records_len);
        self.replace_tail(&write, value, mod_revision);
        self.sealed.retain(|(number, _)| !write.expired.contains(number));
        write.records
    }

    /// Records that the outstanding write had no effect; its records wait again.
    pub fn unwritten(&mut self) {
        let Some(write) = self.outstanding.take() else { return };
        for record in write.records.into_iter().rev() {
            self.queue.push_front(record);
        }
    }

    /// Takes over a segment that an earlier write of this owner left behind late. The records
    /// of the outstanding write wait again; records that appear twice do no harm.
    pub fn adopt(&mut self, entry: &kv_store::KvEntry) {
        let Some(write) = self.outstanding.take() else { return };
        self.replace_tail(&write, records_of(&entry.value), entry.mod_revision);
        self.outstanding = Some(write);
        self.unwritten();
    }

    /// Whether the segment as read back was stored by the outstanding write. An earlier attempt
    /// with the same records differs by its transaction.
    pub fn is_in(&self, entry: Option<&kv_store::KvEntry>) -> bool {
        let (Some(write), Some(entry)) = (&self.outstanding, entry) else { return false };
        entry.value == write.value
    }

    fn replace_tail(&mut self, write: &SegmentWrite, value: Bytes, mod_revision: ids::KvRevision) {
        if write.segment != self.tail.number {
            self.seal_tail();
        }
        let newest_ms = write.newest_ms;
        self.tail = LogSegment { number: write.segment, value, mod_revision, newest_ms };
    }

    fn seal_tail(&mut self) {
        if self.tail.number > 0 {
            self.sealed.push_back((self.tail.number, self.tail.newest_ms));
        }
    }
}

/// Records of a stored segment, without the line that names its transaction.
fn records_of(value: &Bytes) -> Bytes {
    let marker = value.iter().rposition(|byte| *byte == b'#');
    match marker.filter(|place| *place == 0 || value[place - 1] == b'\n') {
        Some(place) => value.slice(..place),
        None => value.clone(),
    }
}
