// Hosts die with a connection reset, refuse connections for a while, and restart with reduced capacity.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=2, hosts=12, load=0.55, length=40, share=0.18, away=[1, 4]) {
  title: 'Processes die and are started again',
  about: |||
    Hosts die with a reset, refuse connections, and are started again cold.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + {
    faults: [{ at_s: 10, for_s: away, reset: { hosts: { share: share, primaries: 0.3 } } }],
  },
}
