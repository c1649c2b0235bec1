//! A TCP connection: a socket that stays registered with the event loop until it is dropped, and a
//! buffer for each direction. When the event loop wakes, it appends the reasons to a list, which
//! the main loop handles after the wait.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::event::{PollFd, PollFlags, Timespec};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

use crate::table::Key;
pub use buffer::Buffer;
use buffer::READ_CHUNK_BYTES;

mod buffer;

/// Why the event loop woke.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WakeReason {
    /// The listener has pending client connections.
    Listener,
    /// A client connection can be read or written.
    Client(Key),
    /// A connection to an engine can be read or written.
    Engine(Key),
    /// The connection to service discovery can be read or written.
    Discovery,
    /// The disk worker of the result spool has completed work.
    ResultSpool,
    /// The store's thread has made intents durable, or messages from peers have arrived.
    IntentDurability,
    /// SIGTERM or SIGINT: shut down gracefully.
    Stop,
    /// SIGHUP: reload the configuration.
    Reload,
    /// SIGUSR1: log all counters.
    LogCounters,
}

/// The shared data of the event loop: the reasons for wakes that have not been handled yet.
pub type PendingWakes = Vec<WakeReason>;
/// The handle with which sockets and pings are registered with the event loop.
pub type EventLoopHandle = LoopHandle<'static, PendingWakes>;

/// Maximum number of consecutive reads on one connection before other connections are read.
pub const MAX_READS_PER_TURN: usize = 16;

/// A file descriptor that is registered with the event loop until this value is dropped.
pub struct WatchedFd<F: AsFd + 'static> {
    pub file: Rc<F>,
    token: RegistrationToken,
    event_loop: EventLoopHandle,
}

impl<F: AsFd + 'static> WatchedFd<F> {
    /// Registers a descriptor: when it becomes ready for `interest`, the event loop wakes with the
    /// reason `wake`.
    pub fn new(
        event_loop: &EventLoopHandle,
        file: F,
        interest: Interest,
        wake: WakeReason,
    ) -> io::Result<Self> {
        let file = Rc::new(file);
        // Edge-triggered, so each wake must be followed by reads and writes until the socket would
        // block.
        let source = Generic::new(file.clone(), interest, Mode::Edge);
        let token = event_loop
            .insert_source(source, move |_, _, wakes: &mut PendingWakes| {
                wakes.push(wake);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok(WatchedFd {
            file,
            token,
            event_loop: event_loop.clone(),
        })
    }
}

impl<F: AsFd + 'static> Drop for WatchedFd<F> {
    fn drop(&mut self) {
        self.event_loop.remove(self.token);
    }
}

/// A non-blocking TCP connection.
pub struct Connection {
    socket: WatchedFd<TcpStream>,
    /// Received bytes that have not been decoded yet.
    pub input: Buffer,
    /// Bytes that have not been written to the socket yet.
    pub output: Buffer,
    /// The number of bytes written to the socket since it was opened.
    pub written: u64,
    is_connecting: bool,
}

/// The result of a read.
#[derive(Debug, PartialEq)]
pub enum ReadOutcome {
    /// Bytes were appended to the input.
    Data,
    /// No bytes are available now.
    WouldBlock,
    /// The peer has closed its side, so no more bytes will arrive.
    Closed,
}

impl Connection {
    /// Registers an accepted connection.
    pub fn accepted(
        event_loop: &EventLoopHandle,
        stream: TcpStream,
        wake: WakeReason,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Self::new(event_loop, stream, wake, false)
    }

    /// Begins to connect. After a wake, [`Connection::check_established`] returns whether the
    /// connection is established.
    pub fn dial(
        event_loop: &EventLoopHandle,
        address: SocketAddr,
        wake: WakeReason,
    ) -> io::Result<Self> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            None,
        )?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {}
            Err(e) => return Err(e),
        }
        Self::new(event_loop, socket.into(), wake, true)
    }

    fn new(
        event_loop: &EventLoopHandle,
        stream: TcpStream,
        wake: WakeReason,
        is_connecting: bool,
    ) -> io::Result<Self> {
        let socket = WatchedFd::new(event_loop, stream, Interest::BOTH, wake)?;
        Ok(Connection {
            socket,
            input: Buffer::default(),
            output: Buffer::default(),
            written: 0,
            is_connecting,
        })
    }

    /// Returns whether the connection was established as of the last call to
    /// [`Connection::check_established`].
    pub fn is_established(&self) -> bool {
        !self.is_connecting
    }

    /// Checks whether the connection is established. Returns an error if connecting has failed.
    pub fn check_established(&mut self) -> io::Result<bool> {
        if self.is_connecting {
            if let Some(error) = self.socket.file.take_error()? {
                return Err(error);
            }
            self.is_connecting = self.socket.file.peer_addr().is_err();
        }
        Ok(!self.is_connecting)
    }

    /// Reads at most one chunk and appends it to the input.
    pub fn read_available(&mut self) -> io::Result<ReadOutcome> {
        let input = self.input.tail();
        let before = input.len();
        input.resize(before + READ_CHUNK_BYTES, 0);
        let read = loop {
            match (&*self.socket.file).read(&mut input[before..]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => break read,
            }
        };
        input.truncate(before + *read.as_ref().unwrap_or(&0));
        match read {
            Ok(0) => Ok(ReadOutcome::Closed),
            Ok(_) => Ok(ReadOutcome::Data),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(ReadOutcome::WouldBlock),
            Err(e) => Err(e),
        }
    }

    /// Writes as much of the output as the socket accepts without blocking.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.is_connecting {
            return Ok(());
        }
        while !self.output.is_empty() {
            match (&*self.socket.file).write(self.output.filled()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.output.consume(count);
                    self.written += count as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Returns whether the peer has closed its side, although bytes that it sent before may still
    /// be unread.
    pub fn has_peer_closed(&self) -> bool {
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&*self.socket.file, PollFlags::RDHUP)];
        let no_wait = Timespec::default();
        // If the socket can't be polled, the next read detects why.
        rustix::event::poll(&mut polled, Some(&no_wait)).is_ok()
            && polled[0].revents().intersects(closed)
    }

    /// Half-closes the connection; bytes from the peer can still be read.
    pub fn shut_down_writes(&self) {
        // This fails only if the connection has already ended, which the next read detects.
        let _ = self.socket.file.shutdown(std::net::Shutdown::Write);
    }

    /// Returns the end of the buffered output, as an offset in the stream of all bytes written to
    /// the connection.
    pub fn output_end(&self) -> u64 {
        self.written + self.output.len() as u64
    }
}

/// Returns whether an error means that this host lacks descriptors, ports or memory. Such an error
/// says nothing about the peer.
pub fn is_resource_shortage(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let shortage_errors = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::ADDRNOTAVAIL,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    shortage_errors
        .iter()
        .any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}

/// Listens with the longest accept queue that the system allows, since every client whose
/// connection the system has accepted must get an answer.
pub fn listen(
    event_loop: &EventLoopHandle,
    address: SocketAddr,
) -> io::Result<WatchedFd<TcpListener>> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(i32::MAX)?;
    WatchedFd::new(
        event_loop,
        socket.into(),
        Interest::READ,
        WakeReason::Listener,
    )
}
