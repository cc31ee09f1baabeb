//! Capacity decisions against a small cloud in the same process, in virtual time.

mod bounds;
mod changes;
mod cloud;
mod optimum;
mod orders;
mod planner;
mod stability;
