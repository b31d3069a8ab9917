//! Requests and responses as they are passed between clients and endpoints, and the protocol's rules for them.

use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use tokio::time::Instant;

use crate::body_buffer::BufferedBody;
use crate::request_fields::RequestFields;
use crate::stream::{RequestBody, RequestContent, ResponseStream};

/// A client's request in the form in which it is forwarded.
pub struct OutboundRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: RequestFields,
    pub body: RequestContent,
}

/// An endpoint's response.
pub struct EndpointResponse {
    pub headers: HeaderMap,
    pub body: ResponseContent,
}

/// The body of an endpoint's response.
pub enum ResponseContent {
    Buffered(BufferedBody),
    /// The body is still being received.
    Streamed(ResponseStream),
}

/// Returns the query parameter `sid`, not decoded.
pub fn sid(uri: &Uri) -> Option<&str> {
    uri.query()
        .unwrap_or_default()
        .split('&')
        .find_map(|p| p.strip_prefix("sid="))
}

/// Removes hop-by-hop headers, and the length, which is set again.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let fixed = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    for name in listed.iter().chain(&fixed) {
        headers.remove(name);
    }
}

impl OutboundRequest {
    /// Creates a placeholder for a request that was not read.
    pub fn empty() -> Self {
        let (method, uri) = (Method::GET, Uri::default());
        OutboundRequest {
            method,
            uri,
            headers: HeaderMap::new().into(),
            body: RequestContent::empty(),
        }
    }

    /// Returns the query parameter `sid` of the request.
    pub fn sid(&self) -> Option<&str> {
        sid(&self.uri)
    }

    /// Creates the request for one attempt; `X-Timeout` announces how long this proxy will wait.
    pub fn attempt_request(&self, deadline: Instant) -> Option<Request<RequestBody>> {
        let upload = self.body.upload();
        let announced = upload.map_or(deadline, |upload| upload.announced_deadline(deadline));
        let mut request = Request::new(self.body.outbound());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.to_map();
        let left = announced
            .saturating_duration_since(Instant::now())
            .as_secs_f64();
        let left = HeaderValue::from_str(&format!("{left:.3}")).ok()?;
        request.headers_mut().insert("x-timeout", left);
        Some(request)
    }
}

/// Returns the class name, which is the first segment of the path.
pub fn class_name(uri: &Uri) -> &str {
    uri.path()
        .trim_start_matches('/')
        .split('/')
        .next()
        .unwrap_or_default()
}

/// Returns a copy of an address that does not keep the buffer of the head in which it came.
pub fn detached(uri: &Uri) -> Uri {
    uri.to_string().parse().unwrap_or_else(|_| uri.clone())
}

/// Returns path and query, unchanged, also for a request in absolute form.
pub fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map_or_else(Uri::default, |p| Uri::from(p.clone()))
}

/// Creates a response of the proxy itself.
pub fn text_response(status: StatusCode, text: &'static str) -> Response<BufferedBody> {
    let mut response = Response::new(Bytes::from_static(text.as_bytes()).into());
    *response.status_mut() = status;
    response
}

#[cfg(test)]
#[path = "../tests/unit/message.rs"]
mod tests;
