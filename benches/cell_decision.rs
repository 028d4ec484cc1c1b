//! Cost of one decision.

fn main() {}
