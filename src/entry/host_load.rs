//! What a host holds for clients that read slowly, and when the host is overloaded. See docs/design/host-load.md.
//!
//! The decisions are pure: [`LoadPolicy`] and [`StalledStreams`] have no clock and no I/O. [`LoadMonitor`] samples the process
//! for the first, [`StreamSender`] asks the second. Without a limit in the settings neither decides anything.

pub(crate) mod load_limits;
pub(crate) mod load_metrics;
pub(crate) mod load_monitor;
pub(crate) mod load_policy;
pub(crate) mod load_sample;
pub(crate) mod stalled_streams;
pub(crate) mod stream_sender;

pub use self::{
    load_limits::LoadLimits,
    load_monitor::LoadMonitor,
    load_policy::{DescriptorSupply, HostLoad},
};
pub(crate) use self::{
    load_metrics::LoadMetrics,
    load_policy::LoadPolicy,
    load_sample::LoadSample,
    stalled_streams::{StalledStreams, StreamHolder},
    stream_sender::{SendEnd, StreamSender},
};
