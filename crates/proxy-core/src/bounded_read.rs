//! Reads of bounded size, so that the HTTP library's buffers stay small.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

/// The most bytes of one read: fewer than the HTTP library's first buffer, which grows once a read fills it and keeps
/// its size as long as the connection lasts.
pub const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// Reads at most [`MAX_READ_BYTES`] from a socket. A buffer into which nothing is read stays untouched, so that idle
/// connections take no pages for theirs.
pub fn poll_read_part(
    stream: &mut TcpStream,
    cx: &mut Context,
    buf: &mut ReadBuf,
) -> Poll<io::Result<()>> {
    let mut bytes = [const { MaybeUninit::uninit() }; MAX_READ_BYTES];
    let size = buf.remaining().min(MAX_READ_BYTES);
    let mut part = ReadBuf::uninit(&mut bytes[..size]);
    ready!(Pin::new(stream).poll_read(cx, &mut part))?;
    buf.put_slice(part.filled());
    Poll::Ready(Ok(()))
}
