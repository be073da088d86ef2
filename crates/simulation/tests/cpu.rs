//! Processor sharing compared with closed forms: shares, ramps, and the mean time in the system of an M/M/c queue.

use irisrouter_simulation::cpu::{Cpu, Ramp};
use irisrouter_simulation::rng::{Rng, Stream};
use irisrouter_simulation::{Ns, MS, SECOND};

fn run_to_completion(cpu: &mut Cpu) -> Vec<(Ns, u64)> {
    let mut ends = Vec::new();
    while let Some(t) = cpu.next_finish() {
        while let Some(job) = cpu.pop_finished(t) {
            ends.push((t, job));
        }
    }
    ends
}

#[test]
fn running_jobs_share_the_cores_evenly() {
    let mut cpu = Cpu::new(2.0, 0);
    (0..4).for_each(|job| cpu.add(0, 10 * MS, job));
    cpu.add(0, 5 * MS, 9);
    // Five jobs on two cores: the short one finishes after 12.5 ms; then four share, with 5 ms of work left each.
    assert_eq!(
        run_to_completion(&mut cpu),
        [
            (12_500_000, 9),
            (22_500_000, 0),
            (22_500_000, 1),
            (22_500_000, 2),
            (22_500_000, 3)
        ]
    );
    assert!((cpu.used() - 45e6).abs() < 10.0, "{}", cpu.used());
}

/// A core whose capacity ramps from a quarter to full in 4 s does 2.5 s of work in that time, which is the integral of
/// the ramp, and 1 s of work per second afterwards.
#[test]
fn ramp_gives_the_work_of_its_integral() {
    let ramp = Ramp {
        start: SECOND,
        from: 0.25,
        length: 4 * SECOND,
    };
    for (work, ends) in [(2.5, 4.0), (3.5, 5.0), (0.25 + 0.75 / 8.0, 1.0)] {
        let mut cpu = Cpu::new(1.0, SECOND);
        cpu.start_ramp(SECOND, ramp);
        cpu.add(SECOND, (work * 1e9) as Ns, 1);
        let (t, _) = run_to_completion(&mut cpu)[0];
        assert!((t - SECOND - (ends * 1e9) as Ns).abs() <= 2, "{work}: {t}");
    }
    // One job on two cores: it has a full core once the capacity reaches one half, after 4/3 s.
    let mut cpu = Cpu::new(2.0, SECOND);
    cpu.start_ramp(SECOND, ramp);
    cpu.add(SECOND, 3 * SECOND, 1);
    let (t, _) = run_to_completion(&mut cpu)[0];
    assert!((t - SECOND - (10 * SECOND / 3)).abs() <= 2, "{t}");
}

#[test]
fn ramp_advanced_in_steps_gives_the_same_service() {
    let ramp = Ramp {
        start: 0,
        from: 0.15,
        length: 14 * SECOND,
    };
    let (mut whole, mut steps) = (Cpu::new(5.0, 0), Cpu::new(5.0, 0));
    for cpu in [&mut whole, &mut steps] {
        cpu.start_ramp(0, ramp);
        (0..7).for_each(|j| cpu.add(0, SECOND * (1 + j), j as u64));
    }
    (0..3000).for_each(|i| steps.advance(i * 10_000_000));
    whole.advance(30 * SECOND - 10_000_000);
    assert!(
        (whole.attained_service() - steps.attained_service()).abs() < 10.0,
        "{} {}",
        whole.attained_service(),
        steps.attained_service()
    );
}

/// Compares the mean time in the system with the closed form of an M/M/c queue (Erlang C), and checks Little's law. The
/// formula for a queue applies because processor sharing has the same distribution of the number of jobs.
#[test]
fn queue_under_load_has_the_mean_time_of_the_mmc_formula() {
    let (cores, mean, load) = (3.0, 40.0 * MS as f64, 0.8);
    let rate = load * cores / mean;
    let mut rng = Rng::new(3, Stream::Arrivals);
    let mut cpu = Cpu::new(cores, 0);
    let (mut now, mut arrived_at, mut total, mut job_time, mut n) =
        (0, std::collections::HashMap::new(), 0.0, 0.0, 0u64);
    let count = 200_000;
    let mut next = 0;
    while n < count {
        let end = cpu.next_finish().unwrap_or(Ns::MAX);
        let t = next.min(end);
        job_time += cpu.busy() as f64 * (t - now) as f64;
        now = t;
        while let Some(job) = cpu.pop_finished(now) {
            total += (now - arrived_at.remove(&job).unwrap_or(now)) as f64;
            n += 1;
        }
        if now == next {
            arrived_at.insert(now as u64, now);
            cpu.add(now, rng.exponential(mean as Ns), now as u64);
            next = now + rng.exponential((1.0 / rate) as Ns).max(1);
        }
    }
    let a: f64 = load * cores;
    let (p, c) = (1.0 + a + a * a / 2.0, a.powi(3) / 6.0 / (1.0 - load));
    let wait_probability = c / (p + c);
    let expected = mean * (1.0 + wait_probability / (cores * (1.0 - load)));
    let measured = total / n as f64;
    assert!(
        (measured / expected - 1.0).abs() < 0.03,
        "{measured} against {expected}"
    );
    let little = job_time / now as f64 / (n as f64 / now as f64);
    assert!(
        (little / measured - 1.0).abs() < 0.001,
        "{little} {measured}"
    );
}
