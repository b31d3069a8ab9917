//! Registers endpoints in etcd under leases that expire after the endpoint's process ends; drains and deregisters them.

use std::fmt;
use std::time::Duration;

use endpoint_discovery::{EndpointRecord, EndpointState, KeySpace, range_end};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Status};

use crate::api::compare::{CompareResult, CompareTarget, TargetUnion};
use crate::api::kv_client::KvClient;
use crate::api::lease_client::LeaseClient;
use crate::api::request_op::Request;
use crate::api::{
    Compare, DeleteRangeRequest, KeyValue, LeaseGrantRequest, LeaseKeepAliveRequest,
    LeaseRevokeRequest, PutRequest, RangeRequest, RequestOp, TxnRequest,
};
use crate::connect::{Connector, MAX_MESSAGE_BYTES, Member, Settings};

/// Limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Attempts of a compare-and-swap that conflicts with concurrent changes.
const MAX_UPDATE_ATTEMPTS: usize = 8;

/// Error of a registry operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryError {
    /// No member of etcd answers.
    Unavailable(String),
    /// The endpoint does not exist.
    NotFound(String),
    /// An endpoint with another address has the name.
    NameInUse(String),
    /// etcd rejects the call.
    Rejected(String),
    /// The stored record can't be read.
    Unreadable(String),
}

impl fmt::Display for RegistryError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RegistryError::Unavailable(why) => write!(f, "etcd can't be reached: {why}"),
            RegistryError::NotFound(name) => write!(f, "there is no server \"{name}\""),
            RegistryError::NameInUse(name) => write!(f, "another server has the name \"{name}\""),
            RegistryError::Rejected(why) | RegistryError::Unreadable(why) => write!(f, "{why}"),
        }
    }
}

impl From<Status> for RegistryError {
    fn from(status: Status) -> Self {
        match status.code() {
            // tonic reports a connection that breaks during a call as unknown.
            Code::Unavailable | Code::DeadlineExceeded | Code::Unknown | Code::Cancelled => {
                RegistryError::Unavailable(status.to_string())
            }
            _ => RegistryError::Rejected(status.message().to_owned()),
        }
    }
}

/// An endpoint as it is stored in etcd.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Stored record, or why it can't be read.
    pub record: Result<EndpointRecord, String>,
    /// Revision of the last change.
    pub revision: i64,
    /// ID of the lease, or 0 for none.
    pub lease: i64,
}

/// Lease of a registered endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registration {
    /// ID of the lease.
    pub lease: i64,
    /// Time without a renewal after which the lease expires.
    pub ttl: Duration,
}

/// Endpoints of a pool in etcd.
pub struct Registry<C> {
    connector: C,
    settings: Settings,
    keys: KeySpace,
    member: Member,
}

impl<C: Connector> Registry<C> {
    /// Connects to the first member that answers.
    ///
    /// # Errors
    /// No member answers.
    pub async fn connect(
        connector: C,
        settings: Settings,
        keys: KeySpace,
    ) -> Result<Self, RegistryError> {
        let member = connect_any(&connector, &settings).await?;
        Ok(Registry {
            connector,
            settings,
            keys,
            member,
        })
    }

    /// Reconnects to the first member that answers.
    ///
    /// # Errors
    /// No member answers.
    pub async fn reconnect(&mut self) -> Result<(), RegistryError> {
        self.member = connect_any(&self.connector, &self.settings).await?;
        Ok(())
    }

