//! Chance: each use draws from a stream of its own, so that a further draw in one place leaves the others as they
//! were and two settings can be compared on the same load.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What a stream of chance is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum Purpose {
    /// The fleet's machines.
    Fleet = 1,
    /// Arrivals, their classes, keys and work.
    Load,
    /// What the faults strike.
    Faults,
    /// The network's delays.
    Network,
    /// How far list news lags.
    List,
    /// What clients and the front before the proxies do.
    Clients,
    /// The seeds of the decision modules.
    Modules,
}

/// The stream of chance for one use under a seed.
pub fn stream(seed: u64, purpose: Purpose) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose as u64);
    rng
}

/// Picks this many of `among` places, none twice, in random order.
pub fn sample_indices(rng: &mut ChaCha8Rng, among: usize, many: usize) -> Vec<usize> {
    let mut places: Vec<usize> = (0..among).collect();
    let many = many.min(among);
    for i in 0..many {
        places.swap(i, rng.random_range(i..among));
    }
    places.truncate(many);
    places
}
