//! A small subset of HTTP/1.1 over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering::Relaxed},
        Arc, Mutex, PoisonError,
    },
    thread,
    time::Duration,
};

use crate::sys;

const MAX_BODY: usize = 8 << 20;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status
            .and_then(|text| text.parse().ok())
            .unwrap_or_default()
    }
}

/// Reads a message. Returns `None` if the connection ends before it begins.
pub fn read_message(
    reader: &mut BufReader<TcpStream>,
    is_response: bool,
) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let header = (name.to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        read_chunks(reader, &mut message.body)?;
    } else if let Ok(len) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; len.min(MAX_BODY)];
        reader.read_exact(&mut message.body)?;
    } else if is_response && message.status() != 204 {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size.min(MAX_BODY) + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Handles one request; returns whether the connection stays open.
pub type Handler = dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A server with one thread per connection.
pub struct Server {
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Arc<Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let server = Self {
            is_stopped: Arc::clone(&is_stopped),
            connections: Arc::clone(&connections),
        };
        thread::spawn(move || {
            while !is_stopped.load(Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let handler = Arc::clone(&handler);
                if let Ok(clone) = stream.try_clone() {
                    let mut open = connections.lock().unwrap_or_else(PoisonError::into_inner);
                    open.push(clone);
                }
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(server)
    }

    /// Stops at once: the port is closed and connections are reset.
    pub fn stop(&self) {
        self.is_stopped.store(true, Relaxed);
        self.reset_connections();
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        let mut open = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for stream in open.drain(..) {
            sys::reset(&stream);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader, false) {
        match handler(&request, &mut writer) {
            Ok(true) => {}
            _ => break,
        }
    }
    let _ = writer.shutdown(std::net::Shutdown::Both);
}

/// A connection of a client.
pub struct Connection {
    pub address: SocketAddr,
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Self {
            address,
            writer: stream.try_clone()?,
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads the response.
    pub fn exchange(&mut self, request: &[u8], timeout: Duration) -> io::Result<Message> {
        self.writer.set_read_timeout(Some(timeout))?;
        self.writer.write_all(request)?;
        let response = read_message(&mut self.reader, true)?;
        response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
