use crate::prelude::*;

#[derive(Debug, Clone)]
pub struct Limits {
    pub head_bytes: usize,
    pub body_bytes: usize,
    /// From the first byte of a request to the end of its head.
    pub head_time: Duration,
    /// Without a request; also what a body may be late over 1 KB a second,
    /// and how long an unread answer may stand still.
    pub idle_time: Duration,
    /// Most requests of one connection handed out and not answered.
    pub pipeline: usize,
    /// Most bytes of a called one's answer.
    pub answer_bytes: usize,
    /// The width of the machine's link in bytes a second, from the start of the
    /// line on: answers are paced to a part of it. None: they are not paced.
    pub send_bytes_s: Option<f64>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(60),
            pipeline: 16,
            answer_bytes: 64 * 1024 * 1024,
            send_bytes_s: None,
        }
    }
}
