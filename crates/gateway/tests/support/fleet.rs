use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use gateway::Settings;
use gateway::peers::{Peers, exchange_reports};
use tokio::task::spawn_local;

use super::harness::{Harness, settings};
use super::store::FakeStore;
use super::vm::FakeVm;

/// an address for peers that no other daemon of the test uses
fn free_address(number: usize) -> SocketAddr {
    let host = u8::try_from(number + 1).expect("a small number");
    let listener =
        TcpListener::bind(SocketAddr::from(([127, 78, 1, host], 0))).expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// starts a daemon that exchanges reports with the others
pub fn start_daemon(number: usize, zone: &str, store: &FakeStore) -> Harness {
    start_with(number, zone, store, settings())
}

/// starts a daemon again that was killed together with all others
pub fn restart_daemon(number: usize, zone: &str, store: &FakeStore) -> Harness {
    let settings = Settings {
        is_first_start: false,
        ..settings()
    };
    start_with(number, zone, store, settings)
}

fn start_with(number: usize, zone: &str, store: &FakeStore, settings: Settings) -> Harness {
    let settings = Settings {
        is_alone: false,
        name: format!("daemon-{number}"),
        zone: zone.to_owned(),
        peers: free_address(number),
        ..settings
    };
    let harness = Harness::with(settings, store.clone());
    let settings = &harness.shared.settings;
    let peers = Peers::new(&settings.name, &settings.zone);
    let shared = Rc::clone(&harness.shared);
    spawn_local(exchange_reports(shared, Rc::new(store.clone()), peers));
    harness
}

/// starts 14 daemons in two or three zones of up to seven, which report to each other over delegates
pub fn start_zones(first: usize, store: &FakeStore) -> Vec<Harness> {
    let start = |number| start_daemon(number, &format!("zone-{}", number / 7), store);
    (first..first + 14).map(start).collect()
}

/// waits until the daemons are ready and know the VMs
pub async fn wait_until_ready<'a>(
    daemons: &[Harness],
    vms: impl IntoIterator<Item = &'a FakeVm> + Clone,
) {
    for daemon in daemons {
        daemon
            .wait_until(|daemon| {
                let known = daemon.shared.vms.borrow();
                let mut vms = vms.clone().into_iter();
                daemon.shared.is_ready() && vms.all(|vm| known.contains_key(&vm.vm.id))
            })
            .await;
    }
}
