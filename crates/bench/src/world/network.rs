//! Simulated network between data centres and the platform.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use standin::proxy::{Link, Options, Server};

use super::builder::Builder;

/// proxies between each data centre and the platform
///
/// A data centre in the platform's region has a link of its own, without delay; those of
/// other regions share one link.
#[derive(Debug)]
pub struct Network {
    routes: BTreeMap<String, Route>,
}

#[derive(Debug)]
struct Route {
    link: Arc<Link>,
    objects: Server,
    cloud: Server,
}

impl Network {
    /// puts proxies between each data centre and the platform
    pub(super) fn start(
        builder: &Builder,
        objects: SocketAddr,
        cloud: SocketAddr,
    ) -> io::Result<Self> {
        let region_link = Arc::new(Link::new(builder.region_delay, builder.region_bandwidth));
        let platform_region = builder.platform_region_name();
        let mut routes = BTreeMap::new();
        for centre in &builder.data_centres {
            let link = match centre.region == platform_region {
                true => Arc::new(Link::new(Duration::ZERO, 0)),
                false => Arc::clone(&region_link),
            };
            let objects = Server::start_on_link(&proxy_to(objects), &link)?;
            let cloud = Server::start_on_link(&proxy_to(cloud), &link)?;
            routes.insert(
                centre.name.clone(),
                Route {
                    link,
                    objects,
                    cloud,
                },
            );
        }
        Ok(Self { routes })
    }

    /// link between a data centre and the platform
    pub fn platform_link(&self, centre: &str) -> &Arc<Link> {
        &self.routes[centre].link
    }

    /// address at which a data centre reaches the object API
    pub fn objects(&self, centre: &str) -> SocketAddr {
        self.routes[centre].objects.address()
    }

    /// address at which a data centre reaches the cloud API
    pub fn cloud(&self, centre: &str) -> SocketAddr {
        self.routes[centre].cloud.address()
    }
}

fn proxy_to(address: SocketAddr) -> Options {
    Options::builder().to(address.to_string()).build()
}
