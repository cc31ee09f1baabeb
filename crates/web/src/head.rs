use httparse::Status;

/// most headers of a request that are parsed
pub(crate) const MAX_HEADERS: usize = 512;

/// largest request head that is buffered
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// why a request is rejected before the handler sees it
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Malformed {
    /// the bytes can't be parsed as an HTTP/1 request
    NotHttp,
    /// the head is too large or has too many headers
    TooLarge,
    /// the length of the body is invalid, or stated twice in ways that differ
    BodyLength,
}

/// result of parsing the first bytes of a request
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Head {
    Incomplete,
    /// total bytes of the request, head and body; none if the body is chunked
    Complete(Option<u64>),
    Malformed(Malformed),
}

impl Head {
    /// parses the first bytes of a request
    pub(crate) fn parse(bytes: &[u8]) -> Head {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(bytes) {
            Ok(Status::Partial) if bytes.len() > MAX_HEAD_BYTES => {
                Head::Malformed(Malformed::TooLarge)
            }
            Ok(Status::Partial) => Head::Incomplete,
            Ok(Status::Complete(head)) => match body_length(request.headers) {
                Ok(body) => Head::Complete(body.map(|body| body.saturating_add(head as u64))),
                Err(cause) => Head::Malformed(cause),
            },
            Err(httparse::Error::TooManyHeaders) => Head::Malformed(Malformed::TooLarge),
            Err(_) => Head::Malformed(Malformed::NotHttp),
        }
    }
}

/// length of the body; none if it is chunked
///
/// A body with two different lengths, or with a length and chunked encoding, is rejected to
/// prevent request smuggling: a proxy that frames the body the other way would take part of
/// it for the next request.
fn body_length(headers: &[httparse::Header<'_>]) -> Result<Option<u64>, Malformed> {
    let named = |name: &'static str| {
        headers
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
    };
    let is_chunked = named("transfer-encoding").next().is_some();
    let mut lengths = named("content-length");
    let Some(first) = lengths.next() else {
        return Ok(if is_chunked { None } else { Some(0) });
    };
    if is_chunked || lengths.any(|length| length.value != first.value) {
        return Err(Malformed::BodyLength);
    }
    let text = std::str::from_utf8(first.value).unwrap_or_default();
    match text.trim().parse() {
        Ok(length) => Ok(Some(length)),
        Err(_) => Err(Malformed::BodyLength),
    }
}
