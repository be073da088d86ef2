// Hosts, primaries among them, drain one after the other and are replaced by new ones.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=2, hosts=12, load=0.5, length=60) {
  title: 'Drains that hand over',
  about: |||
    Hosts drain one after the other, primaries among them, and are replaced by fresh ones.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + {
    faults: [
      { at_s: 10 + 12 * i, for_s: 7, drain: { hosts: { count: 1, primaries: 0.5 } } }
      for i in std.range(0, 2)
    ],
  },
}
