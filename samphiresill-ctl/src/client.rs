//! gRPC client for the operators' API, and the errors of commands.

use std::fmt;

use samphiresill_proto::generated::operators_client::OperatorsClient;
use samphiresill_proto::generated::{
    ApplyReply, ApplyRequest, GetReply, GetRequest, StatusReply, StatusRequest,
};
use tokio::runtime::Runtime;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status};

/// `CommandError` is the reason why a command failed, with the exit code to report it by.
#[derive(Debug)]
pub struct CommandError {
    exit_code: u8,
    message: String,
}

impl CommandError {
    /// The command line or a value is not valid.
    pub fn usage(message: impl Into<String>) -> Self {
        Self {
            exit_code: 2,
            message: message.into(),
        }
    }

    /// The change is committed but was not in force on all routers in time.
    pub fn lagging(message: impl Into<String>) -> Self {
        Self {
            exit_code: 4,
            message: message.into(),
        }
    }

    /// The fleet or the platform is not available.
    pub fn unavailable(message: impl Into<String>) -> Self {
        Self {
            exit_code: 1,
            message: message.into(),
        }
    }

    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        self.exit_code
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl From<anyhow::Error> for CommandError {
    fn from(error: anyhow::Error) -> Self {
        Self::usage(format!("{error:#}"))
    }
}

impl From<Status> for CommandError {
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

/// `Client` is a connection to the operators' API of one router.
pub struct Client {
    runtime: Runtime,
    operators: OperatorsClient<Channel>,
    authorization: MetadataValue<Ascii>,
}

impl Client {
    /// Connects to the operators' address of a router.
    pub fn connect(address: &str, key: &str) -> Result<Self, CommandError> {
        let authorization = format!("Bearer {key}").parse();
        let authorization = authorization.map_err(|_| {
            CommandError::usage("the key contains characters that are not allowed in a header")
        })?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| CommandError::unavailable(e.to_string()))?;
        let endpoint = Endpoint::from_shared(format!("http://{address}"));
        let endpoint = endpoint.map_err(|e| CommandError::usage(format!("--address: {e}")))?;
        let channel = runtime.block_on(endpoint.connect());
        let channel = channel.map_err(|_| {
            CommandError::unavailable(format!("cannot connect to a router at {address}"))
        })?;
        Ok(Self {
            runtime,
            operators: OperatorsClient::new(channel),
            authorization,
        })
    }

    /// Applies a change to the configuration.
    pub fn apply(&mut self, change: ApplyRequest) -> Result<ApplyReply, CommandError> {
        let req = self.request(change);
        Ok(self
            .runtime
            .block_on(self.operators.apply(req))?
            .into_inner())
    }

    /// Fetches the current configuration.
    pub fn get(&mut self) -> Result<GetReply, CommandError> {
        let req = self.request(GetRequest {});
        Ok(self.runtime.block_on(self.operators.get(req))?.into_inner())
    }

    /// Fetches the state of the fleet.
    pub fn status(&mut self) -> Result<StatusReply, CommandError> {
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
