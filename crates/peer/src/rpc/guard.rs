use std::future::Future;
use std::sync::Arc;

use http::header::AUTHORIZATION;
use jsonrpsee::core::middleware::{Batch, BatchEntry, BatchEntryErr, Notification, RpcServiceT};
use jsonrpsee::server::MethodResponse;
use jsonrpsee::types::{ErrorObject, Id, Request};
use subtle::ConstantTimeEq;

use super::Meter;

/// methods with this prefix are for operators, all others for daemons
pub const OPERATOR_PREFIX: &str = "operator_";
/// code of the error for a method that the connection's key doesn't allow
pub const UNAUTHORISED_CODE: i32 = -32040;

/// keys that give access to the control address
pub struct Keys {
    fleet: String,
    operator: String,
}

/// set of methods that a connection may call
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Daemon,
    Operator,
}

impl Keys {
    /// `fleet` is the key of daemons, `operator` that of operators
    pub fn new(fleet: &str, operator: &str) -> Keys {
        Keys {
            fleet: fleet.to_owned(),
            operator: operator.to_owned(),
        }
    }

    /// the role that the key of a request grants
    pub(crate) fn role<B>(&self, request: &http::Request<B>) -> Option<Role> {
        let header = request.headers().get(AUTHORIZATION)?;
        let presented = header.as_bytes().strip_prefix(b"Bearer ")?;
        let fleet = self.fleet.as_bytes().ct_eq(presented);
        let operator = self.operator.as_bytes().ct_eq(presented);
        if fleet.into() {
            return Some(Role::Daemon);
        }
        if operator.into() {
            return Some(Role::Operator);
        }
        None
    }
}

/// middleware that passes on only the calls that the connection's role allows
#[derive(Clone)]
pub(crate) struct Guard<S> {
    service: S,
    meter: Arc<Meter>,
}

/// wraps a service in a [`Guard`]
#[derive(Clone)]
pub(crate) struct GuardLayer {
    pub meter: Arc<Meter>,
}

impl<S> tower::Layer<S> for GuardLayer {
    type Service = Guard<S>;

    fn layer(&self, service: S) -> Guard<S> {
        Guard {
            service,
            meter: self.meter.clone(),
        }
    }
}

fn is_allowed(extensions: &http::Extensions, method: &str) -> bool {
    match extensions.get::<Role>() {
        Some(Role::Operator) => method.starts_with(OPERATOR_PREFIX),
        Some(Role::Daemon) => !method.starts_with(OPERATOR_PREFIX),
        None => false,
    }
}

fn refusal(method: &str) -> ErrorObject<'static> {
    let message = format!("The key does not allow the method {method}");
    ErrorObject::owned(UNAUTHORISED_CODE, message, None::<()>)
}

fn authorise_entry<'a>(
    entry: Result<BatchEntry<'a>, BatchEntryErr<'a>>,
) -> Result<BatchEntry<'a>, BatchEntryErr<'a>> {
    let entry = entry?;
    if is_allowed(entry.extensions(), entry.method_name()) {
        return Ok(entry);
    }
    let error = refusal(entry.method_name());
    let id = match entry {
        BatchEntry::Call(request) => request.id,
        BatchEntry::Notification(_) => Id::Null,
    };
    Err(BatchEntryErr::new(id, error))
}

impl<S> RpcServiceT for Guard<S>
where
    S: RpcServiceT<MethodResponse = MethodResponse, NotificationResponse = MethodResponse>
        + Send
        + Sync
        + Clone
        + 'static,
{
    type MethodResponse = MethodResponse;
    type NotificationResponse = MethodResponse;
    type BatchResponse = S::BatchResponse;

    fn call<'a>(&self, request: Request<'a>) -> impl Future<Output = MethodResponse> + Send + 'a {
        Meter::add(&self.meter.served, 1);
        let service = self.service.clone();
        async move {
            if !is_allowed(request.extensions(), request.method_name()) {
                let error = refusal(request.method_name());
                return MethodResponse::error(request.id, error);
            }
            service.call(request).await
        }
    }

    fn batch<'a>(&self, batch: Batch<'a>) -> impl Future<Output = S::BatchResponse> + Send + 'a {
        Meter::add(&self.meter.served, batch.len());
        let entries = batch.into_iter().map(authorise_entry).collect();
        self.service.batch(Batch::from(entries))
    }

    fn notification<'a>(
        &self,
        notification: Notification<'a>,
    ) -> impl Future<Output = MethodResponse> + Send + 'a {
        self.service.notification(notification)
    }
}
