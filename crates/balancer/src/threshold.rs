//! Threshold of the two-speed queue: decides between forwarding to a slower endpoint now and waiting for a faster slot.
//!
//! Symbols and formula numbers are those of the paper cited in `docs/design.md`.

/// Returns the maximum number of queued requests for which waiting is better than a slower slot: the largest τ in
/// 0..=m(R−1) for which (3.3) is negative.
///
/// `m` is the number of faster slots, `rho` their utilization, and `ratio` (R) the speed of the faster slots divided by
/// that of the slower slot.
///
/// The term τ/(1−ρ) + (ρ^τ−1)/(1−ρ)² is computed as the sum of g_k over k < τ, with g_0 = 0 and g_{k+1} = 1 + ρ·g_k.
/// This form has no division and also holds at ρ = 1.
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

/// Returns the blocking probability of `slots` slots at a utilization, by the numerically stable recursion of the
/// Erlang B formula.
fn erlang_b(slots: f64, utilization: f64) -> f64 {
    let load = slots * utilization;
    let mut blocking = 1.0;
    for k in 1..=(slots.round() as u32).max(1) {
        blocking = load * blocking / (f64::from(k) + load * blocking);
    }
    blocking
}
