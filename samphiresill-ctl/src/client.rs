//! Calls of the operators' procedures, and how they fail.

use std::fmt;

use samphiresill_proto::generated::operators_client::OperatorsClient;
use samphiresill_proto::generated::{
    ApplyReply, ApplyRequest, GetReply, GetRequest, StatusReply, StatusRequest,
};
use tokio::runtime::Runtime;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status};

/// `Failure` is why a command did not do what it was asked, with its exit code.
#[derive(Debug)]
pub struct Failure {
    exit_code: u8,
    message: String,
}

impl Failure {
    /// The command line or a value is not accepted.
    pub fn usage(message: impl Into<String>) -> Self {
        Self {
            exit_code: 2,
            message: message.into(),
        }
    }

    /// The change is accepted but not in force everywhere in time.
    pub fn lagging(message: impl Into<String>) -> Self {
        Self {
            exit_code: 4,
            message: message.into(),
        }
    }

    /// The fleet does not serve.
    pub fn unavailable(message: impl Into<String>) -> Self {
        Self {
            exit_code: 1,
            message: message.into(),
        }
    }

    /// The process's exit code.
    pub fn exit_code(&self) -> u8 {
        self.exit_code
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl From<anyhow::Error> for Failure {
    fn from(error: anyhow::Error) -> Self {
        Self::usage(format!("{error:#}"))
    }
}

impl From<Status> for Failure {
    fn from(status: Status) -> Self {
        let exit_code = match status.code() {
            Code::InvalidArgument | Code::Unauthenticated => 2,
            Code::Aborted => 3,
            _ => 1,
        };
        Self {
            exit_code,
            message: status.message().to_owned(),
        }
    }
}

/// `Client` calls one router.
pub struct Client {
    runtime: Runtime,
    operators: OperatorsClient<Channel>,
    authorization: MetadataValue<Ascii>,
}

impl Client {
    /// Connects to a router's operators' address.
    pub fn connect(address: &str, key: &str) -> Result<Self, Failure> {
        let authorization = format!("Bearer {key}").parse();
        let authorization =
            authorization.map_err(|_| Failure::usage("the key has characters that it may not"))?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| Failure::unavailable(e.to_string()))?;
        let endpoint = Endpoint::from_shared(format!("http://{address}"));
        let endpoint = endpoint.map_err(|e| Failure::usage(format!("--address: {e}")))?;
        let channel = runtime.block_on(endpoint.connect());
        let channel =
            channel.map_err(|_| Failure::unavailable(format!("no router answers at {address}")))?;
        Ok(Self {
            runtime,
            operators: OperatorsClient::new(channel),
            authorization,
        })
    }

    /// Appends a change.
    pub fn apply(&mut self, change: ApplyRequest) -> Result<ApplyReply, Failure> {
        let req = self.request(change);
        Ok(self
            .runtime
            .block_on(self.operators.apply(req))?
            .into_inner())
    }

    /// Reads the configuration.
    pub fn get(&mut self) -> Result<GetReply, Failure> {
        let req = self.request(GetRequest {});
        Ok(self.runtime.block_on(self.operators.get(req))?.into_inner())
    }

    /// Reads the state of the fleet.
    pub fn status(&mut self) -> Result<StatusReply, Failure> {
        let req = self.request(StatusRequest {});
        Ok(self
            .runtime
            .block_on(self.operators.status(req))?
            .into_inner())
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut req = Request::new(message);
        req.metadata_mut()
            .insert("authorization", self.authorization.clone());
        req
    }
}
