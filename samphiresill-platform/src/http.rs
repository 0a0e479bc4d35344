//! HTTP client of the platform.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::table::{Error, Result, Row, Table, Transaction};
use crate::vms::Vm;

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// `PlatformClient` is a client of the platform's API that opens a new connection for each call.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client with a time limit for each call.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    /// `Refused` or `NoReply`.
    pub fn vms(&self) -> Result<Vec<Vm>> {
        Self::call(self.request(Method::GET, "/v1/vms"), String::new())
    }

    /// Writes an object to the object store.
    ///
    /// # Errors
    /// `Refused` or `NoReply`.
    pub fn put_object(&self, key: &str, value: String) -> Result<()> {
        let path = format!("/v1/objects/{key}");
        Self::call::<serde_json::Value>(self.request(Method::PUT, &path), value).map(drop)
    }

    /// Reads an object from the object store; `None` if it does not exist.
    ///
    /// # Errors
    /// `Refused` or `NoReply`.
    pub fn get_object(&self, key: &str) -> Result<Option<String>> {
        let path = format!("/v1/objects/{key}");
        let result =
            Self::call::<serde_json::Value>(self.request(Method::GET, &path), String::new());
        match result {
            Ok(object) => Ok(object["value"].as_str().map(str::to_owned)),
            Err(Error::Refused { status: 404 }) => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        RequestBuilder::new(method, format!("http://{}{path}", self.address))
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(self.timeout)
            .read_timeout(self.timeout)
            .timeout(self.timeout)
    }

    fn post<T: DeserializeOwned>(&self, path: &str, body: &serde_json::Value) -> Result<T> {
        Self::call(self.request(Method::POST, path), body.to_string())
    }

    fn call<T: DeserializeOwned>(req: RequestBuilder, body: String) -> Result<T> {
        let no_reply = |cause: String| Error::NoReply { cause };
        let response = req.text(body).send().map_err(|e| no_reply(e.to_string()))?;
        let (status, _, reader) = response.split();
        let mut text = String::new();
        let mut bounded = reader.take(MAX_RESPONSE_BYTES + 1);
        bounded
            .read_to_string(&mut text)
            .map_err(|e| no_reply(e.to_string()))?;
        if text.len() as u64 > MAX_RESPONSE_BYTES {
            let cause = format!("the response exceeds {MAX_RESPONSE_BYTES} bytes");
            return Err(no_reply(cause));
        }
        match status.as_u16() {
            200 => serde_json::from_str(&text).map_err(|e| no_reply(e.to_string())),
            409 => {
                let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
                Err(Error::Conflict {
                    key: body["failed"].as_str().unwrap_or("").to_owned(),
                })
            }
            status => Err(Error::Refused { status }),
        }
    }
}

impl Table for PlatformClient {
    fn transact(&self, transaction: &Transaction) -> Result<()> {
        self.post::<serde_json::Value>("/v1/transaction", &json!(transaction))
            .map(drop)
    }

    fn get(&self, keys: &[String]) -> Result<Vec<Row>> {
        self.post("/v1/get", &json!(keys))
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        self.post(
            "/v1/scan",
            &json!({"prefix": prefix, "after": after, "limit": limit}),
        )
    }
}
