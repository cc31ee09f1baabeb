use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Uri};
use http_body_util::{BodyExt, Full, Limited};
use route::origin::{Certainty, certainty};
use tokio::time::{Instant, sleep, timeout};

use crate::adapter::Dialect;
use crate::model::Vm;
use crate::pool::Timeouts;
use crate::shared::Shared;

/// time limit of the question to a VM: twice the round trip between regions, with a new connection
const CONDITION_TIMEOUT: Duration = Duration::from_millis(300);

/// largest stated condition
const MAX_CONDITION_BYTES: usize = 256 * 1024;

/// interval at which a stream that began on a new connection is looked at again
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl<D: Dialect> Shared<D> {
    /// how far the list of VMs tells the process behind a connection that was opened at a time
    pub(crate) fn certainty(&self, opened_at: Instant) -> Certainty {
        certainty(
            opened_at,
            self.relay.vms_confirmed_at(),
            self.clock.now(),
            self.settings.policy.drain,
        )
    }

    /// whether the process behind a connection is the one of the VM's entry; asks the VM if the list does
    /// not tell
    pub(crate) async fn is_listed_process(&self, vm: &Vm, opened_at: Instant) -> bool {
        if self.certainty(opened_at) == Certainty::Certain {
            return true;
        }
        let stated = self.ask_start(vm).await;
        if let Some(left_out) = self.permit_log("version_asked") {
            tracing::info!(
                event = "version_asked",
                vm = vm.id,
                version = vm.version,
                listed_start_ms = vm.started_at_ms,
                stated_start_ms = stated,
                list_age_ms = self.relay.vm_age().map(|age| age.as_millis() as u64),
                left_out,
            );
        }
        stated == Some(vm.started_at_ms)
    }

    /// start time that a VM states; none if it does not answer in time
    async fn ask_start(&self, vm: &Vm) -> Option<u64> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static(self.dialect.condition_path());
        let host = vm.address.to_string().parse().ok()?;
        request.headers_mut().insert(http::header::HOST, host);
        let asking = async {
            let sending = self
                .pool
                .send(vm.address, request, Timeouts::default(), || true);
            let exchange = sending.await.ok()?;
            let (head, body) = exchange.response.into_parts();
            let body = Limited::new(body, MAX_CONDITION_BYTES)
                .collect()
                .await
                .ok()?;
            exchange.connection.release();
            let condition = body.to_bytes();
            let is_success = head.status.is_success();
            is_success
                .then(|| self.dialect.started_at_ms(&condition))
                .flatten()
        };
        timeout(CONDITION_TIMEOUT, asking).await.ok().flatten()
    }
}

/// a stream whose record rests on an entry that may be older than the process
pub(crate) struct Unconfirmed {
    /// id of the stream
    pub id: u64,
    /// the VM that sent its first event, as listed then
    pub vm: Rc<Vm>,
    /// when the connection to it was opened
    pub opened_at: Instant,
}

impl Unconfirmed {
    /// waits until the list tells the process, or asks the VM; false if the process stays unknown
    pub async fn confirm<D: Dialect>(&self, shared: &Shared<D>) -> bool {
        while shared.certainty(self.opened_at) == Certainty::Pending {
            sleep(CHECK_INTERVAL).await;
        }
        // a newer entry that arrived meanwhile has made the record uncertain by itself
        shared.is_listed_process(&self.vm, self.opened_at).await
    }
}
