//! Stand-ins for the cases of the second review, and the harness that starts daemons and servers.
//!
//! `rig server ...` is an upstream server; every other verb is a case, which plays the platform's
//! store, the cloud API and the clients itself and starts servers and daemons as processes. Only the
//! standard library is used.

mod case;
mod client;
mod http;
mod json;
mod proxy;
mod server;
mod store;
mod world;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let verb = args.first().map(String::as_str).unwrap_or_default();
    if verb == "server" {
        server::run(&args[1..]);
    }
    exit(match case::play(verb) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            2
        }
    });
}
