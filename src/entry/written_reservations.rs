//! Reservations that are written to the store before records stand in for the answers of silent peers.
//!
//! Of two hosts that don't hear each other, each counts the other by its records, which lack what it has just reserved. So
//! each first writes its own total down and then reads those of the others: one of the two at least sees the other. See
//! docs/design/platform.md, "Budgets".

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant, sleep, sleep_until};

use crate::entry::{
    BudgetLedger, ObjectStore, StoreError, WriteOutcome, budget_ledger::SpendNote,
    host_registry::REGISTRY_KIND, page_reader::PageReader, peer_mesh::PeerMesh,
};

/// Object kind of the written totals in the store. Each run of a host has one object, by its writer.
pub(crate) const RESERVATION_KIND: &str = "spend-reservations";

/// Time for which a total stays written after its last use and the end of the program's last turn here. Readings of the
/// records are reused for less, so what a turn has spent is in any reading by which others go once its total is gone.
const WRITTEN_TIME: Duration = Duration::from_secs(10);

/// Time after a host has listed itself again in which others may not know of it yet. Until then they don't look for its total.
const LISTING_TIME: Duration = Duration::from_secs(3);

/// Time between the starts of two rounds. Each takes a write, and the store takes a number of writes a second from all hosts
/// together, so it grows with the number of hosts.
const ROUND_INTERVAL: Duration = Duration::from_millis(30);

/// Number of peers with which a host waits for one interval.
const PEERS_PER_INTERVAL: usize = 4;

/// Largest multiple of the interval.
const MAX_INTERVAL_FACTOR: u32 = 16;

/// Content of a run's object. Readers ignore fields that they don't know.
#[derive(Debug, Deserialize, Eq, PartialEq, Serialize)]
struct WrittenTotals {
    #[serde(default)]
    notes: Vec<SpendNote>,
}

#[derive(Debug, Default)]
struct ReservationState {
    /// Programs whose totals are written, and when they were last needed.
    programs: HashMap<Arc<str>, Instant>,
    /// Number of the last caller that waits for a round.
    last_ticket: u64,
    /// Revision of the object, as far as the store has confirmed it.
    revision: Option<u64>,
    /// Content of the object at that revision.
    written: Option<WrittenTotals>,
    last_round_at: Option<Instant>,
    /// When this host listed itself again.
    listed_again_at: Option<Instant>,
}

/// Last round that has ended.
#[derive(Clone, Copy, Debug, Default)]
struct RoundResult {
    /// Number of the last caller that it has served.
    ticket: u64,
    is_complete: bool,
}

/// Whether a program's total has to stay written, which was last written for a turn at `written_for`.
fn is_needed(
    ledger: &BudgetLedger,
    program: &Arc<str>,
    written_for: Instant,
    now: Instant,
) -> bool {
    let last_used = ledger.last_run(program, now).map_or(written_for, |at| at.max(written_for));
    now.duration_since(last_used) < WRITTEN_TIME
}

/// Writes this run's totals and reads those of the others, in rounds that each serve all who wait.
#[derive(Debug)]
pub(crate) struct WrittenReservations {
    store: Arc<dyn ObjectStore>,
    ledger: Arc<Mutex<BudgetLedger>>,
    mesh: Arc<PeerMesh>,
    state: Mutex<ReservationState>,
    round: Arc<tokio::sync::Mutex<RoundResult>>,
}

impl WrittenReservations {
    pub(crate) fn new(
        store: Arc<dyn ObjectStore>,
        ledger: Arc<Mutex<BudgetLedger>>,
        mesh: Arc<PeerMesh>,
    ) -> Self {
        Self { store, ledger, mesh, state: Mutex::default(), round: Arc::default() }
    }

    /// Notes that this host has listed itself again, after its registry entry was removed.
    pub(crate) fn record_listing(&self) {
        self.state.lock().listed_again_at = Some(Instant::now());
    }

    /// Writes this run's total of a program, with all its reservations, and then reads the totals that the others have
    /// written. Returns false if that fails, or if this host isn't listed: then others don't look for its total.
    pub(crate) async fn exchange(self: &Arc<Self>, program: &Arc<str>) -> bool {
        let ticket = {
            let mut state = self.state.lock();
            let is_new = state.listed_again_at.is_some_and(|at| at.elapsed() < LISTING_TIME);
            if is_new {
                return false;
            }
            state.programs.insert(Arc::clone(program), Instant::now());
            state.last_ticket += 1;
            state.last_ticket
        };

        let mut result = Arc::clone(&self.round).lock_owned().await;

        if result.ticket < ticket {
            // Goes on if the caller stops waiting, as others wait for it too.
            let reservations = Arc::clone(self);
            let round = tokio::spawn(async move {
                reservations.wait_for_next_round().await;
                let ticket = reservations.state.lock().last_ticket;
                let is_complete = match reservations.run_round().await {
                    Ok(is_complete) => is_complete,
                    Err(error) => {
                        log::warn!(
                            "the reservations of this host can't be written or compared: {error}"
                        );
                        false
                    }
                };
                *result = RoundResult { ticket, is_complete };
                is_complete
            });
            return round.await.unwrap_or(false);
        }

        result.is_complete
    }

    /// Waits until the next round may begin, which serves all who have come by then.
    async fn wait_for_next_round(&self) {
        let factor = (self.mesh.peers.lock().len() / PEERS_PER_INTERVAL) as u32;
        let interval = ROUND_INTERVAL * factor.clamp(1, MAX_INTERVAL_FACTOR);
        let last_round_at = self.state.lock().last_round_at;

        if let Some(last_round_at) = last_round_at {
            sleep_until(last_round_at + interval).await;
        }
        self.state.lock().last_round_at = Some(Instant::now());
    }

