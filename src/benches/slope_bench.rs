//! Cost of each mechanism as a linear function of size, fitted to measurements at three sizes on one machine.
//! docs/CAPACITY.md multiplies the slopes by the sizes to plan for.

mod dispatch_slopes;
mod linear_fit;
mod membership_slopes;
mod message_slopes;
mod process_usage;
mod state_slopes;

pub use self::dispatch_slopes::LoadedQueue;
pub(crate) use self::linear_fit::SlopeReport;

/// Measures all slopes. `progress` receives the name of each group before it is measured.
pub(crate) fn measure_slopes(progress: impl Fn(&str)) -> SlopeReport {
    let mut report = SlopeReport::default();
    progress("messages");
    report.rows.extend(message_slopes::measure());
    progress("state");
    report.rows.extend(state_slopes::measure());
    progress("dispatch");
    report.rows.extend(dispatch_slopes::measure());
    progress("membership");
    report.rows.extend(membership_slopes::measure());
    report
}
