//! Transfer of a stream's KV cache between engines.
//!
//! The body is a line of JSON with the block hashes, then zeros up to the size that the
//! KV cache of these tokens would have.

use std::io::{self, BufRead, BufReader};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use macro_rules_attribute::apply;
use schema::engine::{Import, Imported};
use schema::message;
use web::{Request, Writer};

use super::prefix_cache::{BLOCK_WORDS, block_hashes};
use super::shared::Shared;
use super::stream::Stream;

/// bytes sent between two waits for the rate limiter
const CHUNK_BYTES: usize = 16 * 1024;

/// time limit for the connection to the source and for each read from it
const SOURCE_TIMEOUT: Duration = Duration::from_secs(10);

/// first line of the body
#[apply(message!)]
struct Header {
    blocks: Vec<u64>,
}

/// sends the KV cache of a stream
pub fn export(shared: &Arc<Shared>, stream: &Stream, request: Request) {
    let blocks = block_hashes(stream.text().split_whitespace());
    let tokens = blocks.len() * BLOCK_WORDS;
    let padding = tokens as u64 * shared.options.kv_bytes_per_token;
    let mut body = serde_json::to_vec(&Header { blocks }).unwrap_or_default();
    body.push(b'\n');
    body.resize(body.len() + padding as usize, 0);
    if let Err(error) = send(shared, request.stream(200, &[]), &body) {
        tracing::debug!(event = "export_ended", %error);
    }
}

/// sends a body within the rate limit that all exports share
fn send(shared: &Shared, mut writer: Writer, body: &[u8]) -> io::Result<()> {
    for chunk in body.chunks(CHUNK_BYTES) {
        if shared.stop.is_set() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let sent_at = shared.export_limiter.reserve(chunk.len());
        thread::sleep(sent_at.saturating_duration_since(Instant::now()));
        writer.write(chunk.to_vec())?;
    }
    writer.end()
}

/// fetches the KV cache of a stream from another engine
pub fn import(shared: &Shared, import: &Import) -> Result<Imported, String> {
    let source = import.source.trim_end_matches('/');
    let response = attohttpc::get(format!("{source}/v1/kv/{}", import.request_id))
        .connect_timeout(SOURCE_TIMEOUT)
        .read_timeout(SOURCE_TIMEOUT)
        .send()
        .and_then(attohttpc::Response::error_for_status)
        .map_err(|error| error.to_string())?;
    let mut body = BufReader::new(response);
    let mut line = Vec::new();
    body.read_until(b'\n', &mut line)
        .map_err(|error| error.to_string())?;
    let header: Header = serde_json::from_slice(&line).map_err(|error| error.to_string())?;
    let padding = io::copy(&mut body, &mut io::sink()).map_err(|error| error.to_string())?;
    let tokens = (header.blocks.len() * BLOCK_WORDS) as u32;
    if padding < u64::from(tokens) * shared.options.kv_bytes_per_token {
        return Err("the export ended early".to_owned());
    }
    shared.batch().store(&header.blocks);
    Ok(Imported {
        tokens,
        bytes: line.len() as u64 + padding,
    })
}
