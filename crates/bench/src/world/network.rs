//! The lines between data centres and the platform.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use standin::proxy::{Link, Options, Server};

use super::builder::Builder;

/// lines to the platform, one for each data centre, with their proxies
///
/// Data centres of other regions than the platform's share one line.
#[derive(Debug)]
pub struct Network {
    lines: BTreeMap<String, Line>,
}

#[derive(Debug)]
struct Line {
    link: Arc<Link>,
    objects: Server,
    cloud: Server,
}

impl Network {
    /// puts proxies between each data centre and the platform
    pub(super) fn start(
        plan: &Builder,
        objects: SocketAddr,
        cloud: SocketAddr,
    ) -> io::Result<Self> {
        let far = Arc::new(Link::new(plan.region_delay, plan.region_bandwidth));
        let platform = plan.region_of_platform();
        let mut lines = BTreeMap::new();
        for centre in &plan.centres {
            let link = match centre.region == platform {
                true => Arc::new(Link::new(Duration::ZERO, 0)),
                false => Arc::clone(&far),
            };
            let objects = Server::start_on_link(&to(objects), &link)?;
            let cloud = Server::start_on_link(&to(cloud), &link)?;
            lines.insert(
                centre.name.clone(),
                Line {
                    link,
                    objects,
                    cloud,
                },
            );
        }
        Ok(Self { lines })
    }

    /// the line between a data centre and the platform
    pub fn platform_link(&self, centre: &str) -> &Arc<Link> {
        &self.lines[centre].link
    }

    /// address of the object API as a data centre sees it
    pub fn objects(&self, centre: &str) -> SocketAddr {
        self.lines[centre].objects.address()
    }

    /// address of the cloud API as a data centre sees it
    pub fn cloud(&self, centre: &str) -> SocketAddr {
        self.lines[centre].cloud.address()
    }
}

fn to(address: SocketAddr) -> Options {
    Options::builder().to(address.to_string()).build()
}
