//! Macros that derive common sets of traits, used with `macro_rules_attribute::apply`.

/// derives the traits of a small value that is copied, compared and hashed
#[macro_export]
macro_rules! value {
    ($item:item) => {
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $item
    };
}

/// derives the traits of an owned value that serves as a map key, such as a name
#[macro_export]
macro_rules! key {
    ($item:item) => {
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $item
    };
}

/// derives the traits of owned data
#[macro_export]
macro_rules! data {
    ($item:item) => {
        #[derive(Debug, Clone, PartialEq)]
        $item
    };
}

/// derives the traits of owned data that is sent or stored, with names in snake case
#[macro_export]
macro_rules! message {
    ($item:item) => {
        #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "snake_case")]
        $item
    };
}
