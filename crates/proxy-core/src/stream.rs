//! Bodies as the HTTP library takes them. Those that are too large to be buffered are streamed in bounded pieces, and a
//! slow reader slows down the sender.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::body_buffer::BufferedBody;
use crate::upload::{Sender, Upload, invalid_data};
use crate::write_window::WriteWindow;

/// The body of a request that is forwarded.
#[derive(Clone)]
pub enum RequestContent {
    /// The complete body is buffered.
    Buffered(BufferedBody),
    Streamed(Rc<Upload>),
}

impl RequestContent {
    /// Returns an empty body.
    pub fn empty() -> Self {
        RequestContent::Buffered(BufferedBody::default())
    }

    /// Returns the body for one attempt.
    pub fn outbound(&self) -> RequestBody {
        match self {
            RequestContent::Buffered(body) => RequestBody::Buffered(body.clone()),
            RequestContent::Streamed(upload) => {
                let (prefix, sender) = upload.begin_sending();
                RequestBody::Streamed { prefix, sender }
            }
        }
    }

    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestContent::Buffered(_) => None,
            RequestContent::Streamed(upload) => Some(upload),
        }
    }
}

/// A request body on its way to an endpoint.
pub enum RequestBody {
    Buffered(BufferedBody),
    Streamed {
        /// The part that is buffered.
        prefix: BufferedBody,
        sender: Sender,
    },
}

impl RequestBody {
    /// Returns the window of a streamed body.
    pub fn window(&self) -> Option<Rc<WriteWindow>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed { sender, .. } => Some(sender.window().clone()),
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            RequestBody::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            RequestBody::Streamed { prefix, sender } => {
                sender.check_aborted()?;
                if !prefix.is_end_stream() {
                    ready!(sender.window().poll_reserved_room(cx));
                }
                let Some(block) = prefix.next_block() else {
                    ready!(sender.window().poll_room(cx));
                    *prefix = BufferedBody::default(); // releases blocks that the upload no longer holds
                    return sender.poll_rest(cx);
                };
                sender.record_prefix(block.len(), prefix.is_end_stream());
                Poll::Ready(Some(Ok(Frame::data(block))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Buffered(body) => body.is_end_stream(),
            RequestBody::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(body) => body.size_hint(),
            RequestBody::Streamed { sender, .. } => sender
                .body_length()
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// A piece of a response body on its way to the client.
pub enum ResponsePiece {
    Data(Bytes),
    /// The body is complete. A response that ends without this was cut off.
    End,
}

/// A response body that is forwarded while it is received.
pub struct ResponseStream {
    length: Option<u64>,
    receiver: mpsc::Receiver<ResponsePiece>,
    ended: bool,
    /// The window of the client's connection, once that is known.
    window: Option<Rc<WriteWindow>>,
}

impl ResponseStream {
    /// Creates a channel for one piece at a time, so that a slow client delays only its own response.
    pub fn new(length: Option<u64>) -> (mpsc::Sender<ResponsePiece>, Self) {
        let (sender, receiver) = mpsc::channel(1);
        (
            sender,
            ResponseStream {
                length,
                receiver,
                ended: false,
                window: None,
            },
        )
    }

    /// Sets the window of the client's connection.
    pub fn set_window(&mut self, window: Rc<WriteWindow>) {
        window.reset();
        self.window = Some(window);
    }

    fn poll_piece(&mut self, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(window) = &self.window {
            ready!(window.poll_room(cx));
        }
        Poll::Ready(match ready!(self.receiver.poll_recv(cx)) {
            Some(ResponsePiece::Data(data)) => {
                self.window
                    .iter()
                    .for_each(|window| window.record_piece(data.len()));
                Some(Ok(Frame::data(data)))
            }
            Some(ResponsePiece::End) => {
                self.ended = true;
                None
            }
            None => Some(Err(invalid_data("the endpoint cut off its response"))),
        })
    }
}

/// A response body on its way to a client.
pub enum ResponseBody {
    Buffered(BufferedBody),
    Streamed(ResponseStream, OnDone),
}

/// A callback for when a response body has been sent or dropped.
pub type OnDone = Option<Box<dyn FnOnce()>>;

impl From<BufferedBody> for ResponseBody {
    fn from(body: BufferedBody) -> Self {
        ResponseBody::Buffered(body)
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let ResponseBody::Streamed(_, on_done) = self
            && let Some(on_done) = on_done.take()
        {
            on_done();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            ResponseBody::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            ResponseBody::Streamed(stream, _) if stream.ended => Poll::Ready(None),
            ResponseBody::Streamed(stream, _) => stream.poll_piece(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(body) => body.is_end_stream(),
            ResponseBody::Streamed(stream, _) => stream.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => body.size_hint(),
            ResponseBody::Streamed(stream, _) => stream
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
