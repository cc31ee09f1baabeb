//! Macros for common sets of derives, used with `macro_rules_attribute::apply`.

/// derives what a small value compared and copied around needs
#[macro_export]
macro_rules! value {
    ($item:item) => {
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $item
    };
}

/// derives what a name or another owned key needs
#[macro_export]
macro_rules! key {
    ($item:item) => {
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $item
    };
}

/// derives what owned plain data needs
#[macro_export]
macro_rules! data {
    ($item:item) => {
        #[derive(Debug, Clone, PartialEq)]
        $item
    };
}

/// derives what owned data that is sent or kept needs
#[macro_export]
macro_rules! message {
    ($item:item) => {
        #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "snake_case")]
        $item
    };
}
