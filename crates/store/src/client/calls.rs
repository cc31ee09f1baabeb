//! Reads, writes and watches of typed objects.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use attohttpc::Method;
use schema::Entries;
use schema::objects::{Document, ListMetadata, Status};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::object::{List, Object, Spec, parse_version};
use super::transport::{BufferedResponse, Request, Timeouts, Transport};
use super::watch::Watch;
use crate::error::Error;
use crate::retry::RetryBudget;

const JSON: &str = "application/json";
const MERGE_PATCH: &str = "application/merge-patch+json";
const METADATA_ONLY: &str =
    "application/json;as=PartialObjectMetadata;g=meta.k8s.io;v=v1,application/json";
const NAMESPACE: &str = "agateloom";
/// time a watch may stay open beyond its requested duration
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// maximum size of an object as sent
pub(crate) const MAX_OBJECT_BYTES: usize = 1 << 20;

/// objects of a kind, as far as they can be decoded
#[derive(Deserialize)]
struct ListDocument {
    metadata: ListMetadata,
    items: Entries<Document>,
}

/// client of the object API; clones share the retry budget
#[derive(Debug, Clone)]
pub struct Client {
    base: String,
    transport: Transport,
    retry_budget: Arc<RetryBudget>,
}

impl Client {
    /// a client of `http://address[/prefix]`; sends no token if it is empty
    pub fn new(base_url: &str, token: &str) -> Self {
        let base = base_url.trim_end_matches('/');
        Client {
            base: format!("{base}/apis/agateloom.dev/v1/namespaces/{NAMESPACE}"),
            transport: Transport {
                token: token.to_owned(),
                timeouts: Timeouts::default(),
            },
            retry_budget: Arc::new(RetryBudget::default()),
        }
    }

    /// sets the time limits of calls
    pub fn timeouts(mut self, timeouts: Timeouts) -> Self {
        self.transport.timeouts = timeouts;
        self
    }

    /// retry budget of all calls
    pub fn retry_budget(&self) -> &RetryBudget {
        &self.retry_budget
    }

    /// reads an object; `None` if there is none of this name
    ///
    /// # Errors
    /// When the call fails.
    pub fn get<T: Spec>(&self, name: &str) -> Result<Option<Object<T>>, Error> {
        let result = self.read(&self.object_url::<T>(name), JSON);
        let document: Document = match result {
            Ok(document) => document,
            Err(Error::NotFound) => return Ok(None),
            Err(error) => return Err(error),
        };
        Object::from_document(document).map(Some)
    }

