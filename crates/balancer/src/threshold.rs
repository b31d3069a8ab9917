//! Threshold of the two-speed queue: forward to a slower endpoint now, or wait for a faster slot.
//!
//! Symbols and formula numbers are those of the paper that `docs/design.md` names.

/// Returns the number of queued requests up to which waiting beats a slower slot: the largest τ in 0..=m(R−1) for which
/// (3.3) is negative.
///
/// `m` is the number of faster slots, `rho` their utilization, `ratio` the speed of the faster slots over that of the
/// slower one.
///
/// τ/(1−ρ) + (ρ^τ−1)/(1−ρ)² is the sum of g_k over k < τ, with g_0 = 0 and g_{k+1} = 1 + ρ·g_k. That form
/// has no division and holds at ρ = 1 too.
pub fn threshold(m: f64, rho: f64, ratio: f64) -> u32 {
    let top = m * (ratio - 1.0);
    let blocking = erlang_b(m, rho);
    let mut tau = 0;
    let mut sum = 0.0;
    let mut g = 0.0;
    while f64::from(tau + 1) <= top {
        sum += g;
        g = 1.0 + rho * g;
        if f64::from(tau + 1) + top * (rho - 1.0) + blocking * rho * (sum - top) >= 0.0 {
            break;
        }
        tau += 1;
    }
    tau
}

/// Returns the blocking probability of `slots` slots at a utilization, by the stable recursion of Erlang B.
fn erlang_b(slots: f64, utilization: f64) -> f64 {
    let load = slots * utilization;
    let mut blocking = 1.0;
    for k in 1..=(slots.round() as u32).max(1) {
        blocking = load * blocking / (f64::from(k) + load * blocking);
    }
    blocking
}
