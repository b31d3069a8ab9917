//! Confirmation of leadership with ReadIndex, for reads and lease grants.
//!
//! One round runs at a time. It covers all reads and reports received before its start.

use crate::error::NodeError;
use crate::lease_table::ReportSequences;

/// Maximum number of reads that wait for the next round.
const MAX_WAITING_READS: usize = 4096;

/// One round of confirmation.
pub(crate) struct Round {
    number: u64,
    /// Reports to answer with grants.
    pub reports: ReportSequences,
    /// Reads to answer.
    pub reads: Vec<u64>,
    /// Index that must be applied before the round is answered; `None` until the quorum has confirmed the leadership.
    read_index: Option<u64>,
}

/// Waiting reads and the current round.
#[derive(Default)]
pub(crate) struct ReadConfirmation {
    waiting_reads: Vec<u64>,
    round: Option<Round>,
    last_round: u64,
}

impl ReadConfirmation {
    /// Adds a read to the next round.
    ///
    /// # Errors
    /// Too many reads are waiting.
    pub fn add_read(&mut self, read: u64) -> Result<(), NodeError> {
        if self.waiting_reads.len() >= MAX_WAITING_READS {
            return Err(NodeError::TooManyReads);
        }
        self.waiting_reads.push(read);
        Ok(())
    }

    /// Returns true if a round is running.
    pub fn is_running(&self) -> bool {
        self.round.is_some()
    }

    /// Returns true if reads wait for the next round.
    pub fn has_waiting_reads(&self) -> bool {
        !self.waiting_reads.is_empty()
    }

    /// Starts a round and returns its number.
    pub fn begin_round(&mut self, reports: ReportSequences) -> u64 {
        self.last_round += 1;
        self.round = Some(Round {
            number: self.last_round,
            reports,
            reads: std::mem::take(&mut self.waiting_reads),
            read_index: None,
        });
        self.last_round
    }

    /// Records the read index of a round, identified by the context of its request.
    pub fn record_read_index(&mut self, request_context: &[u8], index: u64) {
        if let Some(round) = &mut self.round
            && request_context == round.number.to_be_bytes()
        {
            round.read_index = Some(index);
        }
    }

    /// Takes the round if its read index has been applied.
    pub fn take_finished(&mut self, applied_index: u64) -> Option<Round> {
        self.round
            .take_if(|round| round.read_index.is_some_and(|index| index <= applied_index))
    }

    /// Cancels the round and returns all reads, oldest first.
    pub fn cancel(&mut self) -> Vec<u64> {
        let mut reads = self.round.take().map_or_else(Vec::new, |round| round.reads);
        reads.append(&mut self.waiting_reads);
        reads
    }
}
