//! Calls of the administration API.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, Uri};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a call may take.
const PATIENCE: Duration = Duration::from_secs(30);
/// Bytes of an answer.
const MOST: usize = 64 << 20;

/// What a call got.
pub struct Answer {
    pub status: u16,
    pub etag: Option<String>,
    pub body: Value,
}

/// Where the API is, and the token for it.
pub struct Wire {
    authority: String,
    token: String,
}

impl Wire {
    /// # Errors
    /// The URL is no http URL with a host and a port.
    pub fn new(url: &str, token: String) -> Result<Self, String> {
        let uri: Uri = url.parse().map_err(|e| format!("--url {url}: {e}"))?;
        let plain = uri.scheme_str() == Some("http") && matches!(uri.path(), "" | "/");
        let authority = uri.authority().filter(|a| plain && a.port().is_some());
        let authority =
            authority.ok_or_else(|| format!("--url {url}: it is like http://127.0.0.1:7070"))?;
        Ok(Wire {
            authority: authority.to_string(),
            token,
        })
    }

    /// Sends a request, and waits for the answer's head.
    pub async fn send(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Response<Incoming>, String> {
        let at = |e: &dyn std::fmt::Display| format!("{}: {e}", self.authority);
        let stream = TcpStream::connect(&self.authority)
            .await
            .map_err(|e| at(&e))?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| at(&e))?;
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
        let request = request.body(Full::new(bytes)).map_err(|e| at(&e))?;
        sender.send_request(request).await.map_err(|e| at(&e))
    }

    /// Calls, and reads the whole answer.
    pub async fn call(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Answer, String> {
        let call = async {
            let response = self.send(method, target, headers, body).await?;
            let status = response.status().as_u16();
            let etag = response
                .headers()
                .get("etag")
                .and_then(|t| t.to_str().ok())
                .map(str::to_owned);
            let body = Limited::new(response.into_body(), MOST).collect().await;
            let body = body
                .map_err(|e| format!("{}: {e}", self.authority))?
                .to_bytes();
            let body =
                serde_json::from_slice(&body).map_err(|e| format!("{}: {e}", self.authority))?;
            Ok(Answer { status, etag, body })
        };
        timeout(PATIENCE, call)
            .await
            .unwrap_or_else(|_| Err(format!("{}: no answer", self.authority)))
    }
}

/// A part of a path, so that no name in it can mean another path.
pub fn part(name: &str) -> String {
    let plain = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~');
    // A name of dots alone would be a step in the path.
    let dots = name.bytes().all(|b| b == b'.');
    let one = |b: u8| {
        if plain(&b) && !dots {
            (b as char).to_string()
        } else {
            format!("%{b:02X}")
        }
    };
    name.bytes().map(one).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_stay_one_part_of_a_path() {
        assert_eq!(part("n-1.x_~"), "n-1.x_~");
        assert_eq!(part("a/b?c d"), "a%2Fb%3Fc%20d");
        assert_eq!(part(".."), "%2E%2E");
        assert!(Wire::new("https://127.0.0.1:1", String::new()).is_err());
        assert!(Wire::new("http://127.0.0.1", String::new()).is_err());
        assert!(Wire::new("http://127.0.0.1:1/", String::new()).is_ok());
    }
}
