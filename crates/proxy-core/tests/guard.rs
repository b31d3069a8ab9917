//! What two readers could see differently, and where requests end.
use proxy_core::guard::Guard;

const GOOD: &str = "\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\n\n\n\r\n:\
    POST /c HTTP/1.1\r\ntransfer-encoding:  Chunked \r\n\r\n5;x=\"y\"\r\n\n\r\n\n:\r\n0\r\nX: 1\r\n\r\n\
    GET /d HTTP/1.0\r\nContent-Length: 0\r\n\r\nGET /e HTTP/1.1\r\n\r\n";

/// Feeds all of it, request by request; returns how many have ended.
fn feed(guard: &mut Guard, mut bytes: &[u8]) -> Result<usize, &'static str> {
    let mut ends = 0;
    while !bytes.is_empty() {
        let (taken, ended) = guard.feed(bytes)?;
        assert!(
            taken > 0 && (ended || taken == bytes.len()),
            "it stops at a request's end alone"
        );
        ends += usize::from(ended);
        bytes = &bytes[taken..];
    }
    Ok(ends)
}

#[test]
fn requests_are_followed_however_they_are_cut() {
    for cut in 1..GOOD.len() {
        let mut guard = Guard::default();
        let ends = feed(&mut guard, &GOOD.as_bytes()[..cut]).expect("it is good")
            + feed(&mut guard, &GOOD.as_bytes()[cut..]).expect("it is good");
        assert_eq!(ends, 5, "cut at {cut}");
        assert!(guard.is_between());
    }
}

#[test]
fn what_could_be_read_in_two_ways_is_seen_also_behind_good_requests() {
    for (text, wanted) in [
        ("GET / HTTP/1.1\nHost: x\r\n\r\n", "a line feed alone"),
        ("GET / HTTP/1.1\r\nHost: x\r\n\n", "a line feed alone"),
        (
            "GET / HTTP/1.1\r\nHost: x\ry: z\r\n\r\n",
            "a carriage return alone",
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 5\r\ncontent-length: 5\r\n\r\n",
            "two lengths",
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\n",
            "no length",
        ),
        ("POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n", "no length"),
        (
            "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
            "both a length and a chunked coding",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
            "both a length and a chunked coding",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
            "a coding that is not chunked alone",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5x\r\n",
            "no size of a chunk",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n",
            "no size of a chunk",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
            "no size of a chunk",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
            "no size of a chunk",
        ),
    ] {
        for before in ["", GOOD] {
            let all = format!("{before}{text}");
            assert_eq!(
                feed(&mut Guard::default(), all.as_bytes()),
                Err(wanted),
                "{text}"
            );
            let mut guard = Guard::default();
            let mut each = all.as_bytes().iter().map(|b| feed(&mut guard, &[*b]));
            assert_eq!(
                each.find(Result::is_err),
                Some(Err(wanted)),
                "{text}, byte by byte"
            );
        }
    }
}
