//! Moves the bytes of one direction of a connection.
//!
//! One thread reads and stamps each piece with the time of its arrival, another
//! writes it then, so that a delay does not limit the bandwidth.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use crossbeam::channel::{Receiver, Sender, bounded};
use macro_rules_attribute::apply;
use schema::value;

use super::connection::Connection;
use super::link::{Gate, Link, Way};
use crate::http::Stop;

/// most bytes of one piece
const PIECE: usize = 16 * 1024;

/// pieces under way in one direction of a connection
const UNDER_WAY: usize = 64;

/// who sends in a direction
#[apply(value!)]
pub enum Sending {
    /// requests
    Client,
    /// answers
    Server,
}

/// one direction of a connection
#[derive(Clone, Debug)]
pub struct Pump {
    /// the connection
    pub connection: Arc<Connection>,
    /// the link it crosses
    pub link: Arc<Link>,
    /// ends it
    pub stop: Stop,
    /// who sends
    pub sending: Sending,
    /// direction on the link
    pub way: Way,
}

/// bytes under way; none of them is the end
struct Piece {
    due: Instant,
    data: Vec<u8>,
}

impl Pump {
    /// moves bytes on threads of its own
    pub fn start(self) {
        let (sender, receiver) = bounded(UNDER_WAY);
        let reader = self.clone();
        thread::spawn(move || reader.read(&sender));
        thread::spawn(move || self.write(&receiver));
    }

    fn read(&self, pieces: &Sender<Piece>) {
        let mut source = self.source();
        let mut buffer = vec![0; PIECE];
        loop {
            let count = source.read(&mut buffer).unwrap_or(0);
            match self.link.pass(self.connection.epoch, &self.stop) {
                Gate::Open => {}
                Gate::Frozen => return,
                Gate::Closed => return self.connection.close(),
            }
            let data = buffer[..count].to_vec();
            if self.is_lost(&data) {
                return self.connection.close();
            }
            let due = self.link.book(self.way, count);
            if pieces.send(Piece { due, data }).is_err() || count == 0 {
                return;
            }
        }
    }

    fn is_lost(&self, data: &[u8]) -> bool {
        match self.sending {
            Sending::Client => {
                if self.link.loses_answer(data) {
                    self.connection.lose_answer();
                }
                false
            }
            Sending::Server => self.connection.is_losing_answer(),
        }
    }

    fn write(&self, pieces: &Receiver<Piece>) {
        let mut sink = self.sink();
        for piece in pieces {
            thread::sleep(piece.due.saturating_duration_since(Instant::now()));
            match self.link.pass(self.connection.epoch, &self.stop) {
                Gate::Open => {}
                Gate::Frozen => return,
                Gate::Closed => return self.connection.close(),
            }
            if piece.data.is_empty() {
                let _ = sink.shutdown(Shutdown::Write);
                return self.end();
            }
            if sink.write_all(&piece.data).is_err() {
                return self.connection.close();
            }
        }
    }

    /// an answer's end ends the connection
    fn end(&self) {
        if self.sending == Sending::Server {
            self.connection.close();
        }
    }

    fn source(&self) -> &TcpStream {
        match self.sending {
            Sending::Client => self.connection.client(),
            Sending::Server => self.connection.server(),
        }
    }

    fn sink(&self) -> &TcpStream {
        match self.sending {
            Sending::Client => self.connection.server(),
            Sending::Server => self.connection.client(),
        }
    }
}
