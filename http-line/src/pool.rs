use crate::prelude::*;

/// Connections to other addresses. Invariant: `open` counts the idle ones too.
#[derive(Default)]
pub struct Pool {
    places: HashMap<SocketAddr, Place>,
}

#[derive(Default)]
struct Place {
    idle: Vec<usize>,
    open: usize,
}

impl Pool {
    /// The idle connection used last among those that fit.
    pub fn take(&mut self, to: SocketAddr, fits: impl Fn(usize) -> bool) -> Option<usize> {
        let idle = &mut self.places.get_mut(&to)?.idle;
        let at = idle.iter().rposition(|token| fits(*token))?;
        Some(idle.remove(at))
    }

    pub fn keep(&mut self, to: SocketAddr, token: usize) {
        self.places.entry(to).or_default().idle.push(token);
    }

    pub fn open(&self, to: SocketAddr) -> usize {
        self.places.get(&to).map_or(0, |place| place.open)
    }

    pub fn opened(&mut self, to: SocketAddr) {
        self.places.entry(to).or_default().open += 1;
    }

    pub fn closed(&mut self, to: SocketAddr, token: usize) {
        if let Some(place) = self.places.get_mut(&to) {
            place.idle.retain(|idle| *idle != token);
            place.open -= 1;
            if place.open == 0 {
                self.places.remove(&to);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn newest_first_and_counted() {
        let to = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut pool = Pool::default();
        for token in 1..=3 {
            pool.opened(to);
            pool.keep(to, token);
        }
        pool.closed(to, 2);
        assert_eq!(
            (
                pool.take(to, |token| token != 3),
                pool.take(to, |_| true),
                pool.take(to, |_| true),
                pool.open(to)
            ),
            (Some(1), Some(3), None, 2)
        );
        pool.closed(to, 1);
        pool.closed(to, 3);
        assert!(pool.places.is_empty());
    }
}
