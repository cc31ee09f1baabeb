//! Capacity plans with a simulated cloud, in virtual time.

mod bounds;
mod changes;
mod cloud;
mod optimum;
mod orders;
mod planner;
mod stability;
