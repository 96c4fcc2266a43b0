//! A client on one connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::socket::fix_receive_buffer;

/// The head of an answer.
#[derive(Debug)]
pub struct Head {
    pub status: u16,
    pub length: usize,
    pub closes: bool,
}

/// A connection to a machine.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    /// Bytes that were read beyond the last head.
    rest: Vec<u8>,
}

/// Encodes a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, object: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nCookie: X-Affinity-Key={object}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend(body);
    bytes
}

impl Connection {
    /// Connects within a second, as the platform's clients do.
    pub fn open(address: SocketAddr, read_timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        fix_receive_buffer(&stream)?;
        stream.set_read_timeout(Some(read_timeout))?;
        Ok(Connection { stream, rest: Vec::new() })
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads the head of an answer.
    pub fn head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|part| part == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest[..end]).to_ascii_lowercase();
                self.rest.drain(..end + 4);
                let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
                let field = |name: &str| {
                    let line = text.lines().find(|line| line.starts_with(name))?;
                    Some(line[name.len()..].trim().to_owned())
                };
                return Ok(Head {
                    status: status.ok_or(io::ErrorKind::InvalidData)?,
                    length: field("content-length:").and_then(|text| text.parse().ok()).unwrap_or(0),
                    closes: field("connection:").is_some_and(|text| text == "close"),
                });
            }
            let mut bytes = [0; 1_024];
            let count = self.stream.read(&mut bytes)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.rest.extend(&bytes[..count]);
        }
    }

    /// Reads up to `count` bytes of a body.
    pub fn piece(&mut self, count: usize) -> io::Result<usize> {
        if !self.rest.is_empty() {
            let count = count.min(self.rest.len());
            self.rest.drain(..count);
            return Ok(count);
        }
        let mut bytes = vec![0; count];
        self.stream.read(&mut bytes)
    }

    /// Reads the rest of a body of `length`, of which `received` bytes have arrived. Returns the
    /// number of bytes that have arrived when it or the connection ended.
    pub fn body(&mut self, length: usize, mut received: usize) -> usize {
        while received < length {
            match self.piece((length - received).min(64 << 10)) {
                Ok(count) if count > 0 => received += count,
                _ => break,
            }
        }
        received
    }

    /// Sends a request and reads the body of an answer with status 200.
    pub fn text(&mut self, bytes: &[u8]) -> io::Result<String> {
        self.send(bytes)?;
        let head = self.head()?;
        if head.status != 200 {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut body = std::mem::take(&mut self.rest);
        while body.len() < head.length {
            let mut piece = [0; 1_024];
            match self.stream.read(&mut piece)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => body.extend(&piece[..count]),
            }
        }
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Sends a request and reads the whole answer; its status.
    pub fn call(&mut self, bytes: &[u8]) -> io::Result<Head> {
        self.send(bytes)?;
        let head = self.head()?;
        if self.body(head.length, 0) < head.length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(head)
    }
}
