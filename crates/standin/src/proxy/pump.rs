//! Forwards the bytes of one direction of a connection.
//!
//! One thread reads chunks and sets the time of arrival of each, another writes them at
//! that time, so that a delay does not limit the bandwidth.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use crossbeam::channel::{Receiver, Sender, bounded};
use macro_rules_attribute::apply;
use schema::value;

use super::connection::Connection;
use super::link::{ConnectionState, Direction, Link};
use crate::http::Stop;

/// maximum size of a chunk
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// maximum number of chunks in flight in one direction of a connection
const MAX_CHUNKS_IN_FLIGHT: usize = 64;

/// the end of a connection that sends the bytes of a direction
#[apply(value!)]
pub enum Origin {
    /// sends requests
    Client,
    /// sends responses
    Server,
}

/// one direction of a connection
#[derive(Clone, Debug)]
pub struct Pump {
    /// the connection
    pub connection: Arc<Connection>,
    /// the link it crosses
    pub link: Arc<Link>,
    /// stops it
    pub stop: Stop,
    /// the end that sends
    pub origin: Origin,
    /// direction on the link
    pub direction: Direction,
}

/// bytes in flight; empty data marks the end of the direction
struct Chunk {
    arrives_at: Instant,
    data: Vec<u8>,
}

impl Pump {
    /// forwards bytes on two new threads
    pub fn start(self) {
        let (sender, receiver) = bounded(MAX_CHUNKS_IN_FLIGHT);
        let reader = self.clone();
        thread::spawn(move || reader.read(&sender));
        thread::spawn(move || self.write(&receiver));
    }

    fn read(&self, chunks: &Sender<Chunk>) {
        let mut source = self.source();
        let mut buffer = vec![0; MAX_CHUNK_BYTES];
        loop {
            let count = source.read(&mut buffer).unwrap_or(0);
            match self
                .link
                .wait_while_blackholed(self.connection.freeze_epoch, &self.stop)
            {
                ConnectionState::Open => {}
                ConnectionState::Frozen => return,
                ConnectionState::Closed => return self.connection.close(),
            }
            let data = buffer[..count].to_vec();
            if self.is_dropped(&data) {
                return self.connection.close();
            }
            let arrives_at = self.link.schedule(self.direction, count);
            if chunks.send(Chunk { arrives_at, data }).is_err() || count == 0 {
                return;
            }
        }
    }

    /// whether to drop the data and close the connection, as the fault `lose_answers` asks
    fn is_dropped(&self, data: &[u8]) -> bool {
        match self.origin {
            Origin::Client => {
                if self.link.consume_lost_response(data) {
                    self.connection.drop_next_response();
                }
                false
            }
            Origin::Server => self.connection.drops_next_response(),
        }
    }

    fn write(&self, chunks: &Receiver<Chunk>) {
        let mut sink = self.sink();
        for chunk in chunks {
            thread::sleep(chunk.arrives_at.saturating_duration_since(Instant::now()));
            match self
                .link
                .wait_while_blackholed(self.connection.freeze_epoch, &self.stop)
            {
                ConnectionState::Open => {}
                ConnectionState::Frozen => return,
                ConnectionState::Closed => return self.connection.close(),
            }
            if chunk.data.is_empty() {
                let _ = sink.shutdown(Shutdown::Write);
                return self.finish();
            }
            if sink.write_all(&chunk.data).is_err() {
                return self.connection.close();
            }
        }
    }

    /// closes the connection at the end of a response
    fn finish(&self) {
        if self.origin == Origin::Server {
            self.connection.close();
        }
    }

    fn source(&self) -> &TcpStream {
        match self.origin {
            Origin::Client => self.connection.client(),
            Origin::Server => self.connection.server(),
        }
    }

    fn sink(&self) -> &TcpStream {
        match self.origin {
            Origin::Client => self.connection.server(),
            Origin::Server => self.connection.client(),
        }
    }
}
