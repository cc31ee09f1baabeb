//! Orders of VMs during a roll-out.

use std::collections::HashMap;
use std::time::Duration;

use gateway::model::{Config, Scaling};
use tokio::time::sleep;

use super::LONG_DURATION;
use super::fleet::Fleet;
use super::support::{Call, FakeCloud, config, run};

/// the default configuration, whose VMs the daemons order
fn scaled_config() -> Config {
    let mut config = config(2);
    let service = config.services.get_mut("desk").expect("the service");
    let zones = ["a", "b", "c", "d"];
    service.scaling = Some(Scaling {
        min: 1,
        max: 10,
        boot: Duration::from_secs(2),
        reclaimable_price: None,
        zone_prices: zones.map(|zone| (zone.to_owned(), 1.0)).into(),
    });
    config
}

/// numbers of VMs that were ordered, by zone
fn orders(cloud: &FakeCloud) -> Vec<(String, u32)> {
    let calls = cloud.calls().into_iter();
    let orders = calls.filter_map(|call| match call {
        Call::Capacity(_, capacity) => Some((capacity.zone, capacity.count)),
        Call::Usage(..) => None,
    });
    orders.collect()
}

/// guards against a planner that takes the VMs of the new version for idle capacity and orders fewer
#[test]
fn vms_of_the_new_version_are_no_idle_capacity() {
    run(async {
        let mut fleet = Fleet::start(1).await;
        fleet.store.configure(scaled_config);
        let cloud = FakeCloud::default();
        fleet.daemons[0].order_capacity(&cloud);
        fleet.request(LONG_DURATION).await;
        fleet
            .wait_for_state("in_progress", Duration::from_secs(3))
            .await;
        // VMs count as registered after 4 s
        sleep(Duration::from_secs(6)).await;
        assert_eq!(fleet.store.rollout_state().as_deref(), Some("in_progress"));
        let mut live: HashMap<String, u32> = HashMap::new();
        for vm in fleet.old.iter().chain(&fleet.new) {
            *live.entry(vm.vm.zone.clone()).or_default() += 1;
        }
        for (zone, count) in orders(&cloud) {
            assert!(count >= live[&zone], "{count} of {} in {zone}", live[&zone]);
        }
    });
}
