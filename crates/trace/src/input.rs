//! Streaming input: plain, gzip or zstd files, split into lines or JSON objects.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;

use crate::fault::{Faults, Row};

/// Maximum size of a line or a JSON object in bytes; no row of the formats is longer.
pub const MAX_LINE: usize = 4 * 1024 * 1024;

/// Opens a file and decompresses it if its first bytes are those of gzip or zstd.
pub fn open(path: &Path) -> io::Result<Box<dyn BufRead>> {
    let mut file = BufReader::new(File::open(path)?);
    let start = file.fill_buf()?;
    let reader: Box<dyn Read> = match start {
        [0x1f, 0x8b, ..] => Box::new(flate2::bufread::MultiGzDecoder::new(file)),
        [0x28, 0xb5, 0x2f, 0xfd, ..] => Box::new(zstd::stream::read::Decoder::with_buffer(file)?),
        _ => return Ok(Box::new(file)),
    };
    Ok(Box::new(BufReader::new(reader)))
}

/// A line without its line ending.
pub enum Line<'a> {
    /// The bytes of the line.
    Bytes(&'a [u8]),
    /// The line was longer than [`MAX_LINE`] and was skipped.
    TooLong,
}

/// Calls `each` with every line and its number, starting at 1.
pub fn lines(mut input: impl BufRead, mut each: impl FnMut(u64, Line<'_>)) -> io::Result<()> {
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        let read = input
            .by_ref()
            .take(MAX_LINE as u64 + 1)
            .read_until(b'\n', &mut line)?;
        if read == 0 {
            break;
        }
        if line.len() > MAX_LINE && line.last() != Some(&b'\n') {
            skip_line(&mut input)?;
            each(number, Line::TooLong);
            continue;
        }
        let end = line.strip_suffix(b"\n").unwrap_or(&line);
        each(number, Line::Bytes(end.strip_suffix(b"\r").unwrap_or(end)));
    }
    Ok(())
}

/// Calls `each` with every line that is valid UTF-8; any other line is a fault.
pub fn rows<'f>(
    file: &str,
    input: impl BufRead,
    faults: &mut Faults<'f>,
    mut each: impl FnMut(&mut Row<'_, 'f>, &str),
) -> io::Result<()> {
    lines(input, |number, line| {
        let mut row = Row::new(file, number, faults);
        match line {
            Line::TooLong => row.fault("row", "line too long"),
            Line::Bytes(bytes) => match std::str::from_utf8(bytes) {
                Ok(text) => each(&mut row, text),
                Err(_) => row.fault("row", "invalid UTF-8"),
            },
        }
    })
}

fn skip_line(input: &mut impl BufRead) -> io::Result<()> {
    loop {
        let buffer = input.fill_buf()?;
        if buffer.is_empty() {
            return Ok(());
        }
        let end = buffer.iter().position(|b| *b == b'\n');
        let n = end.map_or(buffer.len(), |i| i + 1);
        input.consume(n);
        if end.is_some() {
            return Ok(());
        }
    }
}

/// Calls `each` with the line where an object of a JSON array begins, the bytes of
/// the object, and `true`, without holding the array in memory. An object longer
/// than [`MAX_LINE`] is cut to that length. The flag is `false` in the last call if
/// the file ends within the object, or if the bytes are a single one that can't
/// occur between two objects; reading stops there.
pub fn objects(input: impl BufRead, mut each: impl FnMut(u64, &[u8], bool)) -> io::Result<()> {
    let (mut line, mut start_line, mut depth, mut in_string, mut escaped) =
        (1u64, 1u64, 0u32, false, false);
    let mut object = Vec::new();
    for byte in input.bytes() {
        let byte = byte?;
        line += u64::from(byte == b'\n');
        if depth == 0 && byte == b'{' {
            start_line = line;
            object.clear();
        }
        if depth > 0 || byte == b'{' {
            if object.len() < MAX_LINE {
                object.push(byte);
            }
            match byte {
                _ if escaped => escaped = false,
                b'\\' if in_string => escaped = true,
                b'"' => in_string = !in_string,
                b'{' if !in_string => depth += 1,
                b'}' if !in_string => {
                    depth -= 1;
                    if depth == 0 {
                        each(start_line, &object, true);
                    }
                }
                _ => {}
            }
        } else if !(byte.is_ascii_whitespace() || matches!(byte, b'[' | b']' | b',')) {
            each(line, &[byte], false);
            return Ok(());
        }
    }
    if depth > 0 {
        each(start_line, &object, false);
    }
    Ok(())
}
