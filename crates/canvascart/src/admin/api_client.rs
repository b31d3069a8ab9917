//! HTTP client of the administration API.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, Uri};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest response body accepted.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Response of a call.
pub struct ApiResponse {
    pub status: u16,
    pub etag: Option<String>,
    pub body: Value,
}

/// Client with the address of the API and a token.
pub struct ApiClient {
    authority: String,
    token: String,
}

impl ApiClient {
    /// Creates a client.
    ///
    /// # Errors
    /// The URL is not an http URL with a host and a port.
    pub fn new(url: &str, token: String) -> Result<Self, String> {
        let uri: Uri = url.parse().map_err(|e| format!("--url {url}: {e}"))?;
        let is_base_url = uri.scheme_str() == Some("http") && matches!(uri.path(), "" | "/");
        let authority = uri
            .authority()
            .filter(|a| is_base_url && a.port().is_some());
        let authority = authority
            .ok_or_else(|| format!("--url {url}: expected a URL such as http://127.0.0.1:7070"))?;
        Ok(ApiClient {
            authority: authority.to_string(),
            token,
        })
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Response<Incoming>, String> {
        let error_text = |e: &dyn std::fmt::Display| format!("{}: {e}", self.authority);
        let stream = TcpStream::connect(&self.authority)
            .await
            .map_err(|e| error_text(&e))?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| error_text(&e))?;
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(method)
            .uri(target)
            .header("host", &self.authority)
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        if body.is_some() {
            request = request.header("content-type", "application/json");
        }
        let bytes = body.map_or(Bytes::new(), |b| b.to_string().into());
        let request = request.body(Full::new(bytes)).map_err(|e| error_text(&e))?;
        sender
            .send_request(request)
            .await
            .map_err(|e| error_text(&e))
    }

    /// Sends a request and reads the whole response.
    pub async fn call(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<ApiResponse, String> {
        let call = async {
            let response = self.send(method, target, headers, body).await?;
            let status = response.status().as_u16();
            let etag = response
                .headers()
                .get("etag")
                .and_then(|t| t.to_str().ok())
                .map(str::to_owned);
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await;
            let body = body
                .map_err(|e| format!("{}: {e}", self.authority))?
                .to_bytes();
            let body =
                serde_json::from_slice(&body).map_err(|e| format!("{}: {e}", self.authority))?;
            Ok(ApiResponse { status, etag, body })
        };
        timeout(CALL_TIMEOUT, call)
            .await
            .unwrap_or_else(|_| Err(format!("{}: the call timed out", self.authority)))
    }
}

/// Percent-encodes a name as one segment of a path, so that it can't address another path.
pub fn encode_path_segment(name: &str) -> String {
    let is_unreserved =
        |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~');
    // A name of only dots would be a relative path segment.
    let only_dots = name.bytes().all(|b| b == b'.');
    let encode_byte = |b: u8| {
        if is_unreserved(&b) && !only_dots {
            (b as char).to_string()
        } else {
            format!("%{b:02X}")
        }
    };
    name.bytes().map(encode_byte).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_encoded_as_one_path_segment_and_urls_need_host_and_port() {
        assert_eq!(encode_path_segment("n-1.x_~"), "n-1.x_~");
        assert_eq!(encode_path_segment("a/b?c d"), "a%2Fb%3Fc%20d");
        assert_eq!(encode_path_segment(".."), "%2E%2E");
        assert!(ApiClient::new("https://127.0.0.1:1", String::new()).is_err());
        assert!(ApiClient::new("http://127.0.0.1", String::new()).is_err());
        assert!(ApiClient::new("http://127.0.0.1:1/", String::new()).is_ok());
    }
}
