//! The command line of the binary `standin`.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;

use crate::{cloud, engine, objects, plain, proxy};

/// simulated versions of the systems that agateloom works with
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(command), private)]
enum Command {
    /// a model inference engine
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::parser))] engine::Options),
    /// a plain HTTP service
    #[bpaf(command)]
    Plain(#[bpaf(external(plain::parser))] plain::Options),
    /// a cloud provider API
    #[bpaf(command)]
    Cloud(#[bpaf(external(cloud::parser))] cloud::Options),
    /// an object API in the style of Kubernetes
    #[bpaf(command)]
    Objects(#[bpaf(external(objects::parser))] objects::Options),
    /// a TCP proxy that injects faults
    #[bpaf(command)]
    Proxy(#[bpaf(external(proxy::parser))] proxy::Options),
}

/// runs the stand-in that the command line names until it stops
pub fn run() -> ExitCode {
    match serve(command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("failed to run the stand-in: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(command: Command) -> io::Result<()> {
    match command {
        Command::Engine(options) => {
            let server = engine::Server::start(options)?;
            print_address(server.address())?;
            server.wait();
        }
        Command::Plain(options) => {
            let server = plain::Server::start(options)?;
            print_address(server.address())?;
            server.wait();
        }
        Command::Cloud(options) => {
            let server = cloud::Server::start(options)?;
            print_address(server.address())?;
            server.wait();
        }
        Command::Objects(options) => {
            let server = objects::Server::start(&options)?;
            print_address(server.address())?;
            loop {
                std::thread::park();
            }
        }
        Command::Proxy(options) => {
            let server = proxy::Server::start(&options)?;
            print_address(server.address())?;
            server.wait();
        }
    }
    Ok(())
}

/// prints `listening ADDRESS`, from which a parent process learns the address
fn print_address(address: SocketAddr) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "listening {address}")?;
    output.flush()
}
