//! The command line of the binary `standin`.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;

use crate::{cloud, engine, objects, plain, proxy};

/// stand-ins of the systems that agateloom meets
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(command), private)]
enum Command {
    /// a model engine
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::parser))] engine::Options),
    /// a plain service
    #[bpaf(command)]
    Plain(#[bpaf(external(plain::parser))] plain::Options),
    /// a cloud API
    #[bpaf(command)]
    Cloud(#[bpaf(external(cloud::parser))] cloud::Options),
    /// an object API
    #[bpaf(command)]
    Objects(#[bpaf(external(objects::parser))] objects::Options),
    /// a TCP proxy
    #[bpaf(command)]
    Proxy(#[bpaf(external(proxy::parser))] proxy::Options),
}

/// runs the stand-in that the command line names until it ends
pub fn run() -> ExitCode {
    match start(command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the stand-in failed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(command: Command) -> io::Result<()> {
    match command {
        Command::Engine(options) => {
            let server = engine::Server::start(options)?;
            announce(server.address())?;
            server.wait();
        }
        Command::Plain(options) => {
            let server = plain::Server::start(options)?;
            announce(server.address())?;
            server.wait();
        }
        Command::Cloud(options) => {
            let server = cloud::Server::start(options)?;
            announce(server.address())?;
            server.wait();
        }
        Command::Objects(options) => {
            let server = objects::Server::start(&options)?;
            announce(server.address())?;
            loop {
                std::thread::park();
            }
        }
        Command::Proxy(options) => {
            let server = proxy::Server::start(&options)?;
            announce(server.address())?;
            server.wait();
        }
    }
    Ok(())
}

/// prints the line that tells a parent process where the stand-in listens
fn announce(address: SocketAddr) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "listening {address}")?;
    output.flush()
}
