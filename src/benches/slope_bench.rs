//! Slopes of what each mechanism costs, each fitted over three sizes on one machine. docs/CAPACITY.md multiplies them
//! by the size to design for.

mod dispatch_slopes;
mod membership_slopes;
mod message_slopes;
mod process_usage;
mod slope_row;
mod state_slopes;

pub use self::dispatch_slopes::LoadedQueue;
pub(crate) use self::slope_row::SlopeReport;

/// Measures all slopes.
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
