//! Settings of one run: the options, over the settings file, over the defaults.

mod load;

pub use load::Settings;
