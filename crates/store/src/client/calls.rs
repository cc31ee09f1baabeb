//! The calls, by kind of object.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use attohttpc::Method;
use schema::objects::{Document, List as ListDocument, Status};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::object::{List, Object, Spec, version};
use super::transport::{Answer, Call, Limits, Transport};
use super::watch::Watch;
use crate::error::Error;
use crate::retry::Budget;

const JSON: &str = "application/json";
const MERGE_PATCH: &str = "application/merge-patch+json";
const METADATA_ONLY: &str =
    "application/json;as=PartialObjectMetadata;g=meta.k8s.io;v=v1,application/json";
const NAMESPACE: &str = "agateloom";
/// time a watch call may take beyond the time it asks for
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// most bytes of an object, as sent
pub(crate) const MAX_OBJECT_BYTES: usize = 1 << 20;

/// client of the object API; cheap to clone
#[derive(Debug, Clone)]
pub struct Client {
    base: String,
    transport: Transport,
    budget: Arc<Budget>,
}

impl Client {
    /// a client of `http://address[/prefix]`; an empty token sends none
    pub fn new(base_url: &str, token: &str) -> Self {
        let base = base_url.trim_end_matches('/');
        Client {
            base: format!("{base}/apis/agateloom.dev/v1/namespaces/{NAMESPACE}"),
            transport: Transport {
                token: token.to_owned(),
                limits: Limits::default(),
            },
            budget: Arc::new(Budget::default()),
        }
    }

    /// sets the time limits of calls
    pub fn limits(mut self, limits: Limits) -> Self {
        self.transport.limits = limits;
        self
    }

    /// what repeats of failed calls draw from
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// reads an object
    ///
    /// # Errors
    /// When the call fails; an object that isn't there is `None`.
    pub fn get<T: Spec>(&self, name: &str) -> Result<Option<Object<T>>, Error> {
        let answer = self.read(&self.object_url::<T>(name), JSON);
        let document: Document = match answer {
            Ok(document) => document,
            Err(Error::Missing) => return Ok(None),
            Err(error) => return Err(error),
        };
        Object::from_document(document).map(Some)
    }

