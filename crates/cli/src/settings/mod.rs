//! Settings of one run. Options override the settings file, which overrides the defaults.

mod load;

pub use load::Settings;
