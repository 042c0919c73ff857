//! Classification and retries of the documented errors of socket calls.

use saffronpaddle_netio::{
    is_local_failure, is_shortage, retry_shortage, AcceptFailure, Uninterrupted,
};
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

/// A stream on which each read or write is interrupted `interruptions_per_byte` times and then transfers one byte.
struct InterruptedStream {
    interruptions_per_byte: u32,
    /// Interruptions before the next byte.
    remaining: u32,
    written: Vec<u8>,
}

impl InterruptedStream {
    /// Counts a call and returns whether it is interrupted.
    fn is_call_interrupted(&mut self) -> bool {
        let interrupted = self.remaining > 0;
        self.remaining = if interrupted {
            self.remaining - 1
        } else {
            self.interruptions_per_byte
        };
        interrupted
    }
}

impl AsyncRead for InterruptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_call_interrupted() {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        buffer.put_slice(b"x");
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for InterruptedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_call_interrupted() {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        self.written.extend_from_slice(&bytes[..1]);
        Poll::Ready(Ok(1))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[tokio::test(flavor = "current_thread")]
async fn interrupted_calls_are_retried_without_losing_or_duplicating_bytes() {
    let mut stream = Uninterrupted::new(InterruptedStream {
        interruptions_per_byte: 3,
        remaining: 3,
        written: Vec::new(),
    });
    let mut read = [0; 5];
    stream
        .read_exact(&mut read)
        .await
        .expect("the interrupted reads are retried");
    stream
        .write_all(b"a request")
        .await
        .expect("the interrupted writes are retried");
    assert_eq!(
        (&read, &stream.get_ref().written[..]),
        (b"xxxxx", &b"a request"[..])
    );
}

#[test]
fn accept_errors_of_one_connection_are_distinguished_from_shortages() {
    use nix::errno::Errno::*;
    let classify =
        |errno: nix::errno::Errno| AcceptFailure::of(&io::Error::from_raw_os_error(errno as i32));
    let errors_of_one_connection = [
        EINTR,
        ECONNABORTED,
        ECONNRESET,
        EPROTO,
        EPERM,
        ENETDOWN,
        ENOPROTOOPT,
        EHOSTDOWN,
        ENONET,
        EHOSTUNREACH,
        EOPNOTSUPP,
        ENETUNREACH,
        ETIMEDOUT,
    ];
    for errno in errors_of_one_connection {
        assert_eq!(classify(errno), AcceptFailure::ConnectionFailed, "{errno}");
    }
    assert_eq!(classify(EMFILE), AcceptFailure::OutOfDescriptors);
    for errno in [ENFILE, ENOBUFS, ENOMEM, EINVAL] {
        assert_eq!(classify(errno), AcceptFailure::Transient, "{errno}");
    }
}

#[test]
fn local_shortages_are_distinguished_from_failures_of_the_server() {
    use nix::errno::Errno::*;
    let is_local =
        |errno: nix::errno::Errno| is_local_failure(&io::Error::from_raw_os_error(errno as i32));
    for errno in [
        EMFILE,
        ENFILE,
        EADDRNOTAVAIL,
        ENOBUFS,
        ENOMEM,
        EAGAIN,
        EINTR,
    ] {
        assert!(is_local(errno), "{errno} is a local shortage");
    }
    for errno in [
        ECONNREFUSED,
        ETIMEDOUT,
        EHOSTUNREACH,
        ENETUNREACH,
        ECONNRESET,
    ] {
        assert!(!is_local(errno), "{errno} is a failure of the server");
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_shortage_is_retried_for_a_limited_time() {
    let calls = Cell::new(0);
    let succeeds_after = |failures| {
        let calls = &calls;
        move || {
            calls.set(calls.get() + 1);
            let error = nix::errno::Errno::ENFILE as i32;
            let result = if calls.get() > failures {
                Ok(())
            } else {
                Err(io::Error::from_raw_os_error(error))
            };
            std::future::ready(result)
        }
    };
    assert!(retry_shortage(succeeds_after(5)).await.is_ok());
    calls.set(0);
    let error = retry_shortage(succeeds_after(u32::MAX))
        .await
        .expect_err("the call fails until the retries time out");
    assert!(is_shortage(&error));
    // Any other error is returned immediately.
    let address_in_use = || std::future::ready(Err::<(), _>(io::Error::from(ErrorKind::AddrInUse)));
    assert!(retry_shortage(address_in_use).await.is_err());
}