    fn kv_client(&self) -> KvClient<tonic::transport::Channel> {
        KvClient::new(self.member.channel.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }

    async fn call<T>(
        call: impl Future<Output = Result<tonic::Response<T>, Status>>,
    ) -> Result<T, RegistryError> {
        let response = timeout(CALL_TIMEOUT, call)
            .await
            .map_err(|_| RegistryError::Unavailable("the call timed out".into()))?;
        Ok(response?.into_inner())
    }

    /// Returns all endpoints of the pool.
    ///
    /// # Errors
    /// A call of etcd fails.
    pub async fn list(&self) -> Result<Vec<RegisteredEndpoint>, RegistryError> {
        let mut endpoints = Vec::new();
        let (mut start_key, mut revision) = (self.keys.endpoint_prefix().as_bytes().to_vec(), 0);
        loop {
            let request = RangeRequest {
                key: start_key.clone(),
                range_end: range_end(self.keys.endpoint_prefix()),
                limit: self.settings.page_size,
                revision,
                ..RangeRequest::default()
            };
            let response = Self::call(
                self.kv_client()
                    .range(self.member.authorized_request(request)),
            )
            .await?;
            revision =
                response.header.map_or(
                    revision,
                    |h| if revision == 0 { h.revision } else { revision },
                );
            let Some(last) = response.kvs.last() else {
                return Ok(endpoints);
            };
            start_key = [last.key.as_slice(), &[0]].concat();
            endpoints.extend(
                response
                    .kvs
                    .iter()
                    .filter_map(|kv| self.registered_endpoint(kv)),
            );
            if !response.more {
                return Ok(endpoints);
            }
        }
    }

    fn registered_endpoint(&self, kv: &KeyValue) -> Option<RegisteredEndpoint> {
        Some(RegisteredEndpoint {
            name: self.keys.endpoint_name(&kv.key)?.to_owned(),
            record: EndpointRecord::parse(&kv.value).map_err(|e| e.to_string()),
            revision: kv.mod_revision,
            lease: kv.lease,
        })
    }

    async fn get(&self, name: &str) -> Result<Option<KeyValue>, RegistryError> {
        let request = RangeRequest {
            key: self.keys.endpoint_key(name).into_bytes(),
            ..RangeRequest::default()
        };
        Ok(Self::call(
            self.kv_client()
                .range(self.member.authorized_request(request)),
        )
        .await?
        .kvs
        .pop())
    }

    /// Registers an endpoint with a lease of its own. A name that is registered with another address is not taken over.
    ///
    /// # Errors
    /// A call of etcd fails, or the name is in use. The lease is revoked then, as far as etcd can be reached.
    pub async fn register(
        &self,
        name: &str,
        record: &EndpointRecord,
        ttl: Duration,
    ) -> Result<Registration, RegistryError> {
        let registration = self.grant_lease(ttl).await?;
        let written = self.write_record(name, record, registration.lease).await;
        if written.is_err() {
            // A lease that is not revoked expires after its TTL.
            let _ = self.revoke_lease(registration.lease).await;
        }
        written.map(|()| registration)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<Registration, RegistryError> {
        let grant = LeaseGrantRequest {
            ttl: ttl.as_secs().max(1) as i64,
            id: 0,
        };
        let mut leases = LeaseClient::new(self.member.channel.clone());
        let lease = Self::call(leases.lease_grant(self.member.authorized_request(grant))).await?;
        Ok(Registration {
            lease: lease.id,
            ttl: Duration::from_secs(lease.ttl.max(1) as u64),
        })
    }

    /// Writes the record of a new registration under its lease.
    async fn write_record(
        &self,
        name: &str,
        record: &EndpointRecord,
        lease: i64,
    ) -> Result<(), RegistryError> {
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let current = self.get(name).await?;
            let mut record = record.clone();
            if let Some(old) = current
                .as_ref()
                .and_then(|kv| EndpointRecord::parse(&kv.value).ok())
            {
                if old.address != record.address && old.state != EndpointState::Removed {
                    return Err(RegistryError::NameInUse(name.to_owned()));
                }
                // Keep fields that other programs have written.
                for (key, value) in old.unknown_fields {
                    record.unknown_fields.entry(key).or_insert(value);
                }
            }
            let revision = current.map_or(0, |kv| kv.mod_revision);
            if self.put_if(name, revision, &record, lease).await? {
                return Ok(());
            }
        }
        Err(too_many_conflicts(name))
    }

    /// Writes a record if its key is still at this revision; 0 stands for a missing key.
    async fn put_if(
        &self,
        name: &str,
        revision: i64,
        record: &EndpointRecord,
        lease: i64,
    ) -> Result<bool, RegistryError> {
        let key = self.keys.endpoint_key(name).into_bytes();
        let compare = Compare {
            result: CompareResult::Equal as i32,
            target: CompareTarget::Mod as i32,
            key: key.clone(),
            target_union: Some(TargetUnion::ModRevision(revision)),
        };
        let put = PutRequest {
            key,
            value: record.to_json().into_bytes(),
            lease,
            ..PutRequest::default()
        };
        let request = TxnRequest {
            compare: vec![compare],
            success: vec![RequestOp {
                request: Some(Request::RequestPut(put)),
            }],
            failure: Vec::new(),
        };
        Ok(Self::call(
            self.kv_client()
                .txn(self.member.authorized_request(request)),
        )
        .await?
        .succeeded)
    }

    /// Renews a lease until a renewal fails or half of the TTL passes without a response, and returns that error.
    pub async fn keep_alive(&self, registration: Registration) -> RegistryError {
        let (requests, request_queue) = mpsc::channel(2);
        let mut leases = LeaseClient::new(self.member.channel.clone());
        let call = leases.lease_keep_alive(
            self.member
                .authorized_request(ReceiverStream::new(request_queue)),
        );
        let renewal = LeaseKeepAliveRequest {
            id: registration.lease,
        };
        // etcd opens the response stream after the first request.
        if requests.send(renewal).await.is_err() {
            return RegistryError::Unavailable("the keep-alive stream has ended".into());
        }
        let mut responses = match timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(responses)) => responses.into_inner(),
            Ok(Err(status)) => return status.into(),
            Err(_) => return RegistryError::Unavailable("the call timed out".into()),
        };
        loop {
            match timeout(registration.ttl / 2, responses.message()).await {
                Ok(Ok(Some(response))) if response.ttl > 0 => {}
                Ok(Ok(Some(_))) => return RegistryError::Rejected("the lease has expired".into()),
                Ok(Ok(None)) => {
                    return RegistryError::Unavailable("the keep-alive stream has ended".into());
                }
                Ok(Err(status)) => return status.into(),
                Err(_) => return RegistryError::Unavailable("the lease renewal timed out".into()),
            }
            sleep(registration.ttl / 3).await;
            if requests.send(renewal).await.is_err() {
                return RegistryError::Unavailable("the keep-alive stream has ended".into());
            }
        }
    }

    async fn revoke_lease(&self, lease: i64) -> Result<(), RegistryError> {
        let mut leases = LeaseClient::new(self.member.channel.clone());
        Self::call(
            leases.lease_revoke(
                self.member
                    .authorized_request(LeaseRevokeRequest { id: lease }),
            ),
        )
        .await?;
        Ok(())
    }

    /// Changes an endpoint's state. The other fields of its record are kept, including those that this program does not know.
    ///
    /// # Errors
    /// The endpoint does not exist, its record can't be read, or a call of etcd fails.
    pub async fn set_state(&self, name: &str, state: EndpointState) -> Result<(), RegistryError> {
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let kv = self
                .get(name)
                .await?
                .ok_or_else(|| RegistryError::NotFound(name.to_owned()))?;
            let mut record = EndpointRecord::parse(&kv.value)
                .map_err(|e| RegistryError::Unreadable(format!("{name}: {e}")))?;
            record.state = state;
            if self
                .put_if(name, kv.mod_revision, &record, kv.lease)
                .await?
            {
                return Ok(());
            }
        }
        Err(too_many_conflicts(name))
    }

    /// Removes an endpoint. Its state is set to removed first, so that proxies can distinguish the removal from an expired lease.
    ///
    /// # Errors
    /// The endpoint does not exist, or a call of etcd fails.
    pub async fn deregister(&self, name: &str) -> Result<(), RegistryError> {
        match self.set_state(name, EndpointState::Removed).await {
            // A record that can't be read is deleted without the state change.
            Ok(()) | Err(RegistryError::Unreadable(_)) => {}
            Err(e) => return Err(e),
        }
        let request = DeleteRangeRequest {
            key: self.keys.endpoint_key(name).into_bytes(),
            ..DeleteRangeRequest::default()
        };
        Self::call(
            self.kv_client()
                .delete_range(self.member.authorized_request(request)),
        )
        .await?;
        Ok(())
    }

    /// Releases the endpoints that proxies retain because their leases expired together.
    ///
    /// # Errors
    /// A call of etcd fails.
    pub async fn release_retained(&self) -> Result<(), RegistryError> {
        let put = PutRequest {
            key: self.keys.release_key().as_bytes().to_vec(),
            value: b"{}".to_vec(),
            ..PutRequest::default()
        };
        Self::call(self.kv_client().put(self.member.authorized_request(put))).await?;
        Ok(())
    }
}

fn too_many_conflicts(name: &str) -> RegistryError {
    RegistryError::Rejected(format!(
        "{name} is changed concurrently; giving up after {MAX_UPDATE_ATTEMPTS} attempts"
    ))
}

async fn connect_any<C: Connector>(
    connector: &C,
    settings: &Settings,
) -> Result<Member, RegistryError> {
    let mut error = RegistryError::Unavailable("no etcd endpoint is configured".into());
    for endpoint in &settings.endpoints {
        match timeout(CALL_TIMEOUT, connector.connect(endpoint)).await {
            Ok(Ok(channel)) => match Member::new(channel, settings.credentials.clone()).await {
                Ok(member) => return Ok(member),
                Err(status) => error = status.into(),
            },
            Ok(Err(e)) => error = RegistryError::Unavailable(format!("{endpoint}: {e}")),
            Err(_) => error = RegistryError::Unavailable(format!("{endpoint}: timed out")),
        }
    }
    Err(error)
}
