//! Merges the command line with the settings file.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use schema::client::{Client, Output};
use schema::{check, yaml};

use crate::args::Target;
use crate::error::Error;

/// settings of one run
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    objects: Option<String>,
    control: Option<String>,
    operator_key_file: Option<PathBuf>,
    token_file: Option<PathBuf>,
    /// output format
    pub output: Output,
    /// time limit of each request
    pub timeout: Duration,
}

impl Settings {
    /// merges the options with the settings file that they name
    ///
    /// # Errors
    /// When the file can't be read or parsed, or the merged settings are invalid.
    pub fn load(target: &Target) -> Result<Self, Error> {
        let mut client = match &target.settings {
            Some(path) => read_client(path)?,
            None => Client::default(),
        };
        client.objects = target.objects.clone().or(client.objects);
        client.control = target.control.clone().or(client.control);
        client.output = target.output.unwrap_or(client.output);
        client.timeout_seconds = target.timeout.unwrap_or(client.timeout_seconds);
        check::client(&client).map_err(Error::InvalidSettings)?;
        Ok(Settings {
            objects: client.objects,
            control: client.control,
            operator_key_file: target
                .operator_key_file
                .clone()
                .or(client.operator_key_file.map(PathBuf::from)),
            token_file: target
                .token_file
                .clone()
                .or(client.token_file.map(PathBuf::from)),
            output: client.output,
            timeout: Duration::from_secs(client.timeout_seconds.into()),
        })
    }

    /// base URL of the object API
    ///
    /// # Errors
    /// When no URL is set.
    pub fn objects(&self) -> Result<&str, Error> {
        self.objects
            .as_deref()
            .ok_or_else(|| missing_option("object API", "objects"))
    }

    /// bearer token of the object API, if one is set
    ///
    /// # Errors
    /// When its file can't be read.
    pub fn token(&self) -> Result<Option<String>, Error> {
        match &self.token_file {
            Some(path) => read_secret(path).map(Some),
            None => Ok(None),
        }
    }

    /// control address of a daemon
    ///
    /// # Errors
    /// When no address is set or it can't be parsed.
    pub fn control(&self) -> Result<SocketAddr, Error> {
        let control = self
            .control
            .as_deref()
            .ok_or_else(|| missing_option("daemon", "control"))?;
        control
            .parse()
            .map_err(|_| Error::Usage(format!("{control} is not a valid IP:PORT address")))
    }

    /// the operator key
    ///
    /// # Errors
    /// When no file is set or it can't be read.
    pub fn operator_key(&self) -> Result<String, Error> {
        match &self.operator_key_file {
            Some(path) => read_secret(path),
            None => Err(missing_option("operator key", "operator-key-file")),
        }
    }
}

fn missing_option(what: &str, option: &str) -> Error {
    let key = option.replace('-', "_");
    Error::Usage(format!(
        "no {what} is set: give --{option}, or {key} in a --settings file"
    ))
}

fn read_client(path: &Path) -> Result<Client, Error> {
    let yaml = fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
    yaml::parse(&yaml, &path.to_string_lossy()).map_err(Error::ParseSettings)
}

fn read_secret(path: &Path) -> Result<String, Error> {
    let secret = fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
    let secret = secret.trim();
    if secret.is_empty() {
        return Err(Error::Usage(format!(
            "{} is empty, expected a key or token",
            path.display()
        )));
    }
    Ok(secret.to_owned())
}
