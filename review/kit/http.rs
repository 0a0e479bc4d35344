//! Reading and writing of HTTP/1.1 messages on plain sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message as read from a connection.
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    headers: Vec<(String, String)>,
    /// Body without its framing.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v)
    }

    /// Target of a request: path and query.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Small messages are not delayed; a failure only costs time.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes. Returns false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let length = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..length]);
        Ok(length > 0)
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..length).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a message with its whole body. Returns `None` when the connection ends before its first
    /// byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        if self.buf.is_empty() && !self.fill()? {
            return Ok(None);
        }
        let first_line = self.take_line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let mut message = Message {
            first_line,
            headers,
            body: Vec::new(),
        };
        if message
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                let size = self.take_line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(size)?;
                self.take(2)?;
                message.body.extend(chunk);
                if size == 0 {
                    break;
                }
            }
        } else if let Ok(length) = message.header("content-length").parse() {
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }
}
