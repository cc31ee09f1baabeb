//! Decisions on capacity, and the client of the cloud API.

pub mod cloud;
