//! Rules for single values.

use std::net::SocketAddr;

use url::Url;

/// longest name, bytes
pub const MAX_NAME: usize = 63;

/// names shown in a fault before the rest is left out
const SHOWN_NAMES: usize = 12;

/// hexadecimal digits of a SHA-256
const DIGEST_DIGITS: usize = 64;

/// a rule on a text
pub(super) struct Rule {
    /// whether a text keeps it
    pub(super) holds: fn(&str) -> bool,
    /// the rule for people
    pub(super) allowed: &'static str,
}

pub(super) const NAME: Rule = Rule {
    holds: is_name,
    allowed: "1 to 63 of a-z, 0-9 and -, with no - at either end",
};

pub(super) const NAME_OR_NONE: Rule = Rule {
    holds: |text| text.is_empty() || is_name(text),
    allowed: "nothing, or 1 to 63 of a-z, 0-9 and -, with no - at either end",
};

pub(super) const CLASS: Rule = Rule {
    holds: is_class,
    allowed: "nothing, or up to 63 letters, digits, dots, _ and -, as the cloud names its classes",
};

pub(super) const ADDRESS: Rule = Rule {
    holds: is_address,
    allowed: "an IP number and a port, such as 10.0.0.7:8000 or [fd00::7]:8000",
};

pub(super) const LISTEN: Rule = Rule {
    holds: |text| text.parse::<SocketAddr>().is_ok(),
    allowed: "an IP number and a port, such as 0.0.0.0:8080",
};

pub(super) const DIGEST: Rule = Rule {
    holds: is_digest,
    allowed: "64 hexadecimal digits, as `agateloom key new` prints them",
};

pub(super) const METHOD: Rule = Rule {
    holds: is_method,
    allowed: "an HTTP method in capitals, such as POST",
};

pub(super) const BASE_URL: Rule = Rule {
    holds: is_base_url,
    allowed: "a URL such as http://10.0.0.2:7000, with no query",
};

pub(super) const FILLED: Rule = Rule {
    holds: |text| !text.trim().is_empty(),
    allowed: "a text that is not empty",
};

/// the names that may stand somewhere, shortened
pub(super) fn list(names: &[&str]) -> String {
    if names.is_empty() {
        return "none, for none is declared".to_owned();
    }
    let shown = names[..names.len().min(SHOWN_NAMES)].join(", ");
    match names.len().saturating_sub(SHOWN_NAMES) {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}

fn is_name(text: &str) -> bool {
    let inner = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !text.is_empty()
        && text.len() <= MAX_NAME
        && text.chars().all(inner)
        && !text.starts_with('-')
        && !text.ends_with('-')
}

fn is_class(text: &str) -> bool {
    let inner = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    text.len() <= MAX_NAME && text.chars().all(inner)
}

fn is_address(text: &str) -> bool {
    match text.parse::<SocketAddr>() {
        Ok(address) => address.port() != 0 && !address.ip().is_unspecified(),
        Err(_) => false,
    }
}

fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit())
}

fn is_method(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME && text.chars().all(|c| c.is_ascii_uppercase())
}

fn is_base_url(text: &str) -> bool {
    match Url::parse(text) {
        Ok(url) => url.scheme() == "http" && url.has_host() && url.query().is_none(),
        Err(_) => false,
    }
}
