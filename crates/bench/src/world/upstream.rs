//! Upstream VMs: engines and plain services in processes of their own.

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

/// longest wait for a stand-in to listen
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// longest wait for a control's answer
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// what a stand-in prints before its address
const LISTENING: &str = "listening ";

/// a stand-in process of an upstream VM
#[derive(Debug)]
pub struct Machine {
    /// name of the VM
    pub vm: String,
    /// data centre of the VM
    pub data_centre: String,
    /// service that it serves
    pub service: String,
    /// where it listens
    pub address: SocketAddr,
    /// its process
    pub child: Child,
    proxy: Option<proxy::Server>,
}

/// an engine on a VM
#[derive(Debug)]
pub struct Engine {
    /// its VM
    pub machine: Machine,
}

/// a plain service on a VM
#[derive(Debug)]
pub struct Plain {
    /// its VM
    pub machine: Machine,
}

/// names of a VM
#[derive(Clone, Debug)]
pub struct Names {
    /// name of the VM
    pub vm: String,
    /// data centre of the VM
    pub data_centre: String,
    /// service that it serves
    pub service: String,
}

impl Machine {
    /// starts `standin ARGUMENTS` and waits for its address
    pub(super) fn start(
        names: Names,
        arguments: &[String],
        folder: &Path,
        with_proxy: bool,
    ) -> io::Result<Self> {
        let mut command: Command = Program::Standin.command()?;
        command.args(arguments);
        let child = Child::spawn(command, &names.vm, folder)?;
        let address = poll_until(START_TIMEOUT, || listening(&child));
        let address = address.ok_or_else(|| io::Error::other(child.tail()))?;
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

    /// address that daemons use
    pub fn public_address(&self) -> SocketAddr {
        self.proxy
            .as_ref()
            .map_or(self.address, proxy::Server::address)
    }

    /// the line in front of it, if the world has proxies there
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
    /// everything it ran
    pub fn record(&self) -> Result<Vec<Run>, attohttpc::Error> {
        self.machine.fetch("/control/record")
    }

    /// replaces its faults
    pub fn set_faults(&self, faults: &Faults) -> Result<(), attohttpc::Error> {
        self.machine.post("/control/faults", faults)
    }

    /// tells it alone of a reclaim, not the cloud; it dies after `seconds`
    pub fn notice(&self, seconds: f64) -> Result<(), attohttpc::Error> {
        self.machine.post("/control/notice", &Notice { seconds })
    }
}

impl Plain {
    /// every call that it ran
    pub fn record(&self) -> Result<Vec<Execution>, attohttpc::Error> {
        self.machine.fetch("/control/record")
    }

    /// replaces its faults
    pub fn set_faults(&self, faults: &plain::Faults) -> Result<(), attohttpc::Error> {
        self.machine.post("/control/faults", faults)
    }
}

/// the address that a stand-in printed
fn listening(child: &Child) -> Option<SocketAddr> {
    let log = child.log();
    let line = log.lines().find_map(|line| line.strip_prefix(LISTENING))?;
    line.parse().ok()
}
