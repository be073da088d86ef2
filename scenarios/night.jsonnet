// Several faults at once: excess traffic, a retry storm, slow log apply, and gateways that restart meanwhile.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=2, hosts=12, load=0.55, length=80) {
  title: 'Election night',
  about: |||
    Several troubles at once, as on the worst nights so far: a flood, a storm, slow log apply, and gateways that restart meanwhile.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + deployment.storming + {
    faults: [
      { at_s: 10, for_s: [5, 25], flood: { sets: 1, part: [0.1, 0.25] } },
      { at_s: 20, for_s: [10, 20], silent: { hosts: { share: 0.18, primaries: 0.5 } } },
      { at_s: 35, for_s: [10, 20], gateways_killed: { share: 0.6, at_a_time: 0.3, down_s: [0.2, 1.5] } },
      { at_s: 50, for_s: [10, 15], slow_apply: { times: [4, 16] } },
    ],
  },
}
