//! Connections to etcd members, and their authentication tokens.

use std::time::Duration;

use tonic::metadata::MetadataValue;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

use crate::api::AuthenticateRequest;
use crate::api::auth_client::AuthClient;

/// Limit of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of HTTP/2 pings, and the time after which an unanswered one closes the connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Largest message accepted. etcd fragments watch responses at 1.5 MiB, but sends a single larger event in one message.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Addresses of etcd, and the credentials used there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// URLs of the members, such as `http://127.0.0.1:2379`.
    pub endpoints: Vec<String>,
    /// User name and password, if etcd requires authentication.
    pub credentials: Option<(String, String)>,
    /// Maximum number of keys in one response of a list.
    pub page_size: i64,
}

impl Settings {
    /// Settings without authentication.
    pub fn new(endpoints: Vec<String>) -> Self {
        Settings {
            endpoints,
            credentials: None,
            page_size: 1000,
        }
    }
}

/// Opens connections to members. An implementation with TLS can replace [`PlaintextConnector`].
pub trait Connector: Clone + Send + Sync + 'static {
    /// Connects to an endpoint.
    fn connect(
        &self,
        endpoint: &str,
    ) -> impl Future<Output = Result<Channel, tonic::transport::Error>> + Send;
}

/// Connects without TLS.
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

/// A connection to an etcd member, with its authentication token.
#[derive(Clone)]
pub struct Member {
    /// Connection to the member.
    pub channel: Channel,
    credentials: Option<(String, String)>,
    token: Option<MetadataValue<tonic::metadata::Ascii>>,
}

impl Member {
    /// Wraps a connection and requests a token if there are credentials.
    ///
    /// # Errors
    /// etcd rejects the credentials.
    pub async fn new(
        channel: Channel,
        credentials: Option<(String, String)>,
    ) -> Result<Self, Status> {
        let mut member = Member {
            channel,
            credentials,
            token: None,
        };
        member.refresh_token().await?;
        Ok(member)
    }

    /// Requests a new token if there are credentials.
    ///
    /// # Errors
    /// etcd rejects the credentials.
    pub async fn refresh_token(&mut self) -> Result<(), Status> {
        let Some((name, password)) = self.credentials.clone() else {
            return Ok(());
        };
        let mut client = AuthClient::new(self.channel.clone());
        let response = client
            .authenticate(AuthenticateRequest { name, password })
            .await?
            .into_inner();
        let token = response
            .token
            .parse()
            .map_err(|_| Status::internal("etcd's token is not a valid header value"))?;
        self.token = Some(token);
        Ok(())
    }

    /// Returns whether a call failed because of its token, so that a new token may help.
    pub fn needs_new_token(&self, status: &Status) -> bool {
        self.credentials.is_some()
            && (status.code() == tonic::Code::Unauthenticated
                || status.message().contains("invalid auth token"))
    }

    /// Builds a request that carries the token.
    pub fn authorized_request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Some(token) = &self.token {
            request
                .metadata_mut()
                .insert("authorization", token.clone());
        }
        request
    }
}
