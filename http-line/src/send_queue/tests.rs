//! Tests of the send queue.
use super::*;

/// A sink that accepts three bytes at a time, up to a total of `capacity`.
struct NarrowSink {
    written: Vec<u8>,
    capacity: usize,
}

impl Write for NarrowSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.capacity == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        let size = bytes.len().min(3).min(self.capacity);
        self.capacity -= size;
        self.written.extend(&bytes[..size]);
        Ok(size)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn partial_write_resumes_where_it_stopped() {
    let mut queue = SendQueue::default();
    queue.push(Body::slice(Arc::new(b"..head..".to_vec()), 2..6));
    queue.push(Vec::new().into());
    queue.push(b"body".to_vec().into());
    let mut sink = NarrowSink {
        written: Vec::new(),
        capacity: 5,
    };
    let WriteProgress { written, result } = queue.write(&mut sink);
    assert_eq!(
        (written, result.unwrap_err().kind(), queue.remaining()),
        (5, ErrorKind::WouldBlock, 3)
    );
    sink.capacity = 100;
    assert_eq!(queue.write(&mut sink).written, 3);
    assert!(queue.is_empty() && sink.written == b"headbody");
}
