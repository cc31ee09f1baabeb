//! The way from clients to a daemon, which goes silent when the daemon's machine loses power: open
//! channels hang, and nothing tells the clients.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// time for which silent connections are kept
const SILENCE: Duration = Duration::from_secs(60);

/// number of power losses so far; connections from before the last one are silent
#[derive(Clone, Default)]
pub struct Proxy(Arc<AtomicU64>);

impl Proxy {
    pub fn start(&self, from: SocketAddr, to: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(from)?;
        let this = self.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.forward(client, to));
            }
        });
        Ok(())
    }

    /// lets the open connections go silent
    pub fn lose_power(&self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }

    fn forward(&self, client: TcpStream, to: SocketAddr) -> io::Result<()> {
        let epoch = self.0.load(Ordering::SeqCst);
        let daemon = TcpStream::connect(to)?;
        client.set_nodelay(true)?;
        daemon.set_nodelay(true)?;
        let (this, from, into) = (self.clone(), client.try_clone()?, daemon.try_clone()?);
        thread::spawn(move || this.pump(epoch, from, into));
        self.pump(epoch, daemon, client);
        Ok(())
    }

    fn pump(&self, epoch: u64, mut from: TcpStream, mut into: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer);
            if self.0.load(Ordering::SeqCst) != epoch {
                thread::sleep(SILENCE);
                return;
            }
            match read {
                Ok(count) if count > 0 && into.write_all(&buffer[..count]).is_ok() => {}
                _ => {
                    // an error means that it is closed already
                    let _ = into.shutdown(Shutdown::Both);
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}
