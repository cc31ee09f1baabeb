//! Upstream VMs: engines and plain services that run as child processes.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

use attohttpc::RequestBuilder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use standin::engine::{Faults, Notice, Run};
use standin::plain::{self, Execution};
use standin::proxy::{self, Link};

use crate::poll_until;
use crate::process::{Child, Program};

/// time limit for a stand-in to print its address
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// time limit of a call to the control API of a stand-in
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// text before the address in the output of a stand-in
const ADDRESS_PREFIX: &str = "listening ";

/// an upstream VM, simulated by a stand-in process
#[derive(Debug)]
pub struct Machine {
    /// name of the VM
    pub vm: String,
    /// data centre of the VM
    pub data_centre: String,
    /// service that the VM runs
    pub service: String,
    /// address of the stand-in itself
    pub address: SocketAddr,
    /// stand-in process
    pub child: Child,
    proxy: Option<proxy::Server>,
}

/// an engine of a model service
#[derive(Debug)]
pub struct Engine {
    /// VM of the engine
    pub machine: Machine,
}

/// an instance of a plain service
#[derive(Debug)]
pub struct PlainService {
    /// VM of the instance
    pub machine: Machine,
}

/// name, location and service of a VM
#[derive(Clone, Debug)]
pub struct Names {
    /// name of the VM
    pub vm: String,
    /// data centre of the VM
    pub data_centre: String,
    /// service that the VM runs
    pub service: String,
}

impl Machine {
    /// starts `standin ARGUMENTS` and waits until it has printed its address
    pub(super) fn start(
        names: Names,
        arguments: &[String],
        folder: &Path,
        with_proxy: bool,
    ) -> io::Result<Self> {
        let mut command: Command = Program::Standin.command()?;
        command.args(arguments);
        let child = Child::spawn(command, &names.vm, folder)?;
        let address = poll_until(START_TIMEOUT, || printed_address(&child));
        let address = address.ok_or_else(|| {
            io::Error::other(format!(
                "{} printed no address within {START_TIMEOUT:?}:\n{}",
                names.vm,
                child.log_tail()
            ))
        })?;
        let options = proxy::Options::builder().to(address.to_string()).build();
        let proxy = with_proxy
            .then(|| proxy::Server::start(&options))
            .transpose()?;
        let Names {
            vm,
            data_centre,
            service,
        } = names;
        Ok(Self {
            vm,
            data_centre,
            service,
            address,
            child,
            proxy,
        })
    }

    /// address at which daemons reach the VM: the proxy's, if there is one
    pub fn public_address(&self) -> SocketAddr {
        self.proxy
            .as_ref()
            .map_or(self.address, proxy::Server::address)
    }

    /// link of the proxy in front of the VM, if the world has such proxies
    pub fn link(&self) -> Option<&Arc<Link>> {
        self.proxy.as_ref().map(proxy::Server::link)
    }

    fn fetch<T: DeserializeOwned>(&self, path: &str) -> Result<T, attohttpc::Error> {
        let request = attohttpc::get(format!("http://{}{path}", self.address));
        request
            .timeout(CONTROL_TIMEOUT)
            .send()?
            .error_for_status()?
            .json()
    }

    fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<(), attohttpc::Error> {
        let request = attohttpc::post(format!("http://{}{path}", self.address));
        let request = request.timeout(CONTROL_TIMEOUT).json(body);
        request
            .and_then(RequestBuilder::send)?
            .error_for_status()
            .map(drop)
    }
}

impl Engine {
    /// all requests that the engine ran
    pub fn record(&self) -> Result<Vec<Run>, attohttpc::Error> {
        self.machine.fetch("/control/record")
    }

    /// replaces the injected faults
    pub fn set_faults(&self, faults: &Faults) -> Result<(), attohttpc::Error> {
        self.machine.post("/control/faults", faults)
    }

    /// sends a preemption notice to the engine but not to the cloud; it exits after `seconds`
    pub fn notice(&self, seconds: f64) -> Result<(), attohttpc::Error> {
        self.machine.post("/control/notice", &Notice { seconds })
    }
}

impl PlainService {
    /// all calls that the service ran
    pub fn record(&self) -> Result<Vec<Execution>, attohttpc::Error> {
        self.machine.fetch("/control/record")
    }

    /// replaces the injected faults
    pub fn set_faults(&self, faults: &plain::Faults) -> Result<(), attohttpc::Error> {
        self.machine.post("/control/faults", faults)
    }
}

/// address that a stand-in has printed
fn printed_address(child: &Child) -> Option<SocketAddr> {
    let log = child.log();
    let line = log
        .lines()
        .find_map(|line| line.strip_prefix(ADDRESS_PREFIX))?;
    line.parse().ok()
}
