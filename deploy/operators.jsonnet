// The operators' file: settings of irisrouter's own, beside the platform's configuration.
// Read at start from the path in IRISROUTER_OPERATORS; `run` in balancer.toml names none, so all here is off there.
// Checked against a schema: an unknown field or a bad value stops the start with its path and reason.
{
  // Who of the gateways is there (docs/membership.md). Off: the standing days price every datagram.
  membership: {
    enabled: false,
    // One member is probed each period; suspicion and gossip scale with it.
    probe_period_ms: 1000,
    // A process paused this long is suspected and refutes, rather than being declared down.
    stall_ms: 2000,
  },
  // One owner for each duty, and another once it is gone (docs/takeover.md). Needs membership.
  takeover: {
    enabled: false,
    // An owner that hears from no majority of its duty's voters for so long owns it no more.
    lease_ms: 2000,
    // Probes carry their epoch in a comment; only for hosts that check it.
    fence: false,
    // Keyed writes are noted with two other gateways before they leave: one more way and back a write.
    writes: false,
    // One gateway watches the list for all; only where one service answers all gateways (the list comes when asked for).
    list_watch: false,
  },
  // What happens when a whole zone is lost and returns (docs/site-loss.md). Needs takeover.
  sites: {
    enabled: false,
    // Requests of mean work a second that a warm host of size one bears; has to be given where this is on.
    capacity_per_s: 0,
    // By zone: the zones that take its load, in order.
    prefer: {},
    // Classes in the order in which they are refused where there is no room; the others never are.
    refuse: [],
  },
}
