//! What the entry hosts tell each other.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::{
    CrashTracker,
    entry::{
        BudgetLedger, batch_index::BatchIndex, host_reach::HostReach,
        record_readings::RecordReadings, stream_versions::StreamVersions,
        turn_history::TurnHistory, upstream_departures::UpstreamDepartures,
        upstream_limits::UpstreamLimits,
    },
};

/// State that the mesh of entry hosts shares with the other parts of this host. Each lock is taken on its own.
#[derive(Clone, Debug, Default)]
pub(crate) struct MeshState {
    pub(crate) ledger: Arc<Mutex<BudgetLedger>>,
    pub(crate) history: Arc<Mutex<TurnHistory>>,
    pub(crate) crashes: Arc<Mutex<CrashTracker>>,
    pub(crate) index: Arc<Mutex<BatchIndex>>,
    pub(crate) readings: Arc<Mutex<RecordReadings>>,
    pub(crate) departures: Arc<Mutex<UpstreamDepartures>>,
    pub(crate) limits: Arc<Mutex<UpstreamLimits>>,
    pub(crate) reach: Arc<HostReach>,
    pub(crate) streams: Arc<Mutex<StreamVersions>>,
}
