//! One TCP connection: its socket, known to the event loop as long as this lives, and a buffer each
//! way. What woke the loop is put on a list, which the host works off after the wait.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

use crate::table::Key;

/// What there is to look at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wake {
    Listener,
    Client(Key),
    Engine(Key),
    Bulletin,
    /// The spool's worker has done something.
    Spool,
    /// The store's thread has made something durable.
    Store,
    Stop,
    Reload,
    Report,
}

/// The state of the event loop: what woke it.
pub type Wakes = Vec<Wake>;
pub type Loop = LoopHandle<'static, Wakes>;

/// The most that is read at once, and the capacity that an emptied buffer keeps.
const CHUNK: usize = 16 << 10;
/// Reads of one connection in a row, before others get their turn.
pub const MAX_READS: usize = 16;

/// Bytes that came in and weren't used yet, or are to go out; one allocation, compacted in place.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
}

impl Buffer {
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn clear(&mut self) {
        self.consume(self.len());
    }

    /// To write behind what is there.
    pub fn tail(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Takes bytes out of the middle, counted from the start of what is there.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.bytes.drain(self.start + from..self.start + to);
    }

    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start == self.bytes.len() {
            self.start = 0;
            self.bytes.clear();
            self.bytes.shrink_to(CHUNK);
        } else if self.start >= self.bytes.len() / 2 {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
        }
    }
}

/// What the event loop knows of a descriptor; dropping this ends that.
pub struct Watched<F: AsFd + 'static> {
    pub file: Rc<F>,
    token: RegistrationToken,
    events: Loop,
}

impl<F: AsFd + 'static> Watched<F> {
    pub fn new(events: &Loop, file: F, interest: Interest, wake: Wake) -> io::Result<Self> {
        let file = Rc::new(file);
        // Edges only: whoever is woken reads and writes until the socket would block.
        let source = Generic::new(file.clone(), interest, Mode::Edge);
        let token = events
            .insert_source(source, move |_, _, wakes: &mut Wakes| {
                wakes.push(wake);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok(Watched {
            file,
            token,
            events: events.clone(),
        })
    }
}

impl<F: AsFd + 'static> Drop for Watched<F> {
    fn drop(&mut self) {
        self.events.remove(self.token);
    }
}

pub struct Connection {
    socket: Watched<TcpStream>,
    pub input: Buffer,
    pub output: Buffer,
    /// Bytes written to the socket since it was opened.
    pub written: u64,
    connecting: bool,
}

/// What a read found.
#[derive(Debug, PartialEq)]
pub enum Filled {
    Some,
    /// Nothing more for now.
    Blocked,
    Ended,
}

impl Connection {
    pub fn accepted(events: &Loop, stream: TcpStream, wake: Wake) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Self::new(events, stream, wake, false)
    }

    /// Begins to connect; the end of that shows in [`Connection::is_up`] after a wake.
    pub fn dial(events: &Loop, address: SocketAddr, wake: Wake) -> io::Result<Self> {
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
        Self::new(events, socket.into(), wake, true)
    }

    fn new(events: &Loop, stream: TcpStream, wake: Wake, connecting: bool) -> io::Result<Self> {
        let socket = Watched::new(events, stream, Interest::BOTH, wake)?;
        Ok(Connection {
            socket,
            input: Buffer::default(),
            output: Buffer::default(),
            written: 0,
            connecting,
        })
    }

    /// Whether the connection stood at the last look.
    pub fn was_up(&self) -> bool {
        !self.connecting
    }

    /// Whether the connection stands; an error where it never will.
    pub fn is_up(&mut self) -> io::Result<bool> {
        if self.connecting {
            if let Some(error) = self.socket.file.take_error()? {
                return Err(error);
            }
            self.connecting = self.socket.file.peer_addr().is_err();
        }
        Ok(!self.connecting)
    }

    pub fn fill(&mut self) -> io::Result<Filled> {
        let before = self.input.bytes.len();
        self.input.bytes.resize(before + CHUNK, 0);
        let read = loop {
            match (&*self.socket.file).read(&mut self.input.bytes[before..]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => break read,
            }
        };
        self.input
            .bytes
            .truncate(before + *read.as_ref().unwrap_or(&0));
        match read {
            Ok(0) => Ok(Filled::Ended),
            Ok(_) => Ok(Filled::Some),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(Filled::Blocked),
            Err(e) => Err(e),
        }
    }

    /// Writes what it can.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.connecting {
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

    /// Tells the other end that nothing more comes; what it says can still be read.
    pub fn end_output(&self) {
        // It fails only where the connection has ended already, which the next read finds.
        let _ = self.socket.file.shutdown(std::net::Shutdown::Write);
    }

    /// The place in the stream at which what is buffered ends.
    pub fn end_of_output(&self) -> u64 {
        self.written + self.output.len() as u64
    }
}

/// Whether an error says that this side has too few descriptors, addresses or memory.
pub fn is_shortage(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let short = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::ADDRNOTAVAIL,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    short
        .iter()
        .any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}

/// Listens with the deepest queue that the system grants: what the system accepted is owed an
/// answer.
pub fn listen(events: &Loop, address: SocketAddr) -> io::Result<Watched<TcpListener>> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(i32::MAX)?;
    Watched::new(events, socket.into(), Interest::READ, Wake::Listener)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_buffer_is_compacted_in_place_and_shrinks_when_emptied() {
        let mut buffer = Buffer::default();
        buffer.tail().extend_from_slice(b"abcdefgh");
        buffer.consume(3);
        assert_eq!((buffer.filled(), buffer.start), (&b"defgh"[..], 3));
        buffer.cut(1, 3);
        assert_eq!(buffer.filled(), b"dgh");
        buffer.consume(1);
        assert_eq!((buffer.filled(), buffer.start), (&b"gh"[..], 0));
        buffer.tail().resize(100 * CHUNK, 0);
        buffer.clear();
        assert!(
            buffer.is_empty() && buffer.bytes.capacity() <= 2 * CHUNK,
            "{}",
            buffer.bytes.capacity()
        );
    }
}
