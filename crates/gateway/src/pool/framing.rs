use std::fmt;

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use macro_rules_attribute::apply;
use schema::value;

/// how the end of a response's body is marked (RFC 9112, section 6.3)
#[apply(value!)]
pub enum Framing {
    /// `Content-Length`
    Length,
    /// the last chunk of a chunked body
    Chunked,
    /// the end of the connection, which a crash of the sender causes as well
    Close,
}

impl Framing {
    /// framing that the headers of a response declare
    pub fn of(headers: &HeaderMap) -> Framing {
        let last_coding = headers
            .get_all(TRANSFER_ENCODING)
            .iter()
            .next_back()
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.rsplit(',').next());
        match last_coding {
            Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Framing::Chunked,
            Some(_) => Framing::Close,
            None if headers.contains_key(CONTENT_LENGTH) => Framing::Length,
            None => Framing::Close,
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Close => "close",
        })
    }
}
