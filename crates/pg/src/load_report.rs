//! Load reports of database hosts.

/// Iterates over the names and numbers in a load report such as `inflight=7,util=0.61`. Entries that are not a name
/// with a finite number are skipped.
pub fn report(text: &str) -> impl Iterator<Item = (&str, f64)> {
    text.split(',').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        let number: f64 = value.trim().parse().ok()?;
        number.is_finite().then_some((name.trim(), number))
    })
}
