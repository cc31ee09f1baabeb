//! placeholder

fn main() {}
