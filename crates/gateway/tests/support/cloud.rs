use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use gateway::duty::Permit;
use gateway::seam::{Cloud, CloudFault, Order};

/// a call that came
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// a usage report: window and counts
    Usage(Permit, u64, BTreeMap<String, u64>),
    /// an order
    Order(Permit, Order),
}

/// a cloud API that notes its calls
#[derive(Clone, Default)]
pub struct Cloudlet {
    calls: Rc<RefCell<Vec<Call>>>,
    lost: Rc<Cell<bool>>,
}

impl Cloudlet {
    /// makes calls take effect without an answer, or be answered again
    pub fn set_lost(&self, lost: bool) {
        self.lost.set(lost);
    }

    /// the calls that came
    pub fn calls(&self) -> Vec<Call> {
        self.calls.borrow().clone()
    }

    fn take(&self, call: Call) -> Result<(), CloudFault> {
        self.calls.borrow_mut().push(call);
        if self.lost.get() {
            return Err(CloudFault::Unknown("the answer is lost".to_owned()));
        }
        Ok(())
    }
}

impl Cloud for Cloudlet {
    async fn report_usage(
        &self,
        permit: &Permit,
        window: u64,
        counts: &BTreeMap<String, u64>,
    ) -> Result<(), CloudFault> {
        self.take(Call::Usage(permit.clone(), window, counts.clone()))
    }

    async fn order(&self, permit: &Permit, order: &Order) -> Result<(), CloudFault> {
        self.take(Call::Order(permit.clone(), order.clone()))
    }
}
