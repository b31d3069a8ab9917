//! Tests of request boundaries and of ambiguous framing.
use proxy_core::framing::FramingValidator;

const VALID_REQUESTS: &str = "\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\n\n\n\r\n:\
    POST /c HTTP/1.1\r\ntransfer-encoding:  Chunked \r\n\r\n5;x=\"y\"\r\n\n\r\n\n:\r\n0\r\nX: 1\r\n\r\n\
    GET /d HTTP/1.0\r\nContent-Length: 0\r\n\r\nGET /e HTTP/1.1\r\n\r\n";

/// Feeds the whole input, request by request; returns how many requests have ended.
fn feed(validator: &mut FramingValidator, mut bytes: &[u8]) -> Result<usize, &'static str> {
    let mut ended_requests = 0;
    while !bytes.is_empty() {
        let (taken, ended) = validator.feed(bytes)?;
        assert!(
            taken > 0 && (ended || taken == bytes.len()),
            "feed stops only at the end of a request"
        );
        ended_requests += usize::from(ended);
        bytes = &bytes[taken..];
    }
    Ok(ended_requests)
}

#[test]
fn request_boundaries_are_found_for_any_chunking() {
    for cut in 1..VALID_REQUESTS.len() {
        let mut validator = FramingValidator::default();
        let ended_requests = feed(&mut validator, &VALID_REQUESTS.as_bytes()[..cut])
            .expect("valid input")
            + feed(&mut validator, &VALID_REQUESTS.as_bytes()[cut..]).expect("valid input");
        assert_eq!(ended_requests, 5, "cut at {cut}");
        assert!(validator.is_between_requests());
    }
}

#[test]
fn ambiguous_framing_is_rejected_also_after_valid_requests() {
    for (text, expected_error) in [
        ("GET / HTTP/1.1\nHost: x\r\n\r\n", "bare line feed"),
        ("GET / HTTP/1.1\r\nHost: x\r\n\n", "bare line feed"),
        (
            "GET / HTTP/1.1\r\nHost: x\ry: z\r\n\r\n",
            "bare carriage return",
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 5\r\ncontent-length: 5\r\n\r\n",
            "more than one Content-Length",
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\n",
            "invalid Content-Length",
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n",
            "invalid Content-Length",
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
            "both Content-Length and a chunked coding",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
            "both Content-Length and a chunked coding",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
            "unsupported Transfer-Encoding",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5x\r\n",
            "invalid chunk size",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n",
            "invalid chunk size",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
            "invalid chunk size",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
            "invalid chunk size",
        ),
    ] {
        for prefix in ["", VALID_REQUESTS] {
            let input = format!("{prefix}{text}");
            assert_eq!(
                feed(&mut FramingValidator::default(), input.as_bytes()),
                Err(expected_error),
                "{text}"
            );
            let mut validator = FramingValidator::default();
            let mut results = input.as_bytes().iter().map(|b| feed(&mut validator, &[*b]));
            assert_eq!(
                results.find(Result::is_err),
                Some(Err(expected_error)),
                "{text}, byte by byte"
            );
        }
    }
}
