use {
    crate::policy::ClientActivity,
    parking_lot::Mutex,
    socket2::SockRef,
    std::{
        io,
        mem::MaybeUninit,
        net::Shutdown,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Unread input of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// No input: the client is idle, or its data is still in transit.
    Nothing,
    /// Bytes. Closing the socket now would reset the connection, and the client's kernel
    /// would discard the responses that the client has not read yet.
    Bytes,
    /// End of input: the client has closed its side, or the connection is broken.
    End,
}

/// A client's socket, shared by the task that serves its requests and the code that decides
/// when to close it.
#[derive(Clone, Debug)]
pub struct ClientSocket {
    stream: Arc<TcpStream>,
    /// Records when bytes were read.
    activity: Arc<Mutex<ClientActivity>>,
}

impl ClientSocket {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, activity: Arc<Mutex<ClientActivity>>) -> Self {
        Self {
            stream: Arc::new(stream),
            activity,
        }
    }

    /// Peeks at the unread input of the socket.
    pub fn unread(&self) -> Unread {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.stream).peek(&mut byte) {
            Ok(0) => Unread::End,
            Ok(_) => Unread::Bytes,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
            Err(_) => Unread::End,
        }
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Ok(bytes) => {
                    if bytes > 0 {
                        self.activity.lock().record_bytes();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(slices) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        // A connection that the client has reset needs no shutdown.
        Poll::Ready(result.or_else(|e| match e.kind() {
            io::ErrorKind::NotConnected => Ok(()),
            _ => Err(e),
        }))
    }
}
