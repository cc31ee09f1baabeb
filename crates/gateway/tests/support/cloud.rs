use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use gateway::adapter::{Capacity, Cloud, CloudError};
use gateway::duty::Permit;

/// a call to the cloud API
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// usage report of a window
    Usage(Permit, u64, BTreeMap<String, u64>),
    /// desired number of VMs
    Capacity(Permit, Capacity),
}

/// cloud API that records its calls
#[derive(Clone, Default)]
pub struct FakeCloud {
    calls: Rc<RefCell<Vec<Call>>>,
    responses_lost: Rc<Cell<bool>>,
}

impl FakeCloud {
    /// lets calls take effect without a response, or respond again
    pub fn set_responses_lost(&self, responses_lost: bool) {
        self.responses_lost.set(responses_lost);
    }

    /// recorded calls
    pub fn calls(&self) -> Vec<Call> {
        self.calls.borrow().clone()
    }

    fn record(&self, call: Call) -> Result<(), CloudError> {
        self.calls.borrow_mut().push(call);
        if self.responses_lost.get() {
            return Err(CloudError::Unknown("the response is lost".to_owned()));
        }
        Ok(())
    }
}

impl Cloud for FakeCloud {
    async fn report_usage(
        &self,
        permit: &Permit,
        window: u64,
        counts: &BTreeMap<String, u64>,
    ) -> Result<(), CloudError> {
        self.record(Call::Usage(permit.clone(), window, counts.clone()))
    }

    async fn set_capacity(&self, permit: &Permit, capacity: &Capacity) -> Result<(), CloudError> {
        self.record(Call::Capacity(permit.clone(), capacity.clone()))
    }
}
