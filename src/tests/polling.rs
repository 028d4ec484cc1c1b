//! Manual polling of futures, with which a test decides in which order concurrent tasks make progress.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, Waker},
};

/// A task that runs only while a test polls it.
pub(super) type PolledTask = Pin<Box<dyn Future<Output = ()>>>;

/// Polls a task once, and returns whether it has ended. Nothing wakes the task: the test decides when to poll it again.
pub(super) fn poll_once(task: &mut PolledTask) -> bool {
    task.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready()
}

/// Polls a future until it is ready, in a busy loop, and returns its output. No other task makes progress meanwhile.
pub(super) fn block_on<T>(future: impl Future<Output = T>) -> T {
    let mut future = Box::pin(future);
    let mut context = Context::from_waker(Waker::noop());

    loop {
        if let Poll::Ready(value) = future.as_mut().poll(&mut context) {
            return value;
        }
    }
}