    /// reads an object's annotations without its spec
    ///
    /// # Errors
    /// When the call fails; an object that isn't there is `None`.
    pub fn annotations<T: Spec>(
        &self,
        name: &str,
    ) -> Result<Option<HashMap<String, String>>, Error> {
        match self.read::<Document>(&self.object_url::<T>(name), METADATA_ONLY) {
            Ok(document) => Ok(Some(document.metadata.annotations)),
            Err(Error::Missing) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// reads all objects of a kind
    ///
    /// # Errors
    /// When the call fails.
    pub fn list<T: Spec>(&self) -> Result<List<T>, Error> {
        let list: ListDocument = self.read(&self.kind_url::<T>(), JSON)?;
        let mut items = Vec::with_capacity(list.items.len());
        for document in list.items {
            items.push(Object::from_document(document)?);
        }
        Ok(List {
            version: version(Some(&list.metadata.resource_version))?,
            items,
        })
    }

    /// adds an object; returns its version
    ///
    /// # Errors
    /// [`Error::Exists`] when there is one of that name; else when the call fails.
    pub fn create<T: Spec>(&self, object: &Object<T>) -> Result<u64, Error> {
        let mut document = object.to_document()?;
        document.metadata.resource_version = None;
        let body = encode(&document)?;
        let created = self.change(Method::POST, &self.kind_url::<T>(), body, JSON);
        match created {
            Err(Error::Conflict) => Err(Error::Exists),
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

    /// changes parts of an object's spec by a JSON merge patch if it still has
    /// the version; returns the new version
    ///
    /// # Errors
    /// [`Error::Conflict`] when it has another version; else when the call fails.
    pub fn merge<T: Spec>(&self, name: &str, base: u64, spec: &Value) -> Result<u64, Error> {
        let patch = json!({"metadata": {"resourceVersion": base.to_string()}, "spec": spec});
        let url = self.object_url::<T>(name);
        self.change(Method::PATCH, &url, encode(&patch)?, MERGE_PATCH)
    }

    /// removes an object, with a version only if it still has that
    ///
    /// # Errors
    /// [`Error::Missing`], [`Error::Conflict`], or when the call fails.
    pub fn delete<T: Spec>(&self, name: &str, version: Option<u64>) -> Result<(), Error> {
        let options = match version {
            Some(version) => json!({"preconditions": {"resourceVersion": version.to_string()}}),
            None => json!({}),
        };
        let url = self.object_url::<T>(name);
        let removed = self.change(Method::DELETE, &url, encode(&options)?, JSON);
        removed.map(drop)
    }

    /// follows one object from the version on, for `time` at most; every
    /// call counts as one waiting call at the store
    ///
    /// # Errors
    /// [`Error::Expired`] when the version is forgotten; else when the call fails.
    pub fn watch<T: Spec>(&self, name: &str, from: u64, time: Duration) -> Result<Watch<T>, Error> {
        let url = format!(
            "{}?watch=true&allowWatchBookmarks=true&fieldSelector=metadata.name%3D{name}\
             &resourceVersion={from}&timeoutSeconds={}",
            self.kind_url::<T>(),
            time.as_secs().max(1),
        );
        let call = Call {
            method: Method::GET,
            url: &url,
            body: Vec::new(),
            content: JSON,
            accept: JSON,
        };
        let response = self.transport.send(call, time + WATCH_GRACE);
        let response = response.map_err(Error::of_read)?;
        let code = response.status().as_u16();
        if code == 200 {
            return Ok(Watch::new(response));
        }
        let body = response.bytes().unwrap_or_default();
        Err(failure(&Answer { code, body }).of_read())
    }

    fn kind_url<T: Spec>(&self) -> String {
        format!("{}/{}", self.base, T::PLURAL)
    }

    fn object_url<T: Spec>(&self, name: &str) -> String {
        format!("{}/{}/{name}", self.base, T::PLURAL)
    }

    fn read<R: DeserializeOwned>(&self, url: &str, accept: &'static str) -> Result<R, Error> {
        let answer = self.transport.call(Call {
            method: Method::GET,
            url,
            body: Vec::new(),
            content: JSON,
            accept,
        });
        let body = answer.and_then(|answer| read(&answer));
        body.map_err(Error::of_read)
    }

    fn change(
        &self,
        method: Method,
        url: &str,
        body: Vec<u8>,
        content: &'static str,
    ) -> Result<u64, Error> {
        if body.len() > MAX_OBJECT_BYTES {
            return Err(Error::TooLarge(body.len()));
        }
        let answer = self.transport.call(Call {
            method,
            url,
            body,
            content,
            accept: METADATA_ONLY,
        })?;
        let unreadable = |error: Error| match error {
            Error::Malformed(cause) => Error::Unreadable(cause),
            other => other,
        };
        let document: Document = read(&answer).map_err(unreadable)?;
        version(document.metadata.resource_version.as_deref()).map_err(unreadable)
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|error| Error::Refused {
        code: 0,
        message: error.to_string(),
    })
}

fn read<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    if !(200..300).contains(&answer.code) {
        return Err(failure(answer));
    }
    serde_json::from_slice(&answer.body).map_err(|error| Error::Malformed(error.to_string()))
}

fn failure(answer: &Answer) -> Error {
    let status: Option<Status> = serde_json::from_slice(&answer.body).ok();
    let message = status.map_or_else(String::new, |status| status.message);
    let code = answer.code;
    match code {
        404 => Error::Missing,
        409 => Error::Conflict,
        410 => Error::Expired,
        413 => Error::TooLarge(0),
        429 => Error::Limited,
        400..500 => Error::Refused { code, message },
        _ => Error::Failed { code, message },
    }
}