    async fn run_round(&self) -> Result<bool, StoreError> {
        let started = Instant::now();
        self.write_totals().await?;

        let host = &self.mesh.identity.host;
        let (entry, others) = tokio::join!(self.store.get(REGISTRY_KIND, host), self.read_totals());
        let (is_listed, writers) = (entry?.is_some(), others?);
        log::info!(
            is_listed, writers, took_ms = started.elapsed().as_millis() as u64;
            "wrote the reservations of this host and read those of the others"
        );

        if !is_listed {
            self.mesh.record_deregistered();
        }
        Ok(is_listed)
    }

    /// Writes the totals of all programs that need it, unless the object has them already.
    async fn write_totals(&self) -> Result<(), StoreError> {
        let (totals, revision) = {
            let now = Instant::now();
            let mut state = self.state.lock();
            let ledger = self.ledger.lock();
            state
                .programs
                .retain(|program, needed_at| is_needed(&ledger, program, *needed_at, now));
            let mut notes: Vec<SpendNote> =
                state.programs.keys().map(|program| ledger.local_note(program)).collect();
            notes.sort_by(|left, right| left.program.cmp(&right.program));
            (WrittenTotals { notes }, state.revision)
        };

        if self.state.lock().written.as_ref() == Some(&totals) {
            return Ok(());
        }

        let written = self.write(&totals, revision).await;
        let mut state = self.state.lock();
        // After a failure the object is read before it is replaced.
        state.revision = written.as_ref().ok().copied();
        state.written = written.is_ok().then_some(totals);
        written.map(drop)
    }

    /// Writes the object. Returns its new revision.
    async fn write(
        &self,
        totals: &WrittenTotals,
        known_revision: Option<u64>,
    ) -> Result<u64, StoreError> {
        let writer = &self.mesh.identity.writer;
        let content = serde_json::value::to_raw_value(totals).expect("totals can be encoded");
        let revision = match known_revision {
            Some(revision) => Some(revision),
            None => self.store.get(RESERVATION_KIND, writer).await?.map(|it| it.revision),
        };
        let outcome = match revision {
            Some(revision) => {
                self.store.replace(RESERVATION_KIND, writer, &content, revision).await?
            }
            None => self.store.create(RESERVATION_KIND, writer, &content).await?,
        };

        match outcome {
            WriteOutcome::Written { revision } => Ok(revision),
            // An earlier write has been applied late. The next round reads the object first.
            WriteOutcome::Conflict => {
                Err(StoreError::Unanswered { reason: "the object has changed".into() })
            }
        }
    }

    /// Reads the totals of all other runs into the ledger. Returns how many there are.
    async fn read_totals(&self) -> Result<usize, StoreError> {
        let mut pages = PageReader::new(&*self.store, RESERVATION_KIND, None);
        let mut written: HashMap<Arc<str>, Vec<SpendNote>> = HashMap::new();

        while let Some(page) = pages.next().await? {
            for object in &page.items {
                // A run that is over spends nothing more, and records that are read after its end have what it has spent.
                let end = self.mesh.proved_run_end(&object.name);
                let is_over = end.is_some_and(|end| self.mesh.state.readings.lock().covers(end));
                if *object.name == *self.mesh.identity.writer || is_over {
                    continue;
                }
                let Some(totals) = object.decode::<WrittenTotals>() else {
                    let reason = format!("the totals of {} can't be decoded", object.name);
                    return Err(StoreError::Unanswered { reason: reason.into() });
                };
                written.insert(Arc::clone(&object.name), totals.notes);
            }
        }

        let count = written.len();
        self.ledger.lock().set_written(&written);
        Ok(count)
    }

    /// Removes the object once none of its totals is needed.
    pub(crate) async fn remove_unneeded(&self) {
        // No round writes the object meanwhile.
        let Ok(_round) = self.round.try_lock() else {
            return;
        };
        let Some(revision) = self.unneeded_revision() else {
            return;
        };

        let writer = &self.mesh.identity.writer;
        if let Err(error) = self.store.remove(RESERVATION_KIND, writer, revision).await {
            log::warn!("the written reservations can't be removed: {error}");
        }
        let mut state = self.state.lock();
        state.revision = None;
        state.written = None;
    }

    /// Revision of the object if none of its totals is needed any more.
    fn unneeded_revision(&self) -> Option<u64> {
        let now = Instant::now();
        let state = self.state.lock();
        let ledger = self.ledger.lock();
        let mut programs = state.programs.iter();
        let is_any_needed =
            programs.any(|(program, needed_at)| is_needed(&ledger, program, *needed_at, now));
        state.revision.filter(|_| !is_any_needed)
    }

    /// Removes the objects of earlier runs of this host, once no host goes by a reading of the records from before their end.
    pub(crate) async fn remove_of_earlier_runs(&self) -> Result<(), StoreError> {
        sleep(WRITTEN_TIME).await;
        let mut pages = PageReader::new(&*self.store, RESERVATION_KIND, None);

        while let Some(page) = pages.next().await? {
            for object in page.items {
                let is_own = *object.name == *self.mesh.identity.writer;
                if !is_own && self.mesh.is_own_run(&object.name) {
                    self.store.remove(RESERVATION_KIND, &object.name, object.revision).await?;
                }
            }
        }

        Ok(())
    }
}