    /// reads an object's annotations without its spec; `None` if there is no such object
    ///
    /// # Errors
    /// When the call fails.
    pub fn annotations<T: Spec>(
        &self,
        name: &str,
    ) -> Result<Option<HashMap<String, String>>, Error> {
        match self.read::<Document>(&self.object_url::<T>(name), METADATA_ONLY) {
            Ok(document) => Ok(Some(document.metadata.annotations)),
            Err(Error::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// reads all objects of a kind, without those that can't be decoded
    ///
    /// # Errors
    /// When the call fails.
    pub fn list<T: Spec>(&self) -> Result<List<T>, Error> {
        let list: ListDocument = self.read(&self.kind_url::<T>(), JSON)?;
        let mut items = Vec::with_capacity(list.items.readable.len());
        for cause in &list.items.errors {
            tracing::warn!(event = "entry_unreadable", list = T::PLURAL, cause);
        }
        for document in list.items.readable {
            let name = document.metadata.name.clone();
            match Object::from_document(document) {
                Ok(object) => items.push(object),
                Err(cause) => {
                    tracing::warn!(event = "entry_unreadable", list = T::PLURAL, name, %cause);
                }
            }
        }
        Ok(List {
            version: parse_version(Some(&list.metadata.resource_version))?,
            items,
        })
    }

    /// creates an object; returns its version
    ///
    /// # Errors
    /// [`Error::AlreadyExists`] when there is one of this name; else when the call fails.
    pub fn create<T: Spec>(&self, object: &Object<T>) -> Result<u64, Error> {
        let mut document = object.to_document()?;
        document.metadata.resource_version = None;
        let body = encode(&document)?;
        let created = self.change(Method::POST, &self.kind_url::<T>(), body, JSON);
        match created {
            Err(Error::Conflict) => Err(Error::AlreadyExists),
            other => other,
        }
    }

    /// replaces an object if it still has the version it was read with; returns the new version
    ///
    /// # Errors
    /// [`Error::Conflict`] when it has another version; else when the call fails.
    pub fn update<T: Spec>(&self, object: &Object<T>) -> Result<u64, Error> {
        let body = encode(&object.to_document()?)?;
        let url = self.object_url::<T>(&object.name);
        self.change(Method::PUT, &url, body, JSON)
    }

    /// applies a JSON merge patch to an object's spec if it still has the version `base`;
    /// returns the new version
    ///
    /// # Errors
    /// [`Error::Conflict`] when it has another version; else when the call fails.
    pub fn merge_patch<T: Spec>(&self, name: &str, base: u64, spec: &Value) -> Result<u64, Error> {
        let patch = json!({"metadata": {"resourceVersion": base.to_string()}, "spec": spec});
        let url = self.object_url::<T>(name);
        self.change(Method::PATCH, &url, encode(&patch)?, MERGE_PATCH)
    }

    /// removes an object; if a version is given, only if the object still has it
    ///
    /// # Errors
    /// [`Error::NotFound`], [`Error::Conflict`], or when the call fails.
    pub fn delete<T: Spec>(&self, name: &str, version: Option<u64>) -> Result<(), Error> {
        let options = match version {
            Some(version) => json!({"preconditions": {"resourceVersion": version.to_string()}}),
            None => json!({}),
        };
        let url = self.object_url::<T>(name);
        let removed = self.change(Method::DELETE, &url, encode(&options)?, JSON);
        removed.map(drop)
    }

    /// watches one object for changes after the version `from`, for `time` at most; counts
    /// as one open watch at the store
    ///
    /// # Errors
    /// [`Error::VersionExpired`] when the store no longer has the changes since `from`; else
    /// when the call fails.
    pub fn watch<T: Spec>(&self, name: &str, from: u64, time: Duration) -> Result<Watch<T>, Error> {
        let url = format!(
            "{}?watch=true&allowWatchBookmarks=true&fieldSelector=metadata.name%3D{name}\
             &resourceVersion={from}&timeoutSeconds={}",
            self.kind_url::<T>(),
            time.as_secs().max(1),
        );
        let request = Request {
            method: Method::GET,
            url: &url,
            body: Vec::new(),
            content_type: JSON,
            accept: JSON,
        };
        let response = self.transport.send(request, time + WATCH_GRACE);
        let response = response.map_err(Error::into_read_error)?;
        let code = response.status().as_u16();
        if code == 200 {
            return Ok(Watch::new(response));
        }
        let body = response.bytes().unwrap_or_default();
        Err(status_error(&BufferedResponse { code, body }).into_read_error())
    }

    fn kind_url<T: Spec>(&self) -> String {
        format!("{}/{}", self.base, T::PLURAL)
    }

    fn object_url<T: Spec>(&self, name: &str) -> String {
        format!("{}/{}/{name}", self.base, T::PLURAL)
    }

    fn read<R: DeserializeOwned>(&self, url: &str, accept: &'static str) -> Result<R, Error> {
        let response = self.transport.call(Request {
            method: Method::GET,
            url,
            body: Vec::new(),
            content_type: JSON,
            accept,
        });
        let decoded = response.and_then(|response| decode(&response));
        decoded.map_err(Error::into_read_error)
    }

    fn change(
        &self,
        method: Method,
        url: &str,
        body: Vec<u8>,
        content_type: &'static str,
    ) -> Result<u64, Error> {
        if body.len() > MAX_OBJECT_BYTES {
            return Err(Error::TooLarge(body.len()));
        }
        let response = self.transport.call(Request {
            method,
            url,
            body,
            content_type,
            accept: METADATA_ONLY,
        })?;
        let unreadable = |error: Error| match error {
            Error::Malformed(cause) => Error::InvalidResponse(cause),
            other => other,
        };
        let document: Document = decode(&response).map_err(unreadable)?;
        parse_version(document.metadata.resource_version.as_deref()).map_err(unreadable)
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|error| Error::Rejected {
        code: 0,
        message: error.to_string(),
    })
}

fn decode<T: DeserializeOwned>(response: &BufferedResponse) -> Result<T, Error> {
    if !(200..300).contains(&response.code) {
        return Err(status_error(response));
    }
    serde_json::from_slice(&response.body).map_err(|error| Error::Malformed(error.to_string()))
}

fn status_error(response: &BufferedResponse) -> Error {
    let status: Option<Status> = serde_json::from_slice(&response.body).ok();
    let message = status.map_or_else(String::new, |status| status.message);
    let code = response.code;
    match code {
        404 => Error::NotFound,
        409 => Error::Conflict,
        410 => Error::VersionExpired,
        413 => Error::TooLarge(0),
        429 => Error::Overloaded,
        400..500 => Error::Rejected { code, message },
        _ => Error::ServerError { code, message },
    }
}
