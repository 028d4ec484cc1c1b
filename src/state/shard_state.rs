//! State of a shard: its programs, as a pure function of its log.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize, Serializer, ser::SerializeTuple};

use crate::{
    CallState, EndReason, FrameError, LogRecord, Program, ProgramEntry, ProgramId, StateError,
    decode_frame,
};

/// State of a shard. Replaying the same records always gives the same state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub(crate) struct ShardState {
    /// Number of the last claim. Each claim increments it.
    pub(crate) epoch: u64,
    /// Whether the last owner released the shard with everything settled.
    pub(crate) is_released: bool,
    pub(crate) programs: BTreeMap<ProgramId, Program>,
    /// Programs of which an owner that did not release the shard may have sent numbers that are not in the log, as
    /// docs/design/outcomes.md explains.
    pub(crate) unlogged_programs: BTreeSet<ProgramId>,
    /// Whether a program was forgotten after its retention, so that an unknown id may be that of one which has run.
    pub(crate) has_forgotten: bool,
}

/// Leaves out the last parts while they have their initial values, so that snapshots without them keep their format.
impl Serialize for ShardState {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let has_flag = self.has_forgotten;
        let has_unlogged = has_flag || !self.unlogged_programs.is_empty();
        let length = 3 + usize::from(has_unlogged) + usize::from(has_flag);
        let mut tuple = serializer.serialize_tuple(length)?;
        tuple.serialize_element(&self.epoch)?;
        tuple.serialize_element(&self.is_released)?;
        tuple.serialize_element(&self.programs)?;

        if has_unlogged {
            tuple.serialize_element(&self.unlogged_programs)?;
        }
        if has_flag {
            tuple.serialize_element(&self.has_forgotten)?;
        }

        tuple.end()
    }
}

impl ShardState {
    /// Decodes the frame of a snapshot. Fails if it is not well formed.
    pub(crate) fn decode(frame: &[u8]) -> Result<Self, FrameError> {
        match decode_frame(frame) {
            Ok((epoch, is_released, programs)) => {
                return Ok(Self { epoch, is_released, programs, ..Self::default() });
            }
            Err(FrameError::Malformed { .. }) => (),
            Err(error) => return Err(error),
        }

        if let Ok((epoch, is_released, programs, unlogged_programs)) = decode_frame(frame) {
            return Ok(Self { epoch, is_released, programs, unlogged_programs, ..Self::default() });
        }

        decode_frame(frame)
    }

    /// Applies one record. Fails without a change if the record does not fit the state.
    pub(crate) fn apply(&mut self, record: &LogRecord) -> Result<(), StateError> {
        match record {
            LogRecord::BudgetReserved { program, chunk_limit } => {
                self.reserve(*program, *chunk_limit)
            }
            LogRecord::CallSettled { program, number, state, at_ms } => {
                self.settle_call(*program, *number, state, *at_ms)
            }
            LogRecord::CallIntended { program, number, call } => {
                let entry = ProgramEntry::Call(call.clone());
                self.push_entry(*program, *number, entry, call.at_ms)
            }
            LogRecord::CallWithdrawn { program, number } => self.withdraw_call(*program, *number),
            LogRecord::ProgramCreated { terms } => self.create(Program::new(terms.clone())),
            LogRecord::ProgramEnded { program, reason, at_ms } => {
                self.end(*program, *reason, *at_ms)
            }
            LogRecord::ProgramForgotten { program } => self.forget(*program),
            LogRecord::ShardClaimed { epoch, .. } => {
                self.claim(*epoch);
                Ok(())
            }
            LogRecord::ShardReleased => {
                self.is_released = true;
                Ok(())
            }
            LogRecord::TokensSpent { program, tokens } => {
                self.open_program(*program)?.spend(*tokens)
            }
            LogRecord::TurnFinished { program, number, turn } => {
                self.check_next(*program, *number)?;
                self.open_program(*program)?.spend(turn.usage.total())?;
                let entry = ProgramEntry::Turn(turn.clone());
                self.push_entry(*program, *number, entry, turn.at_ms)
            }
            LogRecord::TurnRestored { program, number, turn } => {
                self.check_next(*program, *number)?;
                self.settle_presumed(*program, turn.usage.total())?;
                let entry = ProgramEntry::Turn(turn.clone());
                self.push_entry(*program, *number, entry, turn.at_ms)
            }
        }
    }

    /// Programs that have not ended, in order of their identity.
    pub(crate) fn open_programs(&self) -> impl Iterator<Item = &Program> {
        self.programs.values().filter(|program| program.end_reason.is_none())
    }

    pub(crate) fn program(&self, id: ProgramId) -> Result<&Program, StateError> {
        self.programs.get(&id).ok_or(StateError::UnknownProgram { program: id })
    }

    fn program_mut(&mut self, id: ProgramId) -> Result<&mut Program, StateError> {
        self.programs.get_mut(&id).ok_or(StateError::UnknownProgram { program: id })
    }

    fn open_program(&mut self, id: ProgramId) -> Result<&mut Program, StateError> {
        let program = self.program_mut(id)?;

        match program.end_reason {
            Some(_) => Err(StateError::Ended { program: id }),
            None => Ok(program),
        }
    }

