//! The faults of a day: when each begins and ends, and what it affects. They are drawn before the run, so that they do
//! not depend on what the gateways do. Only the hosts are chosen by the fleet when a fault begins, because it is not
//! known earlier which hosts are primaries.

use crate::rng::{Rng, Stream};
use crate::spec::{Fault, HostSelection, Spec, ValueOrRange};
use crate::{seconds, GatewayId, HostId, Ns, SetId};

/// The kill and restart of a gateway. Times are since the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayRestart {
    /// The gateway.
    pub gateway: GatewayId,
    /// Time at which the gateway is killed.
    pub down_at: Ns,
    /// Time at which the gateway starts again.
    pub up_at: Ns,
}

/// A fault with the values that were drawn for a day.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// Name of the fault's kind in the settings.
    pub name: &'static str,
    /// Settings of the fault.
    pub fault: Fault,
    /// Time at which the fault begins, since the start of the run.
    pub from: Ns,
    /// Time at which the fault ends, since the start of the run.
    pub until: Ns,
    /// Slowdown factor; 1 for other kinds of faults.
    pub times: f64,
    /// Additional traffic to the surging sets, as a fraction of all traffic; 0 for other kinds of faults.
    pub part: f64,
    /// Sets that receive the additional traffic.
    pub sets: Vec<SetId>,
    /// Restarts of the gateways that are killed.
    pub restarts: Vec<GatewayRestart>,
    /// Gateways that cannot reach the hosts that are cut off, or that are on one side of a network partition.
    pub cut: Vec<GatewayId>,
}

/// Draws the faults of the day that `seed` gives, in the order of the settings.
pub fn plan(spec: &Spec, seed: u64) -> Vec<PlannedFault> {
    spec.faults
        .iter()
        .enumerate()
        .map(|(i, f)| draw_fault(spec, f, seed, i as u64))
        .collect()
}

fn draw_fault(spec: &Spec, fault: &Fault, seed: u64, index: u64) -> PlannedFault {
    // Each fault has its own stream, so that adding a fault does not change the others.
    let mut rng = Rng::new(
        seed ^ index.wrapping_mul(0x5851_f42d_4c95_7f2d),
        Stream::Faults,
    );
    let from = seconds(fault.at_s.draw(&mut rng));
    let until = from + seconds(fault.for_s.draw(&mut rng));
    let slowdown = fault.slow_apply.as_ref().or(fault.slowdown.as_ref());
    let times = slowdown.map_or(1.0, |s| s.times.draw(&mut rng));
    let flood = fault.flood.as_ref();
    let part = flood.map_or(0.0, |f| f.part.draw(&mut rng));
    let sets = flood.map_or(Vec::new(), |f| {
        rng.choose(f.sets as usize, spec.set_count() as usize)
    });
    let restarts = fault.gateways_killed.as_ref().map_or(Vec::new(), |waves| {
        draw_restarts(
            spec.gateways,
            waves.share,
            waves.at_a_time,
            waves.down_s,
            from,
            until,
            &mut rng,
        )
    });
    let cut_share = fault
        .cut_off
        .as_ref()
        .map(|c| c.gateways)
        .or(fault.split.as_ref().map(|s| s.part));
    let cut = cut_share.map_or(Vec::new(), |part| {
        rng.choose(count_of_share(part, spec.gateways), spec.gateways as usize)
    });
    PlannedFault {
        name: fault.kinds().first().copied().unwrap_or("nothing"),
        fault: fault.clone(),
        from,
        until,
        times,
        part,
        sets: sets.into_iter().map(|s| SetId(s as u32)).collect(),
        restarts,
        cut: cut.into_iter().map(|g| GatewayId(g as u32)).collect(),
    }
}

/// Returns the number that a share of `of` comes to, rounded; at least one for a share over 0.
fn count_of_share(share: f64, of: u32) -> usize {
    if share <= 0.0 {
        return 0;
    }
    ((share * f64::from(of)).round() as usize).clamp(1, of as usize)
}

fn draw_restarts(
    gateways: u32,
    share: f64,
    at_a_time: f64,
    down: ValueOrRange,
    from: Ns,
    until: Ns,
    rng: &mut Rng,
) -> Vec<GatewayRestart> {
    let mut affected = rng.choose(count_of_share(share, gateways), gateways as usize);
    // Shuffled, because `choose` returns them in ascending order.
    for i in (1..affected.len()).rev() {
        let j = rng.index(i + 1);
        affected.swap(i, j);
    }
    let wave_size = count_of_share(at_a_time, gateways).max(1);
    let wave_count = affected.len().div_ceil(wave_size).max(1) as Ns;
    let mut restarts = Vec::new();
    for (wave, gateways) in affected.chunks(wave_size).enumerate() {
        let at = from + (until - from) * wave as Ns / wave_count;
        for &g in gateways {
            restarts.push(GatewayRestart {
                gateway: GatewayId(g as u32),
                down_at: at,
                up_at: at + seconds(down.draw(rng)),
            });
        }
    }
    restarts
}

/// Chooses hosts of a selection among `hosts`. Each choice takes a primary with the probability that the settings give.
pub fn choose_hosts(
    selection: &HostSelection,
    hosts: &[HostId],
    is_primary: impl Fn(HostId) -> bool,
    rng: &mut Rng,
) -> Vec<HostId> {
    if let Some(these) = &selection.these {
        return these
            .iter()
            .map(|&h| HostId(h))
            .filter(|h| hosts.contains(h))
            .collect();
    }
    let count = match (selection.count, selection.share) {
        (Some(count), _) => count as usize,
        (None, share) => count_of_share(share.unwrap_or(0.0), hosts.len() as u32),
    };
    let mut remaining: Vec<HostId> = hosts.to_vec();
    let mut chosen = Vec::new();
    while chosen.len() < count && !remaining.is_empty() {
        let wants_primary = selection.primaries.is_some_and(|p| rng.chance(p));
        let candidates: Vec<usize> = (0..remaining.len())
            .filter(|&i| !wants_primary || is_primary(remaining[i]))
            .collect();
        let at = if candidates.is_empty() {
            rng.index(remaining.len())
        } else {
            candidates[rng.index(candidates.len())]
        };
        chosen.push(remaining.swap_remove(at));
        remaining.sort_unstable();
    }
    chosen.sort_unstable();
    chosen
}
