//! Connections to etcd's members, and tokens for them.

use std::time::Duration;

use tonic::metadata::MetadataValue;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

use crate::api::AuthenticateRequest;
use crate::api::auth_client::AuthClient;

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A peer that answers no ping for so long is gone.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Bytes of a message at most: etcd sends fragments of 1.5 MiB, and a single large event whole.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Where etcd is, and who asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Its members, such as `http://127.0.0.1:2379`.
    pub endpoints: Vec<String>,
    /// Name and password, where etcd asks for them.
    pub credentials: Option<(String, String)>,
    /// Keys of one answer of a list.
    pub page_size: i64,
}

impl Settings {
    /// Members without authentication.
    pub fn new(endpoints: Vec<String>) -> Self {
        Settings {
            endpoints,
            credentials: None,
            page_size: 1000,
        }
    }
}

/// How a member is connected to: the place for TLS.
pub trait Connector: Clone + Send + Sync + 'static {
    /// Connects to an endpoint.
    fn connect(
        &self,
        endpoint: &str,
    ) -> impl Future<Output = Result<Channel, tonic::transport::Error>> + Send;
}

/// Connections as they are, without TLS.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlaintextConnector;

impl Connector for PlaintextConnector {
    async fn connect(&self, endpoint: &str) -> Result<Channel, tonic::transport::Error> {
        let endpoint = Endpoint::from_shared(endpoint.to_owned())?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
            .tcp_nodelay(true);
        endpoint.connect().await
    }
}

/// A member that is connected to, and the token for it.
#[derive(Clone)]
pub struct Member {
    /// The connection.
    pub channel: Channel,
    credentials: Option<(String, String)>,
    token: Option<MetadataValue<tonic::metadata::Ascii>>,
}

impl Member {
    /// Takes a connection, and gets a token where one is needed.
    ///
    /// # Errors
    /// etcd does not know the credentials.
    pub async fn new(
        channel: Channel,
        credentials: Option<(String, String)>,
    ) -> Result<Self, Status> {
        let mut member = Member {
            channel,
            credentials,
            token: None,
        };
        member.renew().await?;
        Ok(member)
    }

    /// Gets a new token, where one is needed.
    ///
    /// # Errors
    /// etcd does not know the credentials.
    pub async fn renew(&mut self) -> Result<(), Status> {
        let Some((name, password)) = self.credentials.clone() else {
            return Ok(());
        };
        let mut client = AuthClient::new(self.channel.clone());
        let answer = client
            .authenticate(AuthenticateRequest { name, password })
            .await?
            .into_inner();
        let token = answer
            .token
            .parse()
            .map_err(|_| Status::internal("etcd's token can't be sent"))?;
        self.token = Some(token);
        Ok(())
    }

    /// Whether a failure may be mended by a new token.
    pub fn wants_token(&self, status: &Status) -> bool {
        self.credentials.is_some()
            && (status.code() == tonic::Code::Unauthenticated
                || status.message().contains("invalid auth token"))
    }

    /// A request with the token.
    pub fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Some(token) = &self.token {
            request
                .metadata_mut()
                .insert("authorization", token.clone());
        }
        request
    }
}
