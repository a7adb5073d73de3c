//! Frames between our processes: length, checksum, bincode. A frame that does
//! not check out ends its session and nothing else.
use crate::prelude::*;

/// Larger than any whole slice image we send.
pub const FRAME_BYTES: usize = 64 * 1024 * 1024;

pub fn write(from: Peer, message: &Message) -> Result<Vec<u8>> {
    let body = bincode::serialize(&(from, message))?;
    let mut frame = Vec::with_capacity(body.len() + 8);
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(crc32fast::hash(&body).to_be_bytes());
    frame.extend(body);
    Ok(frame)
}

pub fn read(stream: &mut dyn Read) -> Result<(Peer, Message)> {
    let mut head = [0u8; 8];
    stream.read_exact(&mut head)?;
    let size = u32::from_be_bytes(head[..4].try_into()?) as usize;
    if size > FRAME_BYTES {
        bail!("frame of {size} bytes");
    }
    let mut body = Vec::new();
    stream.take(size as u64).read_to_end(&mut body)?;
    if body.len() != size {
        bail!("frame cut off");
    }
    if crc32fast::hash(&body) != u32::from_be_bytes(head[4..].try_into()?) {
        bail!("frame does not match its checksum");
    }
    Ok(bincode::deserialize(&body)?)
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn what_is_written_is_read_and_any_flipped_or_missing_byte_is_an_error() {
        let peer = Peer::new("127.0.0.1:9".parse().unwrap(), 3);
        let message: Message = Heartbeat {
            hears: SlotSet::default(),
            contacts: SlotSet::default(),
            vouched: SlotSet::default(),
            slot: 2,
            full: true,
            blank: false,
            membership_version: 0,
            closed: Duration::ZERO,
            lost: 0,
            got: 0,
            seen: None,
        }
        .into();
        let good = frame::write(peer, &message).unwrap();
        assert_eq!(frame::read(&mut good.as_slice()).unwrap(), (peer, message));
        for at in 0..good.len() {
            let mut bad = good.clone();
            bad[at] ^= 0x40;
            assert!(frame::read(&mut bad.as_slice()).is_err(), "flip at {at}");
            assert!(frame::read(&mut &good[..at]).is_err(), "cut at {at}");
        }
    }
}
