//! Futures that a test polls by hand, so that it decides what happens between two steps.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, Waker},
};

/// A task of one party.
pub(super) type PolledTask = Pin<Box<dyn Future<Output = ()>>>;

/// Takes a task one step further, and tells whether it has ended.
pub(super) fn poll_once(task: &mut PolledTask) -> bool {
    task.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready()
}

/// Runs a future to its end, with nothing in between.
pub(super) fn block_on<T>(future: impl Future<Output = T>) -> T {
    let mut future = Box::pin(future);
    let mut context = Context::from_waker(Waker::noop());

    loop {
        if let Poll::Ready(value) = future.as_mut().poll(&mut context) {
            return value;
        }
    }
}
