//! Tests of `outgoing`.
use super::*;

struct Narrow(Vec<u8>, usize);
impl Write for Narrow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.1 == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        let size = bytes.len().min(3).min(self.1);
        self.1 -= size;
        self.0.extend(&bytes[..size]);
        Ok(size)
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn goes_on_where_it_stopped() {
    let mut out = Outgoing::default();
    out.push(Body::part(Arc::new(b"..head..".to_vec()), 2..6));
    out.push(Vec::new().into());
    out.push(b"body".to_vec().into());
    let mut sink = Narrow(Vec::new(), 5);
    let (sum, end) = out.write(&mut sink);
    assert_eq!(
        (sum, end.unwrap_err().kind(), out.left()),
        (5, ErrorKind::WouldBlock, 3)
    );
    sink.1 = 100;
    assert_eq!(out.write(&mut sink).0, 3);
    assert!(out.is_empty() && sink.0 == b"headbody");
}
