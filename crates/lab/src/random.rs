//! Seeded random streams. Each purpose draws from its own stream, so an additional draw for one purpose does not change
//! the others, and two settings can be compared under the same load.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Purpose of a random stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum Purpose {
    /// Machines of the fleet.
    Fleet = 1,
    /// Arrivals, their classes, keys and work.
    Load,
    /// Targets of the faults.
    Faults,
    /// Network delays.
    Network,
    /// Propagation delays of server list updates.
    List,
    /// Behaviour of the clients and of the load balancer in front of the proxies.
    Clients,
    /// Seeds of the decision modules.
    Modules,
}

/// Returns the random stream of a purpose under a seed.
pub fn stream(seed: u64, purpose: Purpose) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose as u64);
    rng
}

/// Samples `many` distinct indices below `among`, in random order.
pub fn sample_indices(rng: &mut ChaCha8Rng, among: usize, many: usize) -> Vec<usize> {
    let mut places: Vec<usize> = (0..among).collect();
    let many = many.min(among);
    for i in 0..many {
        places.swap(i, rng.random_range(i..among));
    }
    places.truncate(many);
    places
}