    /// Begins an epoch. If the last owner did not release the shard, it may have spent tokens unlogged, so the chunks
    /// of all open programs count as spent, and any number of any program may have been sent. The latter holds for the
    /// rest of their lives: entries of later owners don't show which numbers the lost one answered with receipts.
    fn claim(&mut self, epoch: u64) {
        self.epoch = epoch;

        if !self.is_released {
            self.programs
                .values_mut()
                .filter(|program| program.end_reason.is_none())
                .for_each(Program::presume_spent);
            self.unlogged_programs = self.programs.keys().copied().collect();
        }

        self.is_released = false;
    }

    fn create(&mut self, program: Program) -> Result<(), StateError> {
        let id = program.terms.id;

        if self.programs.contains_key(&id) {
            return Err(StateError::Duplicate { program: id });
        }

        if let Some(parent) = program.terms.parent {
            let parent = self.open_program(parent)?;

            if program.terms.budget_tokens > parent.free_tokens() {
                return Err(StateError::InvalidReservation { program: parent.terms.id });
            }

            parent.child_tokens += program.terms.budget_tokens;
        }

        self.programs.insert(id, program);
        Ok(())
    }

    fn reserve(&mut self, id: ProgramId, chunk_limit: u64) -> Result<(), StateError> {
        let program = self.open_program(id)?;
        let is_growing = chunk_limit >= program.chunk_limit;

        if !is_growing || chunk_limit + program.child_tokens > program.terms.budget_tokens {
            return Err(StateError::InvalidReservation { program: id });
        }

        program.chunk_limit = chunk_limit;
        Ok(())
    }

    /// Charges a restored turn. Tokens that were presumed spent are not counted again.
    fn settle_presumed(&mut self, id: ProgramId, tokens: u64) -> Result<(), StateError> {
        let program = self.open_program(id)?;
        let presumed = tokens.min(program.presumed_tokens);
        program.spend(tokens - presumed)?;
        program.presumed_tokens -= presumed;
        Ok(())
    }

    /// Fails unless `number` is next and the entry before it has its result.
    fn check_next(&mut self, id: ProgramId, number: u32) -> Result<(), StateError> {
        let program = self.open_program(id)?;

        if number != program.next_number() || !program.is_settled() {
            return Err(StateError::UnexpectedNumber { program: id, number });
        }

        Ok(())
    }

    fn push_entry(
        &mut self,
        id: ProgramId,
        number: u32,
        entry: ProgramEntry,
        at_ms: u64,
    ) -> Result<(), StateError> {
        self.check_next(id, number)?;
        let program = self.open_program(id)?;
        program.entries.push(entry);
        program.active_ms = at_ms;
        Ok(())
    }

    /// Finds the call under `number` that has no result yet, and its index.
    fn open_call(
        &mut self,
        id: ProgramId,
        number: u32,
    ) -> Result<(&mut Program, usize), StateError> {
        let program = self.program_mut(id)?;
        let index = (number as usize).wrapping_sub(1);

        match program.entries.get(index) {
            Some(entry) if !entry.is_settled() => Ok((program, index)),
            _ => Err(StateError::UnexpectedNumber { program: id, number }),
        }
    }

    fn settle_call(
        &mut self,
        id: ProgramId,
        number: u32,
        state: &CallState,
        at_ms: u64,
    ) -> Result<(), StateError> {
        let (program, index) = self.open_call(id, number)?;

        if let ProgramEntry::Call(call) = &mut program.entries[index] {
            call.state = state.clone();
        }

        program.active_ms = at_ms;
        Ok(())
    }

    fn withdraw_call(&mut self, id: ProgramId, number: u32) -> Result<(), StateError> {
        let (program, index) = self.open_call(id, number)?;
        program.entries.truncate(index);
        Ok(())
    }

    /// Ends a program and its open children, and returns the unspent part of its budget to its parent.
    fn end(&mut self, id: ProgramId, reason: EndReason, at_ms: u64) -> Result<(), StateError> {
        self.open_program(id)?;

        for child in self.open_children(id) {
            self.end(child, EndReason::ParentEnded, at_ms)?;
        }

        let program = self.open_program(id)?;
        program.end_reason = Some(reason);
        program.active_ms = at_ms;
        let spent_tokens = program.spent_tokens;
        let budget_tokens = program.terms.budget_tokens;

        if let Some(parent) = program.terms.parent.and_then(|it| self.programs.get_mut(&it)) {
            parent.child_tokens -= budget_tokens;
            parent.spent_tokens += spent_tokens;
            parent.chunk_limit += spent_tokens;
        }

        Ok(())
    }

    pub(crate) fn open_children(&self, id: ProgramId) -> Vec<ProgramId> {
        self.open_programs()
            .filter(|program| program.terms.parent == Some(id))
            .map(|program| program.terms.id)
            .collect()
    }

    fn forget(&mut self, id: ProgramId) -> Result<(), StateError> {
        match self.program(id)?.end_reason {
            Some(_) => {
                self.programs.remove(&id);
                self.unlogged_programs.remove(&id);
                self.has_forgotten = true;
                Ok(())
            }
            None => Err(StateError::UnexpectedNumber { program: id, number: 0 }),
        }
    }
}
