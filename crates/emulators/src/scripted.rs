//! Single ends of connections, moved by hand: an engine's, the bulletin's, and a client's. Every
//! wait ends after [`PATIENCE`], so that nothing hangs.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

mod client;

pub use client::{call, forget, parse_answer, Answer, Client};

/// Every wait ends after this.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// An address that nobody listens on.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener
        .local_addr()
        .expect("a listening socket has an address")
}

fn patient(stream: TcpStream) -> io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}

/// Whether a wait has ended by itself.
pub fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// That a read failed since the gateway has closed the connection, not since nothing came.
fn assert_closed(error: &io::Error) {
    assert!(
        !is_timeout(error),
        "the gateway keeps the connection: {error}"
    );
}

// ---- Engines ----

/// An engine that is moved by hand.
pub struct Engine {
    /// What it listens with.
    pub listener: TcpListener,
}

/// One connection of a gateway to an engine.
pub struct EngineConnection {
    lines: BufReader<TcpStream>,
}

/// A command of a gateway to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// The words of its line.
    pub words: Vec<String>,
    /// What follows the line.
    pub payload: Vec<u8>,
}

impl Command {
    /// What it asks for.
    pub fn verb(&self) -> &str {
        &self.words[0]
    }

    /// The attempt that it is about.
    pub fn id(&self) -> &str {
        &self.words[1]
    }

    /// A field of a `serve`.
    pub fn field(&self, name: &str) -> Option<&str> {
        let pairs = self
            .words
            .get(2)?
            .split(',')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(own, _)| *own == name)
            .map(|(_, value)| value)
    }
}

impl Engine {
    /// Listens at an address.
    pub fn listen(address: &str) -> io::Result<Self> {
        Self::over(TcpListener::bind(address)?)
    }

    fn over(listener: TcpListener) -> io::Result<Self> {
        // It holds for what is accepted, too.
        socket2::SockRef::from(&listener).set_read_timeout(Some(PATIENCE))?;
        Ok(Engine { listener })
    }

    /// One whose queue of new connections is full: a dial to it comes up only after
    /// [`FullQueueEngine::free_queue`].
    pub fn with_full_queue() -> io::Result<FullQueueEngine> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        // The system queues one connection more than it is told.
        socket.listen(0)?;
        let mut held = FullQueueEngine {
            engine: Engine::over(socket.into())?,
            filler: None,
        };
        held.fill_queue()?;
        Ok(held)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a listening socket has an address")
    }

    /// Answers all that comes with so many pages of one kind, on threads of its own, until nobody
    /// has dialled for [`PATIENCE`].
    pub fn answer_all(self, pages: usize, page: String) {
        self.answer_until(Arc::new(AtomicBool::new(true)), pages, page);
    }

    /// The same, until nobody has dialled for [`PATIENCE`] and it has been told to stop.
    pub fn answer_until(self, stop: Arc<AtomicBool>, pages: usize, page: String) {
        std::thread::spawn(move || loop {
            let mut end = match self.accept() {
                Ok(end) => end,
                Err(e) if is_timeout(&e) && !stop.load(Ordering::Relaxed) => continue,
                Err(_) => return,
            };
            let page = page.clone();
            std::thread::spawn(move || while end.answer_next(pages, &page).is_ok() {});
        });
    }

    /// The next connection.
    pub fn accept(&self) -> io::Result<EngineConnection> {
        let (stream, _) = self.listener.accept()?;
        Ok(EngineConnection {
            lines: BufReader::new(patient(stream)?),
        })
    }
}

/// An engine that holds back who dials it, and what fills its queue.
pub struct FullQueueEngine {
    /// The engine.
    pub engine: Engine,
    filler: Option<TcpStream>,
}

impl FullQueueEngine {
    /// From here on dials wait.
    pub fn fill_queue(&mut self) -> io::Result<()> {
        self.filler = Some(TcpStream::connect(self.engine.address())?);
        Ok(())
    }

    /// The queue has room again.
    pub fn free_queue(&mut self) -> io::Result<()> {
        self.filler = None;
        self.engine.listener.accept().map(|_| ())
    }
}

impl EngineConnection {
    /// The next command; an error of kind `UnexpectedEof` once the gateway has closed the
    /// connection.
    pub fn command(&mut self) -> io::Result<Command> {
        let mut line = String::new();
        if self.lines.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let words: Vec<String> = line.trim_end().split(' ').map(str::to_string).collect();
        let mut payload = Vec::new();
        if words[0] == "serve" {
            let length: usize = words[3].parse().map_err(io::Error::other)?;
            payload.resize(length + 2, 0);
            self.lines.read_exact(&mut payload)?;
            payload.truncate(length);
        }
        Ok(Command { words, payload })
    }

    /// Answers an attempt.
    pub fn answer(&mut self, id: &str, word: &str, fields: &str, payload: &str) -> io::Result<()> {
        let text = format!("{id} {word} {fields} {}\r\n{payload}\r\n", payload.len());
        self.lines.get_mut().write_all(text.as_bytes())
    }

    /// Answers the next command, a query with so many pages.
    fn answer_next(&mut self, pages: usize, page: &str) -> io::Result<()> {
        let command = self.command()?;
        match command.verb() {
            "serve" => self.answer(command.id(), "OK", &format!("count={pages}"), page),
            "gauges" | "health" => self.answer(command.id(), "UP", "report=inflight:0", ""),
            "read" => self.answer(
                command.id(),
                "ROWS",
                &format!("pos={}", command.words[2]),
                page,
            ),
            _ => Ok(()),
        }
    }

    /// Writes bytes as they are.
    pub fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.lines.get_mut().write_all(bytes)
    }

    /// Passes over commands until the gateway has closed the connection.
    pub fn until_closed(&mut self) {
        loop {
            if let Err(e) = self.command() {
                return assert_closed(&e);
            }
        }
    }
}

// ---- The bulletin ----

/// Service discovery that is moved by hand.
pub struct Bulletin {
    /// What it listens with.
    pub listener: TcpListener,
}

/// One response that is being streamed.
pub struct BulletinStream {
    stream: TcpStream,
    /// The `Last-Event-ID` that the gateway sent.
    pub after: u64,
}

impl Bulletin {
    /// Listens at an address.
    pub fn listen(address: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        socket2::SockRef::from(&listener).set_read_timeout(Some(PATIENCE))?;
        Ok(Bulletin { listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a listening socket has an address")
    }

    /// The next watch, once its request has been read and its answer has begun.
    pub fn accept(&self) -> io::Result<BulletinStream> {
        let (stream, _) = self.listener.accept()?;
        let mut lines = BufReader::new(patient(stream)?);
        let mut after = 0;
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line)? <= 2 {
                break;
            }
            if let Some(("Last-Event-ID", number)) = line.trim_end().split_once(": ") {
                after = number.parse().map_err(io::Error::other)?;
            }
        }
        let mut stream = lines.into_inner();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")?;
        Ok(BulletinStream { stream, after })
    }
}

impl BulletinStream {
    /// Tells an event of the list.
    pub fn event(&mut self, number: u64, data: &str) -> io::Result<()> {
        self.stream
            .write_all(format!("id: {number}\ndata: {data}\n\n").as_bytes())
    }

    /// Writes bytes as they are.
    pub fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a comment, which says that the watch lives.
    pub fn comment(&mut self) -> io::Result<()> {
        self.stream.write_all(b": still here\n\n")
    }

    /// Waits until the gateway has ended the connection.
    pub fn wait_for_close(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }
}
