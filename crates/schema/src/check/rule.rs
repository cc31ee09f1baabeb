//! Rules on single values.

use std::net::SocketAddr;

use url::Url;

/// maximum length of a name, bytes
pub const MAX_NAME_BYTES: usize = 63;

/// maximum number of names listed in a fault; the rest is only counted
const MAX_LISTED_NAMES: usize = 12;

/// hexadecimal digits of a SHA-256 digest
const SHA256_DIGITS: usize = 64;

/// a rule on a text
pub(super) struct Rule {
    /// whether a text satisfies the rule
    pub(super) accepts: fn(&str) -> bool,
    /// description of the accepted texts
    pub(super) allowed: &'static str,
}

pub(super) const NAME: Rule = Rule {
    accepts: is_name,
    allowed: "1 to 63 characters of a-z, 0-9 and -, with no - at either end",
};

pub(super) const OPTIONAL_NAME: Rule = Rule {
    accepts: |text| text.is_empty() || is_name(text),
    allowed: "empty, or 1 to 63 characters of a-z, 0-9 and -, with no - at either end",
};

pub(super) const MACHINE_CLASS: Rule = Rule {
    accepts: is_machine_class,
    allowed: "empty, or a machine class of the cloud: up to 63 letters, digits, dots, _ and -",
};

pub(super) const ADDRESS: Rule = Rule {
    accepts: is_address,
    allowed: "a specific IP address and a port other than 0, such as 10.0.0.7:8000 or [fd00::7]:8000",
};

pub(super) const LISTEN_ADDRESS: Rule = Rule {
    accepts: |text| text.parse::<SocketAddr>().is_ok(),
    allowed: "an IP address and a port, such as 0.0.0.0:8080",
};

pub(super) const SHA256: Rule = Rule {
    accepts: is_sha256,
    allowed: "64 hexadecimal digits, as `agateloom key new` prints them",
};

pub(super) const HTTP_METHOD: Rule = Rule {
    accepts: is_http_method,
    allowed: "an HTTP method in upper case, such as POST",
};

pub(super) const BASE_URL: Rule = Rule {
    accepts: is_base_url,
    allowed: "an http URL without a query, such as http://10.0.0.2:7000",
};

pub(super) const NON_EMPTY: Rule = Rule {
    accepts: |text| !text.trim().is_empty(),
    allowed: "a text that is not blank",
};

/// joins the allowed names, up to a limit
pub(super) fn list_names(names: &[&str]) -> String {
    if names.is_empty() {
        return "none, since none is declared".to_owned();
    }
    let shown = names[..names.len().min(MAX_LISTED_NAMES)].join(", ");
    match names.len().saturating_sub(MAX_LISTED_NAMES) {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.chars().all(is_allowed)
        && !text.starts_with('-')
        && !text.ends_with('-')
}

fn is_machine_class(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}

fn is_address(text: &str) -> bool {
    match text.parse::<SocketAddr>() {
        Ok(address) => address.port() != 0 && !address.ip().is_unspecified(),
        Err(_) => false,
    }
}

fn is_sha256(text: &str) -> bool {
    text.len() == SHA256_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit())
}

fn is_http_method(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(|c| c.is_ascii_uppercase())
}

fn is_base_url(text: &str) -> bool {
    match Url::parse(text) {
        Ok(url) => url.scheme() == "http" && url.has_host() && url.query().is_none(),
        Err(_) => false,
    }
}
